//! Whether a server can still be found at its address.
//!
//! Load pattern: servers that own keys end while the store is away, and their addresses refuse connections
//! or go to servers of other services. All requests for their keys would be tried there again and again,
//! until the assigner has moved the keys.

use std::time::Duration;

use model::MonoTime;

/// Pause after the first refused connection.
const FIRST_PAUSE: Duration = Duration::from_millis(40);

/// Longest pause between two attempts to connect.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Part of a pause that is random, so that routers don't all try again at the same time.
const PAUSE_JITTER: f64 = 0.5;

/// Time between two questions to the address, once another server has answered there.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// What one router has seen at the address of one instance of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AddressDoubt {
    /// Refused connections in turn.
    n_refused: u32,
    /// Until when no connection is tried.
    paused_until: MonoTime,
    /// When the address was last asked, if another server has answered there.
    taken_over: Option<MonoTime>,
}

impl AddressDoubt {
    /// Records a refused connection; `draw` is a uniform random number in [0, 1).
    pub fn note_refused(&mut self, draw: f64, now: MonoTime) {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.n_refused.min(8));
        self.n_refused += 1;
        let pause = pause.min(MAX_PAUSE).mul_f64(1.0 - PAUSE_JITTER * draw);
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Records that another server has answered a request for this one.
    pub fn note_other_server(&mut self, now: MonoTime) {
        self.taken_over = Some(now);
    }

    /// Records an answer of the server itself, which ends all doubt.
    pub fn note_reached(&mut self) {
        *self = Self::default();
    }

    /// Whether another server has answered at the address, and the server itself not since.
    pub fn is_taken_over(&self) -> bool {
        self.taken_over.is_some()
    }

    /// Until when no connection is tried.
    pub fn paused_until(&self) -> MonoTime {
        self.paused_until
    }

    /// Whether the address is to be asked now who is there.
    pub fn begin_probe(&mut self, now: MonoTime) -> bool {
        let is_due = self.taken_over.is_some_and(|it| now.since(it) >= PROBE_INTERVAL);
        if is_due {
            self.taken_over = Some(now);
        }
        is_due
    }
}
