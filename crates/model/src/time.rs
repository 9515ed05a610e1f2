//! Times as values: functions that depend on the time take it as an argument.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A reading of one process's monotonic clock, in microseconds since the process started.
///
/// Readings of different processes can't be compared.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The time `millis` milliseconds after the clock's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// The time `elapsed` after the clock's start.
    pub fn from_elapsed(elapsed: Duration) -> Self {
        Self(elapsed.as_micros() as u64)
    }

    /// Time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Whole milliseconds since the clock's start.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Whole microseconds since the clock's start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(delay.as_micros() as u64))
    }
}

impl Sub<Duration> for MonoTime {
    type Output = Self;

    fn sub(self, delay: Duration) -> Self {
        Self(self.0.saturating_sub(delay.as_micros() as u64))
    }
}

/// Wall-clock time in whole seconds since the Unix epoch; used only for scheduled stops.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);
