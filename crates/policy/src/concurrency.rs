//! Limit on a router's open calls at one server: additive increase, multiplicative decrease.
//!
//! Calls that are answered well before their deadline raise the limit; calls that miss it or are
//! shed lower it. Without exchanging messages, the routers settle where calls still leave the
//! server's queue in time.

use std::time::Duration;

use model::MonoTime;

/// Share of the time to its deadline within which a call must be answered to raise the limit.
const EARLY_SHARE: f64 = 0.4;

/// Share of the time to its deadline from which on an answered call lowers the limit.
const LATE_SHARE: f64 = 0.7;

/// Factor on the limit for a call that was late, missed its deadline or was shed.
const DECREASE_FACTOR: f64 = 0.8;

/// Shortest time between two decreases, so that one full queue lowers the limit once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Smallest limit, in open calls.
const MIN_LIMIT: f64 = 1.0;

/// When a call ended relative to its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallTiming {
    /// It was answered after this share of the time to its deadline, in percent.
    Answered(u32),
    /// It was abandoned near or after its deadline, or the server shed it.
    Missed,
}

/// One router's limit on its open calls at one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    max_limit: f64,
    decreased_at: Option<MonoTime>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `max_limit` and never exceeds it.
    pub fn new(max_limit: u32) -> Self {
        let max_limit = f64::from(max_limit).max(MIN_LIMIT);
        Self { limit: max_limit, max_limit, decreased_at: None }
    }

    /// Changes the upper bound, and lowers the limit to it where necessary.
    pub fn set_max(&mut self, max_limit: u32) {
        self.max_limit = f64::from(max_limit).max(MIN_LIMIT);
        self.limit = self.limit.min(self.max_limit);
    }

    /// Number of calls that may be open.
    pub fn value(&self) -> usize {
        self.limit as usize
    }

    /// Adjusts the limit after a call has ended.
    pub fn record(&mut self, timing: CallTiming, now: MonoTime) {
        match timing {
            CallTiming::Answered(percent) if f64::from(percent) < EARLY_SHARE * 100.0 => {
                self.limit = (self.limit + 1.0 / self.limit).min(self.max_limit);
            }
            CallTiming::Answered(percent) if f64::from(percent) < LATE_SHARE * 100.0 => (),
            CallTiming::Answered(_) | CallTiming::Missed => self.decrease(now),
        }
    }

    fn decrease(&mut self, now: MonoTime) {
        let is_due = self.decreased_at.is_none_or(|it| now.since(it) >= DECREASE_INTERVAL);
        if is_due {
            self.decreased_at = Some(now);
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        }
    }
}
