//! Golden logs of whole simulations: each fault, change of role and committed map, with its time.
//!
//! Times are in milliseconds since the start. `vm0 map=1.2 s0,s1` is a map that vm0 committed in
//! term 1 as version 2, followed by the owner of each slice.

use std::time::Duration;

use expect_test::{Expect, expect};
use model::OwnerCheck;

use crate::sim::{DomainSim, SimFault};

fn check(faults: &[(u64, SimFault)], expect: Expect) {
    let mut sim = DomainSim::new(3, 3, OwnerCheck::Token, 11);
    sim.run(Duration::from_secs(3));
    for (pause, fault) in faults {
        sim.inject(fault);
        sim.run(Duration::from_millis(*pause));
    }
    sim.run(Duration::from_secs(3));
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.unserved(), 0);
    expect.assert_eq(&sim.log);
}

#[test]
fn no_fault_occurs() {
    check(
        &[],
        expect![[r#"
            855 vm0 acting term=1
            870 vm0 map=1.1 
            930 vm0 map=1.2 s0,s1,s2,s0
        "#]],
    );
}

#[test]
fn a_server_is_killed() {
    check(
        &[(1_500, SimFault::KillServer(1, 1_000))],
        expect![[r#"
            855 vm0 acting term=1
            870 vm0 map=1.1 
            930 vm0 map=1.2 s0,s1,s2,s0
            3000 KillServer(1, 1000)
            3065 vm0 map=1.3 s0,s2,s2,s0
            6025 vm0 map=1.4 s0,s1,s2,s0
        "#]],
    );
}

#[test]
fn a_server_freezes_and_resumes() {
    check(
        &[(3_000, SimFault::FreezeServer(0, 1_500))],
        expect![[r#"
            855 vm0 acting term=1
            870 vm0 map=1.1 
            930 vm0 map=1.2 s0,s1,s2,s0
            3000 FreezeServer(0, 1500)
            3375 vm0 map=1.3 s1,s1,s2,s2
            6025 vm0 map=1.4 s1,s1,s0,s2
        "#]],
    );
}

/// The paused planner resumes with its old state, as if nothing had happened.
#[test]
fn the_planner_is_paused_and_resumes() {
    check(
        &[(3_000, SimFault::PausePlanner(0, 2_000))],
        expect![[r#"
            855 vm0 acting term=1
            870 vm0 map=1.1 
            930 vm0 map=1.2 s0,s1,s2,s0
            3000 PausePlanner(0, 2000)
            3300 vm1 electing term=2
            3300 vm2 electing term=2
            3310 vm2 following term=2
            3445 vm1 following term=2
            3680 vm2 electing term=3
            3695 vm2 acting term=3
            3700 vm1 electing term=4
            3715 vm2 electing term=5
            3730 vm2 acting term=5
            3750 vm2 map=5.4 s0,s1,s2,s0
            4100 vm1 following term=5
            5010 vm0 electing term=6
            5420 vm0 following term=5
        "#]],
    );
}

#[test]
fn the_planner_is_killed_while_the_store_is_down() {
    let faults = [(10, SimFault::StoreDown(3_000)), (3_000, SimFault::KillPlanner(0))];
    check(
        &faults,
        expect![[r#"
            855 vm0 acting term=1
            870 vm0 map=1.1 
            930 vm0 map=1.2 s0,s1,s2,s0
            3000 StoreDown(3000)
            3010 KillPlanner(0)
            3300 vm1 electing term=2
            3300 vm2 electing term=2
            3315 vm2 following term=2
            3315 vm1 following term=2
            3560 vm1 electing term=3
            3575 vm1 acting term=3
            3590 vm1 map=3.3 s0,s1,s2,s0
            6020 vm0 electing term=2
            6035 vm0 following term=3
            6520 vm0 electing term=4
            6920 vm0 following term=3
            7020 vm1 map=3.4 s0,s1,s2,s0
            7065 vm1 map=3.5 s0,s1,s2,s0
        "#]],
    );
}

#[test]
fn a_server_dies_while_the_store_is_down() {
    let faults = [(10, SimFault::StoreDown(2_500)), (3_000, SimFault::KillServer(2, 9_000))];
    check(
        &faults,
        expect![[r#"
            855 vm0 acting term=1
            870 vm0 map=1.1 
            930 vm0 map=1.2 s0,s1,s2,s0
            3000 StoreDown(2500)
            3010 KillServer(2, 9000)
            3240 vm0 map=1.3 s0,s1,s1,s0
        "#]],
    );
}

#[test]
fn store_replies_are_lost_while_a_server_is_drained() {
    let faults = [(10, SimFault::LoseReplies(2)), (2_000, SimFault::DrainServer(1))];
    check(
        &faults,
        expect![[r#"
            855 vm0 acting term=1
            870 vm0 map=1.1 
            930 vm0 map=1.2 s0,s1,s2,s0
            3000 LoseReplies(2)
            3010 DrainServer(1)
            3065 vm0 map=1.3 s0,s2,s2,s0
        "#]],
    );
}
