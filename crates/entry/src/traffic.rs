//! Handles a caller's request from its arrival to its single final answer: routing, server choice,
//! retries, and the local answer when no server gave one.

mod answers;
mod choice;
mod exchange;
mod explanation;
mod headers;
mod permits;
mod probes;
mod quotas;
mod request;
mod teams;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
};
use http_body_util::Full;
use model::{
    DomainName, Idempotency, MonoTime, NotRunReason, ServerName, ServiceName, StepError,
    UnknownReason, VmName,
};
use ownership::ServerInstance;
use policy::{
    BackpressureSignal, CallEnd, KeeperHealth, LoadEstimator, RetryBudget, SilenceDetector,
    choose_cheapest, retry_delay,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use settings::ProcessClock;
use slog::{Logger, info};
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::{
    AnswerBounds, BackpressureCache, ByteBudget, CachedRanks, CachedServer, ConnectionNumber,
    ConnectionPool, EntryMetrics, EntrySettings, ExchangeError, HttpAnswer, HttpConnection,
    PermitClient, PlanRoute, ReportCache, RoutePlan, ServerBackpressure, ServerEntry, ServerFormat,
    SharedKeeper, SharedPools, SnapshotChannel, StateSnapshot, WarmthCache,
    datagrams::RouterLoad,
    stats::{INITIAL_SECONDS, ServerStats, ServiceStats},
};

use choice::SendChoice;
use exchange::SendOutcome;
use headers::end_to_end_headers;
use probes::ProbeQueue;
use quotas::{QuotaDesk, QuotaPermit, SpentPermit};
use request::{RequestRouting, RequestState};
use teams::CallerIdentity;

pub use explanation::PlacementQuery;
pub use request::{CallerAnswer, CallerRequest};

/// Mutable state of the traffic thread.
struct TrafficState {
    pool: ConnectionPool,
    server_stats: HashMap<ServerName, ServerStats>,
    service_stats: HashMap<ServiceName, ServiceStats>,
    silence_detectors: HashMap<DomainName, SilenceDetector>,
    keeper_health: KeeperHealth,
    ranks: CachedRanks,
    /// Requests by service and key since the last report to the assigner.
    key_counts: HashMap<ServiceName, HashMap<u16, u32>>,
    rng: SmallRng,
    /// Requests in flight.
    n_open: usize,
}

impl TrafficState {
    /// Moving average of the seconds to an answer of `service`.
    fn mean_seconds(&self, service: &ServiceName) -> f64 {
        self.service_stats.get(service).map_or(INITIAL_SECONDS, ServiceStats::mean_seconds)
    }
}

/// Dependencies of a [`TrafficServer`].
pub struct TrafficParts<F> {
    /// Header names and formats of the platform.
    pub format: F,
    /// Settings at the start; replaced by [`TrafficServer::adopt_settings`].
    pub settings: EntrySettings,
    /// Source of the current snapshot of plan, servers, shards and VMs.
    pub channel: SnapshotChannel,
    /// Clock by which requests are timed.
    pub clock: ProcessClock,
    /// Metrics that requests and attempts are counted in.
    pub metrics: EntryMetrics,
    /// Load reports of servers, shared with the other threads of the process.
    pub server_reports: ReportCache,
    /// What servers ask of their callers, shared with the other threads of the process.
    pub backpressure: BackpressureCache,
    /// What servers told of their warmth, shared with the other threads of the process.
    pub warmth: WarmthCache,
    /// Schedules that this process keeps for all VMs, shared with the control thread.
    pub permit_keeper: SharedKeeper,
    /// Pools of quotas that this process keeps for all VMs, shared with the control thread.
    pub quota_pools: SharedPools,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Log for failed requests and attempts.
    pub log: Logger,
}

/// Routes callers' requests to servers on a single thread.
pub struct TrafficServer<F> {
    format: F,
    settings: ArcSwap<EntrySettings>,
    channel: SnapshotChannel,
    clock: ProcessClock,
    metrics: EntryMetrics,
    server_reports: ReportCache,
    backpressure: BackpressureCache,
    warmth: WarmthCache,
    probes: ProbeQueue,
    /// Budget of what is held of requests and answers.
    budget: ByteBudget,
    permit_keeper: SharedKeeper,
    permit_client: PermitClient,
    quota_pools: SharedPools,
    quotas: QuotaDesk,
    /// When the process ends, once it is stopping.
    ends_at: Cell<Option<MonoTime>>,
    state: RefCell<TrafficState>,
    log: Logger,
}

impl<F: ServerFormat> TrafficServer<F> {
    /// Creates a traffic server without statistics or connections.
    pub fn new(parts: TrafficParts<F>) -> Self {
        let state = TrafficState {
            pool: ConnectionPool::default(),
            server_stats: HashMap::new(),
            service_stats: HashMap::new(),
            silence_detectors: HashMap::new(),
            keeper_health: KeeperHealth::default(),
            ranks: CachedRanks::default(),
            key_counts: HashMap::new(),
            rng: SmallRng::seed_from_u64(parts.seed),
            n_open: 0,
        };
        let quotas = QuotaDesk::new(&parts.settings.vm, parts.incarnation, parts.clock.now());
        Self {
            format: parts.format,
            budget: ByteBudget::new(parts.settings.traffic_bytes),
            settings: ArcSwap::from_pointee(parts.settings),
            channel: parts.channel,
            clock: parts.clock,
            metrics: parts.metrics,
            server_reports: parts.server_reports,
            backpressure: parts.backpressure,
            warmth: parts.warmth,
            probes: ProbeQueue::new(parts.clock),
            permit_keeper: parts.permit_keeper,
            permit_client: PermitClient::default(),
            quota_pools: parts.quota_pools,
            quotas,
            ends_at: Cell::new(None),
            state: RefCell::new(state),
            log: parts.log,
        }
    }

    /// Clock by which requests are timed.
    pub fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// Caller limits of the current plan, or the defaults while there is no plan.
    pub fn limits(&self) -> crate::CallerLimits {
        self.channel.current().plan.as_ref().map(|it| it.limits).unwrap_or_default()
    }

    /// Time within which a request with this head must be answered; `None` if no route matches it.
    pub fn time_limit(&self, head: &http::request::Parts) -> Option<Duration> {
        let snapshot = self.channel.current();
        let host = head.headers.get(header::HOST)?.to_str().ok()?;
        let route = snapshot.plan.as_ref()?.route(host, head.uri.path())?;
        Some(self.route_time_limit(route, &head.headers))
    }

    /// The route's time limit, or the caller's own if that is shorter.
    fn route_time_limit(&self, route: &PlanRoute, headers: &HeaderMap) -> Duration {
        let time_left = number_in(headers, &self.format.headers().time_left);
        time_left.map_or(route.timeout, |it| Duration::from_millis(it).min(route.timeout))
    }

    /// Budget of what is held of requests and answers.
    pub(crate) fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Bounds of the answers to callers' requests and probes.
    fn answer_bounds(&self) -> AnswerBounds {
        let max_bytes = self.settings.load().answer_limits.server;
        AnswerBounds { max_bytes, budget: self.budget.clone() }
    }

    /// Replaces the settings; changed addresses and memory take effect only after a restart.
    pub fn adopt_settings(&self, settings: EntrySettings) {
        self.settings.store(Arc::new(settings));
    }

    /// Refuses from now on what may not be answered by `ends_at`, when the process ends.
    pub fn end_at(&self, ends_at: MonoTime) {
        self.ends_at.set(Some(ends_at));
    }

    /// Number of requests in flight.
    pub fn n_open(&self) -> usize {
        self.state.borrow().n_open
    }

    /// Routes one request and returns its final answer.
    pub async fn serve(self: Rc<Self>, request: CallerRequest) -> CallerAnswer {
        let _in_flight = InFlightGuard::new(self.clone());
        let names = self.format.headers();
        let Some(id) = request.headers.get(&names.request_id).cloned() else {
            // Without an id, a late answer to another request could not be told apart.
            let id = HeaderValue::from_static("-");
            return self.refuse_unrouted(&id, StatusCode::BAD_REQUEST, "no-request-id");
        };
        let snapshot = self.channel.current();
        let Some(plan) = &snapshot.plan else {
            return self.refuse_unrouted(&id, StatusCode::SERVICE_UNAVAILABLE, "no-plan");
        };
        let host = request.headers.get(header::HOST).and_then(|it| it.to_str().ok());
        let route = plan.route(host.unwrap_or_default(), request.uri.path()).cloned();
        let Some(route) = route else {
            return self.refuse_unrouted(&id, StatusCode::NOT_FOUND, "no-route");
        };
        // The plan may have changed while the body arrived.
        let identity = match CallerIdentity::of(plan, &route, &request.headers) {
            Ok(it) => it,
            Err(refusal) => return self.refuse_key(&id, refusal),
        };
        let draw = self.state.borrow_mut().rng.random::<f64>();
        let Some(service) = route.target(draw).cloned() else {
            return self.refuse_unrouted(&id, StatusCode::SERVICE_UNAVAILABLE, "no-service");
        };
        let is_keyed = plan.services.get(&service).is_some_and(|it| it.is_keyed);
        let key = number_in(&request.headers, &names.key)
            .and_then(|it| u16::try_from(it).ok())
            .filter(|_| is_keyed);
        if is_keyed && key.is_none() {
            return self.refuse_unrouted(&id, StatusCode::BAD_REQUEST, "no-key");
        }
        let time_limit = self.route_time_limit(&route, &request.headers);
        let priority = identity.team.as_ref().and_then(|it| it.priority).unwrap_or(route.priority);
        let higher_objective =
            self.state.borrow_mut().ranks.of(plan).higher_objective(&service, priority);
        let routing = RequestRouting {
            route,
            service,
            key,
            identity,
            plan_version: plan.version,
            higher_objective,
        };
        let mut state = RequestState::new(id, routing, request.arrived, time_limit);
        if let Some(key) = key {
            let mut thread_state = self.state.borrow_mut();
            *thread_state
                .key_counts
                .entry(state.service.clone())
                .or_default()
                .entry(key)
                .or_default() += 1;
        }
        self.count_first_send(&state);
        let may_outlast = |ends_at: MonoTime| state.deadline + FINISH_MARGIN > ends_at;
        let outcome = match self.ends_at.get().is_some_and(may_outlast) {
            true => Err(NotRunReason::Leaving),
            false => self.send_until_answered(&mut state, &request).await,
        };
        self.finish(&state, outcome)
    }

    /// Adds to the service's retry budget for a request's first attempt.
    fn count_first_send(&self, request: &RequestState) {
        let n_vms = self.channel.current().n_sharing_vms();
        let retries = self.settings.load().retries;
        let mut state = self.state.borrow_mut();
        let stats = state.service_stats.entry(request.service.clone()).or_insert_with(|| {
            ServiceStats::new(RetryBudget::shared(retries.ratio, retries.slack, n_vms))
        });
        stats.budget.share_among(retries.slack, n_vms);
        stats.budget.note_first();
    }

    /// Sends the request to one server after another until there is a final answer, or none may be
    /// tried any more.
    async fn send_until_answered(
        &self,
        request: &mut RequestState,
        original: &CallerRequest,
    ) -> Result<HttpAnswer, NotRunReason> {
        let mut last_reason = NotRunReason::NoServer;
        let mut changes = self.channel.subscribe();
        loop {
            let now = self.clock.now();
            if now >= request.deadline {
                return Err(NotRunReason::DeadlinePassed);
            }
            changes.mark_unchanged();
            self.obtain_quota(request).await?;
            let now = self.clock.now();
            let server = match self.choose(request, now) {
                SendChoice::To(server) => server,
                SendChoice::Refuse(reason) => return Err(reason),
                SendChoice::RefuseUntil(reason, until) => {
                    request.refused_until = until;
                    return Err(reason);
                }
                SendChoice::GetPermit(server, max_wait) => {
                    self.obtain_permit(request, &server, max_wait).await;
                    continue;
                }
                SendChoice::Wait(wait) => {
                    sleep(wait).await;
                    continue;
                }
                SendChoice::AwaitChange(reason, until) => {
                    let wait_end = request.owner_wait_end();
                    if now >= wait_end {
                        return Err(reason);
                    }
                    self.channel.request_refresh();
                    let until = until.unwrap_or(wait_end).min(wait_end);
                    let _ = timeout(until.since(now), changes.changed()).await;
                    continue;
                }
            };
            if request.n_sends > 0 && !self.take_retry_token(request) {
                return Err(last_reason);
            }
            let permit = request.quota_permit.take().map(QuotaPermit::spend);
            let outcome = self.send(request, original, &server, now).await;
            if matches!(outcome, SendOutcome::NotRun(_) | SendOutcome::Misdirected) {
                request.quota_permit = permit.map(SpentPermit::restore);
            }
            match outcome {
                SendOutcome::Answered(answer) => return Ok(answer),
                SendOutcome::NotRun(reason) => {
                    last_reason = reason;
                    request.tried.push(server.entry.name.clone());
                    if reason == NotRunReason::ConnectFailed && !self.may_try_again(request) {
                        return Err(reason);
                    }
                }
                SendOutcome::Misdirected => {
                    last_reason = NotRunReason::NoOwner;
                    self.channel.request_refresh();
                    request.tried.push(server.entry.name.clone());
                    if !self.may_try_again(request) {
                        return Err(last_reason);
                    }
                }
                SendOutcome::Failed(reason, answer) => {
                    request.unknown_outcome = Some((reason, answer));
                    if request.route.idempotency == Idempotency::AtMostOnce {
                        return Err(last_reason);
                    }
                    if request.key.is_none() {
                        request.tried.push(server.entry.name.clone());
                    }
                }
            }
            if request.n_sends >= request.route.max_sends {
                return Err(last_reason);
            }
        }
    }

    /// Records that a request didn't reach the owner of its key; returns whether it may be tried again,
    /// which it is after a pause or once its key has another owner.
    fn may_try_again(&self, request: &mut RequestState) -> bool {
        if request.key.is_none() {
            return true;
        }
        let draw = self.state.borrow_mut().rng.random::<f64>();
        request.n_misses += 1;
        let pause = MISS_PAUSE * 2_u32.pow(request.n_misses - 1);
        request.miss_until = self.clock.now() + pause.mul_f64(1.0 - MISS_JITTER * draw);
        request.n_misses < MAX_MISSES
    }

    /// Takes one retry out of the service's budget; returns whether there was one.
    fn take_retry_token(&self, request: &RequestState) -> bool {
        let mut state = self.state.borrow_mut();
        let draw = state.rng.random::<f64>();
        let stats = state.service_stats.get_mut(&request.service);
        stats.is_some_and(|it| it.budget.take_by_chance(draw))
    }

    /// Load of this router for the assigner; requests are counted since the last call.
    pub fn take_router_load(&self) -> RouterLoad {
        let snapshot = self.channel.current();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let key_counts = std::mem::take(&mut state.key_counts);
        let keys = key_counts
            .into_iter()
            .map(|(service, key_counts)| (service, key_counts.into_iter().collect()))
            .collect();
        let mut work = Vec::new();
        for service in snapshot.keyed_services() {
            for name in snapshot.by_service.get(&service).into_iter().flatten() {
                let stats = state.server_stats.get_mut(name);
                let seconds = stats.and_then(|it| it.estimator.take_updated_work());
                work.extend(seconds.map(|it| (name.clone(), (it * 1_000.0) as u32)));
            }
        }
        RouterLoad { vm: Some(self.settings.load().vm.clone()), keys, work }
    }

    /// Drops statistics of servers, services and domains that are gone and closes connections that can't be used any
    /// more.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let snapshot = self.channel.current();
        let mut state = self.state.borrow_mut();
        state.pool.sweep(now);
        self.backpressure.sweep(
            |name, born| snapshot.servers.get(name).is_some_and(|it| it.entry.born == born),
            now,
        );
        self.warmth.retain(snapshot.servers.keys());
        state.keeper_health.retain(|vm| snapshot.vms.contains_key(vm));
        self.quotas.retain_vms(|vm| snapshot.vms.contains_key(vm));
        self.quota_pools.lock().retain_vms(|vm| snapshot.vms.contains_key(vm));
        state.server_stats.retain(|name, _| snapshot.servers.contains_key(name));
        let has_service = |it: &ServiceName| {
            snapshot.plan.as_ref().is_some_and(|plan| plan.services.contains_key(it))
        };
        state.service_stats.retain(|service, _| has_service(service));
        state.key_counts.retain(|service, _| has_service(service));
        let domains: BTreeSet<&DomainName> =
            snapshot.servers.values().map(|it| &it.entry.domain).collect();
        state.silence_detectors.retain(|domain, _| domains.contains(domain));
    }
}

/// The number in a header; `None` if there is none.
fn number_in(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Time from a request's deadline until its answer has certainly been written.
const FINISH_MARGIN: Duration = Duration::from_millis(300);

/// Attempts of a request to reach the owner of its key.
const MAX_MISSES: u32 = 3;

/// Pause before the second of these attempts, if the key still has the same owner; it doubles with each.
const MISS_PAUSE: Duration = Duration::from_millis(150);

/// Part of that pause that is random.
const MISS_JITTER: f64 = 0.3;

/// Statistics of the server's current instance; those of an earlier instance are reset.
fn current_stats<'a>(
    server_stats: &'a mut HashMap<ServerName, ServerStats>,
    server: &CachedServer,
) -> &'a mut ServerStats {
    let entry = &server.entry;
    let stats = server_stats.entry(entry.name.clone()).or_insert_with(|| ServerStats::new(entry));
    if stats.born != entry.born || stats.address != entry.address {
        *stats = ServerStats::new(entry);
    }
    stats
}

/// Counts a request as in flight until it is dropped, also when its caller disconnects.
struct InFlightGuard<F> {
    traffic: Rc<TrafficServer<F>>,
}

impl<F> InFlightGuard<F> {
    fn new(traffic: Rc<TrafficServer<F>>) -> Self {
        traffic.state.borrow_mut().n_open += 1;
        Self { traffic }
    }
}

impl<F> Drop for InFlightGuard<F> {
    fn drop(&mut self) {
        self.traffic.state.borrow_mut().n_open -= 1;
    }
}
