//! Bounded queues, replayed against a burst.

use std::time::Duration;

use policy::queue_bound;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Replays three seconds of 1.7 times what 32 slots bear and ten calm ones after it, with 90 ms of work,
/// an objective of 300 ms and patience of 2 s; `bound` is the longest queue, in seconds, that is joined.
/// Returns how many were answered in time, and how many at all.
fn replay_burst(bound: f64) -> (u32, u32) {
    let mut slots = [0.0f64; 32];
    let (mut n_in_time, mut n_answered) = (0, 0);
    let mut now = 0.0;
    while now < 13.0 {
        let load = if now < 3.0 { 1.7 } else { 0.7 };
        now += 0.09 / (32.0 * load);
        let slot = slots.iter_mut().min_by(|a, b| a.total_cmp(b)).unwrap();
        if *slot - now > bound {
            continue;
        }
        *slot = slot.max(now) + 0.09;
        n_in_time += u32::from(*slot - now <= 0.3);
        n_answered += u32::from(*slot - now <= 2.0);
    }
    (n_in_time, n_answered)
}

#[test]
fn a_burst_makes_few_answers_late_when_the_queue_is_bounded_by_the_objective() {
    let (in_time, answered) = replay_burst(queue_bound(ms(300), ms(2_000), 0.09));
    let (in_time_before, answered_before) = replay_burst(2.0 - 0.09);
    assert!(f64::from(in_time) > 1.5 * f64::from(in_time_before), "{in_time} {in_time_before}");
    assert!(in_time > answered * 99 / 100, "all that are taken are answered in time");
    // The queue that is left of the burst is work that was taken on for late answers.
    assert!(answered > answered_before * 70 / 100, "{answered} {answered_before}");
}

#[test]
fn a_slow_server_is_kept_busy_though_its_answers_are_late() {
    let bound = queue_bound(ms(400), ms(1_500), 0.8);
    assert!((0.3..=0.5).contains(&bound), "{bound}");
}

#[test]
fn nothing_is_queued_that_could_not_be_answered_before_its_deadline() {
    assert!(queue_bound(ms(400), ms(200), 0.3) < 0.0);
    assert!(queue_bound(ms(400), ms(250), 0.1) <= 0.151);
}
