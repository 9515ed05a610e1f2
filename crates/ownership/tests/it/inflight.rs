//! Which map version a router reports as drained, by the requests that it has in flight.

use model::{
    DomainName, FencingToken, Incarnation, MapVersion, ServiceName, SliceId, SliceKey, Term, VmName,
};
use ownership::{DomainMap, InflightCounts, MapStamp, OwnerEntry, SlicePhase, VmId};

fn key(idx: usize) -> SliceKey {
    let slice = SliceId::all(2).nth(idx).unwrap();
    SliceKey { service: ServiceName::try_from("queue").unwrap(), slice }
}

fn token(term: u64, version: u64) -> FencingToken {
    FencingToken { epoch: 1, term: Term(term), version: MapVersion(version) }
}

/// A map of term 2 and version 9, in which slice i has `tokens[i]`.
fn map(tokens: &[FencingToken]) -> DomainMap {
    let entry = |token: &FencingToken| OwnerEntry {
        owner: None,
        token: *token,
        previous: Default::default(),
        phase: SlicePhase::Open,
    };
    DomainMap {
        domain: DomainName::try_from("d0").unwrap(),
        stamp: MapStamp { term: Term(2), version: MapVersion(9) },
        planner: VmId { name: VmName::try_from("a").unwrap(), incarnation: Incarnation(1) },
        witnesses: Default::default(),
        joint_witnesses: Default::default(),
        entries: tokens.iter().enumerate().map(|(idx, it)| (key(idx), entry(it))).collect(),
    }
}

#[test]
fn without_requests_the_newest_version_is_drained() {
    assert_eq!(InflightCounts::default().drained(&map(&[])), MapVersion(9));
}

#[test]
fn requests_under_the_current_assignment_block_nothing() {
    let mut counts = InflightCounts::default();
    counts.enter(&key(0), token(2, 5));
    assert_eq!(counts.drained(&map(&[token(2, 5)])), MapVersion(9));
}

#[test]
fn requests_under_an_older_assignment_block_the_version_that_replaced_it() {
    let mut counts = InflightCounts::default();
    counts.enter(&key(0), token(2, 3));
    let map = map(&[token(2, 7)]);
    assert_eq!(counts.drained(&map), MapVersion(6));
    counts.leave(&key(0), token(2, 3));
    assert_eq!(counts.drained(&map), MapVersion(9));
}

#[test]
fn requests_for_a_slice_that_left_the_domain_block_the_newest_version() {
    let mut counts = InflightCounts::default();
    counts.enter(&key(1), token(2, 3));
    assert_eq!(counts.drained(&map(&[token(2, 3)])), MapVersion(8));
}

#[test]
fn each_request_is_counted_until_it_leaves() {
    let mut counts = InflightCounts::default();
    counts.enter(&key(0), token(2, 3));
    counts.enter(&key(0), token(2, 3));
    counts.leave(&key(0), token(2, 3));
    assert_eq!(counts.total(), 1);
    assert_eq!(counts.drained(&map(&[token(2, 7)])), MapVersion(6));
}
