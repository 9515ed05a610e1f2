//! What a process believes of servers around outages of the store.

use std::{sync::Arc, time::Duration};

use entry::{BeliefState, FeedEvent, FeedNews, ServerEntry, StoredShards};
use model::{DomainName, MonoTime, ServerName, ServiceName};
use ownership::{KeyRange, ServerLife, ShardEntry, ShardHolder, ShardRecord};
use slog::{Discard, Logger, o};

fn server(name: &str) -> ServerEntry {
    ServerEntry {
        name: ServerName::try_from(name).expect("a name"),
        service: ServiceName::try_from("archive").expect("a name"),
        address: "127.0.0.1:9".parse().expect("an address"),
        domain: DomainName::try_from("west-a").expect("a name"),
        slots: 4,
        is_draining: false,
        cold_left: Duration::ZERO,
        born: 7,
    }
}

fn news(revision: u64, names: &[&str]) -> FeedNews {
    let seen = |it: &&str| FeedEvent::Server(server(it).name, Some(server(it)));
    FeedNews { revision, events: names.iter().map(seen).collect() }
}

fn usable(state: &BeliefState) -> Vec<String> {
    let service = ServiceName::try_from("archive").expect("a name");
    state.snapshot().usable(&service).map(|it| it.entry.name.to_string()).collect()
}

fn state() -> BeliefState {
    BeliefState::new(Logger::root(Discard, o!()))
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// A VM that was cut off kept sending to a server that had left meanwhile (scale-2 of ezelhoek).
#[test]
fn a_server_missing_after_an_outage_gets_nothing_while_others_are_listed() {
    let mut state = state();
    state.apply_all(news(1, &["one", "two"]), at(0));
    state.note_fault(at(5_000));
    state.apply_all(news(9, &["two"]), at(5_100));
    assert_eq!(usable(&state), ["two"]);
}

#[test]
fn servers_that_lapsed_all_together_are_used_until_they_had_time_to_return() {
    let mut state = state();
    state.apply_all(news(1, &["one", "two"]), at(0));
    state.note_fault(at(5_000));
    state.apply_all(news(9, &[]), at(5_100));
    assert_eq!(usable(&state), ["one", "two"]);
    assert!(!state.needs_rereading(at(7_000)), "they have two seconds");
    assert!(state.needs_rereading(at(7_400)));
    state.apply_all(news(12, &["two"]), at(7_450));
    assert_eq!(usable(&state), ["two"]);
}

#[test]
fn a_server_removed_while_the_store_answers_is_gone_at_once() {
    let mut state = state();
    state.apply_all(news(1, &["one", "two"]), at(0));
    let gone = FeedEvent::Server(server("one").name, None);
    state.apply_news(FeedNews { revision: 2, events: vec![gone] }, at(500));
    assert_eq!(usable(&state), ["two"]);
}

/// Followers of the assigner's VM missed shards whose datagram was lost (quiet-1 of sabana-gw).
#[test]
fn shards_known_from_a_datagram_are_still_passed_on_as_news() {
    let mut state = state();
    let service = ServiceName::try_from("archive").expect("a name");
    let life = ServerLife {
        server: server("one").name,
        born: 7,
        address: "127.0.0.1:9".parse().expect("an address"),
    };
    let entry = ShardEntry {
        range: KeyRange::ALL,
        holder: ShardHolder { life, token: 1 },
        leaving: Vec::new(),
    };
    let record = ShardRecord { next_token: 2, entries: vec![entry] };
    let stored = StoredShards { revision: 5, record: Arc::new(record.clone()) };
    assert!(state.note_shards(service, stored));
    let event = FeedEvent::Record {
        name: "shards/archive".to_owned(),
        revision: 5,
        value: Some(serde_json::to_vec(&record).expect("encoded").into()),
    };
    let changes = state.apply_news(FeedNews { revision: 5, events: vec![event.clone()] }, at(9));
    assert_eq!(changes, [event]);
}
