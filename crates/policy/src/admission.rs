//! Early refusal of requests that could not be answered in time.

use std::time::Duration;

use model::{MonoTime, NotRunReason};

use crate::ServerView;

/// Decides whether a request with `left` until its deadline may be sent to a server now.
///
/// `typical_seconds` replaces the server's average latency until it has answered a request.
///
/// # Errors
/// `ColdServer` when the warm-up allowance is used up or the server is lost; `DeadlinePassed` when no
/// time is left; `Overloaded` when the concurrency limit, which never exceeds the router's share of the
/// server's connections, is reached or the expected wait exceeds the time left.
pub fn admit(
    view: &ServerView,
    typical_seconds: f64,
    left: Duration,
    now: MonoTime,
) -> Result<(), NotRunReason> {
    match () {
        () if !view.has_room(now) => Err(NotRunReason::ColdServer),
        () if left.is_zero() => Err(NotRunReason::DeadlinePassed),
        () if !view.is_below_limit() => Err(NotRunReason::Overloaded),
        () if queue_seconds(view, typical_seconds) > left.as_secs_f64() => {
            Err(NotRunReason::Overloaded)
        }
        () => Ok(()),
    }
}

/// Estimated seconds until this router's open calls at the server have ended.
fn queue_seconds(view: &ServerView, typical_seconds: f64) -> f64 {
    let latency = view.latency().unwrap_or(typical_seconds);
    let rounds_ahead = view.n_open() as f64 / f64::from(view.slots().max(1));
    latency * rounds_ahead
}
