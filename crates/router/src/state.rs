//! The state that the router's threads share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use backend::{BackendClient, HttpBackend, ServerEndpoint};
use model::{MonoTime, RequestId, ServerName, ServiceName, SliceKey};
use peer::{ColdNotice, PeerPool};
use policy::{ColdProfile, ServerProfile, ServiceBalancer};
use settings::ProcessClock;
use sheet::ServerRow;
use slog::Logger;
use telemetry::RouterMetrics;
use tokio::sync::{Notify, watch};

use crate::{
    RouterSettings,
    inflight::InflightTracker,
    peer_health::PeerHealth,
    table::{RoutingTable, router_share},
};

/// Shortest time between two replacements of the connections to one server.
const MIN_RESET_INTERVAL: Duration = Duration::from_millis(500);

/// State shared by the control thread and the traffic threads.
pub(crate) struct RouterState {
    pub(crate) settings: RouterSettings,
    pub(crate) incarnation: model::Incarnation,
    pub(crate) clock: ProcessClock,
    pub(crate) log: Logger,
    pub(crate) metrics: RouterMetrics,
    pub(crate) backend: HttpBackend,
    pub(crate) peers: PeerPool,
    pub(crate) inflight: InflightTracker,
    pub(crate) peer_health: PeerHealth,
    /// Wakes the control thread to renew the lease at once.
    pub(crate) renew_lease_now: Notify,
    /// Requests of callers that are being served.
    pub(crate) n_serving: AtomicUsize,
    /// Set when a graceful shutdown begins.
    pub(crate) is_leaving: AtomicBool,
    /// Whether new requests of callers are refused.
    pub(crate) is_closed: AtomicBool,
    table: ArcSwap<RoutingTable>,
    /// Number of tables that have been published.
    changes: watch::Sender<u64>,
    balancers: Mutex<HashMap<ServiceName, Arc<Mutex<ServiceBalancer>>>>,
    /// Servers whose hosts refused a connection, until they are sent to the planner.
    suspects: Mutex<Vec<ServerName>>,
    /// Notices of cold servers, until they are sent to the planner.
    cold_notices: Mutex<Vec<ColdNotice>>,
    /// When the connections to each server were last replaced.
    reset_at: Mutex<HashMap<ServerName, MonoTime>>,
    /// Requests sent to the owner of each slice since the last load report, with retries but
    /// without hedges.
    slice_counts: Mutex<HashMap<SliceKey, u64>>,
    next_id: AtomicU64,
}

impl RouterState {
    pub(crate) fn new(
        settings: RouterSettings,
        incarnation: model::Incarnation,
        clock: ProcessClock,
        peers: PeerPool,
        log: Logger,
    ) -> Self {
        Self {
            backend: HttpBackend::new(settings.identity.local),
            settings,
            incarnation,
            clock,
            log,
            metrics: RouterMetrics::default(),
            peers,
            inflight: InflightTracker::default(),
            peer_health: PeerHealth::default(),
            renew_lease_now: Notify::new(),
            n_serving: AtomicUsize::new(0),
            is_leaving: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            table: ArcSwap::default(),
            changes: watch::Sender::new(0),
            balancers: Mutex::default(),
            suspects: Mutex::default(),
            cold_notices: Mutex::default(),
            reset_at: Mutex::default(),
            slice_counts: Mutex::default(),
            next_id: AtomicU64::new(0),
        }
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    pub(crate) fn table(&self) -> Arc<RoutingTable> {
        self.table.load_full()
    }

    /// Replaces the table and wakes the requests that wait for a newer one.
    pub(crate) fn publish(&self, table: RoutingTable) {
        self.table.store(Arc::new(table));
        self.changes.send_modify(|it| *it += 1);
    }

    /// Subscribes to replacements of the table; subscribe before reading the table to miss none.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// The balancer of a service, created at its first use.
    pub(crate) fn balancer(&self, service: &ServiceName) -> Arc<Mutex<ServiceBalancer>> {
        let mut balancers = lock(&self.balancers);
        let seed = self.incarnation.0 ^ balancers.len() as u64;
        let policy = self.settings.policy;
        let create = || Arc::new(Mutex::new(ServiceBalancer::new(policy, seed)));
        balancers.entry(service.clone()).or_insert_with(create).clone()
    }

    /// Gives each balancer the servers that a new sheet lists for its service.
    pub(crate) fn update_balancers(&self, table: &RoutingTable) {
        for service in table.sheet.services.keys() {
            let rows = table.sheet.servers_of(service);
            let profiles = rows.map(|it| (it.name.clone(), self.server_profile(table, it)));
            let balancer = self.balancer(service);
            lock(&balancer).set_servers(profiles);
        }
    }

    fn server_profile(&self, table: &RoutingTable, row: &ServerRow) -> ServerProfile {
        ServerProfile {
            slots: row.slots,
            connections: row.connections,
            cold: ColdProfile {
                cold_slots: row.cold_slots,
                slots: row.slots,
                warm_after: row.warm_after,
            },
            share: router_share(&table.sheet, row, &self.settings.identity.vm),
        }
    }

    /// Records that a probe reached a lost server.
    pub(crate) fn note_alive(&self, service: &ServiceName, server: &ServerName) {
        let balancer = self.balancer(service);
        lock(&balancer).note_alive(server, self.now());
    }

    /// Records that a server refused a request because it is cold, for the planner to tell the
    /// other routers.
    pub(crate) fn report_cold(&self, service: &ServiceName, server: &ServerName) {
        let id = rand::random();
        let notice = ColdNotice { id, service: service.clone(), server: server.clone() };
        let mut notices = lock(&self.cold_notices);
        if notices.iter().all(|it| it.server != notice.server) {
            notices.push(notice);
            self.renew_lease_now.notify_one();
        }
    }

    pub(crate) fn take_cold_notices(&self) -> Vec<ColdNotice> {
        std::mem::take(&mut *lock(&self.cold_notices))
    }

    /// Records that another router found a server cold.
    pub(crate) fn note_cold(&self, notice: &ColdNotice) {
        let balancer = self.balancer(&notice.service);
        lock(&balancer).note_cold(&notice.server, self.now());
    }

    /// A server's name and address, or `None` if the sheet does not list it.
    pub(crate) fn server_endpoint(
        &self,
        table: &RoutingTable,
        name: &ServerName,
    ) -> Option<ServerEndpoint> {
        let row = table.sheet.servers.get(name)?;
        Some(ServerEndpoint { name: name.clone(), address: row.address })
    }

    /// Records that a server's host refused a connection, and renews the lease at once, which reports
    /// it to the planner.
    pub(crate) fn report_suspect(&self, server: &ServerName) {
        let mut suspects = lock(&self.suspects);
        if !suspects.contains(server) {
            suspects.push(server.clone());
            self.renew_lease_now.notify_one();
        }
    }

    pub(crate) fn take_suspects(&self) -> Vec<ServerName> {
        std::mem::take(&mut *lock(&self.suspects))
    }

    /// Has later requests to a server use new connections, unless that was done less than
    /// [`MIN_RESET_INTERVAL`] ago. Requests that are already sent go on.
    pub(crate) fn reset_connections(&self, server: &ServerEndpoint) {
        let now = self.now();
        let mut reset_at = lock(&self.reset_at);
        let is_reset_due =
            reset_at.get(&server.name).is_none_or(|it| now.since(*it) >= MIN_RESET_INTERVAL);
        if is_reset_due {
            reset_at.insert(server.name.clone(), now);
            self.metrics.pool_replacements.inc();
            self.backend.reset_connections(server);
        }
    }

    pub(crate) fn count_slice_request(&self, slice: &SliceKey) {
        *lock(&self.slice_counts).entry(slice.clone()).or_default() += 1;
    }

    pub(crate) fn take_slice_counts(&self) -> HashMap<SliceKey, u64> {
        std::mem::take(&mut *lock(&self.slice_counts))
    }

    pub(crate) fn next_request_id(&self) -> Option<RequestId> {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let vm = &self.settings.identity.vm;
        RequestId::try_from(format!("{vm}-{:x}-{number:x}", self.incarnation.0)).ok()
    }
}

/// Locks a mutex even if it is poisoned: a panic elsewhere leaves no state here that is worse than
/// slightly stale.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}
