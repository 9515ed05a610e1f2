//! When a refused caller should come back.
//!
//! Load pattern: servers that refuse at random while the service has room, where an immediate return
//! is likely to succeed, against queues that take time to drain, where it would only be refused again.

use std::time::Duration;

use model::NotRunReason;

/// Return when there is room: only the way there and back is waited for.
const AT_ONCE: Duration = Duration::from_millis(20);

/// Return when keys change their owner.
const OWNER_CHANGE: Duration = Duration::from_millis(200);

/// Return when a cold server or none is there.
const SERVER_CHANGE: Duration = Duration::from_millis(400);

/// Part of the time left after which a caller returns at the latest.
const MAX_SHARE: f64 = 0.3;

/// Parts of the estimated queue that drain before a caller returns.
const DRAIN_SHARE: f64 = 0.5;

/// When a caller that was refused for `reason` should return, with `left` until its deadline and
/// `queue` as the estimated time in the shortest queue of the service.
pub fn retry_delay(reason: NotRunReason, queue: Duration, left: Duration) -> Duration {
    let wanted = match reason {
        NotRunReason::Shed | NotRunReason::ConnectFailed | NotRunReason::Overloaded => {
            AT_ONCE + queue.mul_f64(DRAIN_SHARE)
        }
        NotRunReason::NoOwner => OWNER_CHANGE,
        NotRunReason::NoServer | NotRunReason::ColdServer => SERVER_CHANGE,
        _ => AT_ONCE,
    };
    wanted.min(left.mul_f64(MAX_SHARE))
}
