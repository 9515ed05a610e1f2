//! Load estimates from a server's reports and a router's own calls.

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
    assert!(queued > 0.3, "eight requests wait for four slots: {queued}");
}

#[test]
fn a_slowdown_counts_only_while_its_report_is_fresh() {
    let usual = estimator(report(1, 0, 100));
    let busy = estimator(report(1, 0, 300));
    assert!(busy.expected_seconds(0.1, at(10)) > 2.0 * usual.expected_seconds(0.1, at(10)));
    assert!(busy.expected_seconds(0.1, at(900)) < 1.1 * usual.expected_seconds(0.1, at(900)));
}

#[test]
fn own_calls_since_the_report_are_added() {
    let mut estimator = estimator(report(3, 0, 100));
    let before = estimator.n_outstanding(at(1));
    estimator.begin(at(1));
    estimator.begin(at(1));
    assert!(estimator.n_outstanding(at(1)) > before + 1.5);
}

#[test]
fn backoff_grows_with_each_failure_and_ends_with_an_answer() {
    let mut estimator = LoadEstimator::new(4);
    estimator.finish(CallEnd::Failed, at(0));
    assert!(estimator.is_paused(at(50)) && !estimator.is_paused(at(150)));
    estimator.finish(CallEnd::Failed, at(200));
    assert!(estimator.is_paused(at(350)));
    estimator.finish(CallEnd::Answered(Duration::from_millis(80)), at(360));
    assert!(!estimator.is_paused(at(361)));
}

/// Guards against a router that never sends to a server again: after the router was frozen, or the
/// server slow (seed 100 of the soak test), the measured work time exceeded the callers' timeout, and
/// the router refused all requests for the server's keys.
#[test]
fn a_server_that_seems_too_slow_is_probed() {
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
    assert!(is_queue_too_long(&estimator, 6_020), "the answer would be too late");
    assert!(
        !is_queue_too_long(&estimator, 7_000),
        "only a probe shows whether the server is still slow"
    );
    estimator.begin(at(7_000));
    assert!(is_queue_too_long(&estimator, 7_010), "one probe is enough");
}

/// Guards against a router that never sends to a service again: the first answers were late (seed 2026
/// of the soak test, a link that stalled), so that the service's mean time, too, exceeded the callers'
/// timeouts.
#[test]
fn a_server_is_probed_although_its_service_seems_too_slow() {
    let (objective, left) = (Duration::from_millis(500), Duration::from_secs(2));
    for slots in [1, 4] {
        let mut estimator = LoadEstimator::new(slots);
        estimator.begin(at(0));
        estimator.finish(CallEnd::Answered(Duration::from_millis(2_100)), at(2_100));
        assert!(!estimator.is_queue_too_long(objective, left, 2.1, at(2_110)), "{slots} slots");
        estimator.begin(at(2_110));
        assert!(estimator.is_queue_too_long(objective, left, 2.1, at(2_120)), "one is enough");
    }
}

/// Guards against probes that join a queue which is known to be too long.
#[test]
fn a_full_queue_is_refused_although_its_service_seems_too_slow() {
    let mut estimator = LoadEstimator::new(4);
    estimator.note_report(report(4, 16, 100), at(5_000));
    let (objective, left) = (Duration::from_millis(400), Duration::from_secs(1));
    assert!(estimator.is_queue_too_long(objective, left, 2.1, at(5_010)));
}

#[test]
fn a_full_queue_is_refused_even_when_a_probe_is_due() {
    let mut estimator = LoadEstimator::new(4);
    estimator.note_report(report(4, 16, 100), at(5_000));
    let (objective, left) = (Duration::from_millis(400), Duration::from_secs(1));
    assert!(estimator.is_queue_too_long(objective, left, 0.12, at(5_010)));
}
