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
