//! Cached state: reports of a server that the store carries out later than newer ones.

use std::time::Duration;

use entry::{ChangeBatch, ChangeEvent, ServerEntry, StateCache};
use model::MonoTime;
use slog::{Discard, Logger, o};

use crate::fixtures::server;

fn cache() -> StateCache {
    StateCache::new(Logger::root(Discard, o!()))
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn report(born: u64, sequence: u64) -> ServerEntry {
    ServerEntry { born, sequence, ..server("one") }
}

fn draining(born: u64, sequence: u64) -> ServerEntry {
    ServerEntry { is_draining: true, ..report(born, sequence) }
}

fn batch(revision: u64, entry: Option<ServerEntry>) -> ChangeBatch {
    let events = vec![ChangeEvent::Server(server("one").name, entry)];
    ChangeBatch { revision, events, ..ChangeBatch::default() }
}

/// The state of the only server, as the requests of callers see it.
fn shown(cache: &StateCache) -> String {
    match cache.snapshot().servers.get("one") {
        None => "gone".to_owned(),
        Some(it) if it.draining_since.is_some() => format!("draining {}", it.entry.born),
        Some(it) => format!("ready {}", it.entry.born),
    }
}

/// A cache that has seen these entries, one after the other by watches, from 0 s on.
fn watching(entries: &[Option<ServerEntry>]) -> StateCache {
    let mut cache = cache();
    cache.apply_complete(ChangeBatch { revision: 1, ..ChangeBatch::default() }, at(0));
    for (revision, entry) in (2..).zip(entries) {
        cache.apply_changes(batch(revision, entry.clone()), at(100 * revision));
    }
    cache
}

/// Guards against requests to a server that is leaving: the store carried out its write of `ready`
/// seconds late, after that of `draining`.
#[test]
fn a_late_report_of_ready_does_not_undo_draining() {
    let mut cache = watching(&[Some(report(7, 1)), Some(draining(7, 3)), Some(report(7, 2))]);
    assert_eq!(shown(&cache), "draining 7");
    cache.apply_complete(batch(9, Some(report(7, 2))), at(2_000));
    assert_eq!(shown(&cache), "draining 7", "the store itself still shows the late write");
    cache.apply_changes(batch(10, Some(report(7, 4))), at(2_500));
    assert_eq!(shown(&cache), "ready 7", "a newer report");
}

/// Guards against a late write that reaches the VMs through their relay: the relay sends none of it
/// on, and a VM that has got the newer report from another relay keeps that one.
#[test]
fn a_late_report_is_not_relayed_and_not_taken_from_a_relay() {
    let mut relay = watching(&[Some(report(7, 1)), Some(draining(7, 3))]);
    let relayed = relay.take_changes().events;
    relay.apply_changes(batch(4, Some(report(7, 2))), at(500));
    assert_eq!(relay.take_changes().events, []);
    let mut follower = cache();
    let events = relayed.into_iter().chain(relay.snapshot().to_events(at(600)));
    follower.apply_complete(
        ChangeBatch { revision: 4, events: events.collect(), ..ChangeBatch::default() },
        at(600),
    );
    // A relay that has just started knows nothing but the late write.
    let started = watching(&[Some(report(7, 2))]);
    let events = started.snapshot().to_events(at(700));
    follower.apply_complete(ChangeBatch { revision: 5, events, ..ChangeBatch::default() }, at(700));
    assert_eq!(shown(&follower), "draining 7");
}

/// Guards against an instance that counts as ended though it lives, and its keys as free: a write of
/// the instance before it was carried out late.
#[test]
fn a_late_report_of_an_earlier_instance_does_not_replace_the_current_one() {
    let cache = watching(&[Some(report(7, 5)), Some(report(9, 1)), Some(report(7, 6))]);
    assert_eq!(shown(&cache), "ready 9");
}

/// Guards against requests to a server that has left: its entry was removed, and a late write made it
/// appear once more.
#[test]
fn a_late_report_does_not_bring_back_a_server_that_is_gone() {
    let cache = watching(&[Some(report(7, 1)), Some(draining(7, 3)), None, Some(report(7, 2))]);
    assert_eq!(shown(&cache), "gone");
    let cache = watching(&[Some(report(9, 1)), None, Some(report(7, 5))]);
    assert_eq!(shown(&cache), "gone");
    let cache = watching(&[Some(report(7, 1)), None, Some(report(7, 2))]);
    assert_eq!(shown(&cache), "ready 7", "a server whose entry lapsed while it lives");
}

/// Guards against a server that is ignored for good: the clock that tells its starts was set back
/// between two of them.
#[test]
fn an_earlier_start_time_is_believed_once_no_late_write_can_show_it() {
    let mut cache = watching(&[Some(report(9, 1))]);
    cache.apply_changes(batch(20, Some(report(7, 8))), at(9_000));
    assert_eq!(shown(&cache), "ready 9");
    cache.apply_changes(batch(21, Some(report(7, 9))), at(10_300));
    assert_eq!(shown(&cache), "ready 7");
    let mut cache = watching(&[Some(report(9, 1)), None]);
    cache.apply_changes(batch(21, Some(report(7, 1))), at(10_400));
    assert_eq!(shown(&cache), "ready 7");
}

/// Load pattern: each server reports about once a second. A report that shows nothing but its own
/// number must not be sent to all VMs.
#[test]
fn a_report_with_nothing_new_but_its_number_is_not_relayed() {
    let mut cache = watching(&[Some(report(7, 1))]);
    cache.take_changes();
    cache.apply_changes(batch(3, Some(report(7, 2))), at(1_000));
    assert_eq!(cache.take_changes().events, []);
    let cold = ServerEntry { cold_left: Duration::from_secs(3), ..report(7, 1) };
    cache.apply_changes(batch(4, Some(cold)), at(1_100));
    assert_eq!(cache.take_changes().events, [], "older than what was not relayed");
    assert!(cache.snapshot().servers["one"].cold_until <= at(1_100));
}
