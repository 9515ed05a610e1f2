//! Bound on the queue that a request may join.
//!
//! Load pattern: for some seconds, more requests arrive than a service or a key's owner can handle. If
//! only the deadline bounds the queue, every answer is late, even long after the burst. If the latency
//! objective bounds it, as many requests are answered, in time, and the others are refused at once.

use std::time::Duration;

/// Share of the work time that a request may always wait, so that slow servers stay busy.
const MIN_WORK_SHARE: f64 = 0.5;

/// Longest estimated time in the queue, in seconds, that a request may accept at a server.
///
/// `objective` is the time in which the request should be answered, `left` the time to its deadline,
/// and `work_seconds` the server's work time for one request. The bound is negative for a request that
/// would miss its deadline without any queue.
pub fn queue_bound(objective: Duration, left: Duration, work_seconds: f64) -> f64 {
    let objective_slack = objective.as_secs_f64() - work_seconds;
    let deadline_slack = left.as_secs_f64() - work_seconds;
    objective_slack.max(work_seconds * MIN_WORK_SHARE).min(deadline_slack)
}

/// Share of its own queueing time that a request finds left by those of lower rank.
const ROOM_SHARE: f64 = 0.5;

/// The objective by which a request joins a queue that requests of a higher rank use as well: the queue
/// must leave half of the time for which the most urgent of those, with the objective `higher`, may wait.
///
/// Load pattern: payments and page views share servers with two slots and a queue. While there is too
/// little room, page views fill the queue, and payments are late or lost although there are few of them.
/// Servers take requests in the order of their arrival, so the room has to be kept free beforehand; they
/// stay nearly as busy with a shorter queue.
pub fn objective_below(higher: Duration, work_seconds: f64) -> Duration {
    let slack = (higher.as_secs_f64() - work_seconds).max(0.0);
    Duration::try_from_secs_f64(work_seconds + slack * ROOM_SHARE).unwrap_or(higher)
}
