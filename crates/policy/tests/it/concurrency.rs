//! The limit on open calls settles where calls are answered in time.

use policy::{CallTiming, ConcurrencyLimit};

use crate::at;

#[test]
fn misses_lower_the_limit_once_per_decrease_interval() {
    let mut limit = ConcurrencyLimit::new(10);
    for ms in 0..50 {
        limit.record(CallTiming::Missed, at(ms));
    }
    assert_eq!(limit.value(), 8);
    limit.record(CallTiming::Missed, at(200));
    assert_eq!(limit.value(), 6);
}

#[test]
fn at_least_one_call_may_always_be_open() {
    let mut limit = ConcurrencyLimit::new(10);
    for ms in 0..100 {
        limit.record(CallTiming::Missed, at(ms * 200));
    }
    assert_eq!(limit.value(), 1);
}

#[test]
fn early_answers_raise_the_limit_to_its_maximum() {
    let mut limit = ConcurrencyLimit::new(6);
    for ms in 0..20 {
        limit.record(CallTiming::Missed, at(ms * 200));
    }
    for ms in 0..100 {
        limit.record(CallTiming::Answered(10), at(5_000 + ms));
    }
    assert_eq!(limit.value(), 6);
}

#[test]
fn late_answers_count_like_misses() {
    let mut limit = ConcurrencyLimit::new(10);
    limit.record(CallTiming::Answered(50), at(0));
    assert_eq!(limit.value(), 10);
    limit.record(CallTiming::Answered(90), at(0));
    assert_eq!(limit.value(), 8);
}

/// Eleven routers that always fill their limits share one server with 4 slots and 40 ms of work.
#[test]
fn saturating_routers_settle_where_the_queue_meets_the_deadline() {
    const SLOTS: f64 = 4.0;
    const SERVICE_MS: f64 = 40.0;
    const ALLOWED_MS: f64 = 400.0;
    let mut limits = vec![ConcurrencyLimit::new(12); 11];
    let mut n_in_time = 0;
    for round in 0..200u64 {
        let n_open: usize = limits.iter().map(ConcurrencyLimit::value).sum();
        let wait_ms = (n_open as f64 / SLOTS).max(1.0) * SERVICE_MS;
        let timing = match wait_ms < ALLOWED_MS {
            true => CallTiming::Answered((wait_ms / ALLOWED_MS * 100.0) as u32),
            false => CallTiming::Missed,
        };
        n_in_time += u32::from(wait_ms < ALLOWED_MS && round >= 50);
        for limit in &mut limits {
            limit.record(timing, at(round * 120));
        }
    }
    assert!(n_in_time >= 148, "{n_in_time} of 150 rounds in time");
}
