//! Cached state: servers around store outages, shard updates, and what is relayed to other VMs.

use std::{sync::Arc, time::Duration};

use entry::{
    AckedRange, BatchScope, ChangeBatch, ChangeEvent, LeaveStart, RelayBatch, ServerEntry,
    ShardUpdate, StateCache, StoredShards,
};
use model::{MonoTime, ServiceName};
use ownership::{KeyRange, ServerInstance, ShardDelta, ShardEntry, ShardHolder, ShardRecord};
use slog::{Discard, Logger, o};

use crate::fixtures::server;

fn batch(revision: u64, names: &[&str]) -> ChangeBatch {
    let event = |it: &&str| ChangeEvent::Server(server(it).name, Some(server(it)));
    ChangeBatch { revision, events: names.iter().map(event).collect(), ..ChangeBatch::default() }
}

fn usable(cache: &StateCache) -> Vec<String> {
    let service = ServiceName::try_from("archive").expect("a name");
    cache.snapshot().usable(&service).map(|it| it.entry.name.to_string()).collect()
}

fn cache() -> StateCache {
    StateCache::new(Logger::root(Discard, o!()))
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Guards against sending to a server that left while this VM was partitioned from the store.
#[test]
fn a_server_missing_after_an_outage_is_unused_while_others_are_listed() {
    let mut cache = cache();
    cache.apply_complete(batch(1, &["one", "two"]), at(0));
    cache.note_store_failure(at(5_000));
    cache.apply_complete(batch(9, &["two"]), at(5_100));
    assert_eq!(usable(&cache), ["two"]);
}

#[test]
fn servers_whose_leases_all_lapsed_are_used_until_they_had_time_to_return() {
    let mut cache = cache();
    cache.apply_complete(batch(1, &["one", "two"]), at(0));
    cache.note_store_failure(at(5_000));
    cache.apply_complete(batch(9, &[]), at(5_100));
    assert_eq!(usable(&cache), ["one", "two"]);
    assert!(!cache.take_complete_read_due(at(7_000)), "servers have two seconds to return");
    assert!(cache.take_complete_read_due(at(7_400)));
    cache.apply_complete(batch(12, &["two"]), at(7_450));
    assert_eq!(usable(&cache), ["two"]);
}

#[test]
fn a_server_removed_while_the_store_answers_is_removed_at_once() {
    let mut cache = cache();
    cache.apply_complete(batch(1, &["one", "two"]), at(0));
    let removal = ChangeEvent::Server(server("one").name, None);
    cache.apply_changes(
        ChangeBatch { revision: 2, events: vec![removal], ..ChangeBatch::default() },
        at(500),
    );
    assert_eq!(usable(&cache), ["two"]);
}

fn archive() -> ServiceName {
    ServiceName::try_from("archive").expect("a name")
}

fn instance(name: &str) -> ServerInstance {
    let address = "127.0.0.1:9".parse().expect("an address");
    ServerInstance { server: server(name).name, born: 7, address }
}

fn shards(token: u64, leaving: &[u64]) -> ShardRecord {
    let holder = |token| ShardHolder { instance: instance("one"), token };
    let leaving = leaving.iter().map(|it| holder(*it)).collect();
    let entry = ShardEntry { range: KeyRange::ALL, holder: holder(token), leaving };
    ShardRecord { next_token: token + 1, entries: vec![entry] }
}

fn stored(revision: u64, record: &ShardRecord) -> StoredShards {
    StoredShards { revision, record: Arc::new(record.clone()) }
}

/// Guards against lost shard updates: VMs that use the assigner's VM as their relay missed an
/// update when its datagram was lost.
#[test]
fn shards_written_or_received_directly_are_relayed_once_as_an_update() {
    let mut cache = cache();
    cache.set_shards(archive(), stored(5, &shards(1, &[])));
    cache.take_changes();
    cache.set_shards(archive(), stored(8, &shards(2, &[1])));
    let [ChangeEvent::Shards(update)] = &cache.take_changes().events[..] else {
        panic!("expected one shard update");
    };
    assert_eq!((update.base, update.revision), (5, 8));
    let event = ChangeEvent::Record {
        name: "shards/archive".to_owned(),
        revision: 8,
        value: Some(serde_json::to_vec(&shards(2, &[1])).expect("encoded").into()),
    };
    cache.apply_changes(
        ChangeBatch { revision: 8, events: vec![event], ..ChangeBatch::default() },
        at(9),
    );
    assert_eq!(cache.take_changes().events, []);
}

#[test]
fn a_shard_update_that_is_not_contiguous_is_refused() {
    let (old, new) = (shards(1, &[]), shards(2, &[1]));
    let update = ShardUpdate {
        service: archive(),
        base: 6,
        revision: 8,
        delta: ShardDelta::between(&old, &new),
    };
    let mut cache = cache();
    cache.set_shards(archive(), stored(5, &old));
    assert!(!cache.apply_shard_update(update.clone()), "revision 6 is missing");
    assert!(cache.apply_shard_update(ShardUpdate { base: 5, ..update }));
    assert_eq!(*cache.snapshot().shards[&archive()].record, new);
}

#[test]
fn an_acked_range_stays_settled_when_the_store_repeats_the_record() {
    let moving = shards(2, &[1]);
    let mut cache = cache();
    cache.set_shards(archive(), stored(8, &moving));
    let acked = AckedRange { service: archive(), revision: 8, range: KeyRange::ALL, token: 2 };
    cache.apply_acked_range(acked);
    cache.set_shards(archive(), stored(9, &moving));
    let record = cache.snapshot().shards[&archive()].record.clone();
    assert!(record.entries[0].is_settled());
    assert!(!cache.stored_shards(&archive()).expect("stored").record.entries[0].is_settled());
}

/// Guards against sending to a draining owner after its drain time. A VM may learn late that the
/// owner drains: by 0.5 s if the assigner is frozen, by 1.4 s if the relay is partitioned from the
/// store (found with seed 1067503916030).
#[test]
fn a_draining_owner_is_unused_after_its_drain_time_even_if_the_change_arrives_late() {
    let mut cache = cache();
    cache.apply_complete(batch(1, &["one"]), at(0));
    cache.apply_changes(draining("one", 2), at(1_400));
    let owner = &cache.snapshot().servers["one"];
    let drain = Duration::from_secs(2);
    assert!(owner.is_usable_owner(drain, at(1_500)));
    assert!(
        !owner.is_usable_owner(drain, at(1_950)),
        "the server's drain time of two seconds may be over"
    );
    cache.apply_changes(draining("one", 3), at(1_960));
    assert!(!cache.snapshot().servers["one"].is_usable_owner(drain, at(1_970)), "reported again");
}

/// Guards against sending to a server after its drain time because this process has just started, or
/// sees the server for the first time: it may have been draining for long.
#[test]
fn a_server_that_was_draining_when_it_was_first_seen_is_no_usable_owner() {
    let drain = Duration::from_secs(2);
    let mut started = cache();
    started.apply_complete(draining("one", 1), at(100));
    assert!(!started.snapshot().servers["one"].is_usable_owner(drain, at(110)));
    let mut running = cache();
    running.apply_complete(batch(1, &["two"]), at(0));
    running.apply_changes(draining("one", 2), at(3_000));
    assert!(!running.snapshot().servers["one"].is_usable_owner(drain, at(3_010)));
}

fn draining(name: &str, revision: u64) -> ChangeBatch {
    let entry = ServerEntry { is_draining: true, ..server(name) };
    let event = ChangeEvent::Server(entry.name.clone(), Some(entry));
    ChangeBatch { revision, events: vec![event], ..ChangeBatch::default() }
}

/// Guards against requests to an evacuated domain after its time: the evacuation counts from the last
/// state without it, not from when this VM learned of it.
#[test]
fn an_evacuation_counts_from_the_last_state_without_it() {
    let domain = server("one").domain;
    let evacuation = ChangeEvent::Evacuation(domain.clone(), true);
    let mut started = cache();
    started.apply_complete(records(1, vec![evacuation.clone()]), at(100));
    assert_eq!(started.snapshot().evacuated[&domain], LeaveStart::Unknown);
    let mut running = cache();
    running.apply_complete(batch(1, &["one"]), at(1_000));
    running.apply_changes(records(2, vec![evacuation]), at(7_000));
    assert_eq!(running.snapshot().evacuated[&domain], LeaveStart::After(at(1_000)));
}

/// Guards against reviving removed servers: a relay that had been partitioned sent its clients
/// servers that they knew to be removed, and they added them again (found with seed 130372198713).
#[test]
fn missing_servers_are_not_relayed_to_other_vms() {
    let mut cache = cache();
    cache.apply_complete(batch(1, &["one", "two"]), at(0));
    cache.note_store_failure(at(5_000));
    cache.apply_complete(batch(9, &["two"]), at(5_100));
    let events = cache.snapshot().to_events(at(5_200));
    let servers = events.iter().filter(|it| matches!(it, ChangeEvent::Server(..)));
    assert_eq!(servers.count(), 1);
    assert_eq!(cache.snapshot().revision, 9);
}

fn record(name: &str, revision: u64, value: Option<&[u8]>) -> ChangeEvent {
    let value = value.map(bytes::Bytes::copy_from_slice);
    ChangeEvent::Record { name: name.to_owned(), revision, value }
}

fn records(revision: u64, events: Vec<ChangeEvent>) -> ChangeBatch {
    ChangeBatch { revision, events, ..ChangeBatch::default() }
}

const ASSIGNER: &[u8] =
    br#"{"vm":"vm-1","incarnation":3,"reports":"127.0.0.1:1","has_resigned":false}"#;
const PRESENCE: &[u8] = br#"{"domain":"west-a","strength":500,"reports":"127.0.0.1:1","news":"127.0.0.1:2","incarnation":3}"#;

/// Guards against giving up a living assigner or VM because one of its records can't be read, as
/// after a newer version wrote it.
#[test]
fn an_unreadable_record_removes_neither_assigner_nor_vm() {
    let mut cache = cache();
    let written = vec![record("assigner", 4, Some(ASSIGNER)), record("vm/vm-1", 5, Some(PRESENCE))];
    cache.apply_changes(records(5, written), at(0));
    assert!(cache.snapshot().assigner.is_some());
    assert_eq!(cache.snapshot().vms.len(), 1);
    let unreadable = vec![record("assigner", 6, Some(b"{")), record("vm/vm-1", 7, Some(b"{"))];
    cache.apply_changes(records(7, unreadable), at(10));
    assert!(cache.snapshot().assigner.is_some());
    assert_eq!(cache.snapshot().vms.len(), 1);
}

/// Guards against taking a VM for the assigner again after its lease has ended, because a slower
/// source delivers its old record once more.
#[test]
fn an_assigner_whose_record_was_removed_is_not_restored_by_an_older_change() {
    let mut cache = cache();
    cache.apply_changes(records(4, vec![record("assigner", 4, Some(ASSIGNER))]), at(0));
    cache.apply_changes(records(9, vec![record("assigner", 9, None)]), at(10));
    cache.apply_changes(records(9, vec![record("assigner", 4, Some(ASSIGNER))]), at(20));
    assert_eq!(cache.snapshot().assigner, None);
}

/// Load pattern: a VM with a tenth of a core starts in a large fleet and reads thousands of servers
/// at once. The index of servers was rebuilt for each of them, which delayed readiness by seconds.
#[test]
fn a_complete_state_is_applied_in_time_proportional_to_its_servers() {
    let seconds_for = |n_servers: usize| {
        let names: Vec<String> = (0..n_servers).map(|it| format!("server-{it:05}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let batch = batch(9, &names);
        let mut cache = cache();
        let started = std::time::Instant::now();
        cache.apply_complete(batch, at(0));
        assert_eq!(usable(&cache).len(), n_servers);
        started.elapsed().as_secs_f64()
    };
    // The shortest of several runs is the one that nothing interrupted.
    let shortest = |n_servers| (0..5).map(|_| seconds_for(n_servers)).fold(f64::MAX, f64::min);
    let (small, large) = (shortest(500), shortest(5_000));
    // Ten times the servers; rebuilding the index for each takes a hundred times as long.
    assert!(large < small.max(0.002) * 40.0, "{small} s for 500, {large} s for 5,000");
}

/// Guards against too many requests at a cold server: it became cold again before its first cold
/// period had ended, as when its domain is taken back, and only VMs that watch the store learned of
/// it.
#[test]
fn a_server_that_becomes_cold_again_while_it_is_cold_is_relayed() {
    let cold = |cold_ms| {
        let entry = ServerEntry { cold_left: Duration::from_millis(cold_ms), ..server("one") };
        let events = vec![ChangeEvent::Server(entry.name.clone(), Some(entry))];
        ChangeBatch { revision: 9, events, ..ChangeBatch::default() }
    };
    let mut cache = cache();
    cache.apply_changes(cold(3_000), at(0));
    cache.take_changes();
    cache.apply_changes(cold(2_200), at(1_000));
    assert_eq!(cache.take_changes().events, [], "the same period, reported again");
    cache.apply_changes(cold(3_000), at(2_000));
    assert_eq!(cache.take_changes().events.len(), 1);
}

/// Load pattern: VMs read the complete state again when their source of changes becomes another one,
/// and relay what has changed. Each warm server counted as changed, so that relays sent hundreds of
/// servers to each VM of their domain and had no room for other changes.
#[test]
fn a_warm_server_that_is_read_again_is_not_relayed() {
    let mut cache = cache();
    cache.apply_complete(batch(1, &["one", "two"]), at(0));
    cache.take_changes();
    cache.apply_complete(batch(2, &["one", "two"]), at(2_000));
    assert_eq!(cache.take_changes().events, []);
}

/// Guards against followers that keep what a server published before: only the VM that watches the
/// store learned that it has fewer slots or belongs to another failure domain.
#[test]
fn every_changed_field_of_a_server_is_relayed() {
    let changed = [
        ServerEntry { slots: 2, ..server("one") },
        ServerEntry { domain: "west-b".try_into().expect("a name"), ..server("one") },
        ServerEntry { service: "queue".try_into().expect("a name"), ..server("one") },
        ServerEntry { is_draining: true, ..server("one") },
        ServerEntry { born: 8, ..server("one") },
    ];
    for entry in changed {
        let mut cache = cache();
        cache.apply_changes(batch(1, &["one"]), at(0));
        cache.take_changes();
        let event = ChangeEvent::Server(entry.name.clone(), Some(entry));
        cache.apply_changes(records(2, vec![event.clone()]), at(10));
        assert_eq!(cache.take_changes().events, [event]);
    }
}

/// Guards against a server that is counted under its former service, so that it gets that service's
/// requests.
#[test]
fn a_server_that_changes_its_service_is_usable_for_the_new_one_only() {
    let mut cache = cache();
    cache.apply_changes(batch(1, &["one"]), at(0));
    let queue = ServiceName::try_from("queue").expect("a name");
    let entry = ServerEntry { service: queue.clone(), ..server("one") };
    let event = ChangeEvent::Server(entry.name.clone(), Some(entry));
    cache.apply_changes(records(2, vec![event]), at(10));
    assert_eq!(usable(&cache), Vec::<String>::new());
    assert_eq!(cache.snapshot().usable(&queue).count(), 1);
}

/// Guards against a position that promises more than the state has: after a gap, the revision was
/// raised at once, and whoever continued there never learned what the gap had hidden.
#[test]
fn a_gap_leaves_the_revision_as_it_was_until_the_complete_state_is_read() {
    let mut cache = cache();
    cache.apply_complete(batch(10, &["one", "two"]), at(0));
    cache.take_changes();
    let gap = ChangeBatch { scope: BatchScope::Gap, ..batch(40, &["three"]) };
    assert!(!cache.apply_changes(gap, at(500)));
    assert_eq!((cache.snapshot().revision, cache.snapshot().synced_at), (10, at(0)));
    assert!(cache.is_incomplete());
    assert_eq!(cache.take_changes(), RelayBatch { from: 10, to: 10, ..RelayBatch::default() });
    cache.apply_complete(batch(40, &["one", "three"]), at(600));
    assert!(!cache.is_incomplete());
    let taken = cache.take_changes();
    assert_eq!((taken.from, taken.to, taken.is_difference), (10, 40, true));
    let names: Vec<String> = taken
        .events
        .iter()
        .map(|it| match it {
            ChangeEvent::Server(name, entry) => format!("{name} {}", entry.is_some()),
            event => panic!("{event:?}"),
        })
        .collect();
    assert_eq!(names, ["three true", "two false"], "with what the gap had shown");
}

/// Guards against a state that counts as current although the answer with it was a second on its way:
/// the changes of that second are not in it.
#[test]
fn a_state_is_as_old_as_the_answer_that_confirmed_it() {
    let mut cache = cache();
    cache.apply_complete(batch(10, &["one"]), at(0));
    let slow = ChangeBatch { age: Duration::from_millis(1_300), ..batch(20, &["two"]) };
    cache.apply_changes(slow, at(2_000));
    assert_eq!((cache.snapshot().revision, cache.snapshot().synced_at), (20, at(700)));
    let older = ChangeBatch { age: Duration::from_millis(1_900), ..batch(20, &[]) };
    cache.apply_changes(older, at(2_100));
    assert_eq!(cache.snapshot().synced_at, at(700), "an older answer makes no state older");
}

/// Guards against a state that counts as current although the store had more changes than it sends at
/// a time.
#[test]
fn a_partial_answer_does_not_confirm_the_state() {
    let mut cache = cache();
    cache.apply_complete(batch(10, &["one"]), at(0));
    let partial = ChangeBatch { scope: BatchScope::Partial, ..batch(20, &["two"]) };
    cache.apply_changes(partial, at(2_000));
    assert_eq!((cache.snapshot().revision, cache.snapshot().synced_at), (20, at(0)));
}
