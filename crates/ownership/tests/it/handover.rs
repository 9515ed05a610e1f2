//! Simulated time for which a slice is unserved after a fault, which must not exceed one second.

use std::time::Duration;

use model::OwnerCheck;

use crate::sim::{DomainSim, STEP, SimFault};

/// Maximum time until every slice is served again after a fault.
const MAX_UNSERVED: Duration = Duration::from_millis(1_000);

/// Longest time for which some slice is not served by every router.
fn unserved_time(owner_check: OwnerCheck, seed: u64, faults: &[SimFault]) -> Duration {
    let mut sim = DomainSim::new(3, 3, owner_check, seed);
    sim.run(Duration::from_secs(3));
    for fault in faults {
        sim.inject(fault);
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

fn check(owner_check: OwnerCheck, faults: &[SimFault]) {
    for seed in 0..12 {
        let time = unserved_time(owner_check, seed, faults);
        assert!(time <= MAX_UNSERVED, "seed {seed}: {time:?}");
    }
}

#[test]
fn a_killed_server_is_replaced_within_a_second() {
    check(OwnerCheck::Token, &[SimFault::KillServer(1, 9_000)]);
    check(OwnerCheck::None, &[SimFault::KillServer(1, 9_000)]);
}

#[test]
fn a_frozen_server_is_replaced_within_a_second() {
    check(OwnerCheck::Token, &[SimFault::FreezeServer(1, 9_000)]);
    check(OwnerCheck::None, &[SimFault::FreezeServer(1, 9_000)]);
}

#[test]
fn a_drained_server_hands_over_within_a_second() {
    check(OwnerCheck::Token, &[SimFault::DrainServer(1)]);
    check(OwnerCheck::None, &[SimFault::DrainServer(1)]);
}

#[test]
fn a_killed_planner_interrupts_service_for_at_most_a_second() {
    check(OwnerCheck::Token, &[SimFault::KillPlanner(0)]);
}

#[test]
fn a_paused_planner_interrupts_service_for_at_most_a_second() {
    check(OwnerCheck::Token, &[SimFault::PausePlanner(0, 4_000)]);
}

#[test]
fn a_partitioned_planner_interrupts_service_for_at_most_a_second() {
    check(OwnerCheck::Token, &[SimFault::IsolatePlanner(0, 4_000)]);
}

#[test]
fn an_outage_of_the_store_does_not_interrupt_service() {
    for seed in 0..6 {
        assert_eq!(
            unserved_time(OwnerCheck::Token, seed, &[SimFault::StoreDown(5_000)]),
            Duration::ZERO
        );
    }
}

#[test]
fn a_server_lost_during_a_store_outage_is_replaced_within_a_second() {
    check(OwnerCheck::Token, &[SimFault::StoreDown(5_000), SimFault::KillServer(1, 9_000)]);
    check(OwnerCheck::Token, &[SimFault::StoreDown(5_000), SimFault::FreezeServer(1, 9_000)]);
}
