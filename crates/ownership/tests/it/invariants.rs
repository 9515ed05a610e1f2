//! A slice has at most one owner at any time, for random faults and orders of delivery.

use std::time::Duration;

use model::OwnerCheck;
use proptest::prelude::*;

use crate::sim::{DomainSim, STEP, SimFault};

/// Time after the last fault within which every slice must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

fn fault() -> impl Strategy<Value = SimFault> {
    let vm = 0..4usize;
    let server = 0..3usize;
    let ms = 50..1_500u64;
    prop_oneof![
        (vm.clone(), ms.clone()).prop_map(|(a, b)| SimFault::PausePlanner(a, b)),
        vm.clone().prop_map(SimFault::KillPlanner),
        (vm.clone(), ms.clone()).prop_map(|(a, b)| SimFault::IsolatePlanner(a, b)),
        (vm.clone(), ms.clone()).prop_map(|(a, b)| SimFault::IsolateVm(a, b)),
        (vm, ms.clone()).prop_map(|(a, b)| SimFault::PauseRouter(a, b)),
        (server.clone(), ms.clone()).prop_map(|(a, b)| SimFault::FreezeServer(a, b)),
        (server.clone(), ms.clone()).prop_map(|(a, b)| SimFault::KillServer(a, b)),
        server.clone().prop_map(SimFault::DrainServer),
        server.prop_map(SimFault::ReturnServer),
        ms.prop_map(SimFault::StoreDown),
        (1..4u32).prop_map(SimFault::LoseReplies),
    ]
}

fn check(owner_check: OwnerCheck, n_vms: usize, seed: u64, faults: &[(u64, SimFault)]) {
    let mut sim = DomainSim::new(n_vms, 3, owner_check, seed);
    sim.run(Duration::from_secs(3));
    assert!(is_soon_served(&mut sim), "not served at the start\n{}", sim.log);
    for (pause, fault) in faults {
        sim.inject(fault);
        sim.run(Duration::from_millis(*pause));
    }
    sim.run(RECOVERY_TIME);
    let is_served = is_soon_served(&mut sim);
    assert!(sim.violations.is_empty(), "{:#?}\n{}", &sim.violations[..1], sim.log);
    assert!(is_served, "not served after healing\n{}", sim.log);
}

/// Whether all slices are served at some time within the next second. At any single instant a
/// planned move may be in progress.
fn is_soon_served(sim: &mut DomainSim) -> bool {
    for _ in 0..200 {
        if sim.unserved() == 0 {
            return true;
        }
        sim.run(STEP);
    }
    sim.unserved() == 0
}

/// Default number of cases and seed; the environment overrides them for longer runs.
fn config() -> ProptestConfig {
    let from_env = |name: &str| std::env::var(name).ok().and_then(|it| it.parse::<u64>().ok());
    let seed = from_env("JACKDAW_SEED").unwrap_or(20_261_204);
    ProptestConfig {
        cases: from_env("JACKDAW_CASES").unwrap_or(48) as u32,
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn one_owner_among_servers_that_check_tokens(
        seed in 0..u64::MAX,
        n_vms in 1..5usize,
        faults in prop::collection::vec((0..600u64, fault()), 1..7),
    ) {
        check(OwnerCheck::Token, n_vms, seed, &faults);
    }

    #[test]
    fn one_owner_among_servers_that_do_not_check(
        seed in 0..u64::MAX,
        n_vms in 1..5usize,
        faults in prop::collection::vec((0..600u64, fault()), 1..7),
    ) {
        check(OwnerCheck::None, n_vms, seed, &faults);
    }
}

/// Cases that the random tests found, each named after the property that was violated.
mod regressions {
    use super::*;

    #[test]
    fn a_planner_acts_after_one_of_two_vms_restarts() {
        check(OwnerCheck::None, 2, 8_138_930_232, &[(0, SimFault::KillPlanner(1))]);
    }

    #[test]
    fn requests_to_a_server_that_restarts_at_once_are_waited_for() {
        let faults = [(0, SimFault::KillServer(2, 50))];
        check(OwnerCheck::None, 3, 3_751_849_001_754_716_644, &faults);
    }

    #[test]
    fn a_new_planner_grants_no_moving_slice_to_its_earlier_owner() {
        let faults = [
            (56, SimFault::IsolatePlanner(0, 71)),
            (26, SimFault::DrainServer(0)),
            (116, SimFault::DrainServer(0)),
            (106, SimFault::KillServer(0, 61)),
            (300, SimFault::PausePlanner(3, 291)),
        ];
        check(OwnerCheck::Token, 3, 11_503_118_875_834_996_101, &faults);
    }

    #[test]
    fn tokens_do_not_fall_when_an_unsaved_change_is_lost_with_its_only_holder() {
        let faults = [
            (236, SimFault::FreezeServer(0, 331)),
            (496, SimFault::IsolateVm(0, 341)),
            (0, SimFault::KillPlanner(0)),
        ];
        check(OwnerCheck::Token, 1, 30_365_327_232_494_009, &faults);
        check(OwnerCheck::None, 1, 30_365_327_232_494_009, &faults);
    }

    #[test]
    fn two_candidates_do_not_refuse_each_other_forever() {
        let faults = [
            (296, SimFault::IsolatePlanner(0, 626)),
            (361, SimFault::PausePlanner(0, 50)),
            (0, SimFault::PausePlanner(1, 856)),
        ];
        check(OwnerCheck::Token, 2, 8_647_877_920_785_287_436, &faults);
        check(OwnerCheck::None, 2, 8_647_877_920_785_287_436, &faults);
    }
}

#[test]
fn a_partitioned_planner_grants_no_lease_beyond_its_authority() {
    for seed in 0..24 {
        let faults = [(600, SimFault::IsolateVm(0, 3_000)), (10, SimFault::KillServer(1, 9_000))];
        check(OwnerCheck::Token, 3, seed, &faults);
        check(OwnerCheck::None, 3, seed, &faults);
    }
}

/// A server is drained or fails just when a new planner has taken over, while the old one still grants leases
/// to the router on its own VM.
#[test]
fn a_new_planner_waits_for_the_leases_of_a_partitioned_one() {
    for (seed, pause) in (0..4).flat_map(|it| (320..560).step_by(40).map(move |ms| (it, ms))) {
        let isolate = (pause, SimFault::IsolateVm(0, 3_000));
        for fault in [SimFault::DrainServer(1), SimFault::KillServer(1, 500)] {
            check(OwnerCheck::Token, 3, seed, &[isolate.clone(), (10, fault.clone())]);
            check(OwnerCheck::None, 3, seed, &[isolate.clone(), (10, fault)]);
        }
    }
}

/// A server is drained while a router that sends to it is cut off: its lease is waited for, and then
/// the deadlines of what it sent.
#[test]
fn the_requests_of_a_partitioned_router_are_waited_for() {
    for seed in 0..12 {
        let faults = [(20, SimFault::IsolateVm(1, 3_000)), (10, SimFault::DrainServer(1))];
        check(OwnerCheck::None, 3, seed, &faults);
    }
}

/// A drain is adopted while the store is down, and all VMs that know of it are replaced.
#[test]
fn tokens_do_not_fall_when_all_holders_of_an_unsaved_change_are_lost() {
    for seed in 0..8 {
        let faults = [
            (10, SimFault::StoreDown(1_000)),
            (700, SimFault::DrainServer(1)),
            (0, SimFault::KillPlanner(0)),
            (0, SimFault::KillPlanner(1)),
            (0, SimFault::KillPlanner(2)),
            (10, SimFault::ReturnServer(1)),
        ];
        check(OwnerCheck::Token, 3, seed, &faults);
    }
}
