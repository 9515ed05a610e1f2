//! How often one router may send to a cold server, so that the sum over all routers stays bounded.
//!
//! Load pattern: many servers return cold at once while every router looks for idle servers.

use std::time::Duration;

use model::{MonoTime, ServerName, VmName};
use xxhash_rust::xxh3::xxh3_64;

/// Routers that may send to one cold server; each may send one request at once.
const MAX_HOLDERS: usize = 5;

/// Part of the rate the server bears that all routers use together.
const RATE_SHARE: f64 = 0.9;

/// One router's allowance at one cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPacer {
    interval: Duration,
    next_at: MonoTime,
}

impl ColdPacer {
    /// The allowance of `router` among `routers` at a server that bears `rate` requests a second;
    /// nothing when other routers have all of it.
    pub fn new(
        server: &ServerName,
        router: &VmName,
        routers: &[VmName],
        rate: f64,
        now: MonoTime,
    ) -> Option<Self> {
        let weight = |vm: &VmName| xxh3_64(format!("{server}/{vm}").as_bytes());
        let own = weight(router);
        let n_others = routers.iter().filter(|it| *it != router).count();
        let rank = routers.iter().filter(|it| *it != router && weight(it) < own).count();
        let n_holders = (n_others + 1).min(MAX_HOLDERS);
        if rank >= n_holders || rate <= 0.0 {
            return None;
        }
        let interval = Duration::from_secs_f64(n_holders as f64 / (rate * RATE_SHARE));
        // Ranks take turns, so that the holders do not all send at the same moment.
        let next_at = now + interval.mul_f64(rank as f64 / n_holders as f64);
        Some(Self { interval, next_at })
    }

    /// Whether a request may be sent now.
    pub fn is_ready(&self, now: MonoTime) -> bool {
        now >= self.next_at
    }

    /// Notes that one is sent.
    pub fn note_sent(&mut self, now: MonoTime) {
        self.next_at = now + self.interval;
    }
}
