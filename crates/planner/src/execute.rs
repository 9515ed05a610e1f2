//! Executes the planner's actions; each result returns to the planner as an event.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use backend::{BackendClient, ServerEndpoint};
use model::VmName;
use ownership::{
    DomainMap, HomesTable, MapStamp, PlannerAction, PlannerEvent, SheetDoc, StoredRecord,
    WriteOutcome,
};
use peer::{PeerReply, PeerRequest};
use slog::warn;
use store::{HOMES_KEY, PlatformStore, StoreError, StoreValue, domain_key};
use xtra::prelude::*;

use crate::control::{HandleEvent, PlannerActor, PlannerState};

/// Longest wait for the reply of a planner on another VM.
const PEER_TIMEOUT: Duration = Duration::from_millis(220);

/// Starts a task that executes `action`.
pub(crate) fn execute(
    state: &Arc<PlannerState>,
    sheet: Option<&SheetDoc>,
    action: PlannerAction,
    actor: &Address<PlannerActor>,
) {
    let address = |vm: &VmName| -> Option<SocketAddr> {
        sheet.and_then(|it| it.sheet.vms.get(vm)).map(|it| it.planner)
    };
    let (state, actor) = (state.clone(), actor.clone());
    match action {
        PlannerAction::Accept { request, sent_at } => {
            let target = address(&request.witness.name);
            tokio::spawn(async move {
                let (from, stamp) = (request.witness.clone(), request.stamp);
                let answer = match call(&state, target, PeerRequest::Accept(request)).await {
                    Some(PeerReply::Accept(answer)) => Some(answer),
                    _ => None,
                };
                send_event(&actor, PlannerEvent::AcceptAnswered { from, sent_at, stamp, answer })
                    .await;
            });
        }
        PlannerAction::Prepare(request) => {
            let target = address(&request.witness.name);
            tokio::spawn(async move {
                let (from, term) = (request.witness.clone(), request.term);
                let answer = match call(&state, target, PeerRequest::Prepare(request)).await {
                    Some(PeerReply::Prepare(answer)) => Some(answer),
                    _ => None,
                };
                send_event(&actor, PlannerEvent::PrepareAnswered { from, term, answer }).await;
            });
        }
        PlannerAction::Hello { vm, sent_at } => {
            let target = address(&vm);
            tokio::spawn(async move {
                if let Some(PeerReply::Hello(incarnation)) =
                    call(&state, target, PeerRequest::Hello).await
                {
                    let event = PlannerEvent::HelloAnswered { vm, sent_at, incarnation };
                    send_event(&actor, event).await;
                }
            });
        }
        PlannerAction::ReadRecord => {
            tokio::spawn(async move {
                let record = read_record(&state).await;
                send_event(&actor, PlannerEvent::RecordRead(record)).await;
            });
        }
        PlannerAction::WriteRecord { map, expected } => {
            tokio::spawn(async move {
                let stamp: MapStamp = map.stamp;
                let outcome = write_record(&state, &map, expected).await;
                send_event(&actor, PlannerEvent::RecordWritten { stamp, outcome }).await;
            });
        }
        PlannerAction::WriteHomes(table) => {
            tokio::spawn(async move {
                let stored = write_homes(&state, table).await;
                send_event(&actor, PlannerEvent::HomesWritten(stored)).await;
            });
        }
        PlannerAction::Grant { server, address, request, sent_at } => {
            tokio::spawn(async move {
                let endpoint = ServerEndpoint { name: server.clone(), address };
                let answer = state.backend.grant(&endpoint, request).await;
                send_event(&actor, PlannerEvent::ServerAnswered { server, sent_at, answer }).await;
            });
        }
        PlannerAction::Probe { server, address, sent_at } => {
            tokio::spawn(async move {
                let endpoint = ServerEndpoint { name: server.clone(), address };
                let answer = state.backend.probe(&endpoint).await;
                send_event(&actor, PlannerEvent::ServerAnswered { server, sent_at, answer }).await;
            });
        }
        // The actor executes these itself.
        PlannerAction::Publish(_)
        | PlannerAction::ServerRestarted(_)
        | PlannerAction::RoleChanged { .. } => (),
    }
}

async fn send_event(actor: &Address<PlannerActor>, event: PlannerEvent) {
    let _ = actor.send(HandleEvent(event)).detach().await;
}

async fn call(
    state: &PlannerState,
    target: Option<SocketAddr>,
    request: PeerRequest,
) -> Option<PeerReply> {
    let client = state.peers.client(target?, "control");
    client.call(&request, PEER_TIMEOUT).await.ok()
}

/// Reads the record of this domain, or returns `None` if the store did not answer or the record is
/// unreadable.
async fn read_record(state: &PlannerState) -> Option<StoredRecord> {
    state.metrics.store_calls.with_label_values(&["read"]).inc();
    let key = domain_key(&state.settings.identity.domain);
    match state.store.get(&key).await {
        Ok(None) => Some(StoredRecord { map: None, revision: 0 }),
        Ok(Some(value)) => match serde_json::from_str::<DomainMap>(&value.value) {
            Ok(map) => Some(StoredRecord { map: Some(Arc::new(map)), revision: value.revision }),
            Err(err) => {
                warn!(state.log, "record-unreadable"; "key" => key, "cause" => %err);
                None
            }
        },
        Err(_) => None,
    }
}

async fn write_record(
    state: &PlannerState,
    map: &DomainMap,
    expected: Option<u64>,
) -> WriteOutcome {
    state.metrics.store_calls.with_label_values(&["write"]).inc();
    let key = domain_key(&state.settings.identity.domain);
    let Ok(value) = serde_json::to_string(map) else {
        return WriteOutcome::Unknown;
    };
    match state.store.put(&key, expected, value).await {
        Ok(revision) => WriteOutcome::Written(revision),
        Err(StoreError::Conflict) => WriteOutcome::Conflict,
        Err(_) => WriteOutcome::Unknown,
    }
}

/// Replaces the homes in the store by `table` if the store still has the revision before it.
///
/// Returns the table that the store then holds, or `None` if it is unknown.
async fn write_homes(state: &PlannerState, table: HomesTable) -> Option<HomesTable> {
    let stored = read_homes(state).await?;
    let (stored_table, expected) = match stored {
        Some((stored, value)) => (stored, Some(value.revision)),
        None => (HomesTable::default(), None),
    };
    if stored_table.revision + 1 != table.revision {
        return Some(stored_table);
    }
    let value = serde_json::to_string(&table).ok()?;
    state.metrics.store_calls.with_label_values(&["write"]).inc();
    match state.store.put(HOMES_KEY, expected, value).await {
        Ok(_) => Some(table),
        Err(_) => read_homes(state).await?.map(|(stored, _)| stored),
    }
}

/// Reads the homes and their stored value: `Some(None)` if the store has none, `None` if they could
/// not be read.
async fn read_homes(state: &PlannerState) -> Option<Option<(HomesTable, StoreValue)>> {
    state.metrics.store_calls.with_label_values(&["read"]).inc();
    match state.store.get(HOMES_KEY).await {
        Ok(None) => Some(None),
        Ok(Some(value)) => {
            let table = serde_json::from_str::<HomesTable>(&value.value).ok()?;
            Some(Some((table, value)))
        }
        Err(_) => None,
    }
}
