//! Carrying out what the pure planner wants done; each answer comes back as an event.

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

use crate::control::{Happened, PlannerActor, PlannerState};

/// Longest wait for a witness or another planner.
const PEER_TIMEOUT: Duration = Duration::from_millis(220);

/// Starts the exchange that `action` asks for.
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
                feed(&actor, PlannerEvent::AcceptAnswered { from, sent_at, stamp, answer }).await;
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
                feed(&actor, PlannerEvent::PrepareAnswered { from, term, answer }).await;
            });
        }
        PlannerAction::Hello(vm) => {
            let target = address(&vm);
            tokio::spawn(async move {
                if let Some(PeerReply::Hello(incarnation)) =
                    call(&state, target, PeerRequest::Hello).await
                {
                    feed(&actor, PlannerEvent::HelloAnswered { vm, incarnation }).await;
                }
            });
        }
        PlannerAction::ReadRecord => {
            tokio::spawn(async move {
                let record = read_record(&state).await;
                feed(&actor, PlannerEvent::RecordRead(record)).await;
            });
        }
        PlannerAction::WriteRecord { map, expected } => {
            tokio::spawn(async move {
                let stamp: MapStamp = map.stamp;
                let outcome = write_record(&state, &map, expected).await;
                feed(&actor, PlannerEvent::RecordWritten { stamp, outcome }).await;
            });
        }
        PlannerAction::WriteHomes(table) => {
            tokio::spawn(async move {
                let held = write_homes(&state, table).await;
                feed(&actor, PlannerEvent::HomesWritten(held)).await;
            });
        }
        PlannerAction::Grant { server, address, request, sent_at } => {
            tokio::spawn(async move {
                let peer = ServerEndpoint { name: server.clone(), address };
                let answer = state.backend.grant(&peer, request).await;
                feed(&actor, PlannerEvent::ServerAnswered { server, sent_at, answer }).await;
            });
        }
        PlannerAction::Probe { server, address, sent_at } => {
            tokio::spawn(async move {
                let peer = ServerEndpoint { name: server.clone(), address };
                let answer = state.backend.probe(&peer).await;
                feed(&actor, PlannerEvent::ServerAnswered { server, sent_at, answer }).await;
            });
        }
        // These need the actor itself.
        PlannerAction::Publish(_)
        | PlannerAction::ServerRestarted(_)
        | PlannerAction::RoleChanged { .. } => (),
    }
}

async fn feed(actor: &Address<PlannerActor>, event: PlannerEvent) {
    let _ = actor.send(Happened(event)).detach().await;
}

async fn call(
    state: &PlannerState,
    target: Option<SocketAddr>,
    request: PeerRequest,
) -> Option<PeerReply> {
    let client = state.peers.client(target?, "control");
    client.call(&request, PEER_TIMEOUT).await.ok()
}

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

/// Writes `table` over the revision before it. Returns the table that the store holds then, as
/// far as it can be told.
async fn write_homes(state: &PlannerState, table: HomesTable) -> Option<HomesTable> {
    let held = read_homes(state).await?;
    let (held_table, expected) = match held {
        Some((held, value)) => (held, Some(value.revision)),
        None => (HomesTable::default(), None),
    };
    if held_table.revision + 1 != table.revision {
        return Some(held_table);
    }
    let value = serde_json::to_string(&table).ok()?;
    state.metrics.store_calls.with_label_values(&["write"]).inc();
    match state.store.put(HOMES_KEY, expected, value).await {
        Ok(_) => Some(table),
        Err(_) => read_homes(state).await?.map(|(held, _)| held),
    }
}

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
