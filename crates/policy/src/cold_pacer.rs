//! Rate limit of one router at a cold server that bounds the rate of all routers together.
//!
//! Load pattern: many servers return cold at the same time while every router looks for idle servers.

use std::time::Duration;

use model::{MonoTime, ServerName, VmName};

use crate::rendezvous_rank;

/// Maximum number of routers that send to one cold server, and thereby of requests that it gets at the
/// same moment from routers that were idle before.
const MAX_SENDERS: usize = 5;

/// Share of the server's cold rate that all routers together use.
const SHARED_RATE_FACTOR: f64 = 0.9;

/// Spaces one router's requests to one cold server evenly.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdPacer {
    interval: Duration,
    next_at: MonoTime,
}

impl ColdPacer {
    /// Creates the pacer of `router` among `routers` for a server that can take `rate` requests a
    /// second while cold, or `None` when only other routers may send or `rate` is not positive.
    ///
    /// Rendezvous hashing ranks the routers, so that all of them agree on the senders.
    pub fn new(
        server: &ServerName,
        router: &VmName,
        routers: &[VmName],
        rate: f64,
        now: MonoTime,
    ) -> Option<Self> {
        let priority = |vm: &VmName| rendezvous_rank(server.as_str(), vm);
        let own_priority = priority(router);
        let n_others = routers.iter().filter(|it| *it != router).count();
        let rank = routers.iter().filter(|it| *it != router && priority(it) < own_priority).count();
        let n_senders = (n_others + 1).min(MAX_SENDERS);
        if rank >= n_senders || rate <= 0.0 {
            return None;
        }
        let interval = Duration::from_secs_f64(n_senders as f64 / (rate * SHARED_RATE_FACTOR));
        // Offset by rank, so that the senders do not all send at the same moment.
        let next_at = now + interval.mul_f64(rank as f64 / n_senders as f64);
        Some(Self { interval, next_at })
    }

    /// Whether a request may be sent now.
    pub fn is_ready(&self, now: MonoTime) -> bool {
        now >= self.next_at
    }

    /// Records a request that this router sent before it had this pacer.
    pub fn note_earlier_send(&mut self, sent_at: MonoTime) {
        self.next_at = self.next_at.max(sent_at + self.interval);
    }

    /// Records that a request is sent, which delays the next one by the interval.
    pub fn note_sent(&mut self, now: MonoTime) {
        self.next_at = now + self.interval;
    }
}
