//! Refusing work early that could not be answered in time.

use std::time::Duration;

use model::{MonoTime, NotRunReason};

use crate::ServerView;

/// Whether a request with `left` until its deadline may be sent to a server now.
///
/// # Errors
/// `ColdServer` while the warm-up leaves no room; `Overloaded` when the limit on open calls, which
/// is at most the router's share of connections, is reached or the expected wait is longer than the
/// time left; `DeadlinePassed` when no time is left.
pub fn admit(
    view: &ServerView,
    typical: f64,
    left: Duration,
    now: MonoTime,
) -> Result<(), NotRunReason> {
    match () {
        () if !view.has_room(now) => Err(NotRunReason::ColdServer),
        () if left.is_zero() => Err(NotRunReason::DeadlinePassed),
        () if !view.is_below_limit() => Err(NotRunReason::Overloaded),
        () if queue_seconds(view, typical) > left.as_secs_f64() => Err(NotRunReason::Overloaded),
        () => Ok(()),
    }
}

/// Seconds that the calls ahead will take, judged by this router's own calls.
fn queue_seconds(view: &ServerView, typical: f64) -> f64 {
    let latency = view.latency().unwrap_or(typical);
    let n_ahead = view.n_open() as f64 / f64::from(view.slots().max(1));
    latency * n_ahead
}
