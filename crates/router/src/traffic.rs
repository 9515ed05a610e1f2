//! From a caller's request to its outcome.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use backend::{ServerAnswer, ServerRequest};
use caller::{CallerAnswer, CallerRequest, CallerService};
use model::{
    CallOutcome, Idempotency, MonoTime, NotRunReason, RequestId, ServiceKind, ServiceSpec, hash_key,
};
use ownership::LeaseTiming;
use peer::ForwardCause;

use crate::{forward, keyed, shared_service, state::RouterState};

/// A request on its way to a server.
#[derive(Debug, Clone)]
pub(crate) struct RoutedRequest {
    /// The request, but for slice, token and time left.
    pub(crate) request: ServerRequest,
    pub(crate) key: String,
    pub(crate) spec: Arc<ServiceSpec>,
    pub(crate) idempotency: Idempotency,
    pub(crate) deadline: MonoTime,
    pub(crate) origin: RequestOrigin,
}

/// Where a request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A caller sent it to this router.
    Caller,
    /// Another router forwarded it.
    Router(ForwardCause),
}

impl RoutedRequest {
    pub(crate) fn left(&self, now: MonoTime) -> Duration {
        self.deadline.since(now)
    }
}

/// Serves callers' requests.
#[derive(Clone)]
pub(crate) struct TrafficService {
    pub(crate) state: Arc<RouterState>,
}

impl CallerService for TrafficService {
    async fn serve(&self, request: CallerRequest) -> Result<CallerAnswer, CallOutcome> {
        let state = &self.state;
        let started_at = state.now();
        let _serving = ServingGuard::enter(state)?;
        let res = serve_request(state, request, started_at).await;
        let outcome = match &res {
            Ok(_) => "answered",
            Err(CallOutcome::NotRun(_)) => "not-run",
            Err(CallOutcome::Unknown(_)) => "unknown",
        };
        state.metrics.outcomes.with_label_values(&[outcome]).inc();
        state.metrics.latency.observe(state.now().since(started_at).as_secs_f64());
        res.map(|it| CallerAnswer { status: it.status, headers: it.headers, body: it.body })
    }

    fn next_id(&self) -> RequestId {
        loop {
            if let Some(id) = self.state.next_request_id() {
                return id;
            }
        }
    }
}

/// Counts a request as being served until it is dropped.
struct ServingGuard<'a>(&'a RouterState);

impl<'a> ServingGuard<'a> {
    fn enter(state: &'a RouterState) -> Result<Self, CallOutcome> {
        let n_serving = state.n_serving.fetch_add(1, Ordering::Relaxed);
        let guard = Self(state);
        state.metrics.in_flight.set(n_serving as i64 + 1);
        match () {
            () if state.is_closed.load(Ordering::Relaxed) => {
                Err(CallOutcome::NotRun(NotRunReason::Leaving))
            }
            () if n_serving >= state.settings.max_in_flight => {
                Err(CallOutcome::NotRun(NotRunReason::Overloaded))
            }
            () => Ok(guard),
        }
    }
}

impl Drop for ServingGuard<'_> {
    fn drop(&mut self) {
        self.0.n_serving.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_request(
    state: &Arc<RouterState>,
    request: CallerRequest,
    started_at: MonoTime,
) -> Result<ServerAnswer, CallOutcome> {
    let table = state.table();
    let Some(spec) = table.service(&request.service) else {
        let reason = match table.sheet.services.is_empty() {
            true => NotRunReason::NoServer,
            false => NotRunReason::UnknownService,
        };
        return Err(CallOutcome::NotRun(reason));
    };
    let limit = request.deadline.map_or(spec.deadline, |it| it.min(spec.deadline));
    let routed = RoutedRequest {
        idempotency: spec.idempotency(&request.method),
        deadline: started_at + limit,
        origin: RequestOrigin::Caller,
        request: ServerRequest {
            id: request.id,
            service: spec.name.clone(),
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: request.body,
            slice: None,
            deadline_left: limit,
        },
        key: request.key,
        spec: Arc::new(spec.clone()),
    };
    route(state, routed).await
}

/// Takes a request to the right place, again while it certainly has not run and time is left.
async fn route(
    state: &Arc<RouterState>,
    routed: RoutedRequest,
) -> Result<ServerAnswer, CallOutcome> {
    let hash = hash_key(&routed.key);
    let base = match routed.spec.kind {
        ServiceKind::Shared => return shared_service::serve(state, routed).await,
        ServiceKind::Keyed { .. } => routed.spec.base_slice(hash),
    };
    let Some(base) = base else {
        return Err(CallOutcome::NotRun(NotRunReason::BadRequest));
    };
    let mut changes = state.changes();
    let mut last = CallOutcome::NotRun(NotRunReason::NoOwner);
    loop {
        changes.mark_unchanged();
        let table = state.table();
        let home = table.home(&routed.spec.name, base, hash).cloned();
        let res = match home {
            None => Err(CallOutcome::NotRun(NotRunReason::NoOwner)),
            Some(home) if home == state.settings.identity.domain => {
                keyed::serve(state, &routed, base, hash).await
            }
            Some(home) => forward::send_home(state, &routed, &home).await,
        };
        let outcome = match res {
            Ok(answer) => return Ok(answer),
            Err(outcome) => outcome,
        };
        last = outcome.after(last);
        let left = routed.left(state.now());
        if !is_elsewhere(outcome) || left.is_zero() {
            return Err(last);
        }
        let _ = tokio::time::timeout(left.min(RECHECK_INTERVAL), changes.changed()).await;
    }
}

/// Whether the request has not run and may find its owner by another table.
fn is_elsewhere(outcome: CallOutcome) -> bool {
    matches!(
        outcome,
        CallOutcome::NotRun(
            NotRunReason::NotHome
                | NotRunReason::NoOwner
                | NotRunReason::Leaving
                | NotRunReason::ConnectFailed
        )
    )
}

/// Time after which a request that waits for another table looks again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Silence of a server after which its connections are taken for dead.
pub(crate) fn progress_timeout(latency: f64, timing: &LeaseTiming) -> Duration {
    let seconds = (latency * 8.0).max(timing.heartbeat.as_secs_f64());
    Duration::from_secs_f64(seconds)
}
