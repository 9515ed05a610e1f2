//! The limit on open calls settles where calls end in time.

use policy::{CallPace, ConcurrencyLimit};

use crate::at;

#[test]
fn misses_lower_the_limit_once_for_each_full_queue() {
    let mut limit = ConcurrencyLimit::new(10);
    for ms in 0..50 {
        limit.note(CallPace::Missed, at(ms));
    }
    assert_eq!(limit.value(), 8);
    limit.note(CallPace::Missed, at(200));
    assert_eq!(limit.value(), 6);
}

#[test]
fn at_least_one_call_may_always_be_open() {
    let mut limit = ConcurrencyLimit::new(10);
    for ms in 0..100 {
        limit.note(CallPace::Missed, at(ms * 200));
    }
    assert_eq!(limit.value(), 1);
}

#[test]
fn early_answers_raise_the_limit_to_its_bound() {
    let mut limit = ConcurrencyLimit::new(6);
    for ms in 0..20 {
        limit.note(CallPace::Missed, at(ms * 200));
    }
    for ms in 0..100 {
        limit.note(CallPace::Answered(10), at(5_000 + ms));
    }
    assert_eq!(limit.value(), 6);
}

#[test]
fn late_answers_count_like_misses() {
    let mut limit = ConcurrencyLimit::new(10);
    limit.note(CallPace::Answered(50), at(0));
    assert_eq!(limit.value(), 10);
    limit.note(CallPace::Answered(90), at(0));
    assert_eq!(limit.value(), 8);
}

/// Eleven routers at one server of 4 slots and 40 ms, each of which would always send more.
#[test]
fn greedy_routers_settle_where_the_queue_ends_in_time() {
    const SLOTS: f64 = 4.0;
    const SERVICE_MS: f64 = 40.0;
    const ALLOWED_MS: f64 = 400.0;
    let mut limits = vec![ConcurrencyLimit::new(12); 11];
    let mut in_time = 0;
    for round in 0..200u64 {
        let n_open: usize = limits.iter().map(ConcurrencyLimit::value).sum();
        let wait_ms = (n_open as f64 / SLOTS).max(1.0) * SERVICE_MS;
        let pace = match wait_ms < ALLOWED_MS {
            true => CallPace::Answered((wait_ms / ALLOWED_MS * 100.0) as u32),
            false => CallPace::Missed,
        };
        in_time += u32::from(wait_ms < ALLOWED_MS && round >= 50);
        for limit in &mut limits {
            limit.note(pace, at(round * 120));
        }
    }
    assert!(in_time >= 148, "{in_time} of 150 rounds in time");
}
