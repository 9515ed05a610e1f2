//! Requests for keys whose home is another domain, and such requests from there.

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

/// Longest wait for a stream to another VM before the next VM is tried.
const OPEN_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which a router that has not replied is probed.
const REPLY_PATIENCE: Duration = Duration::from_millis(100);

/// Time kept back for the way home of the answer.
const RETURN_ALLOWANCE: Duration = Duration::from_millis(25);

/// Sends a request to a router of the key's home domain.
pub(crate) async fn send_home(
    state: &Arc<RouterState>,
    routed: &RoutedRequest,
    home: &DomainName,
) -> Result<ServerAnswer, CallOutcome> {
    let table = state.table();
    let rows = home_vms(&table, state, home);
    send_to_first(state, routed, &table, &rows, ForwardCause::Home).await
}

/// Sends a request to the router that may send to a cold owner first.
pub(crate) async fn send_to_vm(
    state: &Arc<RouterState>,
    routed: &RoutedRequest,
    table: &RoutingTable,
    row: &VmRow,
) -> Result<ServerAnswer, CallOutcome> {
    let rows = std::slice::from_ref(row);
    send_to_first(state, routed, table, rows, ForwardCause::ColdOwner).await
}

/// Sends a request to the first of these routers that can be reached, and to the next while the
/// request certainly has not run or may run twice.
async fn send_to_first(
    state: &Arc<RouterState>,
    routed: &RoutedRequest,
    table: &RoutingTable,
    rows: &[VmRow],
    cause: ForwardCause,
) -> Result<ServerAnswer, CallOutcome> {
    let mut last = CallOutcome::NotRun(NotRunReason::ConnectFailed);
    for row in rows {
        let left = routed.left(state.now());
        if left.is_zero() {
            return Err(last);
        }
        if state.peer_health.is_lost(row.router) {
            continue;
        }
        let client = state.peers.client(row.router, "forward");
        let opened = tokio::time::timeout(left.min(OPEN_TIMEOUT), client.ready()).await;
        let Ok(Ok(call)) = opened else {
            PeerHealth::doubt(state, row.router);
            continue;
        };
        let request = PeerRequest::Forward(forward_ask(routed, table, left, cause));
        let sent = await_reply(state, table, &row.domain, call.send(&request), left).await;
        let outcome = match sent {
            Ok(Ok(PeerReply::Forward(ForwardReply::Answered { status, headers, body }))) => {
                return Ok(ServerAnswer { status, headers, body, load: None });
            }
            Ok(Ok(PeerReply::Forward(ForwardReply::Failed { outcome, .. }))) => outcome,
            Ok(Ok(_)) => CallOutcome::NotRun(NotRunReason::NotHome),
            Ok(Err(_)) => CallOutcome::Unknown(UnknownReason::ConnectionLost),
            Err(_) => CallOutcome::Unknown(UnknownReason::DeadlinePassed),
        };
        last = outcome.after(last);
        let may_go_on = match outcome {
            CallOutcome::NotRun(NotRunReason::Leaving | NotRunReason::NoLease) => true,
            CallOutcome::NotRun(_) => false,
            CallOutcome::Unknown(_) => routed.idempotency == Idempotency::Idempotent,
        };
        if !may_go_on {
            return Err(last);
        }
    }
    Err(last)
}

/// Waits for the reply until the deadline, and doubts the domain's routers when it is late.
async fn await_reply<T>(
    state: &Arc<RouterState>,
    table: &RoutingTable,
    home: &DomainName,
    reply: impl Future<Output = T>,
    left: Duration,
) -> Result<T, Elapsed> {
    tokio::pin!(reply);
    let started_at = state.now();
    match tokio::time::timeout(left.min(REPLY_PATIENCE), &mut reply).await {
        Ok(reply) => Ok(reply),
        Err(_) => {
            for row in table.sheet.vms_of(home) {
                PeerHealth::doubt(state, row.router);
            }
            let left = left.saturating_sub(state.now().since(started_at));
            tokio::time::timeout(left, reply).await
        }
    }
}

/// VMs of the home domain, starting with another one for each router.
fn home_vms(table: &RoutingTable, state: &RouterState, home: &DomainName) -> Vec<VmRow> {
    let wall = state.clock.wall();
    let is_accepting =
        |it: &&VmRow| table.sheet.vm_work_state(&it.name, wall) == WorkState::Accepting;
    let mut rows: Vec<VmRow> = table.sheet.vms_of(home).filter(is_accepting).cloned().collect();
    if rows.is_empty() {
        // A domain that is being taken out still serves the slices it has not given away.
        rows = table.sheet.vms_of(home).cloned().collect();
    }
    let n_rows = rows.len().max(1);
    rows.rotate_left(state.incarnation.0 as usize % n_rows);
    rows
}

fn forward_ask(
    routed: &RoutedRequest,
    table: &RoutingTable,
    left: Duration,
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
        deadline_left: left.saturating_sub(RETURN_ALLOWANCE),
        homes: table.homes.revision,
        cause,
    }
}

/// Serves a request that another domain's router forwarded.
pub(crate) async fn serve_forwarded(state: &Arc<RouterState>, ask: ForwardRequest) -> ForwardReply {
    let now = state.now();
    let table = state.table();
    let failed = |reason| ForwardReply::Failed {
        outcome: CallOutcome::NotRun(reason),
        homes: table.homes.revision,
    };
    let Some(spec) = table.sheet.services.get(&ask.service) else {
        return failed(NotRunReason::UnknownService);
    };
    let hash = hash_key(&ask.key);
    let (ServiceKind::Keyed { .. }, Some(base)) = (spec.kind, spec.base_slice(hash)) else {
        return failed(NotRunReason::BadRequest);
    };
    if table.home(&spec.name, base, hash) != Some(&state.settings.identity.domain) {
        return failed(NotRunReason::NotHome);
    }
    let deadline_left = ask.deadline_left.min(spec.deadline);
    let routed = RoutedRequest {
        idempotency: spec.idempotency(&ask.method),
        deadline: now + deadline_left,
        origin: RequestOrigin::Router(ask.cause),
        spec: Arc::new(spec.clone()),
        key: ask.key,
        request: ServerRequest {
            id: ask.id,
            service: ask.service,
            method: ask.method,
            path: ask.path,
            headers: ask.headers,
            body: ask.body,
            slice: None,
            deadline_left,
        },
    };
    match keyed::serve(state, &routed, base, hash).await {
        Ok(it) => ForwardReply::Answered { status: it.status, headers: it.headers, body: it.body },
        Err(outcome) => ForwardReply::Failed { outcome, homes: table.homes.revision },
    }
}
