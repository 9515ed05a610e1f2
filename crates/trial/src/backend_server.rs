//! Stand-in of a backend server, with slots, load shedding, fenced grants, cold starts, deadlines,
//! cancellation when the connection closes, and load reports that lag.

use std::{
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicI64, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use backend::{
    DEADLINE_HEADER, GrantBody, GrantReply, LOAD_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER,
    SLICE_HEADER, TOKEN_HEADER,
};
use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use model::OwnerCheck;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::sync::{Semaphore, watch};
use warp::{Filter, filters::path::FullPath};

use crate::{checker::InvariantChecker, deployment::TrialServer, scenario::LoadKind};

/// Queued requests for each slot beyond which the server sheds load.
const MAX_QUEUED_PER_SLOT: u32 = 16;

/// Time between updates of the server's load report.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Faults that one server injects.
pub(crate) struct ServerFaults {
    /// While true, the server answers nothing.
    pub(crate) is_frozen: watch::Sender<bool>,
    /// Service time in percent of the normal one.
    pub(crate) service_time_percent: AtomicU64,
    /// Number of answers still to be sent with another request's id.
    pub(crate) n_crossed_answers: AtomicI64,
    /// Whether the load report is no longer updated.
    pub(crate) is_report_stale: AtomicBool,
    cold_fault: Mutex<Option<ColdFault>>,
}

/// A stand-in of one backend server.
pub(crate) struct BackendServer {
    pub(crate) config: TrialServer,
    pub(crate) faults: ServerFaults,
    checker: Arc<InvariantChecker>,
    slots: Semaphore,
    n_in_flight: AtomicU32,
    /// The requests in flight that the load report shows; it lags behind `n_in_flight`.
    reported_in_flight: AtomicU32,
    grants: Mutex<GrantState>,
    rng: Mutex<SmallRng>,
}

/// Whether the server is cold, so that it refuses requests beyond a small number in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ColdState {
    Warm,
    /// Cold by a fault that not every router can have detected yet.
    Undetected,
    /// Cold, and every router can know it.
    Cold,
}

/// A fault that turns a server cold without a restart or an announcement.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ColdFault {
    /// When the server first refused a request because of the fault.
    first_refused_at: Option<Instant>,
}

/// Time from the first refusal until every router can have detected that the server is cold.
const COLD_DETECTION_TIME: Duration = Duration::from_millis(500);

/// Requests in flight for each cold slot beyond which a cold server is overloaded.
const MAX_IN_FLIGHT_PER_COLD_SLOT: u32 = 2;

#[derive(Default)]
struct GrantState {
    /// Number of restarts.
    incarnation: u64,
    /// When the server last restarted during the trial.
    restarted_at: Option<Instant>,
    term: u64,
    set_version: u64,
    /// Fencing token of each granted slice, by `service:slice`.
    tokens: HashMap<String, String>,
    lease_until: Option<Instant>,
    /// When each recent receipt was issued. A grant's lease counts from the receipt that it names
    /// as its basis.
    receipts: HashMap<String, Instant>,
    next_receipt: u64,
}

/// Value of the header that says why a request was not run.
type RefusalReason = &'static str;

impl BackendServer {
    pub(crate) fn new(config: TrialServer, checker: Arc<InvariantChecker>, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            slots: Semaphore::new(config.load.slots as usize),
            faults: ServerFaults {
                is_frozen: watch::Sender::new(false),
                service_time_percent: AtomicU64::new(100),
                n_crossed_answers: AtomicI64::new(0),
                is_report_stale: AtomicBool::new(false),
                cold_fault: Mutex::new(None),
            },
            config,
            checker,
            n_in_flight: AtomicU32::new(0),
            reported_in_flight: AtomicU32::new(0),
            grants: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        })
    }

    /// Serves on a free port and returns it.
    pub(crate) async fn serve(self: &Arc<Self>) -> eyre::Result<SocketAddr> {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let server = self.clone();
        let with_server = warp::any().map(move || server.clone());
        let grants = warp::path!("_server" / "grants")
            .and(warp::body::json::<GrantBody>())
            .and(with_server.clone())
            .and_then(|body: GrantBody, it: Arc<Self>| async move {
                it.wait_while_frozen().await;
                Ok::<_, Infallible>(warp::reply::json(&it.apply_grants(body)))
            });
        let health = warp::path!("_server" / "health").and(with_server.clone()).and_then(
            |it: Arc<Self>| async move {
                it.wait_while_frozen().await;
                Ok::<_, Infallible>(warp::reply())
            },
        );
        let calls = warp::path::full()
            .and(warp::header::headers_cloned())
            .and(warp::body::bytes())
            .and(with_server)
            .then(|path: FullPath, headers: HeaderMap, _: Bytes, it: Arc<Self>| async move {
                it.handle_request(path.as_str(), &headers).await
            });
        let server = warp::serve(grants.or(health).or(calls)).incoming(listener);
        tokio::spawn(server.run());
        tokio::spawn(self.clone().update_reports());
        Ok(address)
    }

    /// Drops all grants and receipts, as a restart of the server's process does. Requests that were
    /// running don't commit, and the server is cold for `warm_ms`.
    pub(crate) fn restart(&self) {
        let mut grants = self.grants();
        let slices: Vec<String> = grants.tokens.keys().cloned().collect();
        let incarnation = grants.incarnation + 1;
        let restarted_at = Some(Instant::now());
        *grants = GrantState { incarnation, restarted_at, ..GrantState::default() };
        drop(grants);
        for slice in slices {
            self.checker.record_release(&self.config.name, &slice);
        }
    }

    /// Turns the server cold without announcement, or with none warm again.
    pub(crate) fn set_cold_fault(&self, cold_fault: Option<ColdFault>) {
        *self.faults.cold_fault.lock().unwrap_or_else(|it| it.into_inner()) = cold_fault;
    }

    fn grants(&self) -> std::sync::MutexGuard<'_, GrantState> {
        self.grants.lock().unwrap_or_else(|it| it.into_inner())
    }

    async fn wait_while_frozen(&self) {
        let mut is_frozen = self.faults.is_frozen.subscribe();
        let _ = is_frozen.wait_for(|it| !it).await;
    }

    async fn update_reports(self: Arc<Self>) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            if !self.faults.is_report_stale.load(Ordering::Relaxed) {
                self.reported_in_flight
                    .store(self.n_in_flight.load(Ordering::Relaxed), Ordering::Relaxed);
            }
        }
    }

    fn apply_grants(&self, body: GrantBody) -> GrantReply {
        let mut grants = self.grants();
        let now = Instant::now();
        if (body.term, body.set_version) < (grants.term, grants.set_version) {
            return match body.term < grants.term {
                true => GrantReply::Rejected { term: grants.term },
                false => GrantReply::NeedSet { basis: grants.issue_receipt(now) },
            };
        }
        let issued_at = body.basis.as_ref().and_then(|it| grants.receipts.get(it)).copied();
        let Some(issued_at) = issued_at else {
            return GrantReply::NeedSet { basis: grants.issue_receipt(now) };
        };
        let lease_until = issued_at + Duration::from_millis(body.lease_ms);
        let is_lease_expired = grants.lease_until.is_none_or(|it| it <= now);
        if is_lease_expired && !grants.tokens.is_empty() {
            self.clear_grants(&mut grants);
        }
        match body.entries {
            Some(entries) => {
                let tokens: HashMap<String, String> = entries
                    .iter()
                    .map(|it| (format!("{}:{}", it.service, it.slice), it.token.to_string()))
                    .collect();
                for slice in grants.tokens.keys().filter(|it| !tokens.contains_key(*it)) {
                    self.checker.record_release(&self.config.name, slice);
                }
                grants.tokens = tokens;
                (grants.term, grants.set_version) = (body.term, body.set_version);
            }
            None if is_lease_expired
                || (grants.term, grants.set_version) != (body.term, body.set_version) =>
            {
                return GrantReply::NeedSet { basis: grants.issue_receipt(now) };
            }
            None => (),
        }
        if lease_until > now {
            grants.lease_until = grants.lease_until.max(Some(lease_until));
        }
        if let Some(until) = grants.lease_until.filter(|it| *it > now) {
            self.checker.record_grants(&self.config.name, grants.tokens.keys().cloned(), until);
        }
        let (term, set_version) = (grants.term, grants.set_version);
        GrantReply::Held { term, set_version, basis: grants.issue_receipt(now) }
    }

    fn clear_grants(&self, grants: &mut GrantState) {
        grants.tokens.clear();
        grants.set_version = 0;
    }

    async fn handle_request(&self, path: &str, headers: &HeaderMap) -> Response<String> {
        self.wait_while_frozen().await;
        let text = |name: &str| headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or("");
        let id = text(REQUEST_ID_HEADER).to_owned();
        self.checker.record_arrival(&self.config.name);
        let _in_flight = InFlightGuard::enter(&self.n_in_flight);
        let key = path.split('/').nth(2).unwrap_or_default().to_owned();
        let deadline = text(DEADLINE_HEADER).parse().unwrap_or(1_000);
        let deadline = Instant::now() + Duration::from_millis(deadline);
        let slice = format!("{}:{}", self.config.load.name, text(SLICE_HEADER));
        let token = text(TOKEN_HEADER).to_owned();
        match self.run_in_slot(&id, &key, deadline, &slice, &token).await {
            Ok(()) => self.success_response(&id, &key),
            Err(refusal) => self.refusal_response(&id, refusal),
        }
    }

    /// Runs a request in a slot. Checks the deadline and the grant before the request starts and
    /// again before it commits.
    async fn run_in_slot(
        &self,
        id: &str,
        key: &str,
        deadline: Instant,
        slice: &str,
        token: &str,
    ) -> Result<(), RefusalReason> {
        let cold_state = self.cold_state();
        let is_cold = cold_state != ColdState::Warm;
        let n_in_flight = self.n_in_flight.load(Ordering::Relaxed);
        let n_slots = if is_cold { self.config.load.cold_slots } else { self.config.load.slots };
        if is_cold && n_in_flight > MAX_IN_FLIGHT_PER_COLD_SLOT * n_slots {
            self.record_refusal();
            if cold_state == ColdState::Cold {
                self.checker.record_cold_overload(&self.config.name);
            }
            return Err("cold");
        }
        if n_in_flight > n_slots * (MAX_QUEUED_PER_SLOT + 1) {
            return Err("shed");
        }
        let _slot = self.slots.acquire().await.map_err(|_| "shed")?;
        self.wait_while_frozen().await;
        self.check_deadline_and_grant(deadline, slice, token)?;
        let started_at = Instant::now();
        let incarnation = self.grants().incarnation;
        tokio::time::sleep(self.service_time()).await;
        self.wait_while_frozen().await;
        self.check_deadline_and_grant(deadline, slice, token)?;
        if self.grants().incarnation != incarnation {
            // The process that ran the request has ended without committing it.
            return Err("gone");
        }
        let is_keyed = self.config.load.kind == LoadKind::Keyed;
        let commit_key = format!("{}:{key}", self.config.load.name);
        self.checker.record_commit(
            &self.config.name,
            id,
            is_keyed.then_some(&commit_key),
            started_at,
        );
        Ok(())
    }

    /// Records the first refusal, from which routers can detect that the server is cold.
    fn record_refusal(&self) {
        let mut cold_fault = self.faults.cold_fault.lock().unwrap_or_else(|it| it.into_inner());
        if let Some(cold_fault) = cold_fault.as_mut() {
            cold_fault.first_refused_at.get_or_insert(Instant::now());
        }
    }

    fn cold_state(&self) -> ColdState {
        let restarted_at = self.grants().restarted_at;
        let warm_after = Duration::from_millis(self.config.load.warm_ms);
        let cold_fault = *self.faults.cold_fault.lock().unwrap_or_else(|it| it.into_inner());
        match (restarted_at, cold_fault) {
            (Some(at), _) if at.elapsed() < warm_after => ColdState::Cold,
            (_, Some(cold_fault)) => match cold_fault.first_refused_at {
                Some(at) if at.elapsed() >= warm_after => ColdState::Warm,
                Some(at) if at.elapsed() >= COLD_DETECTION_TIME => ColdState::Cold,
                _ => ColdState::Undetected,
            },
            _ => ColdState::Warm,
        }
    }

    /// Checks that the request's deadline has not passed and, where the service checks tokens, that
    /// the server holds a valid grant with the request's token.
    fn check_deadline_and_grant(
        &self,
        deadline: Instant,
        slice: &str,
        token: &str,
    ) -> Result<(), RefusalReason> {
        let is_token_checked =
            self.config.load.kind == LoadKind::Keyed && self.config.load.check == OwnerCheck::Token;
        let grants = self.grants();
        let is_leased = grants.lease_until.is_some_and(|it| it > Instant::now());
        let is_granted = is_leased && grants.tokens.get(slice).is_some_and(|it| it == token);
        match () {
            () if Instant::now() >= deadline => Err("deadline"),
            () if is_token_checked && !is_granted => Err("fenced"),
            () => Ok(()),
        }
    }

    fn service_time(&self) -> Duration {
        let mut rng = self.rng.lock().unwrap_or_else(|it| it.into_inner());
        let time_factor: f64 = rng.random_range(0.5..1.5);
        let slowdown = self.faults.service_time_percent.load(Ordering::Relaxed) as f64 / 100.0;
        Duration::from_secs_f64(self.config.load.service_ms * time_factor * slowdown / 1_000.0)
    }

    fn success_response(&self, id: &str, key: &str) -> Response<String> {
        let is_crossed = self
            .faults
            .n_crossed_answers
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| (n > 0).then(|| n - 1))
            .is_ok();
        let id = if is_crossed { format!("other-{id}") } else { id.to_owned() };
        let body = format!("id={id} key={key} server={}\nwhole\n", self.config.name);
        self.build_response(StatusCode::OK, &id, None, body)
    }

    fn refusal_response(&self, id: &str, refusal: RefusalReason) -> Response<String> {
        self.build_response(StatusCode::SERVICE_UNAVAILABLE, id, Some(refusal), String::new())
    }

    fn build_response(
        &self,
        status: StatusCode,
        id: &str,
        not_run: Option<RefusalReason>,
        body: String,
    ) -> Response<String> {
        let n_in_flight = self.reported_in_flight.load(Ordering::Relaxed);
        let n_running = n_in_flight.min(self.config.load.slots);
        let mut builder = Response::builder()
            .status(status)
            .header(REQUEST_ID_HEADER, id)
            .header(LOAD_HEADER, format!("{n_running}/{}", n_in_flight - n_running));
        if let Some(refusal) = not_run {
            builder = builder.header(NOT_RUN_HEADER, refusal);
        }
        builder.body(body).unwrap_or_default()
    }
}

impl GrantState {
    /// Issues a receipt for a planner to name as the basis of its next grants.
    fn issue_receipt(&mut self, now: Instant) -> String {
        let receipt = format!("{}-{}", self.incarnation, self.next_receipt);
        self.next_receipt += 1;
        self.receipts.retain(|_, at| now - *at < Duration::from_secs(10));
        self.receipts.insert(receipt.clone(), now);
        receipt
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard<'a>(&'a AtomicU32);

impl<'a> InFlightGuard<'a> {
    fn enter(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
