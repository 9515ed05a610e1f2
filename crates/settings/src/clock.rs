//! The one place where processes read clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use model::{MonoTime, WallTime};

/// A process's monotonic clock, which goes on while the process is paused.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    started_at: Instant,
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self { started_at: Instant::now() }
    }
}

impl ProcessClock {
    /// The present monotonic time.
    pub fn now(&self) -> MonoTime {
        MonoTime::from_elapsed(self.started_at.elapsed())
    }

    /// The present wall-clock time.
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(since_epoch.as_secs())
    }
}
