//! Which planners a witness accepts, and to which candidates it makes promises.

use std::sync::Arc;

use model::{DomainName, Incarnation, MapVersion, MonoTime, Term, VmName};
use ownership::{
    AcceptReply, AcceptRequest, DomainMap, LeaseTiming, MapStamp, PrepareReply, PrepareRequest,
    VmId, WitnessState,
};

fn vm(name: &str) -> VmId {
    VmId { name: VmName::try_from(name).unwrap(), incarnation: Incarnation(1) }
}

fn domain() -> DomainName {
    DomainName::try_from("d0").unwrap()
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn map(term: u64, version: u64, planner: &str) -> Arc<DomainMap> {
    Arc::new(DomainMap {
        domain: domain(),
        stamp: MapStamp { term: Term(term), version: MapVersion(version) },
        planner: vm(planner),
        witnesses: [vm("a"), vm("b"), vm("c")].into_iter().collect(),
        joint_witnesses: Default::default(),
        entries: Default::default(),
    })
}

fn accept_request(map: &Arc<DomainMap>) -> AcceptRequest {
    AcceptRequest {
        domain: domain(),
        witness: vm("a"),
        planner: map.planner.clone(),
        stamp: map.stamp,
        map: Some(map.clone()),
    }
}

fn prepare_request(term: u64, candidate: &str) -> PrepareRequest {
    PrepareRequest {
        domain: domain(),
        witness: vm("a"),
        candidate: vm(candidate),
        term: Term(term),
    }
}

fn prepare_reply(witness: &mut WitnessState, term: u64, candidate: &str, ms: u64) -> PrepareReply {
    witness.answer_prepare(&prepare_request(term, candidate), &LeaseTiming::default(), at(ms))
}

#[test]
fn refuses_the_previous_planner_after_a_promise() {
    let mut witness = WitnessState::new(vm("a"), at(0));
    let old = map(1, 1, "b");
    assert_eq!(witness.answer_accept(&accept_request(&old), at(10)), AcceptReply::Accepted);
    let promised = PrepareReply::Promised { accepted: Some(old.clone()) };
    assert_eq!(prepare_reply(&mut witness, 2, "c", 400), promised);
    let refused = AcceptReply::Refused { promised: Term(2) };
    assert_eq!(witness.answer_accept(&accept_request(&old), at(410)), refused);
}

#[test]
fn promises_a_term_to_one_candidate_only() {
    let mut witness = WitnessState::new(vm("a"), at(0));
    assert!(matches!(prepare_reply(&mut witness, 2, "b", 400), PrepareReply::Promised { .. }));
    let refused = PrepareReply::Refused { promised: Term(2) };
    assert_eq!(prepare_reply(&mut witness, 2, "c", 401), refused);
}

#[test]
fn refuses_a_candidate_while_its_planner_is_alive() {
    let mut witness = WitnessState::new(vm("a"), at(0));
    witness.answer_accept(&accept_request(&map(1, 1, "b")), at(100));
    assert_eq!(prepare_reply(&mut witness, 2, "c", 200), PrepareReply::PlannerAlive);
}

#[test]
fn lets_a_live_planner_move_to_a_later_term() {
    let mut witness = WitnessState::new(vm("a"), at(0));
    witness.answer_accept(&accept_request(&map(1, 1, "b")), at(100));
    assert!(matches!(prepare_reply(&mut witness, 2, "b", 110), PrepareReply::Promised { .. }));
}

#[test]
fn a_restarted_witness_reports_its_restart() {
    let restarted_vm = VmId { incarnation: Incarnation(2), ..vm("a") };
    let mut witness = WitnessState::new(restarted_vm, at(0));
    let restarted = AcceptReply::Restarted { current: Incarnation(2) };
    assert_eq!(witness.answer_accept(&accept_request(&map(1, 1, "b")), at(1)), restarted);
}

#[test]
fn never_returns_to_an_older_map() {
    let mut witness = WitnessState::new(vm("a"), at(0));
    witness.answer_accept(&accept_request(&map(1, 2, "b")), at(1));
    assert_eq!(
        witness.answer_accept(&accept_request(&map(1, 1, "b")), at(2)),
        AcceptReply::NeedMap
    );
    assert_eq!(witness.accepted().map(|it| it.stamp.version), Some(MapVersion(2)));
}
