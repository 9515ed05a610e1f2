//! Golden files of whole sessions: each change of role and each committed map, with its time.
//!
//! Times are milliseconds since the start; `vm0 map=1.2 s0,s1` is a map that vm0 committed in
//! term 1 as version 2, with the owner of each slice.

use std::time::Duration;

use expect_test::{Expect, expect};
use model::OwnerCheck;

use crate::sim::{Sim, Trouble};

fn check(troubles: &[(u64, Trouble)], expect: Expect) {
    let mut sim = Sim::new(3, 3, OwnerCheck::Token, 11);
    sim.run(Duration::from_secs(3));
    for (pause, trouble) in troubles {
        sim.cause(trouble);
        sim.run(Duration::from_millis(*pause));
    }
    sim.run(Duration::from_secs(3));
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.unserved(), 0);
    expect.assert_eq(&sim.log);
}

#[test]
fn a_quiet_session() {
    check(
        &[],
        expect![[r#"
        855 vm0 acting term=1
        870 vm0 map=1.1 
        900 vm0 map=1.2 -,-,-,-
        920 vm0 map=1.3 s0,s1,s2,s0
    "#]],
    );
}

#[test]
fn a_server_is_killed() {
    check(
        &[(1_500, Trouble::KillServer(1, 1_000))],
        expect![[r#"
        855 vm0 acting term=1
        870 vm0 map=1.1 
        900 vm0 map=1.2 -,-,-,-
        920 vm0 map=1.3 s0,s1,s2,s0
        3000 KillServer(1, 1000)
        3105 vm0 map=1.4 s0,s2,s2,s0
        5915 vm0 map=1.5 s0,s1,s2,s0
    "#]],
    );
}

#[test]
fn a_server_freezes_and_returns() {
    check(
        &[(3_000, Trouble::FreezeServer(0, 1_500))],
        expect![[r#"
        855 vm0 acting term=1
        870 vm0 map=1.1 
        900 vm0 map=1.2 -,-,-,-
        920 vm0 map=1.3 s0,s1,s2,s0
        3000 FreezeServer(0, 1500)
        3405 vm0 map=1.4 s1,s1,s2,s2
        5900 vm0 map=1.5 s1,s1,s0,s2
    "#]],
    );
}

#[test]
fn the_planner_is_paused_and_wakes_as_if_nothing_had_happened() {
    check(
        &[(3_000, Trouble::PausePlanner(0, 2_000))],
        expect![[r#"
        855 vm0 acting term=1
        870 vm0 map=1.1 
        900 vm0 map=1.2 -,-,-,-
        920 vm0 map=1.3 s0,s1,s2,s0
        3000 PausePlanner(0, 2000)
        3240 vm1 electing term=2
        3255 vm1 acting term=2
        3275 vm1 map=2.4 s0,s1,s2,s0
        5015 vm0 following term=2
    "#]],
    );
}

#[test]
fn the_planner_is_killed_while_the_store_is_down() {
    let troubles = [(10, Trouble::StoreDown(3_000)), (3_000, Trouble::KillPlanner(0))];
    check(
        &troubles,
        expect![[r#"
        855 vm0 acting term=1
        870 vm0 map=1.1 
        900 vm0 map=1.2 -,-,-,-
        920 vm0 map=1.3 s0,s1,s2,s0
        3000 StoreDown(3000)
        3010 KillPlanner(0)
        3240 vm1 electing term=2
        3290 vm1 acting term=2
        3300 vm2 electing term=3
        3310 vm1 electing term=4
        3325 vm1 acting term=4
        3335 vm1 map=4.5 s0,s1,s2,s0
        3700 vm2 following term=4
        6020 vm0 electing term=2
        6030 vm0 following term=4
        6050 vm1 map=4.6 s0,s1,s2,s0
        6090 vm1 map=4.7 s0,s1,s2,s0
    "#]],
    );
}

#[test]
fn a_server_dies_while_the_store_is_down() {
    let troubles = [(10, Trouble::StoreDown(2_500)), (3_000, Trouble::KillServer(2, 9_000))];
    check(
        &troubles,
        expect![[r#"
        855 vm0 acting term=1
        870 vm0 map=1.1 
        900 vm0 map=1.2 -,-,-,-
        920 vm0 map=1.3 s0,s1,s2,s0
        3000 StoreDown(2500)
        3010 KillServer(2, 9000)
        3245 vm0 map=1.4 s0,s1,s1,s0
    "#]],
    );
}

#[test]
fn replies_of_the_store_are_lost_while_a_server_is_drained() {
    let troubles = [(10, Trouble::LoseReplies(2)), (2_000, Trouble::DrainServer(1))];
    check(
        &troubles,
        expect![[r#"
        855 vm0 acting term=1
        870 vm0 map=1.1 
        900 vm0 map=1.2 -,-,-,-
        920 vm0 map=1.3 s0,s1,s2,s0
        3000 LoseReplies(2)
        3010 DrainServer(1)
        3070 vm0 map=1.4 s0,s2,s2,s0
    "#]],
    );
}
