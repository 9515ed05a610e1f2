//! Placement of slices on servers, and of homes in failure domains.

use std::collections::{BTreeMap, BTreeSet};

use expect_test::{Expect, expect};
use model::{
    DomainName, Incarnation, ServerName, ServiceName, SliceId, SliceKey, VmName, WallTime,
};
use ownership::{
    DomainMap, HomesTable, MapStamp, OwnerEntry, PlacementInput, SlicePhase, VmId, initial_homes,
    place_slices, plan_releases,
};
use sheet::PlanSheet;

fn service() -> ServiceName {
    ServiceName::try_from("queue").unwrap()
}

fn server(name: &str) -> ServerName {
    ServerName::try_from(name).unwrap()
}

fn key(slice: SliceId) -> SliceKey {
    SliceKey { service: service(), slice }
}

/// Places eight slices, where slice i is owned by `owners[i]` and has the load `loads[i]`.
fn check(owners: [&str; 8], loads: [f64; 8], eligible: &[&str], budget: usize, expect: Expect) {
    check_capped(owners, loads, eligible, budget, &[], expect);
}

/// Like [`check`], where `caps` limit the number of slices of warming servers.
fn check_capped(
    owners: [&str; 8],
    loads: [f64; 8],
    eligible: &[&str],
    budget: usize,
    caps: &[(&str, usize)],
    expect: Expect,
) {
    let caps = caps.iter().map(|(it, cap)| (server(it), *cap)).collect();
    let slices: Vec<SliceKey> = SliceId::all(3).map(key).collect();
    let planner = VmId { name: VmName::try_from("a").unwrap(), incarnation: Incarnation(1) };
    let entry = |owner: &str| OwnerEntry {
        owner: (owner != "-").then(|| server(owner)),
        token: Default::default(),
        previous: Default::default(),
        phase: SlicePhase::Open,
    };
    let map = DomainMap {
        domain: DomainName::try_from("d0").unwrap(),
        stamp: MapStamp::default(),
        planner,
        witnesses: Default::default(),
        joint_witnesses: Default::default(),
        entries: slices.iter().cloned().zip(owners.map(entry)).collect(),
    };
    let eligible = BTreeMap::from([(service(), eligible.iter().map(|it| server(it)).collect())]);
    let placed = place_slices(&PlacementInput {
        map: &map,
        slices: &slices.iter().cloned().collect::<BTreeSet<_>>(),
        eligible: &eligible,
        loads: &slices.iter().cloned().zip(loads).collect(),
        warming_caps: &caps,
        balance_budget: budget,
    });
    let names: Vec<&str> =
        slices.iter().map(|it| placed.get(it).map_or("-", |o| o.as_str())).collect();
    expect.assert_eq(&names.join(" "));
}

const IDLE: [f64; 8] = [0.0; 8];

#[test]
fn distributes_slices_without_an_owner() {
    check(["-"; 8], IDLE, &["x", "y"], 0, expect!["x y x y x y x y"]);
}

#[test]
fn keeps_eligible_owners() {
    let owners = ["x", "x", "x", "y", "z", "z", "y", "y"];
    check(owners, IDLE, &["x", "y"], 0, expect!["x x x y x y y y"]);
}

#[test]
fn moves_nothing_without_budget() {
    check(["x"; 8], IDLE, &["x", "y"], 0, expect!["x x x x x x x x"]);
}

#[test]
fn spends_no_more_than_the_budget() {
    check(["x"; 8], IDLE, &["x", "y"], 2, expect!["y x x x x x x y"]);
}

#[test]
fn keeps_a_hot_slice_whose_move_gains_nothing() {
    let loads = [900.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0];
    let owners = ["x", "y", "y", "y", "y", "y", "y", "y"];
    check(owners, loads, &["x", "y"], 4, expect!["x y y y y y y y"]);
}

#[test]
fn a_warming_server_gets_no_more_slices_than_its_cap() {
    check_capped(["x"; 8], IDLE, &["x", "y"], 4, &[("y", 1)], expect!["y x x x x x x x"]);
}

#[test]
fn slices_without_an_owner_exceed_the_cap_if_all_servers_are_warming() {
    check_capped(["-"; 8], IDLE, &["y"], 0, &[("y", 1)], expect!["y y y y y y y y"]);
}

const SHEET: &str = "kind,name,domain,service,address,state,from,until,settings
domain,d0,,,,in,,,
domain,d1,,,,D1,,,
service,queue,,,,,,,kind=keyed;slice-bits=3
vm,a,d0,,10.0.0.1:1,in,,,planner=10.0.0.1:2
vm,b,d1,,10.0.0.2:1,in,,,planner=10.0.0.2:2
server,x,d0,queue,10.0.1.1:1,in,,,
server,y,d0,queue,10.0.1.2:1,in,,,
server,z,d1,queue,10.0.1.3:1,in,,,
";

fn sheet(state: &str) -> PlanSheet {
    PlanSheet::try_from(SHEET.replace("D1", state).as_str()).unwrap()
}

fn homes(sheet: &PlanSheet) -> HomesTable {
    let table = HomesTable::default();
    table.with_homes(&initial_homes(sheet, &table, WallTime(0)), 1)
}

fn count(homes: &HomesTable, domain: &str) -> usize {
    homes.slices_of(&DomainName::try_from(domain).unwrap()).count()
}

#[test]
fn homes_are_proportional_to_the_number_of_servers() {
    let homes = homes(&sheet("in"));
    for (domain, n_servers) in [("d0", 2.0), ("d1", 1.0)] {
        let share = 8.0 * n_servers / 3.0;
        let n_slices = count(&homes, domain) as f64;
        assert!((n_slices - share).abs() < 1.0, "{domain} has {n_slices} of a share of {share}");
    }
}

#[test]
fn a_domain_that_is_taken_out_releases_all_its_slices() {
    let homes = homes(&sheet("in"));
    let d1 = DomainName::try_from("d1").unwrap();
    let released = plan_releases(&sheet("out"), &homes, &d1, &BTreeSet::new(), 0, WallTime(0));
    assert_eq!(released.len(), count(&homes, "d1"));
}

#[test]
fn a_domain_that_returns_gets_slices_in_steps() {
    let homes = homes(&sheet("out"));
    let d0 = DomainName::try_from("d0").unwrap();
    assert_eq!(count(&homes, "d0"), 8);
    let released = plan_releases(&sheet("in"), &homes, &d0, &BTreeSet::new(), 2, WallTime(0));
    assert_eq!(released.len(), 2);
}

#[test]
fn a_service_without_an_answering_server_leaves_the_domain() {
    let sheet = sheet("in");
    let homes = homes(&sheet);
    let d1 = DomainName::try_from("d1").unwrap();
    let released = plan_releases(&sheet, &homes, &d1, &BTreeSet::from([service()]), 0, WallTime(0));
    assert_eq!(released.len(), count(&homes, "d1"));
}

#[test]
fn each_change_of_home_raises_the_epoch() {
    let first = homes(&sheet("in"));
    let moved: BTreeMap<SliceKey, DomainName> =
        first.entries.keys().map(|it| (it.clone(), DomainName::try_from("d1").unwrap())).collect();
    let second = first.with_homes(&moved, 2);
    assert!(second.entries.iter().all(|(key, it)| it.epoch == first.entries[key].epoch + 1));
    assert_eq!(second.revision, first.revision + 1);
}
