//! Forwards requests to routers on other VMs, and serves the requests that they forward.

use std::{sync::Arc, time::Duration};

use backend::{ServerAnswer, ServerRequest};
use model::{
    CallOutcome, DomainName, Idempotency, NotRunReason, ServiceKind, UnknownReason, hash_key,
};
use peer::{ForwardCause, ForwardReply, ForwardRequest, PeerReply, PeerRequest};
use sheet::{VmRow, WorkState};
use tokio::time::error::Elapsed;

use crate::{
    keyed,
    peer_health::PeerHealth,
    state::RouterState,
    table::RoutingTable,
    traffic::{RequestOrigin, RoutedRequest},
};

/// Longest wait for a stream to another router before the next one is tried.
const OPEN_STREAM_TIMEOUT: Duration = Duration::from_millis(100);

/// Wait for a reply after which the routers of the receiver's domain are probed.
const REPLY_PROBE_DELAY: Duration = Duration::from_millis(100);

/// Subtracted from the time to the deadline that the receiver is given, so that its answer can still
/// travel back in time.
const RETURN_MARGIN: Duration = Duration::from_millis(25);

/// Forwards a request to a router of the key's home domain.
pub(crate) async fn forward_home(
    state: &Arc<RouterState>,
    routed: &RoutedRequest,
    home: &DomainName,
) -> Result<ServerAnswer, CallOutcome> {
    let table = state.table();
    let rows = home_vms(&table, state, home);
    forward_to_first(state, routed, &table, &rows, ForwardCause::Home).await
}

/// Forwards a request to the router on the VM of `row`, which ranks first for a cold owner.
pub(crate) async fn forward_to_vm(
    state: &Arc<RouterState>,
    routed: &RoutedRequest,
    table: &RoutingTable,
    row: &VmRow,
) -> Result<ServerAnswer, CallOutcome> {
    let rows = std::slice::from_ref(row);
    forward_to_first(state, routed, table, rows, ForwardCause::ColdOwner).await
}

/// Forwards a request to the first of `rows` whose router can be reached.
///
/// Goes on to the next one after a router that cannot be reached, is leaving or has no lease, as
/// the request has not run then, and after an unknown outcome if the request is idempotent.
async fn forward_to_first(
    state: &Arc<RouterState>,
    routed: &RoutedRequest,
    table: &RoutingTable,
    rows: &[VmRow],
    cause: ForwardCause,
) -> Result<ServerAnswer, CallOutcome> {
    let mut combined_outcome = CallOutcome::NotRun(NotRunReason::ConnectFailed);
    for row in rows {
        let time_left = routed.time_left(state.now());
        if time_left.is_zero() {
            return Err(combined_outcome);
        }
        if state.peer_health.is_lost(row.router) {
            continue;
        }
        let client = state.peers.client(row.router, "forward");
        let ready = tokio::time::timeout(time_left.min(OPEN_STREAM_TIMEOUT), client.ready()).await;
        let Ok(Ok(call)) = ready else {
            PeerHealth::start_probe(state, row.router);
            continue;
        };
        let message = PeerRequest::Forward(forward_request(routed, table, time_left, cause));
        let reply = await_reply(state, table, &row.domain, call.send(&message), time_left).await;
        let outcome = match reply {
            Ok(Ok(PeerReply::Forward(ForwardReply::Answered { status, headers, body }))) => {
                return Ok(ServerAnswer { status, headers, body, load: None });
            }
            Ok(Ok(PeerReply::Forward(ForwardReply::Failed { outcome, .. }))) => outcome,
            // Any other reply says that the receiver does not support forwarded requests, so the
            // request has not run.
            Ok(Ok(_)) => CallOutcome::NotRun(NotRunReason::NotHome),
            Ok(Err(_)) => CallOutcome::Unknown(UnknownReason::ConnectionLost),
            Err(_) => CallOutcome::Unknown(UnknownReason::DeadlinePassed),
        };
        combined_outcome = outcome.after(combined_outcome);
        let is_retryable = match outcome {
            CallOutcome::NotRun(NotRunReason::Leaving | NotRunReason::NoLease) => true,
            CallOutcome::NotRun(_) => false,
            CallOutcome::Unknown(_) => routed.idempotency == Idempotency::Idempotent,
        };
        if !is_retryable {
            return Err(combined_outcome);
        }
    }
    Err(combined_outcome)
}

/// Waits for the reply until the deadline, and probes the routers of `domain` when it is late.
async fn await_reply<T>(
    state: &Arc<RouterState>,
    table: &RoutingTable,
    domain: &DomainName,
    reply: impl Future<Output = T>,
    time_left: Duration,
) -> Result<T, Elapsed> {
    tokio::pin!(reply);
    let started_at = state.now();
    match tokio::time::timeout(time_left.min(REPLY_PROBE_DELAY), &mut reply).await {
        Ok(reply) => Ok(reply),
        Err(_) => {
            for row in table.sheet.vms_of(domain) {
                PeerHealth::start_probe(state, row.router);
            }
            let time_left = time_left.saturating_sub(state.now().since(started_at));
            tokio::time::timeout(time_left, reply).await
        }
    }
}

/// VMs of the home domain that accept new work, rotated by this router's incarnation, so that
/// routers spread their load over them; all VMs of the domain if none accepts new work.
fn home_vms(table: &RoutingTable, state: &RouterState, home: &DomainName) -> Vec<VmRow> {
    let wall = state.clock.wall();
    let is_accepting =
        |it: &&VmRow| table.sheet.vm_work_state(&it.name, wall) == WorkState::Accepting;
    let mut rows: Vec<VmRow> = table.sheet.vms_of(home).filter(is_accepting).cloned().collect();
    if rows.is_empty() {
        // A failure domain that is draining still serves the slices that have not moved.
        rows = table.sheet.vms_of(home).cloned().collect();
    }
    let n_rows = rows.len().max(1);
    rows.rotate_left(state.incarnation.0 as usize % n_rows);
    rows
}

fn forward_request(
    routed: &RoutedRequest,
    table: &RoutingTable,
    time_left: Duration,
    cause: ForwardCause,
) -> ForwardRequest {
    let ServerRequest { id, service, method, path, headers, body, .. } = routed.request.clone();
    ForwardRequest {
        id,
        service,
        key: routed.key.clone(),
        method,
        path,
        headers,
        body,
        deadline_left: time_left.saturating_sub(RETURN_MARGIN),
        homes: table.homes.revision,
        cause,
    }
}

/// Serves a request that another router forwarded.
pub(crate) async fn serve_forwarded(
    state: &Arc<RouterState>,
    request: ForwardRequest,
) -> ForwardReply {
    let now = state.now();
    let table = state.table();
    let failed = |reason| ForwardReply::Failed {
        outcome: CallOutcome::NotRun(reason),
        homes: table.homes.revision,
    };
    let Some(spec) = table.sheet.services.get(&request.service) else {
        return failed(NotRunReason::UnknownService);
    };
    let hash = hash_key(&request.key);
    let (ServiceKind::Keyed { .. }, Some(base_slice)) = (spec.kind, spec.base_slice(hash)) else {
        return failed(NotRunReason::BadRequest);
    };
    if table.home(&spec.name, base_slice, hash) != Some(&state.settings.identity.domain) {
        return failed(NotRunReason::NotHome);
    }
    let deadline_left = request.deadline_left.min(spec.deadline);
    let routed = RoutedRequest {
        idempotency: spec.idempotency(&request.method),
        deadline: now + deadline_left,
        origin: RequestOrigin::Router(request.cause),
        spec: Arc::new(spec.clone()),
        key: request.key,
        request: ServerRequest {
            id: request.id,
            service: request.service,
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: request.body,
            slice: None,
            deadline_left,
        },
    };
    match keyed::dispatch(state, &routed, base_slice, hash).await {
        Ok(it) => ForwardReply::Answered { status: it.status, headers: it.headers, body: it.body },
        Err(outcome) => ForwardReply::Failed { outcome, homes: table.homes.revision },
    }
}
