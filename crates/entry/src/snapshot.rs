//! What a process believes, as one immutable value that traffic reads without locks.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use model::{DomainName, MonoTime, ServerName, ServiceName, VmName};
use ownership::{ServerInstance, ShardRecord};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    ChangeEvent, RoutePlan, ServerEntry,
    feed::{ASSIGNER_RECORD, SHARDS_PREFIX, VM_PREFIX, encode_record},
};

/// Everything that is known of the plan, the servers and the other VMs.
#[derive(Debug, Clone, Default)]
pub struct StateSnapshot {
    /// The plan in force; nothing until the first has been read.
    pub plan: Option<Arc<RoutePlan>>,
    /// Known servers.
    pub servers: Arc<BTreeMap<ServerName, CachedServer>>,
    /// Servers by service.
    pub by_service: Arc<BTreeMap<ServiceName, Vec<ServerName>>>,
    /// Failure domains that operators want empty, and since when this process knows.
    pub evacuated: BTreeMap<DomainName, MonoTime>,
    /// Who holds which keys, by service.
    pub shards: BTreeMap<ServiceName, StoredShards>,
    /// Who assigns keys.
    pub assigner: Option<StoredAssigner>,
    /// Revision of the assigner's record, also of one that names nobody.
    pub assigner_revision: u64,
    /// Entry VMs that are present.
    pub vms: Arc<BTreeMap<VmName, VmPresence>>,
    /// When the store last answered.
    pub synced_at: MonoTime,
    /// Newest store revision that is known.
    pub revision: u64,
}

/// A server with what this process has seen of it.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedServer {
    /// Its description.
    pub entry: Arc<ServerEntry>,
    /// When it stops being cold, by its own account.
    pub cold_until: MonoTime,
    /// Since when it is known to be leaving.
    pub leaving_since: Option<MonoTime>,
    /// Whether the store lost its entry around an outage, so that it may be gone or only lapsed.
    pub is_missing: bool,
}

/// Longest time in which news of a server's leaving reach a VM, also when its relay falls silent.
const NEWS_LAG: Duration = Duration::from_millis(1_600);

impl CachedServer {
    /// Whether requests for its keys may still be sent to it, as it takes them for `drain` after the
    /// store has heard that it leaves.
    pub fn is_usable_owner(&self, drain: Duration, now: MonoTime) -> bool {
        let usable = drain.saturating_sub(NEWS_LAG);
        self.leaving_since.is_none_or(|it| now.since(it) < usable)
    }

    /// The server's present life.
    pub fn instance(&self) -> ServerInstance {
        ServerInstance {
            server: self.entry.name.clone(),
            born: self.entry.born,
            address: self.entry.address,
        }
    }
}

/// A service's shards as last read from the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredShards {
    /// Store revision.
    pub revision: u64,
    /// The shards.
    pub record: Arc<ShardRecord>,
}

/// The assigner as last read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAssigner {
    /// Store revision of its record.
    pub revision: u64,
    /// Who it is.
    pub record: AssignerRecord,
}

/// Who assigns keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignerRecord {
    /// Its VM.
    pub vm: VmName,
    /// Distinguishes runs of the VM's process.
    pub incarnation: u64,
    /// Where it takes load reports.
    pub reports: SocketAddr,
    /// Whether it has given the task up in good order.
    pub has_resigned: bool,
}

/// An entry VM's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmPresence {
    /// Its failure domain.
    pub domain: DomainName,
    /// Thousandths of a core that it has; the strongest VMs do most for the others.
    pub strength: u32,
    /// Where its process hears datagrams of the others.
    pub reports: SocketAddr,
    /// Where its process passes news on.
    pub news: SocketAddr,
    /// Distinguishes runs of the VM's process.
    pub incarnation: u64,
}

fn record_event<T: Serialize>(name: String, revision: u64, record: &T) -> ChangeEvent {
    ChangeEvent::Record { name, revision, value: Some(encode_record(record)) }
}

impl StateSnapshot {
    /// VMs that satisfy `fits`, strongest first; equals in an order of their names' hashes.
    pub fn vms_by_strength(&self, fits: impl Fn(&VmPresence) -> bool) -> Vec<&VmName> {
        let mut vms: Vec<(&VmName, &VmPresence)> =
            self.vms.iter().filter(|(_, it)| fits(it)).collect();
        vms.sort_by_key(|(vm, it)| (Reverse(it.strength), xxh3_64(vm.as_str().as_bytes())));
        vms.into_iter().map(|(vm, _)| vm).collect()
    }

    /// Servers of a service that may take new work now. Those that are missing from the store
    /// count only while no other is left.
    pub fn usable(&self, service: &ServiceName) -> impl Iterator<Item = &CachedServer> {
        let names = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let staying = names
            .iter()
            .filter_map(|it| self.servers.get(it))
            .filter(|it| it.leaving_since.is_none() && !self.is_evacuated(it));
        let has_listed = staying.clone().any(|it| !it.is_missing);
        staying.filter(move |it| !(has_listed && it.is_missing))
    }

    /// Whether operators want the server's failure domain empty.
    pub fn is_evacuated(&self, server: &CachedServer) -> bool {
        self.evacuated.contains_key(&server.entry.domain)
    }

    /// The strongest VM of a domain, which passes news and reports on.
    pub fn hub(&self, domain: &DomainName) -> Option<(&VmName, &VmPresence)> {
        let vms = self.vms_by_strength(|it| it.domain == *domain);
        vms.first().and_then(|it| self.vms.get_key_value(*it))
    }

    /// All beliefs as events, for a VM that believes nothing yet.
    pub fn to_events(&self, now: MonoTime) -> Vec<ChangeEvent> {
        let mut events: Vec<ChangeEvent> = Vec::new();
        events.extend(self.plan.as_ref().map(|it| ChangeEvent::Plan((**it).clone())));
        // Those that may be gone are left out: another VM may know better.
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

    /// Services that own keys.
    pub fn keyed_services(&self) -> BTreeSet<ServiceName> {
        let Some(plan) = &self.plan else {
            return BTreeSet::new();
        };
        plan.services.iter().filter(|(_, it)| it.is_keyed).map(|(name, _)| name.clone()).collect()
    }
}
