//! A claim on keys ends only on evidence about the process that holds it: not on a late message about
//! an earlier process, nor on one from another address.

mod driver;

use std::{sync::Arc, time::Duration};

use model::{Incarnation, MonoTime, OwnerCheck, Term, VmName};
use ownership::{
    AcceptReply, AcceptRequest, DomainMap, DomainPlanner, GrantOutcome, HomesTable, LeaseTiming,
    PlannerAction, PlannerConfig, PlannerEvent, PrepareReply, StoredRecord,
};

use self::driver::{
    PlannerDriver, address, checked_sheet, domain, map, server, sheet, sheet_of, vm,
};

/// A refusal arrives after the server's next process has answered and taken grants, and then nothing
/// reaches that process any more.
#[test]
fn a_late_refusal_does_not_end_the_grants_of_the_next_process() {
    let mut driver = PlannerDriver::serving(2);
    let s0 = address(0);
    driver.servers.remove(&s0);
    driver.delayed_address = Some(s0);
    driver.run_until(|it| !it.delayed.is_empty());
    driver.start_server(s0);
    driver.report_suspect(server(0));
    driver.run_until(|it| it.servers[&s0].holds_at(it.now).next().is_some());
    driver.unreachable.insert(s0);
    driver.deliver_delayed();
    driver.run(Duration::from_secs(2));
    assert_eq!(driver.violations.first(), None);
}

/// A sheet gives a server an address at which nothing listens yet, while its process goes on elsewhere.
#[test]
fn a_refusal_at_a_new_address_does_not_end_the_grants_at_the_old_one() {
    let mut driver = PlannerDriver::serving(2);
    driver.handle(PlannerEvent::SheetLearned(sheet(2, 1, &[address(7), address(1)])));
    driver.run(Duration::from_secs(2));
    assert_eq!(driver.violations.first(), None);
}

/// A sheet replaces a server's process by one at another address, and both run for a while.
#[test]
fn a_process_at_a_new_address_gets_grants_only_after_those_at_the_old_one_have_ended() {
    let mut driver = PlannerDriver::serving(2);
    driver.start_server(address(7));
    driver.handle(PlannerEvent::SheetLearned(sheet(2, 1, &[address(7), address(1)])));
    driver.run(Duration::from_secs(3));
    assert_eq!(driver.violations.first(), None);
    assert!(driver.servers[&address(7)].holds_at(driver.now).next().is_some());
}

/// A router has sent requests to the old address of a server that checks no tokens, and nothing
/// listens at the new one.
#[test]
fn a_refusal_at_a_new_address_does_not_end_the_requests_at_the_old_one() {
    let mut driver = PlannerDriver::with_check(OwnerCheck::None, 2);
    let before = driver.version();
    let moved = checked_sheet(OwnerCheck::None, 2, 1, &[address(7), address(1)]);
    driver.renew_lease(before);
    driver.handle(PlannerEvent::SheetLearned(moved));
    for _ in 0..100 {
        driver.renew_lease(before);
        driver.run(Duration::from_millis(20));
    }
    assert_eq!(driver.open_count(), 2);
    driver.renew_lease(driver.version());
    driver.run(Duration::from_millis(20));
    assert_eq!(driver.open_count(), 4);
}

/// The answer to a write arrives when the planner no longer acts. The record must not count as missing
/// then: a planner that finds none creates it.
#[test]
fn a_write_that_ends_after_a_change_of_role_leaves_the_record_known() {
    let mut driver = PlannerDriver::serving(2);
    driver.delays_writes = true;
    driver.servers.remove(&address(0));
    driver.run_until(|it| !it.delayed.is_empty());
    driver.handle(PlannerEvent::ServerAnswered {
        server: server(1),
        sent_at: driver.now,
        answer: GrantOutcome::Rejected { term: Term(5) },
    });
    driver.delays_writes = false;
    let n_writes = driver.replaced_revisions.len();
    driver.deliver_delayed();
    driver.run(Duration::from_secs(3));
    let later = &driver.replaced_revisions[n_writes..];
    assert!(!later.is_empty());
    assert!(later.iter().all(|it| it.is_some()), "{later:?}");
}

/// A planner of `vm0`, whose former process was a witness together with `vm1` and `vm2`.
struct RestartedVm {
    now: MonoTime,
    planner: DomainPlanner,
}

impl RestartedVm {
    fn new() -> Self {
        Self::with_record(map(1, 1, vm(1, 5), &[vm(0, 1), vm(1, 5), vm(2, 5)]))
    }

    fn with_record(stored: Arc<DomainMap>) -> Self {
        let now = MonoTime::from_millis(10_000);
        let config =
            PlannerConfig { id: vm(0, 2), domain: domain(), timing: LeaseTiming::default() };
        let mut it = Self { now, planner: DomainPlanner::new(config, now) };
        it.handle(PlannerEvent::HomesLearned(HomesTable::default()));
        it.handle(PlannerEvent::SheetLearned(sheet(1, 3, &[])));
        let record = StoredRecord { map: Some(stored), revision: 1 };
        it.handle(PlannerEvent::RecordRead(Some(record)));
        it
    }

    fn handle(&mut self, event: PlannerEvent) -> Vec<PlannerAction> {
        let wall = model::WallTime(self.now.as_millis() / 1_000);
        self.planner.handle(event, self.now, wall)
    }

    /// Runs until the planner acts, with promises of all witnesses. Returns its first heartbeats to
    /// the others, which are not answered.
    fn win_election(&mut self) -> Vec<(AcceptRequest, MonoTime)> {
        let mut heartbeats = Vec::new();
        while heartbeats.is_empty() {
            let mut actions = self.tick();
            while let Some(action) = actions.pop() {
                match action {
                    PlannerAction::Prepare(request) if request.witness != vm(0, 1) => {
                        actions.extend(self.handle(PlannerEvent::PrepareAnswered {
                            from: request.witness,
                            term: request.term,
                            answer: Some(PrepareReply::Promised { accepted: None }),
                        }));
                    }
                    PlannerAction::Accept { request, sent_at } => {
                        heartbeats.push((request, sent_at));
                    }
                    _ => (),
                }
            }
        }
        heartbeats
    }

    fn authority_left_ms(&self) -> u64 {
        self.planner.dump(self.now).acting.unwrap().authority_left_ms
    }

    fn tick(&mut self) -> Vec<PlannerAction> {
        self.now = self.now + Duration::from_millis(20);
        self.handle(PlannerEvent::Tick)
    }
}

/// An answer of a VM's earlier process arrives after one of its present process, and the VM then
/// can't be reached any more.
#[test]
fn a_late_hello_does_not_prove_that_a_newer_process_has_ended() {
    let mut vm0 = RestartedVm::new();
    let name = VmName::try_from("vm1").unwrap();
    let asked_at = vm0.now;
    vm0.tick();
    let hello = |sent_at, incarnation| PlannerEvent::HelloAnswered {
        vm: name.clone(),
        sent_at,
        incarnation: Incarnation(incarnation),
    };
    vm0.handle(hello(vm0.now, 5));
    vm0.handle(hello(asked_at, 4));
    for _ in 0..200 {
        let is_write = |it: &PlannerAction| matches!(it, PlannerAction::WriteRecord { .. });
        assert!(!vm0.tick().iter().any(is_write), "replaces witnesses that may be alive");
    }
}

/// A candidate that is no witness itself acts, loses its witnesses, and is elected again while the
/// store still has the map from before its first election.
#[test]
fn a_candidate_never_uses_a_term_twice() {
    let mut vm0 = RestartedVm::new();
    let mut terms = Vec::new();
    for _ in 0..500 {
        let mut actions = vm0.tick();
        while let Some(action) = actions.pop() {
            match action {
                PlannerAction::RoleChanged { role: "acting", term } => terms.push(term),
                PlannerAction::Prepare(request) if request.witness != vm(0, 1) => {
                    actions.extend(vm0.handle(PlannerEvent::PrepareAnswered {
                        from: request.witness,
                        term: request.term,
                        answer: Some(PrepareReply::Promised { accepted: None }),
                    }));
                }
                _ => (),
            }
        }
    }
    assert!(terms.len() > 1);
    assert!(terms.is_sorted_by(|a, b| a < b), "{terms:?}");
}

/// A server that the sheet no longer lists gets no requests, and nothing tells when its grants end.
#[test]
fn the_lease_of_a_server_that_left_the_sheet_is_waited_for() {
    let mut driver = PlannerDriver::serving(2);
    let text = "kind,name,domain,service,address,state,from,until,settings\n\
                domain,d0,,,,in,,,\n\
                service,queue,,,,,,,kind=keyed;slice-bits=2;check=token;deadline-ms=300\n\
                vm,vm0,d0,,10.0.0.0:1,in,,,planner=10.0.0.0:2\n\
                server,s1,d0,queue,10.0.1.1:1,in,,,\n";
    driver.handle(PlannerEvent::SheetLearned(sheet_of(2, text)));
    driver.run(Duration::from_secs(2));
    assert_eq!(driver.violations.first(), None);
    assert_eq!(driver.servers[&address(1)].holds_at(driver.now).count(), 4);
}

/// A new planner's authority can't be extended by answers to heartbeats that were long on their way.
#[test]
fn authority_counts_from_the_sending_of_heartbeats() {
    let mut vm0 = RestartedVm::new();
    let heartbeats = vm0.win_election();
    let authority = LeaseTiming::default().authority;
    vm0.now = vm0.now + authority;
    for (request, sent_at) in heartbeats {
        let (from, stamp) = (request.witness, request.stamp);
        let answer = Some(AcceptReply::Accepted);
        vm0.handle(PlannerEvent::AcceptAnswered { from, sent_at, stamp, answer });
    }
    assert_eq!(vm0.authority_left_ms(), 0);
}

/// A server's late answer about an earlier term's set of grants, whose versions were higher, arrives
/// before the server is drained and can't be reached any more.
#[test]
fn an_answer_of_an_earlier_term_acknowledges_no_revocation() {
    let mut driver = PlannerDriver::serving(2);
    driver.handle(PlannerEvent::ServerAnswered {
        server: server(0),
        sent_at: driver.now,
        answer: GrantOutcome::Acked { term: Term(0), set_version: 1_000, basis: String::new() },
    });
    driver.unreachable.insert(address(0));
    driver.run(Duration::from_secs(2));
    assert_eq!(driver.violations.first(), None);
}

/// While the witnesses change, the planner's own VM alone is a majority of the new set.
#[test]
fn authority_needs_both_witness_sets() {
    let mut stored = DomainMap::clone(&map(1, 1, vm(1, 5), &[vm(0, 2)]));
    stored.joint_witnesses = [vm(1, 5), vm(2, 5), vm(0, 1)].into_iter().collect();
    let mut vm0 = RestartedVm::with_record(Arc::new(stored));
    let heartbeats = vm0.win_election();
    assert_eq!(vm0.authority_left_ms(), 0);
    for (request, sent_at) in heartbeats.into_iter().filter(|(it, _)| it.witness != vm(0, 1)) {
        let (from, stamp) = (request.witness, request.stamp);
        let answer = Some(AcceptReply::Accepted);
        vm0.handle(PlannerEvent::AcceptAnswered { from, sent_at, stamp, answer });
    }
    assert!(vm0.authority_left_ms() > 0);
}
