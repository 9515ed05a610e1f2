//! The log of a process, written to standard error.

use std::io;

use slog::{Drain, Level, LevelFilter, Logger, Record, o};
use slog_async::{Async, AsyncGuard};
use slog_logfmt::Logfmt;

/// Capacity of the queue of unwritten log lines; when it is full, lines are dropped and counted.
const LOG_QUEUE_LINES: usize = 4_096;

/// Flushes the queued log lines when dropped.
pub struct LogGuard(#[allow(dead_code)] AsyncGuard);

/// Creates the logger of `process` on the VM `vm`, which logs `level` and above. Lines are written
/// in the background until the guard is dropped.
pub fn start_log(process: &'static str, vm: &str, level: Level) -> (Logger, LogGuard) {
    let format = Logfmt::new(io::stderr()).set_prefix(write_prefix).build().fuse();
    let (drain, guard) = Async::new(format).chan_size(LOG_QUEUE_LINES).build_with_guard();
    let drain = LevelFilter::new(drain.fuse(), level).fuse();
    let log = Logger::root(drain, o!("process" => process, "vm" => vm.to_owned()));
    (log, LogGuard(guard))
}

fn write_prefix(out: &mut dyn io::Write, record: &Record<'_>) -> slog::Result {
    let since_epoch =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let level = record.level().as_str().to_lowercase();
    write!(out, "ts={:.3} level={level} event={} ", since_epoch.as_secs_f64(), record.msg())?;
    Ok(())
}
