//! Bounds on queues, simulated with a burst of requests.

use std::time::Duration;

use policy::queue_bound;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Simulates 32 slots for three seconds at 1.7 times their capacity and ten seconds at 0.7 times it,
/// with 90 ms of work, an objective of 300 ms and a deadline of 2 s. Requests join queues of up to
/// `bound_seconds`. Returns how many were answered within the objective, and how many before the
/// deadline.
fn replay_burst(bound_seconds: f64) -> (u32, u32) {
    let mut slots = [0.0f64; 32];
    let (mut n_in_time, mut n_answered) = (0, 0);
    let mut now = 0.0;
    while now < 13.0 {
        let load = if now < 3.0 { 1.7 } else { 0.7 };
        now += 0.09 / (32.0 * load);
        let slot = slots.iter_mut().min_by(|a, b| a.total_cmp(b)).unwrap();
        if *slot - now > bound_seconds {
            continue;
        }
        *slot = slot.max(now) + 0.09;
        n_in_time += u32::from(*slot - now <= 0.3);
        n_answered += u32::from(*slot - now <= 2.0);
    }
    (n_in_time, n_answered)
}

#[test]
fn the_objective_bound_keeps_answers_in_time_in_a_burst() {
    let (n_in_time, n_answered) = replay_burst(queue_bound(ms(300), ms(2_000), 0.09));
    let (n_in_time_by_deadline, n_answered_by_deadline) = replay_burst(2.0 - 0.09);
    assert!(
        f64::from(n_in_time) > 1.5 * f64::from(n_in_time_by_deadline),
        "{n_in_time} {n_in_time_by_deadline}"
    );
    assert!(n_in_time > n_answered * 99 / 100, "nearly all accepted requests are answered in time");
    // The bound by the deadline accepts more requests, but answers them late after the burst.
    assert!(
        n_answered > n_answered_by_deadline * 70 / 100,
        "{n_answered} {n_answered_by_deadline}"
    );
}

#[test]
fn a_server_slower_than_the_objective_is_kept_busy() {
    let bound_seconds = queue_bound(ms(400), ms(1_500), 0.8);
    assert!((0.3..=0.5).contains(&bound_seconds), "{bound_seconds}");
}

#[test]
fn requests_that_would_miss_their_deadline_are_not_queued() {
    assert!(queue_bound(ms(400), ms(200), 0.3) < 0.0);
    assert!(queue_bound(ms(400), ms(250), 0.1) <= 0.151);
}
