//! How long a slice is not served, in simulated time, against the stated second.

use std::time::Duration;

use model::OwnerCheck;

use crate::sim::{STEP, Sim, Trouble};

/// Stated longest time until a key is served again after a loss.
const STATED: Duration = Duration::from_millis(1_000);

/// Longest run of steps in which some slice is not served by every router that runs.
fn unserved_time(check: OwnerCheck, seed: u64, troubles: &[Trouble]) -> Duration {
    let mut sim = Sim::new(3, 3, check, seed);
    sim.run(Duration::from_secs(3));
    for trouble in troubles {
        sim.cause(trouble);
    }
    let (mut longest, mut current) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..1_000 {
        sim.run(STEP);
        current = if sim.unserved() > 0 { current + STEP } else { Duration::ZERO };
        longest = longest.max(current);
    }
    assert!(sim.violations.is_empty(), "{:?}", sim.violations);
    longest
}

fn check(check: OwnerCheck, troubles: &[Trouble]) {
    for seed in 0..12 {
        let time = unserved_time(check, seed, troubles);
        assert!(time <= STATED, "seed {seed}: {time:?}");
    }
}

#[test]
fn a_killed_server_is_replaced_within_a_second() {
    check(OwnerCheck::Token, &[Trouble::KillServer(1, 9_000)]);
    check(OwnerCheck::None, &[Trouble::KillServer(1, 9_000)]);
}

#[test]
fn a_frozen_server_is_replaced_within_a_second() {
    check(OwnerCheck::Token, &[Trouble::FreezeServer(1, 9_000)]);
    check(OwnerCheck::None, &[Trouble::FreezeServer(1, 9_000)]);
}

#[test]
fn a_drained_server_hands_over_within_a_second() {
    check(OwnerCheck::Token, &[Trouble::DrainServer(1)]);
    check(OwnerCheck::None, &[Trouble::DrainServer(1)]);
}

#[test]
fn the_loss_of_a_planner_stops_nothing_for_a_second() {
    check(OwnerCheck::Token, &[Trouble::KillPlanner(0)]);
}

#[test]
fn a_paused_planner_stops_nothing_for_a_second() {
    check(OwnerCheck::Token, &[Trouble::PausePlanner(0, 4_000)]);
}

#[test]
fn a_planner_that_is_cut_off_stops_nothing_for_a_second() {
    check(OwnerCheck::Token, &[Trouble::CutPlanner(0, 4_000)]);
}

#[test]
fn the_loss_of_the_store_stops_nothing() {
    for seed in 0..6 {
        assert_eq!(
            unserved_time(OwnerCheck::Token, seed, &[Trouble::StoreDown(5_000)]),
            Duration::ZERO
        );
    }
}

#[test]
fn a_server_lost_with_the_store_is_replaced_within_a_second() {
    check(OwnerCheck::Token, &[Trouble::StoreDown(5_000), Trouble::KillServer(1, 9_000)]);
    check(OwnerCheck::Token, &[Trouble::StoreDown(5_000), Trouble::FreezeServer(1, 9_000)]);
}
