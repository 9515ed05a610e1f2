//! How late a VM learns of a change whose sources fail, and which fail one after the other.

use std::time::{Duration, Instant};

use entry::ChangeTiming;
use tokio::{task::LocalSet, time::sleep};

use crate::fleet::{CHANGE_DEADLINE, Fleet, StoreFault, later_than};

/// Checks that each VM has each plan in time for `length`, but for those that are frozen.
async fn check_delays(fleet: &Fleet, length: Duration, frozen: &[&str]) {
    let mut delays = fleet.measure_delays(length).await;
    delays.retain(|vm, _| !frozen.contains(&vm.as_str()));
    assert_eq!(later_than(&delays, CHANGE_DEADLINE), Default::default());
}

/// Makes the calls of all VMs of a domain to the store fail.
fn set_domain_fault(fleet: &Fleet, domain: &str, fault: StoreFault) {
    for vm in fleet.vms.iter().filter(|it| it.presence.domain.as_str() == domain) {
        fleet.store.set_fault(&vm.name, Some(fault));
    }
}

/// Guards against limits that add up to more than the time that the operators allow.
#[test]
fn the_longest_delay_of_a_change_is_shorter_than_its_deadline() {
    for deadline_ms in [1_000, 2_000, 2_500, 10_000] {
        let deadline = Duration::from_millis(deadline_ms);
        let timing = ChangeTiming::for_deadline(deadline);
        let limits = [
            Duration::ZERO,
            timing.call_interval,
            timing.watch_cycle,
            timing.relay_limit,
            timing.follower_limit,
            timing.catch_up_age,
            timing.max_delay(),
            deadline,
        ];
        assert!(limits.is_sorted_by(|a, b| a < b), "{limits:?}");
    }
}

/// Guards against leaving sources that work for one that doesn't: the assigner's VM is the last relay
/// of its domain; once its lease had expired because it was frozen, it became the first, and both its
/// neighbors waited 2.5 s for its complete state.
#[tokio::test]
async fn a_frozen_assigner_whose_lease_expires_delays_no_change_on_its_neighbors() {
    let test = async {
        let fleet = Fleet::start(&["a", "b"], 3).await;
        fleet.set_assigner(Some("a-1"));
        fleet.measure_delays(Duration::from_secs(1)).await;
        fleet.vm("a-1").set_frozen(true);
        fleet.set_assigner(None);
        check_delays(&fleet, Duration::from_secs(5), &["a-1"]).await;
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against delays that add up: the second relay follows the first and fails with it, or is
/// frozen as well.
#[tokio::test]
async fn two_frozen_relays_delay_no_change_on_the_other_vms_of_their_domain() {
    let test = async {
        let fleet = Fleet::start(&["a"], 5).await;
        fleet.measure_delays(Duration::from_secs(1)).await;
        fleet.vm("a-1").set_frozen(true);
        fleet.vm("a-2").set_frozen(true);
        check_delays(&fleet, Duration::from_secs(6), &["a-1", "a-2"]).await;
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a relay whose state is too old for its followers' deadline: something between it
/// and the store has lost track of its connections.
#[tokio::test]
async fn a_relay_that_the_store_no_longer_answers_delays_no_change_on_its_followers() {
    let test = async {
        let fleet = Fleet::start(&["a"], 6).await;
        fleet.measure_delays(Duration::from_secs(1)).await;
        fleet.store.set_fault(&fleet.vm("a-1").name, Some(StoreFault::Silent));
        check_delays(&fleet, Duration::from_secs(5), &[]).await;
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against leaving a relay that works for a store that doesn't: a domain whose VMs the store
/// does not answer gets its changes from another one, and its first VM tries the store again and again.
#[tokio::test]
async fn a_domain_that_the_store_does_not_answer_keeps_its_changes_while_it_tries_again() {
    let test = async {
        let fleet = Fleet::start(&["a", "b"], 4).await;
        fleet.measure_delays(Duration::from_secs(1)).await;
        set_domain_fault(&fleet, "a", StoreFault::Silent);
        // By then each VM has found that the store does not answer.
        fleet.measure_delays(Duration::from_secs(3)).await;
        check_delays(&fleet, Duration::from_secs(5), &[]).await;
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a domain without changes although another domain has them: the store refuses all
/// VMs of the domain.
#[tokio::test]
async fn a_domain_that_the_store_refuses_gets_its_changes_from_another_domain() {
    let test = async {
        let fleet = Fleet::start(&["a", "b"], 4).await;
        fleet.measure_delays(Duration::from_secs(1)).await;
        set_domain_fault(&fleet, "a", StoreFault::Refused);
        check_delays(&fleet, Duration::from_secs(6), &[]).await;
    };
    LocalSet::new().run_until(test).await;
}

/// Load pattern: the relay of a large domain is lost, and each of its followers turned to the store,
/// read everything and watched it for seconds.
#[tokio::test]
async fn a_lost_relay_costs_each_follower_at_most_one_call_to_the_store() {
    let test = async {
        let fleet = Fleet::start(&["a"], 30).await;
        fleet.measure_delays(Duration::from_secs(1)).await;
        let before = fleet.store.n_calls();
        fleet.measure_delays(Duration::from_secs(4)).await;
        let n_usual = fleet.store.n_calls() - before;
        fleet.vm("a-1").set_frozen(true);
        let before = fleet.store.n_calls();
        check_delays(&fleet, Duration::from_secs(4), &["a-1"]).await;
        let n_calls = fleet.store.n_calls() - before;
        let n_followers = fleet.vms.len() as u64 - 1;
        assert!(n_calls <= n_usual + n_followers, "{n_calls} calls, usually {n_usual}");
    };
    LocalSet::new().run_until(test).await;
}

/// Load pattern: the store does not answer for seconds, and every VM goes on asking it.
#[tokio::test]
async fn a_silent_store_is_called_by_each_vm_no_more_than_once_in_two_seconds() {
    let test = async {
        let fleet = Fleet::start(&["a", "b"], 10).await;
        fleet.measure_delays(Duration::from_secs(1)).await;
        ["a", "b"].into_iter().for_each(|it| set_domain_fault(&fleet, it, StoreFault::Silent));
        // By then each VM has found that the store does not answer.
        sleep(Duration::from_secs(3)).await;
        let before = fleet.store.n_calls();
        sleep(Duration::from_secs(6)).await;
        let n_calls = fleet.store.n_calls() - before;
        let n_watchers = 2;
        let n_others = fleet.vms.len() as u64 - n_watchers;
        // A watcher may call it each second.
        assert!(n_calls <= n_others * 3 + n_watchers * 6, "{n_calls}");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against two VMs that follow each other, so that neither learns of a change until their states
/// are too old: the store refuses the first relay of a domain, which follows the second, which follows
/// the first.
#[tokio::test]
async fn no_vm_follows_a_relay_that_follows_it() {
    let test = async {
        let fleet = Fleet::start(&["a"], 2).await;
        fleet.measure_delays(Duration::from_secs(1)).await;
        fleet.store.set_fault(&fleet.vm("a-1").name, Some(StoreFault::Refused));
        // By then the second has found that the first has no source of its own.
        fleet.measure_delays(Duration::from_secs(3)).await;
        let delays = fleet.measure_delays(Duration::from_secs(5)).await;
        let timing = ChangeTiming::for_deadline(CHANGE_DEADLINE);
        // A VM that watches the store is at most this late, and its followers one call more.
        let bound = timing.watch_cycle + timing.relay_wait;
        assert_eq!(later_than(&delays, bound), Default::default());
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a VM that starts and gets no plan, although it reaches the store: the relays of its
/// domain are listed but do not answer.
#[tokio::test]
async fn a_vm_that_starts_while_its_relays_are_lost_reads_the_store() {
    let test = async {
        let mut fleet = Fleet::start(&["a"], 5).await;
        ["a-1", "a-2", "a-3"].iter().for_each(|it| fleet.vm(it).set_frozen(true));
        fleet.restart("a-5");
        let started = Instant::now();
        while fleet.vm("a-5").plan_version() == 0 {
            // By then the VM counts as one that reaches the store.
            assert!(started.elapsed() < Duration::from_secs(3), "no plan");
            sleep(Duration::from_millis(10)).await;
        }
    };
    LocalSet::new().run_until(test).await;
}
