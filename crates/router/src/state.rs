//! What the router's threads share.

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
    inflight::InflightBook,
    peer_health::PeerHealth,
    table::{RoutingTable, router_share},
};

/// Shortest time between replacements of one server's connections.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);

/// State shared by the control thread and the traffic threads.
pub(crate) struct RouterState {
    pub(crate) settings: RouterSettings,
    pub(crate) incarnation: model::Incarnation,
    pub(crate) clock: ProcessClock,
    pub(crate) log: Logger,
    pub(crate) metrics: RouterMetrics,
    pub(crate) backend: HttpBackend,
    pub(crate) peers: PeerPool,
    pub(crate) inflight: InflightBook,
    pub(crate) peer_health: PeerHealth,
    /// Wakes the control thread to ask for a lease at once.
    pub(crate) ask_now: Notify,
    pub(crate) n_serving: AtomicUsize,
    /// Set when a planned stop begins.
    pub(crate) is_leaving: AtomicBool,
    /// Set when callers that still come are refused.
    pub(crate) is_closed: AtomicBool,
    table: ArcSwap<RoutingTable>,
    changes: watch::Sender<u64>,
    balancers: Mutex<HashMap<ServiceName, Arc<Mutex<ServiceBalancer>>>>,
    suspects: Mutex<Vec<ServerName>>,
    cold_reported: Mutex<Vec<ColdNotice>>,
    renewed: Mutex<HashMap<ServerName, MonoTime>>,
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
            inflight: InflightBook::default(),
            peer_health: PeerHealth::default(),
            ask_now: Notify::new(),
            n_serving: AtomicUsize::new(0),
            is_leaving: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            table: ArcSwap::default(),
            changes: watch::Sender::new(0),
            balancers: Mutex::default(),
            suspects: Mutex::default(),
            cold_reported: Mutex::default(),
            renewed: Mutex::default(),
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

    /// Puts a table in force and wakes the requests that wait for one.
    pub(crate) fn publish(&self, table: RoutingTable) {
        self.table.store(Arc::new(table));
        self.changes.send_modify(|it| *it += 1);
    }

    /// Changes of the table, to be subscribed to before the table is read.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// The balancer of a service.
    pub(crate) fn balancer(&self, service: &ServiceName) -> Arc<Mutex<ServiceBalancer>> {
        let mut balancers = lock(&self.balancers);
        let seed = self.incarnation.0 ^ balancers.len() as u64;
        let policy = self.settings.policy;
        let fresh = || Arc::new(Mutex::new(ServiceBalancer::new(policy, seed)));
        balancers.entry(service.clone()).or_insert_with(fresh).clone()
    }

    /// Takes the servers of a new sheet into the balancers.
    pub(crate) fn update_balancers(&self, table: &RoutingTable) {
        for service in table.sheet.services.keys() {
            let profiles = table.sheet.servers_of(service);
            let profiles = profiles.map(|it| (it.name.clone(), self.server_profile(table, it)));
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

    /// Notes that a probe found a lost server alive.
    pub(crate) fn note_alive(&self, service: &ServiceName, server: &ServerName) {
        let balancer = self.balancer(service);
        lock(&balancer).note_alive(server, self.now());
    }

    /// Notes that a server refused a request because it is cold, to be told to other routers.
    pub(crate) fn report_cold(&self, service: &ServiceName, server: &ServerName) {
        let id = rand::random();
        let notice = ColdNotice { id, service: service.clone(), server: server.clone() };
        let mut reported = lock(&self.cold_reported);
        if reported.iter().all(|it| it.server != notice.server) {
            reported.push(notice);
            self.ask_now.notify_one();
        }
    }

    pub(crate) fn take_cold_reports(&self) -> Vec<ColdNotice> {
        std::mem::take(&mut *lock(&self.cold_reported))
    }

    /// Notes that another router found a server cold.
    pub(crate) fn note_cold(&self, notice: &ColdNotice) {
        let balancer = self.balancer(&notice.service);
        lock(&balancer).note_cold(&notice.server, self.now());
    }

    /// A server's name and address.
    pub(crate) fn server_peer(
        &self,
        table: &RoutingTable,
        name: &ServerName,
    ) -> Option<ServerEndpoint> {
        let row = table.sheet.servers.get(name)?;
        Some(ServerEndpoint { name: name.clone(), address: row.address })
    }

    /// Notes that a server's host refused a connection, and tells the planner.
    pub(crate) fn suspect(&self, server: &ServerName) {
        let mut suspects = lock(&self.suspects);
        if !suspects.contains(server) {
            suspects.push(server.clone());
            self.ask_now.notify_one();
        }
    }

    pub(crate) fn take_suspects(&self) -> Vec<ServerName> {
        std::mem::take(&mut *lock(&self.suspects))
    }

    /// Replaces a server's connections unless that was done lately.
    pub(crate) fn reset_connections(&self, server: &ServerEndpoint) {
        let now = self.now();
        let mut renewed = lock(&self.renewed);
        let is_due = renewed.get(&server.name).is_none_or(|it| now.since(*it) >= RENEW_INTERVAL);
        if is_due {
            renewed.insert(server.name.clone(), now);
            self.metrics.pool_replacements.inc();
            self.backend.reset_connections(server);
        }
    }

    pub(crate) fn count_slice(&self, slice: &SliceKey) {
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

/// Locks a mutex; a panic elsewhere leaves no state here that is worse than slightly stale.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}
