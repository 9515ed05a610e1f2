//! A caller's request from its arrival to its one final answer.

mod choice;
mod exchange;

use std::{cell::RefCell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use model::{
    DomainName, Idempotency, MonoTime, NotRunReason, ServerName, ServiceName, UnknownReason,
};
use policy::{CallEnd, LoadEstimator, RetryBudget, SilenceDetector, choose_cheapest, retry_delay};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use settings::ProcessClock;
use slog::{Logger, info};
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::{
    CachedServer, ConnectionPool, EntryMetrics, EntrySettings, ExchangeError, HttpAnswer,
    HttpConnection, PlanRoute, ReportCache, ServerFormat, SnapshotChannel, StateSnapshot,
    datagrams::RouterLoad,
    stats::{ServerStats, ServiceStats},
};

/// Share of a request's time for which it waits for its key to get an owner.
const OWNER_WAIT_SHARE: f64 = 0.4;

/// Part of the free further sends that routers use up together.
const SLACK_SHARE: f64 = 0.6;

/// Part of the ratio of further sends that routers use up together.
const RATIO_SHARE: f64 = 0.75;

/// Headers of the connection itself, which are not passed on.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

use choice::SendChoice;
use exchange::SendEnd;

/// A caller's request, read whole.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path and query, as sent.
    pub uri: Uri,
    /// Headers, as sent.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When its head had arrived.
    pub arrived: MonoTime,
}

/// The final answer.
pub type CallerAnswer = Response<Full<Bytes>>;

/// One request under way.
struct RequestState {
    id: HeaderValue,
    service: ServiceName,
    route: Arc<PlanRoute>,
    key: Option<u16>,
    arrived: MonoTime,
    deadline: MonoTime,
    tried: SmallVec<[ServerName; 2]>,
    n_sends: u32,
    unknown: Option<(UnknownReason, Option<HttpAnswer>)>,
}

impl RequestState {
    fn left(&self, now: MonoTime) -> Duration {
        self.deadline.since(now)
    }
}

/// State of one traffic thread.
struct TrafficState {
    pool: ConnectionPool,
    sights: HashMap<ServerName, ServerStats>,
    services: HashMap<ServiceName, ServiceStats>,
    domains: HashMap<DomainName, SilenceDetector>,
    counts: HashMap<ServiceName, HashMap<u16, u32>>,
    rng: SmallRng,
    n_open: usize,
}

/// What a [`TrafficServer`] is built from.
pub struct TrafficParts<F> {
    /// Names of headers.
    pub format: F,
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Beliefs as published.
    pub channel: SnapshotChannel,
    /// The clock.
    pub clock: ProcessClock,
    /// Counters.
    pub metrics: EntryMetrics,
    /// What servers report.
    pub server_reports: ReportCache,
    /// Starts the random choices.
    pub seed: u64,
    /// The log.
    pub log: Logger,
}

/// Serves callers on one thread.
pub struct TrafficServer<F> {
    format: F,
    settings: ArcSwap<EntrySettings>,
    channel: SnapshotChannel,
    clock: ProcessClock,
    metrics: EntryMetrics,
    server_reports: ReportCache,
    state: RefCell<TrafficState>,
    log: Logger,
}

impl<F: ServerFormat> TrafficServer<F> {
    /// A server that has seen nothing yet.
    pub fn new(parts: TrafficParts<F>) -> Self {
        let state = TrafficState {
            pool: ConnectionPool::default(),
            sights: HashMap::new(),
            services: HashMap::new(),
            domains: HashMap::new(),
            counts: HashMap::new(),
            rng: SmallRng::seed_from_u64(parts.seed),
            n_open: 0,
        };
        Self {
            format: parts.format,
            settings: ArcSwap::from_pointee(parts.settings),
            channel: parts.channel,
            clock: parts.clock,
            metrics: parts.metrics,
            server_reports: parts.server_reports,
            state: RefCell::new(state),
            log: parts.log,
        }
    }

    /// The clock by which requests are timed.
    pub fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// The plan's bounds on callers.
    pub fn limits(&self) -> crate::CallerLimits {
        self.channel.current().plan.as_ref().map(|it| it.limits).unwrap_or_default()
    }

    /// Takes changed settings over; addresses stay as they were at the start.
    pub fn adopt_settings(&self, settings: EntrySettings) {
        self.settings.store(Arc::new(settings));
    }

    /// Requests under way.
    pub fn n_open(&self) -> usize {
        self.state.borrow().n_open
    }

    /// Serves one request.
    pub async fn serve(self: Rc<Self>, request: CallerRequest) -> CallerAnswer {
        let _open = OpenGuard::new(self.clone());
        let names = self.format.headers();
        let id = request.headers.get(&names.request_id).cloned();
        let id = id.unwrap_or(HeaderValue::from_static("-"));
        let snapshot = self.channel.current();
        let Some(plan) = &snapshot.plan else {
            return self.refuse_early(&id, StatusCode::SERVICE_UNAVAILABLE, "no-plan");
        };
        let host = request.headers.get(header::HOST).and_then(|it| it.to_str().ok());
        let route = plan.route(host.unwrap_or_default(), request.uri.path()).cloned();
        let Some(route) = route else {
            return self.refuse_early(&id, StatusCode::NOT_FOUND, "no-route");
        };
        let draw = self.state.borrow_mut().rng.random::<f64>();
        let Some(service) = route.target(draw).cloned() else {
            return self.refuse_early(&id, StatusCode::NOT_FOUND, "no-service");
        };
        let number = |name| -> Option<u64> {
            request.headers.get(name).and_then(|it: &HeaderValue| it.to_str().ok()?.parse().ok())
        };
        let is_keyed = plan.services.get(&service).is_some_and(|it| it.is_keyed);
        let key = number(&names.key).and_then(|it| u16::try_from(it).ok()).filter(|_| is_keyed);
        if is_keyed && key.is_none() {
            return self.refuse_early(&id, StatusCode::BAD_REQUEST, "no-key");
        }
        let time = number(&names.time_left).map_or(route.timeout, Duration::from_millis);
        let mut state = RequestState {
            id,
            service,
            key,
            arrived: request.arrived,
            deadline: request.arrived + time.min(route.timeout),
            route,
            tried: SmallVec::new(),
            n_sends: 0,
            unknown: None,
        };
        if let Some(key) = key {
            let mut own = self.state.borrow_mut();
            *own.counts.entry(state.service.clone()).or_default().entry(key).or_default() += 1;
        }
        self.note_first(&state);
        let outcome = self.run(&mut state, &request).await;
        self.finish(&state, outcome)
    }

    fn note_first(&self, request: &RequestState) {
        let n_vms = self.channel.current().vms.len().max(1) as f64;
        let retries = self.settings.load().retries;
        let mut state = self.state.borrow_mut();
        let stats = state.services.entry(request.service.clone()).or_insert_with(|| {
            let cap = (retries.slack * SLACK_SHARE / n_vms).max(1.0);
            ServiceStats::new(RetryBudget::new(retries.ratio * RATIO_SHARE, cap))
        });
        stats.budget.note_first();
    }

    /// Sends the request until there is a final answer.
    async fn run(
        &self,
        request: &mut RequestState,
        original: &CallerRequest,
    ) -> Result<HttpAnswer, NotRunReason> {
        let mut reason = NotRunReason::NoServer;
        let mut news = self.channel.subscribe();
        loop {
            let now = self.clock.now();
            if now >= request.deadline {
                return Err(NotRunReason::DeadlinePassed);
            }
            news.mark_unchanged();
            let server = match self.choose(request, now) {
                SendChoice::To(server) => server,
                SendChoice::Refuse(why) => return Err(why),
                SendChoice::AwaitNews(why) => {
                    let all = request.deadline.since(request.arrived);
                    let until = request.arrived + all.mul_f64(OWNER_WAIT_SHARE);
                    if now >= until {
                        return Err(why);
                    }
                    self.channel.request_refresh();
                    let _ = timeout(until.since(now), news.changed()).await;
                    continue;
                }
            };
            if request.n_sends > 0 && !self.may_send_again(request) {
                return Err(reason);
            }
            match self.send(request, original, &server, now).await {
                SendEnd::Answered(answer) => return Ok(answer),
                SendEnd::NotRun(why) => {
                    reason = why;
                    request.tried.push(server.entry.name.clone());
                }
                SendEnd::Misdirected => {
                    reason = NotRunReason::NoOwner;
                    self.channel.request_refresh();
                    if request.key.is_some() {
                        let wait = MISDIRECTED_WAIT.min(request.left(self.clock.now()));
                        let _ = timeout(wait, news.changed()).await;
                    } else {
                        request.tried.push(server.entry.name.clone());
                    }
                }
                SendEnd::Failed(why, answer) => {
                    request.unknown = Some((why, answer));
                    if request.route.idempotency == Idempotency::AtMostOnce {
                        return Err(reason);
                    }
                    if request.key.is_none() {
                        request.tried.push(server.entry.name.clone());
                    }
                }
            }
            if request.n_sends >= request.route.max_sends {
                return Err(reason);
            }
        }
    }

    fn may_send_again(&self, request: &RequestState) -> bool {
        let mut state = self.state.borrow_mut();
        state.services.get_mut(&request.service).is_some_and(|it| it.budget.take())
    }

    /// Turns the outcome into the caller's answer.
    fn finish(
        &self,
        request: &RequestState,
        outcome: Result<HttpAnswer, NotRunReason>,
    ) -> CallerAnswer {
        let now = self.clock.now();
        let age = now.since(request.arrived);
        let refusal = outcome.as_ref().err().copied().filter(|_| request.unknown.is_none());
        let (outcome, label): (Result<HttpAnswer, StatusCode>, String) =
            match (outcome, &request.unknown) {
                (Ok(answer), _) => (Ok(answer), "answered".into()),
                (Err(_), Some((why, Some(answer)))) => (Ok(answer.clone()), why.to_string()),
                (Err(_), Some((why @ UnknownReason::DeadlinePassed, None))) => {
                    (Err(StatusCode::GATEWAY_TIMEOUT), why.to_string())
                }
                (Err(_), Some((why, None))) => (Err(StatusCode::BAD_GATEWAY), why.to_string()),
                (Err(why), None) => (Err(StatusCode::SERVICE_UNAVAILABLE), why.to_string()),
            };
        self.metrics.outcomes.with_label_values(&[&*request.route.name, label.as_str()]).inc();
        self.metrics.latency.observe(age.as_secs_f64());
        match outcome {
            Ok(answer) => {
                if answer.status.is_success()
                    && let Some(stats) = self.state.borrow_mut().services.get_mut(&request.service)
                {
                    stats.note_answer(age.as_secs_f64());
                }
                let mut response = Response::new(Full::new(answer.body));
                *response.status_mut() = answer.status;
                *response.headers_mut() = passed_headers(&answer.headers);
                response
            }
            Err(status) => {
                info!(self.log, "request-failed"; "id" => request.id.to_str().unwrap_or("-"),
                    "route" => &*request.route.name, "service" => %request.service,
                    "status" => status.as_u16(), "cause" => &label, "key" => request.key,
                    "n_sends" => request.n_sends, "age_ms" => age.as_millis() as u64,
                    "plan" => self.channel.current().plan.as_ref().map_or(0, |it| it.version),
                    "belief_age_ms" => now.since(self.channel.current().synced_at).as_millis() as u64);
                let mut response = self.own_answer(&request.id, status);
                if let Some(reason) = refusal {
                    let queue = self.shortest_queue(request, now);
                    let after = retry_delay(reason, queue, request.left(now)).as_secs_f64();
                    if let Ok(value) = format!("{after:.3}").parse() {
                        response.headers_mut().insert(header::RETRY_AFTER, value);
                    }
                }
                response
            }
        }
    }

    fn refuse_early(&self, id: &HeaderValue, status: StatusCode, cause: &str) -> CallerAnswer {
        self.metrics.outcomes.with_label_values(&["-", cause]).inc();
        info!(self.log, "request-refused"; "id" => id.to_str().unwrap_or("-"),
            "status" => status.as_u16(), "cause" => cause);
        self.own_answer(id, status)
    }

    fn own_answer(&self, id: &HeaderValue, status: StatusCode) -> CallerAnswer {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = status;
        response.headers_mut().insert(self.format.headers().request_id.clone(), id.clone());
        response
    }

    /// What the assigner is told, counted since the last call.
    pub fn take_router_load(&self) -> RouterLoad {
        let snapshot = self.channel.current();
        let mut state = self.state.borrow_mut();
        let counts = std::mem::take(&mut state.counts);
        let keys = counts
            .into_iter()
            .map(|(service, counts)| (service, counts.into_iter().collect()))
            .collect();
        let mut work = Vec::new();
        for service in snapshot.keyed_services() {
            for name in snapshot.by_service.get(&service).into_iter().flatten() {
                let seconds = state.sights.get(name).and_then(|it| it.estimator.work_seconds());
                work.extend(seconds.map(|it| (name.clone(), (it * 1_000.0) as u32)));
            }
        }
        RouterLoad { vm: Some(self.settings.load().vm.clone()), keys, work }
    }

    /// Forgets servers that are gone and closes connections that can't be used.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let snapshot = self.channel.current();
        let mut state = self.state.borrow_mut();
        state.pool.sweep(now);
        state.sights.retain(|name, _| snapshot.servers.contains_key(name));
    }
}

/// Longest wait for news after a server said that it does not hold the key.
const MISDIRECTED_WAIT: Duration = Duration::from_millis(150);

/// What is known of a server; starts anew with each of its lives.
fn stats<'a>(
    sights: &'a mut HashMap<ServerName, ServerStats>,
    server: &CachedServer,
) -> &'a mut ServerStats {
    let entry = &server.entry;
    let stats = sights
        .entry(entry.name.clone())
        .or_insert_with(|| ServerStats::new(entry.born, entry.slots));
    if stats.born != entry.born {
        *stats = ServerStats::new(entry.born, entry.slots);
    }
    stats
}

/// Headers without those that concern one connection only.
fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let listed: SmallVec<[&str; 4]> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(str::trim)
        .collect();
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop = HOP_HEADERS.contains(&name.as_str())
            || listed.iter().any(|it| it.eq_ignore_ascii_case(name.as_str()));
        if !is_hop {
            passed.append(name.clone(), value.clone());
        }
    }
    passed
}

/// Counts a request as under way until it is dropped.
struct OpenGuard<F> {
    traffic: Rc<TrafficServer<F>>,
}

impl<F> OpenGuard<F> {
    fn new(traffic: Rc<TrafficServer<F>>) -> Self {
        traffic.state.borrow_mut().n_open += 1;
        Self { traffic }
    }
}

impl<F> Drop for OpenGuard<F> {
    fn drop(&mut self) {
        self.traffic.state.borrow_mut().n_open -= 1;
    }
}
