//! All routers together keep to a cold server's limit.

use std::time::Duration;

use policy::{CallResult, ColdProfile, RouterShare, ServerView, WarmupState};
use proptest::prelude::*;

use crate::{ALLOWED, at, profile};

fn total_allowance(profile: ColdProfile, n_routers: u32, age_ms: u64) -> u32 {
    let state = WarmupState::Warming { since: at(0) };
    (0..n_routers)
        .filter_map(|rank| state.allowance(profile, RouterShare { rank, n_routers }, at(age_ms)))
        .sum()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn shares_add_up_to_the_total(total in 0..500u32, n_routers in 1..40u32) {
        let sum: u32 = (0..n_routers).map(|rank| RouterShare { rank, n_routers }.of(total)).sum();
        prop_assert_eq!(sum, total);
    }

    #[test]
    fn a_cold_server_gets_exactly_its_cold_slots(
        cold_slots in 1..5u32,
        n_routers in 1..40u32,
        age_ms in 0..2_000u64,
    ) {
        let profile = ColdProfile { cold_slots, slots: 8, warm_after: Duration::from_secs(2) };
        prop_assert_eq!(total_allowance(profile, n_routers, age_ms), cold_slots);
    }

    #[test]
    fn the_ramp_never_exceeds_the_warm_slots(n_routers in 1..40u32, age_ms in 2_000..4_000u64) {
        let profile = ColdProfile { cold_slots: 1, slots: 8, warm_after: Duration::from_secs(2) };
        let sum = total_allowance(profile, n_routers, age_ms);
        prop_assert!((1..=8).contains(&sum), "{}", sum);
    }
}

#[test]
fn a_server_that_refused_gets_nothing_until_a_probe_reaches_it() {
    let mut view = ServerView::new(profile());
    let call = view.begin(ALLOWED, at(0));
    view.finish(call, CallResult::Refused, None, at(1));
    assert!(view.is_lost());
    assert!(!view.has_room(at(60_000)));
    view.note_alive(at(60_000));
    assert!(view.has_room(at(60_001)));
}

#[test]
fn a_returned_server_is_limited_to_its_cold_slots_and_then_warms_up() {
    let mut view = ServerView::new(profile());
    let call = view.begin(ALLOWED, at(0));
    view.finish(call, CallResult::Failed, None, at(1));
    view.note_alive(at(10));
    view.begin(ALLOWED, at(20));
    assert!(!view.has_room(at(1_000)));
    assert!(view.has_room(at(3_900)));
}

#[test]
fn a_warm_server_that_reports_being_cold_is_limited_at_once() {
    let mut view = ServerView::new(profile());
    let calls =
        [view.begin(ALLOWED, at(0)), view.begin(ALLOWED, at(0)), view.begin(ALLOWED, at(0))];
    assert!(view.has_room(at(1)));
    view.finish(calls[0], CallResult::Cold, None, at(2));
    assert!(!view.has_room(at(2)));
}
