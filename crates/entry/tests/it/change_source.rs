//! Selection of the change source: the store, the domain's relay or another domain's relay.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use entry::{
    AssignerRecord, ChangeSource, SourceFailure, SourceSelector, StateSnapshot, StoredAssigner,
    VmPresence,
};
use model::{DomainName, MonoTime, VmName};

fn vm(name: &str) -> VmName {
    VmName::try_from(name).expect("a name")
}

fn domain(name: &str) -> DomainName {
    DomainName::try_from(name).expect("a name")
}

/// Two domains of two VMs; the second VM of each has more capacity.
fn snapshot() -> StateSnapshot {
    let mut vms = BTreeMap::new();
    for (name, of, millicores) in
        [("a-1", "a", 100), ("a-2", "a", 500), ("b-1", "b", 100), ("b-2", "b", 500)]
    {
        let address = format!("127.0.0.1:{}", 1_000 + vms.len()).parse().expect("an address");
        let presence = VmPresence {
            domain: domain(of),
            millicores,
            reports: address,
            relay: address,
            incarnation: 1,
        };
        vms.insert(vm(name), presence);
    }
    StateSnapshot { vms: Arc::new(vms), ..StateSnapshot::default() }
}

fn relay_of(selector: &mut SourceSelector, now: MonoTime) -> Option<VmName> {
    match selector.select(&snapshot(), now).expect("a source") {
        ChangeSource::Store => None,
        ChangeSource::Relay(vm, _) => Some(vm),
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn the_vm_with_most_capacity_watches_the_store_and_relays_to_its_domain() {
    assert_eq!(relay_of(&mut SourceSelector::new(vm("a-2"), domain("a")), at(0)), None);
    assert_eq!(relay_of(&mut SourceSelector::new(vm("a-1"), domain("a")), at(0)), Some(vm("a-2")));
}

#[test]
fn a_vm_uses_the_store_if_its_relay_fails_and_another_domain_if_both_fail() {
    let mut selector = SourceSelector::new(vm("a-1"), domain("a"));
    let relay = selector.select(&snapshot(), at(0)).expect("a relay");
    selector.record_failure(&relay, SourceFailure::Silent, at(0));
    assert_eq!(relay_of(&mut selector, at(10)), None);
    selector.record_failure(&ChangeSource::Store, SourceFailure::Silent, at(10));
    assert_eq!(relay_of(&mut selector, at(20)), Some(vm("b-2")));
    let later = at(20) + Duration::from_secs(4);
    assert_eq!(
        relay_of(&mut selector, later),
        Some(vm("a-2")),
        "the relay is retried after its backoff"
    );
}

#[test]
fn a_watcher_uses_another_domain_while_the_store_fails() {
    let mut selector = SourceSelector::new(vm("a-2"), domain("a"));
    selector.record_failure(&ChangeSource::Store, SourceFailure::Silent, at(0));
    assert_eq!(relay_of(&mut selector, at(10)), Some(vm("b-2")));
    assert_eq!(relay_of(&mut selector, at(1_100)), None, "the store is retried after its backoff");
}

/// Guards against overloading a failing store: in an outage of 8 s with 90 VMs, only the watchers
/// may call it each second.
#[test]
fn vms_that_do_not_watch_call_a_failing_store_less_often() {
    let n_calls = |name: &str| {
        let mut selector = SourceSelector::new(vm(name), domain("a"));
        let mut n_calls = 0;
        for now in (0..8_000).step_by(100) {
            if let Some(source) = selector.select(&snapshot(), at(now)) {
                n_calls += u32::from(source == ChangeSource::Store);
                selector.record_failure(&source, SourceFailure::Silent, at(now));
            }
        }
        n_calls
    };
    assert_eq!(n_calls("a-2"), 8);
    assert!(n_calls("a-1") <= 4, "{}", n_calls("a-1"));
}

/// Load pattern: the assigner orders a hundred moves at once and then relays changes a second late,
/// so that all VMs of its domain turn to the store.
#[test]
fn the_assigners_vm_is_no_relay_while_its_domain_has_another_vm() {
    let mut snapshot = snapshot();
    let reports = snapshot.vms[&vm("a-2")].reports;
    let record = AssignerRecord {
        vm: vm("a-2"),
        incarnation: 1,
        reports,
        has_resigned: false,
        earlier_orders_ms: 0,
    };
    snapshot.assigner = Some(StoredAssigner { revision: 4, record });
    assert_eq!(snapshot.relays(&domain("a")), [&vm("a-1"), &vm("a-2")]);
    assert_eq!(snapshot.relays(&domain("b")), [&vm("b-2"), &vm("b-1")]);
    assert_eq!(snapshot.domain_relay(&domain("a")).map(|it| it.0), Some(&vm("a-1")));
    Arc::make_mut(&mut snapshot.vms).remove(&vm("a-1"));
    assert_eq!(snapshot.relays(&domain("a")), [&vm("a-2")]);
}

/// Load pattern: the relay of a domain is lost, and all VMs of the domain turned to the store for
/// the time of their backoff.
#[test]
fn only_one_vm_of_a_domain_watches_the_store_when_its_relay_is_lost() {
    let mut snapshot = snapshot();
    for number in 3..60 {
        let presence = VmPresence { millicores: 100, ..snapshot.vms[&vm("a-1")].clone() };
        Arc::make_mut(&mut snapshot.vms).insert(vm(&format!("a-{number}")), presence);
    }
    let lost = snapshot.relays(&domain("a"))[0].clone();
    let survivors: Vec<VmName> =
        snapshot.relays(&domain("a")).into_iter().filter(|it| **it != lost).cloned().collect();
    let mut n_watching = 0;
    for name in &survivors {
        let mut selector = SourceSelector::new(name.clone(), domain("a"));
        let first = selector.select(&snapshot, at(0)).expect("a source");
        assert!(matches!(&first, ChangeSource::Relay(it, _) if *it == lost));
        selector.record_failure(&first, SourceFailure::Silent, at(0));
        match selector.select(&snapshot, at(10)).expect("a source") {
            ChangeSource::Store => n_watching += 1,
            ChangeSource::Relay(it, _) => assert_eq!(it, survivors[0]),
        }
    }
    assert_eq!(survivors.len(), 58);
    assert_eq!(n_watching, 1);
}
