//! The clocks of a process. Daemons read the time only here, except for the timestamps of their
//! logs.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use model::{MonoTime, WallTime};
use rustix::time::{ClockId, clock_gettime};

/// Reads the monotonic and the wall clock. Monotonic time counts from the clock's creation and
/// keeps running while the process or its VM is suspended.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    started_at: Duration,
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self { started_at: boot_time() }
    }
}

impl ProcessClock {
    /// Current monotonic time.
    pub fn now(&self) -> MonoTime {
        MonoTime::from_elapsed(boot_time().saturating_sub(self.started_at))
    }

    /// Computes a number that distinguishes the runs of one program on one VM.
    pub fn incarnation(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        since_epoch.as_micros() as u64 ^ (u64::from(std::process::id()) << 48)
    }

    /// Current wall-clock time.
    pub fn wall(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime(since_epoch.as_secs())
    }
}

/// Time since the VM booted, including time in suspension.
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
