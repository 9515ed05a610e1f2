//! Turns the store's news into what this process believes.

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
    CachedServer, ChangeBatch, ChangeEvent, ServerEntry, StateSnapshot, StoredAssigner,
    StoredShards,
    datagrams::{OpenedRange, ShardUpdate},
};

/// Name of the record that says who assigns keys.
pub const ASSIGNER_RECORD: &str = "assigner";

/// Start of the names of shard records; the service follows.
pub const SHARDS_PREFIX: &str = "shards/";

/// Start of the names of presence records; the VM follows.
pub const VM_PREFIX: &str = "vm/";

/// Time after a fault of the store in which a removal may be a lapse.
const LAPSE_SUSPICION: Duration = Duration::from_millis(2_300);

/// Encodes one of our records.
pub fn encode_record<T: Serialize>(value: &T) -> Bytes {
    // Our records hold nothing that JSON can't express.
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

/// What this process believes, and what it needs to keep that up to date.
#[derive(Debug)]
pub struct StateCache {
    snapshot: StateSnapshot,
    /// Shards as the store has them; what is published also counts keys opened since.
    stored: BTreeMap<ServiceName, StoredShards>,
    opened: BTreeMap<ServiceName, Vec<(KeyRange, u64)>>,
    /// Changes since the last publication, for VMs that follow this one.
    changes: Vec<ChangeEvent>,
    faulted_at: Option<MonoTime>,
    log: Logger,
}

impl StateCache {
    /// Believes nothing yet.
    pub fn new(log: Logger) -> Self {
        Self {
            snapshot: StateSnapshot::default(),
            stored: BTreeMap::new(),
            opened: BTreeMap::new(),
            changes: Vec::new(),
            faulted_at: None,
            log,
        }
    }

    /// The present beliefs.
    pub fn snapshot(&self) -> &StateSnapshot {
        &self.snapshot
    }

    /// Takes the changes since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<ChangeEvent> {
        std::mem::take(&mut self.changes)
    }

    /// Notes how old the last news already were when they came.
    pub fn note_age(&mut self, age: Duration, now: MonoTime) {
        self.snapshot.synced_at = now - age;
    }

    /// Notes that the store failed to answer.
    pub fn note_fault(&mut self, now: MonoTime) {
        self.faulted_at = Some(now);
    }

    /// Whether the store was away so lately that servers may be missing from it without being gone.
    fn suspects_lapse(&self, now: MonoTime) -> bool {
        self.faulted_at.is_some_and(|it| now.since(it) < LAPSE_SUSPICION)
    }

    /// Takes in changes that were current at `now`; tells whether they follow what is believed.
    pub fn apply_news(&mut self, news: ChangeBatch, now: MonoTime) -> bool {
        self.snapshot.synced_at = now;
        self.snapshot.revision = self.snapshot.revision.max(news.revision);
        let mut follows = true;
        for event in news.events {
            match event {
                ChangeEvent::Shards(note) => follows &= self.apply_shard_note(note),
                event => self.take_event(event, now),
            }
        }
        follows
    }

    fn take_event(&mut self, event: ChangeEvent, now: MonoTime) {
        if self.apply_event(event.clone(), now) {
            self.changes.push(event);
        }
    }

    /// Takes in the complete state; what it lacks is gone.
    pub fn apply_all(&mut self, news: ChangeBatch, now: MonoTime) {
        let mut listed = Listed::default();
        for event in &news.events {
            listed.note(event);
        }
        self.apply_news(news, now);
        for event in self.unlisted(&listed) {
            self.take_event(event, now);
        }
    }

    /// The removal of everything that is believed and not listed.
    fn unlisted(&self, listed: &Listed) -> Vec<ChangeEvent> {
        let beliefs = &self.snapshot;
        let servers = beliefs.servers.keys().filter(|it| !listed.servers.contains(*it));
        let mut events: Vec<ChangeEvent> =
            servers.map(|it| ChangeEvent::Server(it.clone(), None)).collect();
        let domains = beliefs.evacuated.keys().filter(|it| !listed.domains.contains(*it));
        events.extend(domains.map(|it| ChangeEvent::Evacuation(it.clone(), false)));
        let vms = beliefs.vms.keys().map(|it| format!("{VM_PREFIX}{it}"));
        let assigner = beliefs.assigner.iter().map(|_| ASSIGNER_RECORD.to_owned());
        let records = vms.chain(assigner).filter(|it| !listed.records.contains(it));
        let revision = beliefs.assigner_revision;
        events.extend(records.map(|name| ChangeEvent::Record { name, revision, value: None }));
        events
    }

    fn apply_event(&mut self, event: ChangeEvent, now: MonoTime) -> bool {
        match event {
            ChangeEvent::Plan(plan) => {
                let held = self.snapshot.plan.as_ref().map_or(0, |it| it.version);
                if plan.version <= held {
                    return false;
                }
                info!(self.log, "plan-in-force"; "version" => plan.version, "previous" => held);
                self.snapshot.plan = Some(Arc::new(plan));
                true
            }
            ChangeEvent::Server(name, Some(entry)) => self.server_seen(name, entry, now),
            ChangeEvent::Server(name, None) => self.server_removed(&name, now),
            ChangeEvent::Evacuation(domain, true) => {
                let is_new = !self.snapshot.evacuated.contains_key(&domain);
                if is_new {
                    info!(self.log, "domain-evacuated"; "domain" => %domain);
                    self.snapshot.evacuated.insert(domain, now);
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
                self.record_seen(&name, revision, value)
            }
            ChangeEvent::Shards(note) => self.apply_shard_note(note),
            ChangeEvent::Unreadable { name, cause } => {
                warn!(self.log, "change-unreadable"; "what" => name, "cause" => cause);
                false
            }
        }
    }

    fn server_seen(&mut self, name: ServerName, entry: ServerEntry, now: MonoTime) -> bool {
        let cold_until = now + entry.cold_left;
        let held = Arc::make_mut(&mut self.snapshot.servers).get_mut(&name);
        let leaving_since = entry.is_draining.then_some(now);
        match held {
            Some(held) if held.entry.born == entry.born && held.entry.address == entry.address => {
                let was_leaving = held.leaving_since.is_some();
                let was_missing = std::mem::take(&mut held.is_missing);
                let is_changed = was_missing
                    || was_leaving != entry.is_draining
                    || (held.cold_until > now) != (cold_until > now)
                    || held.entry.service != entry.service;
                // A server that has said once that it leaves is not taken back in the same life
                // unless it says that it is ready again.
                held.leaving_since = match (held.leaving_since, leaving_since) {
                    (Some(since), Some(_)) => Some(since),
                    (_, it) => it,
                };
                held.cold_until = cold_until;
                if held.entry.as_ref() != &entry {
                    held.entry = Arc::new(entry);
                }
                if is_changed {
                    info!(self.log, "server-changed"; "server" => %name,
                        "leaving" => held.leaving_since.is_some(), "cold" => held.cold_until > now);
                }
                is_changed
            }
            _ => {
                info!(self.log, "server-joined"; "server" => %name, "service" => %entry.service,
                    "address" => %entry.address, "domain" => %entry.domain, "born" => entry.born,
                    "cold_ms" => entry.cold_left.as_millis() as u64);
                let seen = CachedServer {
                    entry: Arc::new(entry),
                    cold_until,
                    leaving_since,
                    is_missing: false,
                };
                Arc::make_mut(&mut self.snapshot.servers).insert(name, seen);
                self.snapshot.index_servers();
                true
            }
        }
    }

    fn server_removed(&mut self, name: &ServerName, now: MonoTime) -> bool {
        let is_lapse = self.suspects_lapse(now);
        let Some(server) = Arc::make_mut(&mut self.snapshot.servers).get_mut(name) else {
            return false;
        };
        if is_lapse {
            info!(self.log, "server-missing"; "server" => %name);
            return !std::mem::replace(&mut server.is_missing, true);
        }
        info!(self.log, "server-gone"; "server" => %name);
        Arc::make_mut(&mut self.snapshot.servers).remove(name);
        self.snapshot.index_servers();
        true
    }

    /// Whether a complete reading is due, since removals were not believed during an outage.
    pub fn needs_rereading(&mut self, now: MonoTime) -> bool {
        let is_due = self.faulted_at.is_some_and(|it| now.since(it) >= LAPSE_SUSPICION);
        if is_due {
            self.faulted_at = None;
        }
        is_due
    }

    fn record_seen(&mut self, name: &str, revision: u64, value: Option<Bytes>) -> bool {
        if name == ASSIGNER_RECORD {
            return self.assigner_seen(revision, value);
        }
        if let Some(service) = name.strip_prefix(SHARDS_PREFIX) {
            return self.shards_seen(name, service, revision, value);
        }
        if let Some(vm) = name.strip_prefix(VM_PREFIX) {
            return self.vm_seen(name, vm, value);
        }
        false
    }

    fn assigner_seen(&mut self, revision: u64, value: Option<Bytes>) -> bool {
        if revision < self.snapshot.assigner_revision {
            return false;
        }
        let record = value.and_then(|it| decode_record(ASSIGNER_RECORD, &it, &self.log));
        let assigner = record.map(|record| StoredAssigner { revision, record });
        self.snapshot.assigner_revision = assigner.as_ref().map_or(0, |it| it.revision);
        let is_changed = assigner != self.snapshot.assigner;
        self.snapshot.assigner = assigner;
        is_changed
    }

    fn shards_seen(
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
            warn!(self.log, "record-unsound"; "record" => name, "revision" => revision);
            return false;
        };
        self.note_shards(service, StoredShards { revision, record: Arc::new(record) });
        false
    }

    fn stored_revision(&self, service: &ServiceName) -> u64 {
        self.stored.get(service).map_or(0, |it| it.revision)
    }

    fn vm_seen(&mut self, name: &str, vm: &str, value: Option<Bytes>) -> bool {
        let Ok(vm) = VmName::try_from(vm) else {
            return false;
        };
        match value.and_then(|it| decode_record(name, &it, &self.log)) {
            Some(presence) => {
                let is_changed = self.snapshot.vms.get(&vm) != Some(&presence);
                Arc::make_mut(&mut self.snapshot.vms).insert(vm, presence);
                is_changed
            }
            None => Arc::make_mut(&mut self.snapshot.vms).remove(&vm).is_some(),
        }
    }

    /// Takes in a change of shards told by another VM; tells whether it follows what is believed.
    pub fn apply_shard_note(&mut self, note: ShardUpdate) -> bool {
        let ShardUpdate { service, base, revision, delta } = note;
        let held = self.stored.get(&service);
        if held.is_some_and(|it| it.revision >= revision) {
            return true;
        }
        let held = held.filter(|it| it.revision == base);
        let Some(record) = held.and_then(|it| delta.apply(&it.record)) else {
            return false;
        };
        self.note_shards(service, StoredShards { revision, record: Arc::new(record) });
        true
    }

    /// Takes in that the holder of some keys has been granted them. The record in the store follows.
    pub fn apply_opened_note(&mut self, note: OpenedRange) {
        let is_current = self.stored_revision(&note.service) >= note.revision;
        if is_current {
            let opened = self.opened.entry(note.service.clone()).or_default();
            opened.push((note.range, note.token));
            self.merge_opened(&note.service);
        }
    }

    /// Takes in a newer record of the store, read or written by this process.
    pub fn note_shards(&mut self, service: ServiceName, stored: StoredShards) {
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
        self.merge_opened(&service);
    }

    /// Publishes the service's stored shards with the keys that were opened since.
    fn merge_opened(&mut self, service: &ServiceName) {
        let Some(StoredShards { revision, record }) = self.stored.get(service).cloned() else {
            return;
        };
        let opened = self.opened.entry(service.clone()).or_default();
        opened.retain(|(range, token)| {
            record.entries.iter().any(|it| {
                !it.is_settled() && it.holder.token == *token && range.contains(it.range.first)
            })
        });
        let record = match opened.is_empty() {
            true => record,
            false => {
                let mut merged = (*record).clone();
                for (range, token) in opened {
                    merged.settle(*range, *token);
                }
                Arc::new(merged)
            }
        };
        self.snapshot.shards.insert(service.clone(), StoredShards { revision, record });
    }

    /// The record as the store has it.
    pub fn stored_shards(&self, service: &ServiceName) -> Option<StoredShards> {
        self.stored.get(service).cloned()
    }

    /// Takes in that this process has become the assigner.
    pub fn note_assigner(&mut self, assigner: StoredAssigner) {
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

/// What a complete reading contains.
#[derive(Debug, Default)]
struct Listed {
    servers: BTreeSet<ServerName>,
    domains: BTreeSet<DomainName>,
    records: BTreeSet<String>,
}

impl Listed {
    fn note(&mut self, event: &ChangeEvent) {
        match event {
            ChangeEvent::Server(name, Some(_)) => _ = self.servers.insert(name.clone()),
            ChangeEvent::Evacuation(domain, true) => _ = self.domains.insert(domain.clone()),
            ChangeEvent::Record { name, .. } => _ = self.records.insert(name.clone()),
            _ => (),
        }
    }
}
