//! Time limits of the change stream, derived from the time within which a change must be in force.
//!
//! A VM knows at which time the store last confirmed its state. As long as that is never longer ago
//! than the deadline, every change is in force in time, whichever VMs and connections fail.

use std::time::Duration;

/// Shortest deadline that the limits are derived from; shorter calls would fail on a slow VM.
const MIN_DEADLINE: Duration = Duration::from_millis(1_000);

/// Time limits of the change stream of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeTiming {
    /// Minimum time between calls to the store.
    pub call_interval: Duration,
    /// Longest age of the state of a VM whose watches of the store are answered.
    pub watch_cycle: Duration,
    /// Time allowed for the store's answer to a watch, besides the wait itself.
    pub answer_timeout: Duration,
    /// Age of a relay's state beyond which the VMs that may have to relay in its place leave it.
    pub relay_limit: Duration,
    /// Age of a relay's state beyond which all other VMs leave it.
    pub follower_limit: Duration,
    /// Age of its own state at which a VM asks the store itself.
    pub catch_up_age: Duration,
    /// Timeout of a call that asks the store for changes without waiting for them.
    pub catch_up_timeout: Duration,
    /// Time for which a relay may hold a call until there is a change.
    pub relay_wait: Duration,
    /// The same for calls of VMs that may have to relay in its place, which must notice first that it
    /// is silent.
    pub successor_wait: Duration,
    /// Time allowed for a relay's answer itself.
    pub relay_timeout: Duration,
    /// Delay after a failed call.
    pub retry_delay: Duration,
}

impl ChangeTiming {
    /// The limits for changes that must be in force within `deadline`.
    pub fn for_deadline(deadline: Duration) -> Self {
        let deadline = deadline.max(MIN_DEADLINE);
        Self {
            call_interval: deadline.mul_f64(0.225),
            watch_cycle: deadline.mul_f64(0.325),
            answer_timeout: deadline.mul_f64(0.3),
            relay_limit: deadline.mul_f64(0.425),
            follower_limit: deadline.mul_f64(0.525),
            catch_up_age: deadline.mul_f64(0.65),
            catch_up_timeout: deadline.mul_f64(0.15),
            relay_wait: deadline.mul_f64(0.15),
            successor_wait: deadline.mul_f64(0.05),
            relay_timeout: deadline.mul_f64(0.15),
            retry_delay: deadline.mul_f64(0.025),
        }
    }

    /// Longest time until a VM that reaches the store knows of a change, if one call to the store gets
    /// no answer because its connection has gone silent.
    pub fn max_delay(&self) -> Duration {
        let watching = self.watch_cycle + self.answer_timeout;
        self.catch_up_age.max(watching) + self.catch_up_timeout + self.retry_delay * 2
    }
}
