//! Who follows the store, and who is believed.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use entry::{ChangeSource, SourceSelector, StateSnapshot, VmPresence};
use model::{DomainName, MonoTime, VmName};

fn vm(name: &str) -> VmName {
    VmName::try_from(name).expect("a name")
}

fn domain(name: &str) -> DomainName {
    DomainName::try_from(name).expect("a name")
}

/// Two domains of two VMs; the second of each is the stronger.
fn beliefs() -> StateSnapshot {
    let mut vms = BTreeMap::new();
    for (name, of, strength) in
        [("a-1", "a", 100), ("a-2", "a", 500), ("b-1", "b", 100), ("b-2", "b", 500)]
    {
        let address = format!("127.0.0.1:{}", 1_000 + vms.len()).parse().expect("an address");
        let presence = VmPresence {
            domain: domain(of),
            strength,
            reports: address,
            news: address,
            incarnation: 1,
        };
        vms.insert(vm(name), presence);
    }
    StateSnapshot { vms: Arc::new(vms), ..StateSnapshot::default() }
}

fn relay_of(choice: &mut SourceSelector, now: MonoTime) -> Option<VmName> {
    match choice.source(&beliefs(), now).expect("a source") {
        ChangeSource::Store => None,
        ChangeSource::Relay(vm, _) => Some(vm),
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn the_strongest_vm_of_a_domain_follows_the_store_and_the_others_follow_it() {
    assert_eq!(relay_of(&mut SourceSelector::new(vm("a-2"), domain("a")), at(0)), None);
    assert_eq!(relay_of(&mut SourceSelector::new(vm("a-1"), domain("a")), at(0)), Some(vm("a-2")));
}

#[test]
fn a_follower_asks_the_store_while_its_relay_fails_and_another_domain_while_both_do() {
    let mut choice = SourceSelector::new(vm("a-1"), domain("a"));
    let relay = choice.source(&beliefs(), at(0)).expect("a relay");
    choice.note_fault(&relay, at(0));
    assert_eq!(relay_of(&mut choice, at(10)), None);
    choice.note_fault(&ChangeSource::Store, at(10));
    assert_eq!(relay_of(&mut choice, at(20)), Some(vm("b-2")));
    let later = at(20) + Duration::from_secs(4);
    assert_eq!(relay_of(&mut choice, later), Some(vm("a-2")), "it is tried again");
}

#[test]
fn a_vm_that_the_store_turns_away_asks_another_domain() {
    let mut choice = SourceSelector::new(vm("a-2"), domain("a"));
    choice.note_fault(&ChangeSource::Store, at(0));
    assert_eq!(relay_of(&mut choice, at(10)), Some(vm("b-2")));
    assert_eq!(relay_of(&mut choice, at(1_100)), None, "the store is asked again");
}

/// An outage of eight seconds with 90 VMs: only those that others wait for ask each second.
#[test]
fn a_store_in_an_outage_is_asked_seldom_by_vms_that_nobody_waits_for() {
    let n_asked = |name: &str| {
        let mut choice = SourceSelector::new(vm(name), domain("a"));
        let mut n_asked = 0;
        for now in (0..8_000).step_by(100) {
            if let Some(source) = choice.source(&beliefs(), at(now)) {
                n_asked += u32::from(source == ChangeSource::Store);
                choice.note_fault(&source, at(now));
            }
        }
        n_asked
    };
    assert_eq!(n_asked("a-2"), 8);
    assert!(n_asked("a-1") <= 4, "{}", n_asked("a-1"));
}
