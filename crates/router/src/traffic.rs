//! Routes callers' requests: to a server of a shared service, to the owner of a key, or to a router
//! of the key's home domain.

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

/// A request with what is needed to route it.
#[derive(Debug, Clone)]
pub(crate) struct RoutedRequest {
    /// The request without slice and token; its `deadline_left` is that on arrival.
    pub(crate) request: ServerRequest,
    pub(crate) key: String,
    pub(crate) spec: Arc<ServiceSpec>,
    pub(crate) idempotency: Idempotency,
    pub(crate) deadline: MonoTime,
    pub(crate) origin: RequestOrigin,
}

/// Which kind of client a request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A caller sent it.
    Caller,
    /// Another router forwarded it for this reason.
    Router(ForwardCause),
}

impl RoutedRequest {
    pub(crate) fn time_left(&self, now: MonoTime) -> Duration {
        self.deadline.since(now)
    }
}

/// Serves callers' requests on the traffic threads.
#[derive(Clone)]
pub(crate) struct TrafficService {
    pub(crate) state: Arc<RouterState>,
}

impl CallerService for TrafficService {
    async fn serve(&self, request: CallerRequest) -> Result<CallerAnswer, CallOutcome> {
        let state = &self.state;
        let started_at = state.now();
        let _guard = ServingGuard::enter(state)?;
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

/// Counts a caller's request as being served until the guard is dropped.
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
    let time_limit = request.deadline.map_or(spec.deadline, |it| it.min(spec.deadline));
    let routed = RoutedRequest {
        idempotency: spec.idempotency(&request.method),
        deadline: started_at + time_limit,
        origin: RequestOrigin::Caller,
        request: ServerRequest {
            id: request.id,
            service: spec.name.clone(),
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: request.body,
            slice: None,
            deadline_left: time_limit,
        },
        key: request.key,
        spec: Arc::new(spec.clone()),
    };
    route(state, routed).await
}

/// Sends a request to its destination, and again by a newer table while it certainly has not run
/// and its deadline has not passed.
async fn route(
    state: &Arc<RouterState>,
    routed: RoutedRequest,
) -> Result<ServerAnswer, CallOutcome> {
    let hash = hash_key(&routed.key);
    let base_slice = match routed.spec.kind {
        ServiceKind::Shared => return shared_service::dispatch(state, routed).await,
        ServiceKind::Keyed { .. } => routed.spec.base_slice(hash),
    };
    let Some(base_slice) = base_slice else {
        return Err(CallOutcome::NotRun(NotRunReason::BadRequest));
    };
    let mut changes = state.changes();
    let mut combined_outcome = CallOutcome::NotRun(NotRunReason::NoOwner);
    loop {
        changes.mark_unchanged();
        let table = state.table();
        let home = table.home(&routed.spec.name, base_slice, hash).cloned();
        let res = match home {
            None => Err(CallOutcome::NotRun(NotRunReason::NoOwner)),
            Some(home) if home == state.settings.identity.domain => {
                keyed::dispatch(state, &routed, base_slice, hash).await
            }
            Some(home) => forward::forward_home(state, &routed, &home).await,
        };
        let outcome = match res {
            Ok(answer) => return Ok(answer),
            Err(outcome) => outcome,
        };
        combined_outcome = outcome.after(combined_outcome);
        let time_left = routed.time_left(state.now());
        if !is_reroutable(outcome) || time_left.is_zero() {
            return Err(combined_outcome);
        }
        let _ = tokio::time::timeout(time_left.min(RECHECK_INTERVAL), changes.changed()).await;
    }
}

/// Whether the request certainly has not run and a newer table may lead to its owner.
fn is_reroutable(outcome: CallOutcome) -> bool {
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

/// Longest time that a request waits for a newer table before it is routed again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Wait for an answer after which the connections to the server are replaced, as they may be dead.
///
/// It is eight times `latency`, the average latency of the service in seconds, but at least one
/// heartbeat.
pub(crate) fn progress_timeout(latency: f64, timing: &LeaseTiming) -> Duration {
    let seconds = (latency * 8.0).max(timing.heartbeat.as_secs_f64());
    Duration::from_secs_f64(seconds)
}
