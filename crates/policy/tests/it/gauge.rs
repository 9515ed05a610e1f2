//! What one router makes of a server's reports.

use std::time::Duration;

use model::MonoTime;
use policy::{CallEnd, LoadReport, ServerGauge};

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn report(n_running: u32, n_waiting: u32, pace_percent: u32) -> LoadReport {
    LoadReport { n_running, n_waiting, slots: 4, pace_percent }
}

fn gauge(report: LoadReport) -> ServerGauge {
    let mut gauge = ServerGauge::new(4);
    gauge.note_report(report, at(0));
    gauge
}

#[test]
fn a_server_with_a_queue_is_expected_to_take_longer() {
    let idle = gauge(report(1, 0, 100)).expected_seconds(0.1, at(10));
    let full = gauge(report(4, 0, 100)).expected_seconds(0.1, at(10));
    let queued = gauge(report(4, 8, 100)).expected_seconds(0.1, at(10));
    assert!(idle < full && full < queued, "{idle} {full} {queued}");
    assert!(queued > 0.3, "eight wait for four slots: {queued}");
}

#[test]
fn a_busy_machine_is_expected_to_take_longer_while_the_report_is_fresh() {
    let usual = gauge(report(1, 0, 100));
    let busy = gauge(report(1, 0, 300));
    assert!(busy.expected_seconds(0.1, at(10)) > 2.0 * usual.expected_seconds(0.1, at(10)));
    assert!(busy.expected_seconds(0.1, at(900)) < 1.1 * usual.expected_seconds(0.1, at(900)));
}

#[test]
fn own_calls_since_the_report_count() {
    let mut gauge = gauge(report(3, 0, 100));
    let before = gauge.n_present(at(1));
    gauge.begin(at(1));
    gauge.begin(at(1));
    assert!(gauge.n_present(at(1)) > before + 1.5);
}

#[test]
fn failures_pause_longer_each_time_and_an_answer_ends_the_pause() {
    let mut gauge = ServerGauge::new(4);
    gauge.finish(CallEnd::Failed, at(0));
    assert!(gauge.is_paused(at(50)) && !gauge.is_paused(at(150)));
    gauge.finish(CallEnd::Failed, at(200));
    assert!(gauge.is_paused(at(350)));
    gauge.finish(CallEnd::Answered(Duration::from_millis(80)), at(360));
    assert!(!gauge.is_paused(at(361)));
}

/// Soak seed 100: a router was frozen, or its server slow, until its calls seemed to take longer than
/// callers wait. It never sent there again, and refused all requests for the server's keys.
#[test]
fn a_server_that_seemed_too_slow_is_tried_again() {
    let mut gauge = ServerGauge::new(4);
    let is_overlong = |gauge: &ServerGauge, now| {
        gauge.is_overlong(Duration::from_millis(500), Duration::from_secs(2), 0.05, at(now))
    };
    for _ in 0..12 {
        gauge.begin(at(0));
        gauge.finish(CallEnd::Answered(Duration::from_secs(6)), at(6_000));
    }
    gauge.begin(at(6_000));
    gauge.finish(CallEnd::Answered(Duration::from_secs(6)), at(6_010));
    assert!(is_overlong(&gauge, 6_020), "it would be answered too late");
    assert!(!is_overlong(&gauge, 7_000), "only a request tells whether that is so still");
    gauge.begin(at(7_000));
    assert!(is_overlong(&gauge, 7_010), "one request is enough to tell");
}

#[test]
fn a_full_queue_is_not_joined_however_long_nothing_was_sent() {
    let mut gauge = ServerGauge::new(4);
    gauge.note_report(report(4, 16, 100), at(5_000));
    let (objective, left) = (Duration::from_millis(400), Duration::from_secs(1));
    assert!(gauge.is_overlong(objective, left, 0.12, at(5_010)));
}
