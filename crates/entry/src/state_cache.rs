//! Cached state: applies changes from the store, a relay or the assigner to one state per process.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use model::{DomainName, MonoTime, ServerName, ServiceName, VmName};
use ownership::{KeyRange, ShardDelta, ShardRecord};
use serde::{Serialize, de::DeserializeOwned};
use slog::{Logger, info, warn};

use crate::{
    BatchScope, CachedServer, ChangeBatch, ChangeEvent, LeaveStart, RelayBatch, ServerEntry,
    StateSnapshot, StoredAssigner, StoredShards,
    datagrams::{AckedRange, ShardUpdate},
};

/// Name of the assigner's record.
pub const ASSIGNER_RECORD: &str = "assigner";

/// Prefix of the names of shard records, before the service's name.
pub const SHARDS_PREFIX: &str = "shards/";

/// Prefix of the names of presence records, before the VM's name.
pub const VM_PREFIX: &str = "vm/";

/// Time after a failed store call during which a removed server counts as missing rather than gone,
/// because its lease may have lapsed in the outage.
const LAPSE_WINDOW: Duration = Duration::from_millis(2_300);

/// Difference in the end of a cold period that the delay of its reports explains. A longer one means
/// that the server has become cold again.
const COLD_TIME_TOLERANCE: Duration = Duration::from_millis(500);

/// Encodes a record of the entry processes as JSON.
pub fn encode_record<T: Serialize>(value: &T) -> Bytes {
    // These records contain nothing that JSON cannot express.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

fn decode_record<T: DeserializeOwned>(name: &str, value: &Bytes, log: &Logger) -> Option<T> {
    match serde_json::from_slice(value) {
        Ok(it) => Some(it),
        Err(err) => {
            warn!(log, "record-unreadable"; "record" => name, "cause" => %err);
            None
        }
    }
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
    /// When a call to the store last failed; `None` once a complete read has been requested.
    store_failed_at: Option<MonoTime>,
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
            store_failed_at: None,
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
        self.is_difference |= scope == BatchScope::Difference;
        let mut is_contiguous = scope != BatchScope::Gap;
        for event in batch.events {
            match event {
                ChangeEvent::Shards(update) => is_contiguous &= self.apply_shard_update(update),
                event => self.apply_and_queue(event, now),
            }
        }
        self.update_index();
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

    /// Indexes the servers by service, once for all changes of a batch.
    fn update_index(&mut self) {
        if std::mem::take(&mut self.is_index_stale) {
            self.snapshot.index_servers();
        }
    }

    fn apply_and_queue(&mut self, event: ChangeEvent, now: MonoTime) {
        if self.apply_event(event.clone(), now) {
            self.changes.push(event);
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
        self.apply_changes(batch, now);
        for event in self.removals_of_unlisted(&listed) {
            self.apply_and_queue(event, now);
        }
        self.update_index();
        if !std::mem::replace(&mut self.has_complete_state, true) {
            info!(self.log, "state-read"; "revision" => self.snapshot.revision,
                "servers" => self.snapshot.servers.len(), "vms" => self.snapshot.vms.len());
        }
    }

    /// Events that remove the cached servers, evacuations, VMs and assigner that are not listed.
    fn removals_of_unlisted(&self, listed: &ListedNames) -> Vec<ChangeEvent> {
        let snapshot = &self.snapshot;
        let servers = snapshot.servers.keys().filter(|it| !listed.servers.contains(*it));
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
            ChangeEvent::Server(name, Some(entry)) => self.update_server(name, entry, now),
            ChangeEvent::Server(name, None) => self.remove_server(&name, now),
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
                self.update_record(&name, revision, value)
            }
            ChangeEvent::Shards(update) => self.apply_shard_update(update),
            ChangeEvent::Unreadable { name, cause } => {
                warn!(self.log, "change-unreadable"; "what" => name, "cause" => cause);
                false
            }
        }
    }

    /// Since when what was in service in the state before this batch, and no longer is, has been
    /// leaving.
    fn leave_start(&self) -> LeaveStart {
        match self.has_complete_state {
            true => LeaveStart::After(self.snapshot.synced_at),
            false => LeaveStart::Unknown,
        }
    }

    fn update_server(&mut self, name: ServerName, entry: ServerEntry, now: MonoTime) -> bool {
        let cold_until = now + entry.cold_left;
        let leave_start = self.leave_start();
        let cached = Arc::make_mut(&mut self.snapshot.servers).get_mut(&name);
        match cached {
            Some(cached)
                if cached.entry.born == entry.born && cached.entry.address == entry.address =>
            {
                let was_missing = std::mem::take(&mut cached.is_missing);
                let is_cold = cold_until > now;
                let is_changed = was_missing
                    || !cached.entry.is_equal_but_for_cold_time(&entry)
                    || (cached.cold_until > now) != is_cold
                    || (is_cold && cold_until > cached.cold_until + COLD_TIME_TOLERANCE);
                // A server that is still draining keeps its time.
                cached.draining_since =
                    entry.is_draining.then(|| cached.draining_since.unwrap_or(leave_start));
                cached.cold_until = cold_until;
                self.is_index_stale |= cached.entry.service != entry.service;
                if cached.entry.as_ref() != &entry {
                    cached.entry = Arc::new(entry);
                }
                if is_changed {
                    info!(self.log, "server-changed"; "server" => %name,
                        "leaving" => cached.draining_since.is_some(),
                        "cold" => cached.cold_until > now);
                }
                is_changed
            }
            _ => {
                // The first read lists all servers; one line tells how many.
                if self.has_complete_state {
                    info!(self.log, "server-joined"; "server" => %name,
                        "service" => %entry.service, "address" => %entry.address,
                        "domain" => %entry.domain, "born" => entry.born,
                        "cold_ms" => entry.cold_left.as_millis() as u64);
                }
                let entry_is_draining = entry.is_draining;
                let server = CachedServer {
                    entry: Arc::new(entry),
                    cold_until,
                    // It may have been draining for long where its entry was not seen.
                    draining_since: entry_is_draining.then_some(LeaveStart::Unknown),
                    is_missing: false,
                };
                Arc::make_mut(&mut self.snapshot.servers).insert(name, server);
                self.is_index_stale = true;
                true
            }
        }
    }

    fn remove_server(&mut self, name: &ServerName, now: MonoTime) -> bool {
        let is_lapse = self.is_lapse_possible(now);
        let Some(server) = Arc::make_mut(&mut self.snapshot.servers).get_mut(name) else {
            return false;
        };
        if is_lapse {
            info!(self.log, "server-missing"; "server" => %name);
            return !std::mem::replace(&mut server.is_missing, true);
        }
        info!(self.log, "server-gone"; "server" => %name);
        Arc::make_mut(&mut self.snapshot.servers).remove(name);
        self.is_index_stale = true;
        true
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

    fn update_record(&mut self, name: &str, revision: u64, value: Option<Bytes>) -> bool {
        if name == ASSIGNER_RECORD {
            return self.update_assigner(revision, value);
        }
        if let Some(service) = name.strip_prefix(SHARDS_PREFIX) {
            return self.update_shards(name, service, revision, value);
        }
        if let Some(vm) = name.strip_prefix(VM_PREFIX) {
            return self.update_vm(name, vm, value);
        }
        false
    }

    fn update_assigner(&mut self, revision: u64, value: Option<Bytes>) -> bool {
        // An equal revision passes, so that a complete read can remove the record.
        if revision < self.snapshot.assigner_revision {
            return false;
        }
        let assigner = match value.map(|it| decode_record(ASSIGNER_RECORD, &it, &self.log)) {
            None => None,
            Some(Some(record)) => Some(StoredAssigner { revision, record }),
            // What can't be read says nothing about who holds the lease.
            Some(None) => return false,
        };
        self.snapshot.assigner_revision = revision;
        let is_changed = assigner != self.snapshot.assigner;
        self.snapshot.assigner = assigner;
        is_changed
    }

    fn update_shards(
        &mut self,
        name: &str,
        service: &str,
        revision: u64,
        value: Option<Bytes>,
    ) -> bool {
        let (Some(value), Ok(service)) = (value, ServiceName::try_from(service)) else {
            return false;
        };
        if revision <= self.stored_revision(&service) {
            return false;
        }
        let record: Option<ShardRecord> = decode_record(name, &value, &self.log);
        let Some(record) = record.filter(ShardRecord::is_valid) else {
            warn!(self.log, "record-invalid"; "record" => name, "revision" => revision);
            return false;
        };
        self.set_shards(service, StoredShards { revision, record: Arc::new(record) });
        false
    }

    fn stored_revision(&self, service: &ServiceName) -> u64 {
        self.stored.get(service).map_or(0, |it| it.revision)
    }

    fn update_vm(&mut self, name: &str, vm: &str, value: Option<Bytes>) -> bool {
        let Ok(vm) = VmName::try_from(vm) else {
            return false;
        };
        let vms = Arc::make_mut(&mut self.snapshot.vms);
        match value.map(|it| decode_record(name, &it, &self.log)) {
            None => vms.remove(&vm).is_some(),
            Some(Some(presence)) => {
                let is_changed = vms.get(&vm) != Some(&presence);
                vms.insert(vm, presence);
                is_changed
            }
            // Its lease, not this process, decides whether the VM is gone.
            Some(None) => false,
        }
    }

    /// Applies a shard update from another VM; returns whether it is contiguous with the cached
    /// record or already part of it.
    pub fn apply_shard_update(&mut self, update: ShardUpdate) -> bool {
        let ShardUpdate { service, base, revision, delta } = update;
        let cached = self.stored.get(&service);
        if cached.is_some_and(|it| it.revision >= revision) {
            return true;
        }
        let cached = cached.filter(|it| it.revision == base);
        let Some(record) = cached.and_then(|it| delta.apply(&it.record)) else {
            return false;
        };
        self.set_shards(service, StoredShards { revision, record: Arc::new(record) });
        true
    }

    /// Applies a grant that the new holder has acknowledged, before the store's record shows the
    /// acknowledgement.
    pub fn apply_acked_range(&mut self, acked: AckedRange) {
        // An older record does not contain the grant yet.
        let is_current = self.stored_revision(&acked.service) >= acked.revision;
        if is_current {
            let ranges = self.acked.entry(acked.service.clone()).or_default();
            ranges.push((acked.range, acked.token));
            self.merge_acked(&acked.service);
        }
    }

    /// Replaces a shard record with one that this process has read or written or has received from
    /// another VM. The caller has checked that it is newer.
    pub fn set_shards(&mut self, service: ServiceName, stored: StoredShards) {
        let old = self.stored.insert(service.clone(), stored.clone());
        let name = format!("{SHARDS_PREFIX}{service}");
        self.changes.push(match old {
            Some(old) => ChangeEvent::Shards(ShardUpdate {
                service: service.clone(),
                base: old.revision,
                revision: stored.revision,
                delta: ShardDelta::between(&old.record, &stored.record),
            }),
            None => {
                let value = Some(encode_record(&*stored.record));
                ChangeEvent::Record { name, revision: stored.revision, value }
            }
        });
        self.merge_acked(&service);
    }

    /// Updates the snapshot with the stored shards, in which the acknowledged ranges are settled.
    fn merge_acked(&mut self, service: &ServiceName) {
        let Some(StoredShards { revision, record }) = self.stored.get(service).cloned() else {
            return;
        };
        let acked = self.acked.entry(service.clone()).or_default();
        // Drops acknowledgements of entries that the record shows as settled, or no longer contains
        // with the same token and a first key within the range.
        acked.retain(|(range, token)| {
            record.entries.iter().any(|it| {
                !it.is_settled() && it.holder.token == *token && range.contains(it.range.first)
            })
        });
        let record = match acked.is_empty() {
            true => record,
            false => {
                let mut merged = (*record).clone();
                for (range, token) in acked {
                    merged.settle(*range, *token);
                }
                Arc::new(merged)
            }
        };
        self.snapshot.shards.insert(service.clone(), StoredShards { revision, record });
    }

    /// The shard record as stored, in which acknowledged ranges may not be settled yet.
    pub fn stored_shards(&self, service: &ServiceName) -> Option<StoredShards> {
        self.stored.get(service).cloned()
    }

    /// Sets the assigner's record that this process has just written, unless the cached one is as
    /// new.
    pub fn set_assigner(&mut self, assigner: StoredAssigner) {
        if assigner.revision > self.snapshot.assigner_revision {
            let StoredAssigner { revision, record } = &assigner;
            let value = Some(encode_record(record));
            let (name, revision) = (ASSIGNER_RECORD.to_owned(), *revision);
            self.changes.push(ChangeEvent::Record { name, revision, value });
            self.snapshot.assigner_revision = revision;
            self.snapshot.assigner = Some(assigner);
        }
    }
}

/// Names that a complete read contains.
#[derive(Debug, Default)]
struct ListedNames {
    servers: BTreeSet<ServerName>,
    domains: BTreeSet<DomainName>,
    records: BTreeSet<String>,
}

impl ListedNames {
    fn add(&mut self, event: &ChangeEvent) {
        match event {
            ChangeEvent::Server(name, Some(_)) => _ = self.servers.insert(name.clone()),
            ChangeEvent::Evacuation(domain, true) => _ = self.domains.insert(domain.clone()),
            ChangeEvent::Record { name, .. } => _ = self.records.insert(name.clone()),
            _ => (),
        }
    }
}
