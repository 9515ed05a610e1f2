//! How long a queue a request may join.
//!
//! Load pattern: more arrivals than a service or a key's owner bears for some seconds. In a queue that
//! is bounded by the callers' patience alone every answer comes late, also long after the burst; in
//! one that is bounded by the objective as many are answered, in time, and the others are refused at
//! once.

use std::time::Duration;

/// Part of a server's usual work time that may always be waited, so that slow servers stay busy.
const LEAST_SHARE: f64 = 0.5;

/// Longest estimated time in the queue, in seconds, that a request with `objective` for its answer and
/// `left` until its deadline joins at a server that works `work` seconds on each.
pub fn queue_bound(objective: Duration, left: Duration, work: f64) -> f64 {
    let in_time = objective.as_secs_f64() - work;
    let in_vain = left.as_secs_f64() - work;
    in_time.max(work * LEAST_SHARE).min(in_vain)
}
