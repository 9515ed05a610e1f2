//! Asks servers how long they stay cold: after a sign that one has started again, and regularly while the
//! store doesn't confirm the state.

use std::collections::BTreeMap;

use policy::answer_lifetime;
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

use super::*;
use crate::{VmPresence, connections::ConnectionObserver};

/// Longest wait for the answer to a probe, its connection included.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between checks for probes that are due while the store doesn't confirm the state.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// VMs of a server's failure domain that ask it regularly, the second one when the first has not.
const N_PROBERS: usize = 2;

/// Probes to make and connections that have ended, for [`TrafficServer::run_probes`].
pub(super) struct ProbeQueue {
    pub(super) due: mpsc::UnboundedSender<ServerName>,
    pub(super) observer: ConnectionObserver,
    assigned: RefCell<AssignedProbes>,
    inputs: RefCell<Option<ProbeInputs>>,
}

/// The servers that this VM is to ask regularly.
///
/// Load pattern: thousands of servers and hundreds of VMs. Ranking all VMs for each server, many times a
/// second while the store is away, would take most of a small VM's processor.
#[derive(Default)]
struct AssignedProbes {
    /// The servers and VMs that the ranks are made from.
    servers: Arc<BTreeMap<ServerName, CachedServer>>,
    vms: Arc<BTreeMap<VmName, VmPresence>>,
    /// This VM's rank among the probers of each server that it is one of.
    ranks: Vec<(ServerName, u32)>,
}

struct ProbeInputs {
    due: mpsc::UnboundedReceiver<ServerName>,
    closed: mpsc::UnboundedReceiver<SocketAddr>,
}

impl ProbeQueue {
    pub(super) fn new(clock: ProcessClock) -> Self {
        let (due_sender, due) = mpsc::unbounded_channel();
        let (closed_sender, closed) = mpsc::unbounded_channel();
        Self {
            due: due_sender,
            observer: ConnectionObserver { clock, closed: closed_sender },
            assigned: RefCell::default(),
            inputs: RefCell::new(Some(ProbeInputs { due, closed })),
        }
    }
}

impl ProbeQueue {
    /// Makes the ranks anew if servers or VMs have changed.
    fn update_assigned(&self, snapshot: &StateSnapshot, settings: &EntrySettings) {
        let mut assigned = self.assigned.borrow_mut();
        let is_current = Arc::ptr_eq(&assigned.servers, &snapshot.servers)
            && Arc::ptr_eq(&assigned.vms, &snapshot.vms);
        if is_current {
            return;
        }
        let rank = |it: &CachedServer| snapshot.prober_rank(it, &settings.vm, &settings.domain);
        let ranks = snapshot.servers.iter().filter_map(|(name, server)| {
            rank(server).filter(|it| *it < N_PROBERS).map(|it| (name.clone(), it as u32))
        });
        *assigned = AssignedProbes {
            servers: snapshot.servers.clone(),
            vms: snapshot.vms.clone(),
            ranks: ranks.collect(),
        };
    }
}

impl<F: ServerFormat> TrafficServer<F> {
    /// Probes servers for as long as the process runs.
    pub(crate) async fn run_probes(self: Rc<Self>) {
        let Some(ProbeInputs { mut due, mut closed }) = self.probes.inputs.take() else {
            return;
        };
        let mut check = interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(server) = due.recv() => self.clone().spawn_probe(server),
                Some(address) = closed.recv() => self.note_closed(address),
                _ = check.tick() => {
                    let rest = self.queue_regular_probes();
                    if rest > CHECK_INTERVAL {
                        check.reset_after(rest);
                    }
                }
            }
        }
    }

    /// Records that the server may have started again, and has it asked. One that is leaving ends its
    /// connections without that.
    pub(super) fn note_restart_sign(&self, server: &CachedServer, cause: &'static str) {
        if server.draining_since.is_some() {
            return;
        }
        let now = self.clock.now();
        let name = &server.entry.name;
        let was_suspected = self.warmth.update(name, |it| {
            let was_suspected = it.is_unknown(now);
            it.note_sign(now);
            was_suspected
        });
        if !was_suspected {
            self.metrics.restart_signs.with_label_values(&[cause]).inc();
            info!(self.log, "server-restart-suspected"; "server" => %name, "cause" => cause);
        }
        self.queue_probe(name, now);
    }

    /// Has a server asked whose warmth is unknown.
    pub(super) fn queue_probe(&self, server: &ServerName, now: MonoTime) {
        if self.warmth.update(server, |it| it.begin_probe(now)) {
            // The receiver lives as long as this server.
            let _ = self.probes.due.send(server.clone());
        }
    }

    /// Until when the server has to be treated as cold.
    pub(super) fn cold_until(
        &self,
        server: &CachedServer,
        snapshot: &StateSnapshot,
        now: MonoTime,
    ) -> MonoTime {
        let plan = snapshot.plan.as_ref();
        let settings = plan.and_then(|it| it.services.get(&server.entry.service));
        let cold_duration = settings.map(|it| it.cold_duration).unwrap_or_default();
        let warmth = self.warmth.warmth(&server.entry.name);
        if warmth.is_unknown(now) {
            self.queue_probe(&server.entry.name, now);
        }
        server.cold_until.max(warmth.cold_until(cold_duration, now))
    }

    /// A kept connection to this address has ended before its time.
    fn note_closed(&self, address: SocketAddr) {
        let snapshot = self.channel.current();
        for server in snapshot.servers.values().filter(|it| it.entry.address == address) {
            self.note_restart_sign(server, "kept-connection-ended");
        }
    }

    /// Queues a probe of each server that this VM is to ask, while the store doesn't confirm the state:
    /// a server that becomes cold then can publish it nowhere. Returns the least time until a probe can be
    /// due.
    fn queue_regular_probes(&self) -> Duration {
        let now = self.clock.now();
        let snapshot = self.channel.current();
        let settings = self.settings.load();
        let confirmed_until = snapshot.synced_at + settings.change_timing.catch_up_age;
        if now < confirmed_until || snapshot.plan.is_none() {
            return confirmed_until.since(now);
        }
        self.probes.update_assigned(&snapshot, &settings);
        for (name, rank) in &self.probes.assigned.borrow().ranks {
            let Some(server) = snapshot.servers.get(name) else {
                continue;
            };
            let is_leaving = server.draining_since.is_some() || snapshot.is_evacuated(server);
            let answered_at = self.warmth.warmth(&server.entry.name).answered_at();
            let lifetime = self.answer_lifetime(server, &snapshot);
            let is_fresh = answered_at.is_some_and(|it| now.since(it) < lifetime);
            if is_leaving || is_fresh {
                continue;
            }
            let max_age = lifetime * (rank + 1);
            if self.warmth.update(name, |it| it.begin_regular_probe(max_age, now)) {
                let _ = self.probes.due.send(name.clone());
            }
        }
        CHECK_INTERVAL
    }

    /// Age at which the server's answer is too old to be relied upon.
    fn answer_lifetime(&self, server: &CachedServer, snapshot: &StateSnapshot) -> Duration {
        let ServerEntry { name, service, slots, .. } = &*server.entry;
        let plan = snapshot.plan.as_ref().and_then(|it| it.services.get(service));
        let cold_rate = plan.map_or(0.0, |it| it.cold_requests_per_s);
        let state = self.state.borrow();
        let mean_seconds = state.mean_seconds(service);
        let stats = state.server_stats.get(name);
        let work_seconds = stats.map_or(mean_seconds, |it| it.estimator.work_seconds(mean_seconds));
        answer_lifetime(*slots, work_seconds, cold_rate)
    }

    fn spawn_probe(self: Rc<Self>, server: ServerName) {
        tokio::task::spawn_local(async move { self.probe(&server).await });
    }

    /// Asks the server how long it stays cold.
    async fn probe(&self, name: &ServerName) {
        let snapshot = self.channel.current();
        let Some(server) = snapshot.servers.get(name) else {
            return;
        };
        let plan = snapshot.plan.as_ref();
        let Some(settings) = plan.and_then(|it| it.services.get(&server.entry.service)) else {
            return;
        };
        let cold_left = timeout(PROBE_TIMEOUT, self.ask_health(server, &settings.health_path));
        let cold_left = cold_left.await.ok().flatten();
        let now = self.clock.now();
        let end = match cold_left {
            None => "unanswered",
            Some(Duration::ZERO) => "warm",
            Some(_) => "cold",
        };
        self.metrics.probes.with_label_values(&[end]).inc();
        let Some(cold_left) = cold_left else {
            return;
        };
        if let Some(stats) = self.state.borrow_mut().server_stats.get_mut(name) {
            stats.address_doubt.note_reached();
        }
        let before = self.warmth.warmth(name);
        let is_news = before.is_unknown(now) || !cold_left.is_zero();
        self.warmth.record_local(name, cold_left, now);
        if is_news {
            info!(self.log, "server-probed"; "server" => %name,
                "cold_ms" => cold_left.as_millis() as u64);
        }
    }

    /// Calls the server's health path; returns for how long it stays cold, or `None` if it doesn't say so.
    async fn ask_health(&self, server: &CachedServer, path: &str) -> Option<Duration> {
        let ServerEntry { address, name, .. } = &*server.entry;
        let pooled = self.state.borrow_mut().pool.take(*address, |_| false, self.clock.now());
        if let Some(connection) = pooled
            && let Some(cold_left) = self.exchange_probe(connection, server, path).await
        {
            return Some(cold_left);
        }
        let observer = Some(self.probes.observer.clone());
        match HttpConnection::open_observed(*address, self.answer_bounds(), observer).await {
            Ok(connection) => self.exchange_probe(connection, server, path).await,
            Err(err) => {
                info!(self.log, "probe-failed"; "server" => %name, "cause" => %err.error());
                None
            }
        }
    }

    async fn exchange_probe(
        &self,
        mut connection: HttpConnection,
        server: &CachedServer,
        path: &str,
    ) -> Option<Duration> {
        let names = self.format.headers();
        let ServerEntry { address, name, .. } = &*server.entry;
        let mut request = Request::new(Full::default());
        *request.uri_mut() = Uri::try_from(path).ok()?;
        request.headers_mut().insert(header::HOST, address.to_string().parse().ok()?);
        let clock = self.clock;
        let answer = connection.exchange(request, move || clock.now()).await.ok()?;
        let headers = &answer.headers;
        // What belongs to a request is the second copy of its answer: the connection can't be used again.
        if headers.contains_key(&names.request_id) {
            return None;
        }
        let now = clock.now();
        let is_named = headers.get(&names.server).is_some_and(|it| it == name.as_str());
        self.state.borrow_mut().pool.put(connection, now);
        if !is_named {
            return None;
        }
        if let Some(report) = self.format.load(headers) {
            self.server_reports.record_local(name, report, now);
        }
        let cold_left = number_in(headers, &names.cold_left).map(Duration::from_millis);
        // A healthy server that names no time has none to wait for.
        cold_left.or_else(|| answer.status.is_success().then_some(Duration::ZERO))
    }
}
