//! Immutable snapshots of the cached state, which traffic reads without locks.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use model::{DomainName, MonoTime, ServerName, ServiceName, VmName};
use ownership::{ServerInstance, ShardRecord};
use policy::rendezvous_rank;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ChangeEvent, RoutePlan, ServerEntry, era_of,
    state_cache::{ASSIGNER_RECORD, FLEET_RECORD, SHARDS_PREFIX, VM_PREFIX, encode_record},
};

/// Cached state of the plan, the servers, the shards and the entry VMs.
#[derive(Debug, Clone, Default)]
pub struct StateSnapshot {
    /// Current plan; `None` until the first has been read.
    pub plan: Option<Arc<RoutePlan>>,
    /// Servers by name, including those that are draining or missing from the store.
    pub servers: Arc<BTreeMap<ServerName, CachedServer>>,
    /// Index of `servers` by service.
    pub by_service: Arc<BTreeMap<ServiceName, Vec<ServerName>>>,
    /// Evacuated failure domains.
    pub evacuated: BTreeMap<DomainName, LeaveStart>,
    /// Holders of the key ranges, by service.
    pub shards: BTreeMap<ServiceName, StoredShards>,
    /// Current assigner, or one that has resigned; `None` if there is no record of either.
    pub assigner: Option<StoredAssigner>,
    /// Revision of the last change of the assigner's record, its removal included.
    pub assigner_revision: u64,
    /// Entry VMs whose presence record exists.
    pub vms: Arc<BTreeMap<VmName, VmPresence>>,
    /// VMs among which the limits of servers are divided, each with the time since which this process
    /// knows it: those that are listed, or were until shortly before.
    pub sharing_vms: Arc<BTreeMap<VmName, MonoTime>>,
    /// Entry VMs that the first complete state listed.
    pub initial_vms: Arc<BTreeMap<VmName, VmPresence>>,
    /// Number of VMs among which quotas are divided, as the assigner has last recorded it; 0 before.
    pub recorded_vms: usize,
    /// Era of the store in which an assigner has last made sure who holds which keys.
    pub recorded_era: u64,
    /// When the store last confirmed this state, directly or through a relay.
    pub synced_at: MonoTime,
    /// Newest store revision that this state reflects.
    pub revision: u64,
}

/// A server's published entry and the state derived from it.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedServer {
    /// The entry as last published by the server.
    pub entry: Arc<ServerEntry>,
    /// When it has warmed up, according to its entry.
    pub cold_until: MonoTime,
    /// Since when the server is draining; `None` if it is not.
    pub draining_since: Option<LeaveStart>,
    /// Whether its entry disappeared from the store around an outage, so that either the server is
    /// gone or only its lease has lapsed.
    pub is_missing: bool,
}

/// Since when a server is draining or a failure domain evacuated, as far as it is known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveStart {
    /// Since a moment after this time, at which the store last confirmed that it was in service. This
    /// process may have learned of it much later.
    After(MonoTime),
    /// Since before this process first read the state.
    Unknown,
}

impl LeaveStart {
    /// Whether it certainly began less than `length` before `now`.
    pub fn is_within(self, length: Duration, now: MonoTime) -> bool {
        match self {
            Self::After(confirmed_at) => now.since(confirmed_at) < length,
            Self::Unknown => false,
        }
    }
}

/// Time after which a VM that this process has got to know has its share of the limits of servers. In it
/// the others learn of the VM, and those whose records lapsed in an outage of the store write them again:
/// two seconds to the next attempt, one for the call, two for the change to arrive.
const SHARE_DELAY: Duration = Duration::from_millis(5_000);

/// Time for a request to reach the server, by which it is sent before the server's time is over.
const SEND_MARGIN: Duration = Duration::from_millis(200);

/// Part of the drain time in which requests may be sent to a server that leaves.
pub(crate) fn usable_drain(drain: Duration) -> Duration {
    drain.saturating_sub(SEND_MARGIN)
}

impl CachedServer {
    /// Whether requests for the server's keys may still be sent to it. It accepts them for `drain`
    /// after it has published that it is draining.
    pub fn is_usable_owner(&self, drain: Duration, now: MonoTime) -> bool {
        self.draining_since.is_none_or(|it| it.is_within(usable_drain(drain), now))
    }

    /// The current instance of the server.
    pub fn instance(&self) -> ServerInstance {
        ServerInstance {
            server: self.entry.name.clone(),
            born: self.entry.born,
            address: self.entry.address,
        }
    }
}

/// Shard record of a service with its store revision.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredShards {
    /// Store revision of the record.
    pub revision: u64,
    /// Key ranges and their holders.
    pub record: Arc<ShardRecord>,
}

/// The assigner's record with its store revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAssigner {
    /// Store revision of the record.
    pub revision: u64,
    /// The process that holds the role or has resigned it.
    pub record: AssignerRecord,
}

/// Record of the process that assigns keys. It is stored under the assigner's lease, or without a
/// lease once the assigner has resigned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignerRecord {
    /// VM of the assigner.
    pub vm: VmName,
    /// Incarnation of the VM's process.
    pub incarnation: u64,
    /// UDP address for load reports.
    pub reports: SocketAddr,
    /// Whether it has resigned, so that a successor need not wait for the lease to expire.
    pub has_resigned: bool,
    /// Milliseconds after its resignation within which orders of earlier leases may still arrive.
    #[serde(default)]
    pub earlier_orders_ms: u64,
}

/// Presence record of an entry VM, stored under a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmPresence {
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// CPU capacity; the VMs with the most capacity act as relays and campaign first.
    #[serde(rename = "strength")]
    pub millicores: u32,
    /// UDP address for datagrams of other VMs.
    pub reports: SocketAddr,
    /// Address at which its process serves changes as a relay.
    #[serde(rename = "news")]
    pub relay: SocketAddr,
    /// Incarnation of the VM's process.
    pub incarnation: u64,
}

/// Record of the assigner about the fleet, stored without a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// Number of VMs among which limits are divided, by which a VM that starts again knows how many there
    /// are even if the records of others have lapsed.
    pub n_vms: usize,
    /// Era of the store in which an assigner has last made sure who holds which keys.
    #[serde(default)]
    pub era: u64,
}

fn record_event<T: Serialize>(name: String, revision: u64, record: &T) -> ChangeEvent {
    ChangeEvent::Record { name, revision, value: Some(encode_record(record)) }
}

impl StateSnapshot {
    /// VMs that satisfy `fits`, by descending capacity; ties are ordered by the hash of the name.
    pub fn vms_by_capacity(&self, fits: impl Fn(&VmPresence) -> bool) -> Vec<&VmName> {
        let mut vms: Vec<(&VmName, &VmPresence)> =
            self.vms.iter().filter(|(_, it)| fits(it)).collect();
        vms.sort_by_key(|(vm, it)| (Reverse(it.millicores), xxh3_64(vm.as_str().as_bytes())));
        vms.into_iter().map(|(vm, _)| vm).collect()
    }

    /// Servers of a service that can take new work now. Servers that are missing from the store are
    /// included only if no listed server is left.
    pub fn usable(&self, service: &ServiceName) -> impl Iterator<Item = &CachedServer> {
        let names = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let staying = names
            .iter()
            .filter_map(|it| self.servers.get(it))
            .filter(|it| it.draining_since.is_none() && !self.is_evacuated(it));
        let has_listed = staying.clone().any(|it| !it.is_missing);
        staying.filter(move |it| !(has_listed && it.is_missing))
    }

    /// Whether operators have evacuated the server's failure domain.
    pub fn is_evacuated(&self, server: &CachedServer) -> bool {
        self.evacuated.contains_key(&server.entry.domain)
    }

    /// Era of the store that this state is of.
    pub fn era(&self) -> u64 {
        era_of(self.revision)
    }

    /// Number of VMs among which the limits of servers are divided.
    pub fn n_sharing_vms(&self) -> usize {
        self.sharing_vms.len().max(1)
    }

    /// Whether the VM, this process's own, has its share of the limits of servers: the other VMs count it,
    /// and it knows them.
    pub fn has_share(&self, vm: &VmName, now: MonoTime) -> bool {
        self.sharing_vms.get(vm).is_some_and(|known_at| now.since(*known_at) >= SHARE_DELAY)
    }

    /// Share of each team's quota that the VM `own` may lend to a pool: an equal one of all VMs, or none
    /// while the others may not count it yet. A VM that has only been started again has been counted all the
    /// while, among as many VMs as the assigner has recorded.
    pub fn quota_share(&self, own: &VmName, incarnation: u64, now: MonoTime) -> f64 {
        let earlier = self.initial_vms.get(own).filter(|it| it.incarnation != incarnation);
        let is_counted = earlier.is_some() && self.recorded_vms > 0;
        match is_counted || self.has_share(own, now) {
            true => 1.0 / self.n_sharing_vms().max(self.recorded_vms) as f64,
            false => 0.0,
        }
    }

    /// Rank of the VM `own`, of `own_domain`, among the VMs that ask a server how long it stays cold, 0 for
    /// the first: those of the server's failure domain, or all if it has none. `None` if it isn't one.
    pub fn prober_rank(
        &self,
        server: &CachedServer,
        own: &VmName,
        own_domain: &DomainName,
    ) -> Option<usize> {
        let ServerEntry { name, domain, .. } = &*server.entry;
        let has_vms = own_domain == domain || self.vms.values().any(|it| it.domain == *domain);
        if has_vms && own_domain != domain {
            return None;
        }
        let priority = |vm: &VmName| rendezvous_rank(name.as_str(), vm);
        let own_priority = priority(own);
        let vms = self.vms.iter().filter(|(_, it)| !has_vms || it.domain == *domain);
        Some(vms.filter(|(vm, _)| *vm != own && priority(vm) < own_priority).count())
    }

    /// VMs of a domain in the order in which they are to relay changes and server reports: by
    /// capacity, but the assigner's VM last, as its orders would delay what it relays.
    pub fn relays(&self, domain: &DomainName) -> Vec<&VmName> {
        let assigner = self.assigner.as_ref().map(|it| &it.record.vm);
        let mut vms = self.vms_by_capacity(|it| it.domain == *domain);
        vms.sort_by_key(|it| Some(*it) == assigner);
        vms
    }

    /// The VM of a domain that relays server reports.
    pub fn domain_relay(&self, domain: &DomainName) -> Option<(&VmName, &VmPresence)> {
        self.relays(domain).first().and_then(|it| self.vms.get_key_value(*it))
    }

    /// The complete state as events, for a VM that has none.
    pub fn to_events(&self, now: MonoTime) -> Vec<ChangeEvent> {
        let mut events: Vec<ChangeEvent> = Vec::new();
        events.extend(self.plan.as_ref().map(|it| ChangeEvent::Plan((**it).clone())));
        // Missing servers are left out: the receiver may already know that they are gone.
        for (name, server) in self.servers.iter().filter(|(_, it)| !it.is_missing) {
            let mut entry = (*server.entry).clone();
            entry.cold_left = server.cold_until.since(now);
            events.push(ChangeEvent::Server(name.clone(), Some(entry)));
        }
        events.extend(self.evacuated.keys().map(|it| ChangeEvent::Evacuation(it.clone(), true)));
        if let Some(StoredAssigner { revision, record }) = &self.assigner {
            events.push(record_event(ASSIGNER_RECORD.to_owned(), *revision, record));
        }
        for (service, StoredShards { revision, record }) in &self.shards {
            let name = format!("{SHARDS_PREFIX}{service}");
            events.push(record_event(name, *revision, &**record));
        }
        if self.recorded_vms > 0 {
            let fleet = FleetRecord { n_vms: self.recorded_vms, era: self.recorded_era };
            events.push(record_event(FLEET_RECORD.to_owned(), 0, &fleet));
        }
        for (vm, presence) in &*self.vms {
            events.push(record_event(format!("{VM_PREFIX}{vm}"), 0, presence));
        }
        events
    }

    /// Rebuilds the index of servers by service.
    pub fn index_servers(&mut self) {
        let mut by_service: BTreeMap<ServiceName, Vec<ServerName>> = BTreeMap::new();
        for (name, server) in &*self.servers {
            by_service.entry(server.entry.service.clone()).or_default().push(name.clone());
        }
        self.by_service = Arc::new(by_service);
    }

    /// Services whose servers own key ranges.
    pub fn keyed_services(&self) -> BTreeSet<ServiceName> {
        let Some(plan) = &self.plan else {
            return BTreeSet::new();
        };
        plan.services.iter().filter(|(_, it)| it.is_keyed).map(|(name, _)| name.clone()).collect()
    }
}
