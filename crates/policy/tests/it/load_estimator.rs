//! What one router makes of a server's reports.

use std::time::Duration;

use model::MonoTime;
use policy::{CallEnd, LoadEstimator, LoadReport};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn report(n_running: u32, n_waiting: u32, slowdown_percent: u32) -> LoadReport {
    LoadReport { n_running, n_waiting, slots: 4, slowdown_percent }
}

fn estimator(report: LoadReport) -> LoadEstimator {
    let mut estimator = LoadEstimator::new(4);
    estimator.note_report(report, at(0));
    estimator
}

#[test]
fn a_server_with_a_queue_is_expected_to_take_longer() {
    let idle = estimator(report(1, 0, 100)).expected_seconds(0.1, at(10));
    let full = estimator(report(4, 0, 100)).expected_seconds(0.1, at(10));
    let queued = estimator(report(4, 8, 100)).expected_seconds(0.1, at(10));
    assert!(idle < full && full < queued, "{idle} {full} {queued}");
    assert!(queued > 0.3, "eight wait for four slots: {queued}");
}

#[test]
fn a_busy_machine_is_expected_to_take_longer_while_the_report_is_fresh() {
    let usual = estimator(report(1, 0, 100));
    let busy = estimator(report(1, 0, 300));
    assert!(busy.expected_seconds(0.1, at(10)) > 2.0 * usual.expected_seconds(0.1, at(10)));
    assert!(busy.expected_seconds(0.1, at(900)) < 1.1 * usual.expected_seconds(0.1, at(900)));
}

#[test]
fn own_calls_since_the_report_count() {
    let mut estimator = estimator(report(3, 0, 100));
    let before = estimator.n_present(at(1));
    estimator.begin(at(1));
    estimator.begin(at(1));
    assert!(estimator.n_present(at(1)) > before + 1.5);
}

#[test]
fn failures_pause_longer_each_time_and_an_answer_ends_the_pause() {
    let mut estimator = LoadEstimator::new(4);
    estimator.finish(CallEnd::Failed, at(0));
    assert!(estimator.is_paused(at(50)) && !estimator.is_paused(at(150)));
    estimator.finish(CallEnd::Failed, at(200));
    assert!(estimator.is_paused(at(350)));
    estimator.finish(CallEnd::Answered(Duration::from_millis(80)), at(360));
    assert!(!estimator.is_paused(at(361)));
}

/// Soak seed 100: a router was frozen, or its server slow, until its calls seemed to take longer than
/// callers wait. It never sent there again, and refused all requests for the server's keys.
#[test]
fn a_server_that_seemed_too_slow_is_tried_again() {
    let mut estimator = LoadEstimator::new(4);
    let is_queue_too_long = |estimator: &LoadEstimator, now| {
        estimator.is_queue_too_long(
            Duration::from_millis(500),
            Duration::from_secs(2),
            0.05,
            at(now),
        )
    };
    for _ in 0..12 {
        estimator.begin(at(0));
        estimator.finish(CallEnd::Answered(Duration::from_secs(6)), at(6_000));
    }
    estimator.begin(at(6_000));
    estimator.finish(CallEnd::Answered(Duration::from_secs(6)), at(6_010));
    assert!(is_queue_too_long(&estimator, 6_020), "it would be answered too late");
    assert!(!is_queue_too_long(&estimator, 7_000), "only a request tells whether that is so still");
    estimator.begin(at(7_000));
    assert!(is_queue_too_long(&estimator, 7_010), "one request is enough to tell");
}

#[test]
fn a_full_queue_is_not_joined_however_long_nothing_was_sent() {
    let mut estimator = LoadEstimator::new(4);
    estimator.note_report(report(4, 16, 100), at(5_000));
    let (objective, left) = (Duration::from_millis(400), Duration::from_secs(1));
    assert!(estimator.is_queue_too_long(objective, left, 0.12, at(5_010)));
}
