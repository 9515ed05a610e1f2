//! Watches the store and other planners for newer sheets and homes, and the platform's list of VMs
//! for removed VMs.
//!
//! The acting planner watches the store, the list and the planners of other domains; the others
//! watch the acting planner of their domain, and also the store while they know no sheet.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use model::{DomainName, SheetRevision, VmName};
use ownership::{HomesTable, PlannerEvent};
use peer::{PeerReply, PeerRequest, SheetText, WatchReply, WatchRequest};
use store::{HOMES_KEY, PlatformStore, SHEET_KEY, SheetRecord, StoreValue};
use xtra::prelude::*;

use crate::control::{ApplySheet, HandleEvent, PlannerActor, PlannerState, RecordCold};

/// Longest time for which the store may hold one watch.
const STORE_WATCH_WAIT: Duration = Duration::from_secs(4);

/// Delay before the next watch after the store did not answer, or while no sheet is known.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time between reads of the platform's list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time for which another planner may hold a watch.
const PEER_WATCH_WAIT: Duration = Duration::from_secs(2);

/// Time that the reply to such a watch may take beyond its wait.
const PEER_WATCH_MARGIN: Duration = Duration::from_millis(500);

/// Delay before the next watch after one that failed or reached a planner that does not act, and
/// between checks while no watch is needed.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Watches the store while this planner acts, and while it knows no sheet.
pub(crate) async fn watch_store(state: Arc<PlannerState>, actor: Address<PlannerActor>) {
    let mut after_revision = 0;
    loop {
        let is_needed = {
            let published = state.published.borrow();
            published.is_acting || published.sheet_text.is_none()
        };
        if !is_needed {
            tokio::time::sleep(WATCH_RETRY_DELAY).await;
            continue;
        }
        state.metrics.store_calls.with_label_values(&["watch"]).inc();
        match state.store.watch(after_revision, STORE_WATCH_WAIT).await {
            Ok(changes) => {
                after_revision = changes.revision;
                for value in &changes.changes {
                    apply_store_value(value, &actor).await;
                }
                if state.published.borrow().sheet_text.is_none() {
                    tokio::time::sleep(STORE_RETRY_DELAY).await;
                }
            }
            Err(_) => tokio::time::sleep(STORE_RETRY_DELAY).await,
        }
    }
}

/// Passes a changed sheet or homes table of the store to the actor; values that can't be decoded are
/// ignored.
async fn apply_store_value(value: &StoreValue, actor: &Address<PlannerActor>) {
    match value.key.as_str() {
        SHEET_KEY => {
            if let Ok(record) = serde_json::from_str::<SheetRecord>(&value.value) {
                let revision = SheetRevision(record.revision);
                let text = SheetText { revision, text: record.text.into() };
                let _ = actor.send(ApplySheet(text)).await;
            }
        }
        HOMES_KEY => {
            if let Ok(table) = serde_json::from_str::<HomesTable>(&value.value) {
                let _ = actor.send(HandleEvent(PlannerEvent::HomesLearned(table))).await;
            }
        }
        _ => (),
    }
}

/// While this planner acts, polls the platform's list of VMs and reports those that are removed.
pub(crate) async fn watch_vms(state: Arc<PlannerState>, actor: Address<PlannerActor>) {
    let mut previous: BTreeSet<VmName> = BTreeSet::new();
    loop {
        tokio::time::sleep(VM_LIST_INTERVAL).await;
        if !state.published.borrow().is_acting {
            continue;
        }
        state.metrics.store_calls.with_label_values(&["list-vms"]).inc();
        let Ok(listing) = state.store.list_vms().await else { continue };
        let current: BTreeSet<VmName> = listing.into_iter().map(|it| it.name).collect();
        for vm in previous.difference(&current) {
            let _ = actor.send(HandleEvent(PlannerEvent::VmRemoved(vm.clone()))).await;
        }
        previous = current;
    }
}

/// The failure domain whose planners are watched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WatchedDomain {
    /// This planner's own domain, whose acting planner is watched while this one does not act.
    Own,
    /// Another domain, any planner of which is watched while this one acts.
    Other(DomainName),
}

/// Watches the planners of one domain, one at a time, and goes on to the next when one does not
/// answer or, in the own domain, does not act.
pub(crate) async fn watch_planners(
    state: Arc<PlannerState>,
    actor: Address<PlannerActor>,
    watched: WatchedDomain,
) {
    let mut target_idx = 0;
    loop {
        let is_acting = state.published.borrow().is_acting;
        let targets = watch_targets(&state, &watched);
        let is_needed = match watched {
            WatchedDomain::Own => !is_acting,
            WatchedDomain::Other(_) => is_acting,
        };
        let Some(target) = targets.get(target_idx % targets.len().max(1)).filter(|_| is_needed)
        else {
            tokio::time::sleep(WATCH_RETRY_DELAY).await;
            continue;
        };
        let reply = watch_once(&state, *target).await;
        let is_useful = reply.as_ref().is_some_and(|it| match watched {
            WatchedDomain::Own => it.is_acting,
            WatchedDomain::Other(_) => true,
        });
        // A newer sheet or homes table is taken from any planner, also from one that does not act.
        if let Some(reply) = reply {
            let is_own_planner = is_useful && watched == WatchedDomain::Own;
            let known_homes = state.published.borrow().homes.clone();
            apply_reply(reply, &known_homes, is_own_planner, &actor).await;
        }
        if !is_useful {
            target_idx += 1;
            tokio::time::sleep(WATCH_RETRY_DELAY).await;
        }
    }
}

/// Planners of the watched domain, without this one. While no sheet is known, those of the settings
/// for the own domain, and none for another.
fn watch_targets(state: &PlannerState, watched: &WatchedDomain) -> Vec<SocketAddr> {
    let identity = &state.settings.identity;
    match (state.published.borrow().parsed_sheet.as_ref(), watched) {
        (Some(sheet), WatchedDomain::Own) => sheet
            .vms_of(&identity.domain)
            .filter(|it| it.name != identity.vm)
            .map(|it| it.planner)
            .collect(),
        (Some(sheet), WatchedDomain::Other(domain)) => {
            sheet.vms_of(domain).map(|it| it.planner).collect()
        }
        (None, WatchedDomain::Own) => state.settings.planners.clone(),
        (None, WatchedDomain::Other(_)) => Vec::new(),
    }
}

/// Sends one watch; returns `None` if `target` did not answer in time or not with a watch reply.
async fn watch_once(state: &PlannerState, target: SocketAddr) -> Option<WatchReply> {
    let watch = {
        let published = state.published.borrow();
        WatchRequest {
            sheet: published.sheet_text.as_ref().map(|it| it.revision).unwrap_or_default(),
            homes: published.homes.revision,
            // Planners need no maps of others.
            map: None,
            n_open: 0,
            map_digest: 0,
            known_cold: published.cold_notice_ids(),
            wait: PEER_WATCH_WAIT,
        }
    };
    let client = state.peers.client(target, "watch");
    let timeout = watch.wait + PEER_WATCH_MARGIN;
    match client.call(&PeerRequest::Watch(watch), timeout).await {
        Ok(PeerReply::Watch(reply)) => Some(reply),
        _ => None,
    }
}

async fn apply_reply(
    reply: WatchReply,
    known_homes: &HomesTable,
    is_own_planner: bool,
    actor: &Address<PlannerActor>,
) {
    if is_own_planner {
        let _ = actor.send(HandleEvent(PlannerEvent::PlannerHeard)).await;
    }
    for notice in reply.cold {
        let _ = actor.send(RecordCold(notice)).await;
    }
    if let Some(text) = reply.sheet {
        let _ = actor.send(ApplySheet(text)).await;
    }
    if let Some(table) = reply.homes.and_then(|it| it.resolve(known_homes)) {
        let _ = actor.send(HandleEvent(PlannerEvent::HomesLearned(table))).await;
    }
}

/// Starts a watch of each other domain when a sheet first lists it.
pub(crate) async fn watch_domains(state: Arc<PlannerState>, actor: Address<PlannerActor>) {
    let mut watched: BTreeSet<DomainName> = BTreeSet::new();
    let mut published = state.published.subscribe();
    loop {
        let sheet = published.borrow_and_update().parsed_sheet.clone();
        for domain in sheet.iter().flat_map(|it| it.domains.keys()) {
            let is_other = *domain != state.settings.identity.domain;
            if is_other && watched.insert(domain.clone()) {
                let other = WatchedDomain::Other(domain.clone());
                tokio::spawn(watch_planners(state.clone(), actor.clone(), other));
            }
        }
        if published.changed().await.is_err() {
            return;
        }
    }
}
