//! How many calls a router keeps open at one server: additive increase, multiplicative decrease.
//!
//! Calls that end well within their time raise the limit, calls that miss it or are shed lower it.
//! The sum over routers settles where the server's queue still ends in time, without a word
//! between them.

use std::time::Duration;

use model::MonoTime;

/// Share of its time within which a call must end to raise the limit.
const EARLY_SHARE: f64 = 0.4;

/// Share of its time after which a call lowers the limit although it was answered.
const LATE_SHARE: f64 = 0.7;

/// Factor for a call that was late, missed its time or was shed.
const DECREASE: f64 = 0.8;

/// Time between decreases, so that one full queue counts once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Fewest calls that a router may keep open.
const MIN_LIMIT: f64 = 1.0;

/// How a call used its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPace {
    /// It was answered after this share of its time, in percent.
    Answered(u32),
    /// It missed its time, or the server shed it.
    Missed,
}

/// One router's limit at one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    highest: f64,
    decreased_at: Option<MonoTime>,
}

impl ConcurrencyLimit {
    /// A limit that starts at `highest` and never passes it.
    pub fn new(highest: u32) -> Self {
        let highest = f64::from(highest).max(MIN_LIMIT);
        Self { limit: highest, highest, decreased_at: None }
    }

    /// Changes the bound.
    pub fn set_highest(&mut self, highest: u32) {
        self.highest = f64::from(highest).max(MIN_LIMIT);
        self.limit = self.limit.min(self.highest);
    }

    /// Calls that may be open.
    pub fn value(&self) -> usize {
        self.limit as usize
    }

    /// Takes in how one call used its time.
    pub fn note(&mut self, pace: CallPace, now: MonoTime) {
        match pace {
            CallPace::Answered(percent) if f64::from(percent) < EARLY_SHARE * 100.0 => {
                self.limit = (self.limit + 1.0 / self.limit).min(self.highest);
            }
            CallPace::Answered(percent) if f64::from(percent) < LATE_SHARE * 100.0 => (),
            CallPace::Answered(_) | CallPace::Missed => self.decrease(now),
        }
    }

    fn decrease(&mut self, now: MonoTime) {
        let is_due = self.decreased_at.is_none_or(|it| now.since(it) >= DECREASE_INTERVAL);
        if is_due {
            self.decreased_at = Some(now);
            self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
        }
    }
}
