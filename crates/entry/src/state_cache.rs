//! Cached state: applies changes from the store, a relay or the assigner to one state per process.

mod records;
mod servers;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use model::{DomainName, MonoTime, ServerName, ServiceName, VmName};
use ownership::KeyRange;
use serde::Serialize;
use slog::{Logger, info, warn};

use crate::{
    BatchScope, ChangeBatch, ChangeEvent, RelayBatch, StateSnapshot, StoredShards, era_of,
    position, revision_of,
};

use servers::LatestReport;

/// Name of the assigner's record.
pub const ASSIGNER_RECORD: &str = "assigner";

/// Name of the record of the number of VMs.
pub const FLEET_RECORD: &str = "fleet";

/// Prefix of the names of shard records, before the service's name.
pub const SHARDS_PREFIX: &str = "shards/";

/// Prefix of the names of presence records, before the VM's name.
pub const VM_PREFIX: &str = "vm/";

/// Time after a failed store call during which a removed server counts as missing rather than gone,
/// because its lease may have lapsed in the outage.
const LAPSE_WINDOW: Duration = Duration::from_millis(2_300);

/// Time after a change of the store's era within which operators and servers have written again what it had
/// lost.
const REWRITE_TIME: Duration = Duration::from_millis(10_000);

/// Encodes a record of the entry processes as JSON.
pub fn encode_record<T: Serialize>(value: &T) -> Bytes {
    // These records contain nothing that JSON cannot express.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

/// The cached state, and what is needed to keep it up to date.
#[derive(Debug)]
pub struct StateCache {
    snapshot: StateSnapshot,
    /// Shard records as stored; in the snapshot, the ranges in `acked` are settled as well.
    stored: BTreeMap<ServiceName, StoredShards>,
    /// Ranges, with their token, that the new holder has acknowledged and `stored` does not yet
    /// show as settled.
    acked: BTreeMap<ServiceName, Vec<(KeyRange, u64)>>,
    /// Changes not yet taken by `take_changes`, for VMs that use this one as their relay.
    changes: Vec<ChangeEvent>,
    /// Revision of the state when changes were last taken.
    taken_revision: u64,
    /// Whether the changes since then are a difference between two states.
    is_difference: bool,
    /// Whether changes may be missing since the last complete read.
    is_incomplete: bool,
    /// Servers whose entries can't be decoded, each of which has been logged.
    unreadable: BTreeSet<ServerName>,
    /// The newest report of each server, also of those that have gone shortly before.
    latest_reports: BTreeMap<ServerName, LatestReport>,
    /// When the presence records of VMs that still have their share were removed.
    departed_vms: BTreeMap<VmName, MonoTime>,
    /// When a call to the store last failed; `None` once a complete read has been requested.
    store_failed_at: Option<MonoTime>,
    /// When this process learned that the store had come back from an older copy.
    era_changed_at: Option<MonoTime>,
    /// Removals of evacuations and VMs that the copy doesn't have, by key. They wait until operators and VMs
    /// have written again what the store had lost.
    pending_removals: BTreeMap<String, ChangeEvent>,
    /// Whether servers have joined or left since they were last indexed by service.
    is_index_stale: bool,
    /// Whether a complete state has been applied.
    has_complete_state: bool,
    log: Logger,
}

impl StateCache {
    /// Creates an empty cache.
    pub fn new(log: Logger) -> Self {
        Self {
            snapshot: StateSnapshot::default(),
            stored: BTreeMap::new(),
            acked: BTreeMap::new(),
            changes: Vec::new(),
            taken_revision: 0,
            is_difference: false,
            is_incomplete: false,
            unreadable: BTreeSet::new(),
            latest_reports: BTreeMap::new(),
            departed_vms: BTreeMap::new(),
            store_failed_at: None,
            era_changed_at: None,
            pending_removals: BTreeMap::new(),
            is_index_stale: false,
            has_complete_state: false,
            log,
        }
    }

    /// The current state.
    pub fn snapshot(&self) -> &StateSnapshot {
        &self.snapshot
    }

    /// Takes the changes that no earlier call has taken, in order. While changes may be missing, none
    /// are taken: later they are the difference that the next complete read makes.
    pub fn take_changes(&mut self) -> RelayBatch {
        let to = self.snapshot.revision;
        if self.is_incomplete {
            return RelayBatch { from: to, to, ..RelayBatch::default() };
        }
        RelayBatch {
            from: std::mem::replace(&mut self.taken_revision, to),
            to,
            is_difference: std::mem::take(&mut self.is_difference),
            events: std::mem::take(&mut self.changes),
        }
    }

    /// Whether changes may be missing, so that only a complete read helps.
    pub fn is_incomplete(&self) -> bool {
        self.is_incomplete
    }

    /// Records that a call to the store failed.
    pub fn note_store_failure(&mut self, now: MonoTime) {
        self.store_failed_at = Some(now);
    }

    /// Whether an outage of the store is so recent that servers may be missing from it only because
    /// their leases lapsed.
    fn is_lapse_possible(&self, now: MonoTime) -> bool {
        self.store_failed_at.is_some_and(|it| now.since(it) < LAPSE_WINDOW)
    }

    /// Applies changes. Returns whether the state is complete up to the batch's revision: it is not
    /// after a gap, or if a shard update among them was not contiguous with the cached record. The
    /// state's revision and its age then stay as they were.
    pub fn apply_changes(&mut self, batch: ChangeBatch, now: MonoTime) -> bool {
        let ChangeBatch { revision, scope, age, .. } = batch;
        self.note_era(revision, now);
        self.is_difference |= scope == BatchScope::Difference;
        let mut is_contiguous = scope != BatchScope::Gap;
        for event in batch.events {
            match event {
                ChangeEvent::Shards(update) => is_contiguous &= self.apply_shard_update(update),
                event => self.apply_and_queue(event, now),
            }
        }
        self.update_index();
        self.drop_departed_vms(now);
        self.apply_pending_removals(now);
        self.is_incomplete |= !is_contiguous;
        if is_contiguous {
            self.snapshot.revision = self.snapshot.revision.max(revision);
            // The store has confirmed the state up to the last change that the batch contains, but
            // after a partial one it is not known when that was.
            if scope != BatchScope::Partial {
                self.snapshot.synced_at = self.snapshot.synced_at.max(now - age);
            }
        }
        is_contiguous
    }

    /// Notices that a batch is of a later era than the state: what was written since the copy is gone from
    /// the store, and those who need it write it again.
    fn note_era(&mut self, revision: u64, now: MonoTime) {
        let (known, era) = (era_of(self.snapshot.revision), era_of(revision));
        if self.snapshot.revision == 0 || era <= known {
            return;
        }
        info!(self.log, "era-adopted"; "from" => known, "to" => era,
            "revision_before" => revision_of(self.snapshot.revision),
            "revision" => revision_of(revision));
        self.era_changed_at = Some(now);
        // Servers that the copy doesn't list may only have to register again.
        self.note_store_failure(now);
    }

    /// Whether the store has come back from an older copy so shortly before that what it lost may be written
    /// again.
    fn is_rewriting(&self, now: MonoTime) -> bool {
        self.era_changed_at.is_some_and(|it| now.since(it) < REWRITE_TIME)
    }

    /// Removes what nobody has written again for a while.
    fn apply_pending_removals(&mut self, now: MonoTime) {
        if self.is_rewriting(now) {
            return;
        }
        for event in std::mem::take(&mut self.pending_removals).into_values() {
            self.apply_and_queue(event, now);
        }
    }

    /// Indexes the servers by service, once for all changes of a batch.
    fn update_index(&mut self) {
        if std::mem::take(&mut self.is_index_stale) {
            self.snapshot.index_servers();
        }
    }

    fn apply_and_queue(&mut self, event: ChangeEvent, now: MonoTime) {
        if self.apply_event(event.clone(), now) {
            self.changes.push(match event {
                ChangeEvent::UnreadableServer { name, .. } => ChangeEvent::Server(name, None),
                event => event,
            });
        }
    }

    /// Applies the complete state, and removes the servers, evacuations, VMs and the assigner that
    /// it does not contain. The plan and shard records are never removed.
    pub fn apply_complete(&mut self, batch: ChangeBatch, now: MonoTime) {
        let batch = ChangeBatch { scope: BatchScope::Difference, ..batch };
        self.is_incomplete = false;
        let mut listed = ListedNames::default();
        for event in &batch.events {
            listed.add(event);
        }
        let era = era_of(batch.revision);
        self.apply_changes(batch, now);
        self.keep_unlisted_shards(&listed, era);
        let is_rewriting = self.is_rewriting(now);
        for event in self.removals_of_unlisted(&listed) {
            match rewritten_key(&event).filter(|_| is_rewriting) {
                Some(key) => _ = self.pending_removals.insert(key, event),
                None => self.apply_and_queue(event, now),
            }
        }
        self.update_index();
        if !std::mem::replace(&mut self.has_complete_state, true) {
            self.snapshot.initial_vms = self.snapshot.vms.clone();
            info!(self.log, "state-read"; "revision" => self.snapshot.revision,
                "servers" => self.snapshot.servers.len(), "vms" => self.snapshot.vms.len());
        }
    }

    /// Places the cached shard records that the store lacks at the beginning of its era, so that the next
    /// write creates them.
    fn keep_unlisted_shards(&mut self, listed: &ListedNames, era: u64) {
        let is_lost = |(service, it): (&ServiceName, &StoredShards)| {
            let is_listed = listed.records.contains(&format!("{SHARDS_PREFIX}{service}"));
            (!is_listed && era_of(it.revision) < era).then(|| service.clone())
        };
        let lost: Vec<ServiceName> = self.stored.iter().filter_map(is_lost).collect();
        for service in lost {
            if let Some(stored) = self.stored.get(&service).cloned() {
                let revision = position(era, 0);
                self.set_shards(service, StoredShards { revision, ..stored });
            }
        }
    }

    /// Events that remove the cached servers, evacuations, VMs and assigner that are not listed.
    fn removals_of_unlisted(&self, listed: &ListedNames) -> Vec<ChangeEvent> {
        let snapshot = &self.snapshot;
        let servers = snapshot.servers.keys().chain(&self.unreadable);
        let servers = servers.filter(|it| !listed.servers.contains(*it));
        let mut events: Vec<ChangeEvent> =
            servers.map(|it| ChangeEvent::Server(it.clone(), None)).collect();
        let domains = snapshot.evacuated.keys().filter(|it| !listed.domains.contains(*it));
        events.extend(domains.map(|it| ChangeEvent::Evacuation(it.clone(), false)));
        let vms = snapshot.vms.keys().map(|it| format!("{VM_PREFIX}{it}"));
        let assigner = snapshot.assigner.iter().map(|_| ASSIGNER_RECORD.to_owned());
        let records = vms.chain(assigner).filter(|it| !listed.records.contains(it));
        // VM records ignore the revision; the assigner's removal must not be older than its record.
        let revision = snapshot.assigner_revision;
        events.extend(records.map(|name| ChangeEvent::Record { name, revision, value: None }));
        events
    }

    /// Applies a change. Returns whether the caller must add the event to `changes`: not if nothing
    /// has changed, nor for a shard record, whose event `set_shards` adds. Shard updates are
    /// handled by `apply_changes`.
    fn apply_event(&mut self, event: ChangeEvent, now: MonoTime) -> bool {
        if let Some(key) = rewritten_key(&event) {
            self.pending_removals.remove(&key);
        }
        match event {
            ChangeEvent::Plan(plan) => {
                let cached = self.snapshot.plan.as_ref().map_or(0, |it| it.version);
                if plan.version <= cached {
                    return false;
                }
                info!(self.log, "plan-in-force"; "version" => plan.version, "previous" => cached,
                    "from_revision" => self.snapshot.revision);
                self.snapshot.plan = Some(Arc::new(plan));
                true
            }
            ChangeEvent::Server(name, entry) => {
                self.unreadable.remove(&name);
                match entry {
                    Some(entry) => self.update_server(name, entry, now),
                    None => self.remove_server(&name, now),
                }
            }
            ChangeEvent::UnreadableServer { name, cause } => {
                // Its writer may write it again and again.
                if self.unreadable.insert(name.clone()) {
                    warn!(self.log, "server-unreadable"; "server" => %name, "cause" => cause);
                }
                self.drop_server(&name, now)
            }
            ChangeEvent::Evacuation(domain, true) => {
                let is_new = !self.snapshot.evacuated.contains_key(&domain);
                if is_new {
                    info!(self.log, "domain-evacuated"; "domain" => %domain);
                    self.snapshot.evacuated.insert(domain, self.leave_start());
                }
                is_new
            }
            ChangeEvent::Evacuation(domain, false) => {
                let is_changed = self.snapshot.evacuated.remove(&domain).is_some();
                if is_changed {
                    info!(self.log, "domain-returned"; "domain" => %domain);
                }
                is_changed
            }
            ChangeEvent::Record { name, revision, value } => {
                self.update_record(&name, revision, value, now)
            }
            ChangeEvent::Shards(update) => self.apply_shard_update(update),
            ChangeEvent::Unreadable { name, cause } => {
                warn!(self.log, "change-unreadable"; "what" => name, "cause" => cause);
                false
            }
        }
    }

    /// Whether a complete read is due, because servers removed around an outage were kept as
    /// missing. Returns true only once per outage.
    pub fn take_complete_read_due(&mut self, now: MonoTime) -> bool {
        let is_due = self.store_failed_at.is_some_and(|it| now.since(it) >= LAPSE_WINDOW);
        if is_due {
            self.store_failed_at = None;
        }
        is_due
    }
}

/// Key of an evacuation or a VM's presence, which its writer writes again if the store loses it.
fn rewritten_key(event: &ChangeEvent) -> Option<String> {
    match event {
        ChangeEvent::Evacuation(domain, _) => Some(format!("evacuated/{domain}")),
        ChangeEvent::Record { name, .. } if name.starts_with(VM_PREFIX) => Some(name.clone()),
        _ => None,
    }
}

/// Names that a complete read contains, those of entries that can't be decoded included.
#[derive(Debug, Default)]
struct ListedNames {
    servers: BTreeSet<ServerName>,
    domains: BTreeSet<DomainName>,
    records: BTreeSet<String>,
}

impl ListedNames {
    fn add(&mut self, event: &ChangeEvent) {
        match event {
            ChangeEvent::Server(name, Some(_)) | ChangeEvent::UnreadableServer { name, .. } => {
                self.servers.insert(name.clone());
            }
            ChangeEvent::Evacuation(domain, true) => _ = self.domains.insert(domain.clone()),
            ChangeEvent::Record { name, .. } => _ = self.records.insert(name.clone()),
            _ => (),
        }
    }
}
