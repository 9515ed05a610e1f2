//! Delay before a refused caller should retry.
//!
//! Load pattern: servers that shed at random although the service has room, where an immediate retry
//! is likely to succeed; queues that need time to drain and servers and quotas that take nothing before
//! a known time, where it would be refused again.

use std::time::Duration;

use model::NotRunReason;

/// Delay for a service with room: about the round trip between caller and router.
const ROUND_TRIP_DELAY: Duration = Duration::from_millis(20);

/// Delay while the key has no owner.
const OWNER_CHANGE_DELAY: Duration = Duration::from_millis(200);

/// Delay while a service has no server, or only cold ones.
const SERVER_CHANGE_DELAY: Duration = Duration::from_millis(400);

/// Upper bound of the delay as a share of the time left to the deadline.
const MAX_TIME_LEFT_SHARE: f64 = 0.3;

/// Share of the estimated queueing time that a caller waits before its retry.
const QUEUE_DRAIN_SHARE: f64 = 0.5;

/// Delay before a caller that was refused for `reason` should retry.
///
/// `queue_time` is the estimated time in the shortest queue of the service, or the time for which the
/// server takes nothing or the quota has no room, and `left` the time to the request's deadline.
pub fn retry_delay(reason: NotRunReason, queue_time: Duration, left: Duration) -> Duration {
    let delay = match reason {
        // Sooner, the caller would be refused again.
        NotRunReason::QuotaUsedUp => return queue_time,
        // Another VM may send sooner, but would add to what the server has asked to be spared.
        NotRunReason::ServerPaused | NotRunReason::RateLimited => ROUND_TRIP_DELAY + queue_time,
        NotRunReason::Shed | NotRunReason::ConnectFailed | NotRunReason::Overloaded => {
            ROUND_TRIP_DELAY + queue_time.mul_f64(QUEUE_DRAIN_SHARE)
        }
        NotRunReason::NoOwner => OWNER_CHANGE_DELAY,
        NotRunReason::NoServer | NotRunReason::ColdServer => SERVER_CHANGE_DELAY,
        _ => ROUND_TRIP_DELAY,
    };
    delay.min(left.mul_f64(MAX_TIME_LEFT_SHARE))
}
