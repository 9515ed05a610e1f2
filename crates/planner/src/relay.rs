//! Learning sheets and homes: from the store while acting, from other planners always.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use model::{DomainName, SheetRevision, VmName};
use ownership::{HomesTable, PlannerEvent};
use peer::{PeerReply, PeerRequest, SheetText, WatchReply, WatchRequest};
use store::{HOMES_KEY, PlatformStore, SHEET_KEY, SheetRecord, StoreValue};
use xtra::prelude::*;

use crate::control::{ColdArrived, Happened, PlannerActor, PlannerState, SheetArrived};

/// Longest wait of one watch of the store.
const STORE_WATCH_WAIT: Duration = Duration::from_secs(4);

/// Pause after the store did not answer.
const STORE_PAUSE: Duration = Duration::from_millis(250);

/// Time between reads of the platform's list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Longest wait of a watch of another planner.
const PEER_WATCH_WAIT: Duration = Duration::from_secs(2);

/// Time that such a watch may take beyond its wait.
const PEER_WATCH_SLACK: Duration = Duration::from_millis(500);

/// Pause between watches that bring nothing.
const PEER_PAUSE: Duration = Duration::from_millis(100);

/// Watches the store while this planner acts, or while it knows no sheet.
pub(crate) async fn watch_store(state: Arc<PlannerState>, actor: Address<PlannerActor>) {
    let mut after = 0;
    loop {
        let is_needed = {
            let published = state.published.borrow();
            published.is_acting || published.sheet.is_none()
        };
        if !is_needed {
            tokio::time::sleep(PEER_PAUSE).await;
            continue;
        }
        state.metrics.store_calls.with_label_values(&["watch"]).inc();
        match state.store.watch(after, STORE_WATCH_WAIT).await {
            Ok(changes) => {
                after = changes.revision;
                for value in &changes.changes {
                    take_value(value, &actor).await;
                }
                if state.published.borrow().sheet.is_none() {
                    tokio::time::sleep(STORE_PAUSE).await;
                }
            }
            Err(_) => tokio::time::sleep(STORE_PAUSE).await,
        }
    }
}

async fn take_value(value: &StoreValue, actor: &Address<PlannerActor>) {
    match value.key.as_str() {
        SHEET_KEY => {
            if let Ok(record) = serde_json::from_str::<SheetRecord>(&value.value) {
                let revision = SheetRevision(record.revision);
                let text = SheetText { revision, text: record.text.into() };
                let _ = actor.send(SheetArrived(text)).await;
            }
        }
        HOMES_KEY => {
            if let Ok(table) = serde_json::from_str::<HomesTable>(&value.value) {
                let _ = actor.send(Happened(PlannerEvent::HomesLearned(table))).await;
            }
        }
        _ => (),
    }
}

/// Watches the platform's list for VMs that are gone, while this planner acts.
pub(crate) async fn watch_vms(state: Arc<PlannerState>, actor: Address<PlannerActor>) {
    let mut listed: BTreeSet<VmName> = BTreeSet::new();
    loop {
        tokio::time::sleep(VM_LIST_INTERVAL).await;
        if !state.published.borrow().is_acting {
            continue;
        }
        state.metrics.store_calls.with_label_values(&["list-vms"]).inc();
        let Ok(listing) = state.store.list_vms().await else { continue };
        let present: BTreeSet<VmName> = listing.into_iter().map(|it| it.name).collect();
        for vm in listed.difference(&present) {
            let _ = actor.send(Happened(PlannerEvent::VmRemoved(vm.clone()))).await;
        }
        listed = present;
    }
}

/// Whose planners are watched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WatchedDomain {
    /// The own domain's acting planner, while this one does not act.
    Own,
    /// Any planner of another domain, while this one acts.
    Other(DomainName),
}

/// Watches planners of one domain, the next one whenever one does not answer.
pub(crate) async fn watch_planners(
    state: Arc<PlannerState>,
    actor: Address<PlannerActor>,
    watched: WatchedDomain,
) {
    let mut idx = 0;
    loop {
        let is_acting = state.published.borrow().is_acting;
        let targets = watch_targets(&state, &watched);
        let is_needed = match watched {
            WatchedDomain::Own => !is_acting,
            WatchedDomain::Other(_) => is_acting,
        };
        let Some(target) = targets.get(idx % targets.len().max(1)).filter(|_| is_needed) else {
            tokio::time::sleep(PEER_PAUSE).await;
            continue;
        };
        let news = watch_once(&state, *target).await;
        let is_useful = news.as_ref().is_some_and(|it| match watched {
            WatchedDomain::Own => it.is_acting,
            WatchedDomain::Other(_) => true,
        });
        if let Some(news) = news {
            let is_own_planner = is_useful && watched == WatchedDomain::Own;
            let held = state.published.borrow().homes.clone();
            take_news(news, &held, is_own_planner, &actor).await;
        }
        if !is_useful {
            idx += 1;
            tokio::time::sleep(PEER_PAUSE).await;
        }
    }
}

fn watch_targets(state: &PlannerState, watched: &WatchedDomain) -> Vec<SocketAddr> {
    let identity = &state.settings.identity;
    match (state.published.borrow().plan.as_ref(), watched) {
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

async fn watch_once(state: &PlannerState, target: SocketAddr) -> Option<WatchReply> {
    let ask = {
        let published = state.published.borrow();
        WatchRequest {
            sheet: published.sheet.as_ref().map(|it| it.revision).unwrap_or_default(),
            homes: published.homes.revision,
            map: None,
            n_open: 0,
            map_digest: 0,
            known_cold: published.known_cold(),
            wait: PEER_WATCH_WAIT,
        }
    };
    let client = state.peers.client(target, "watch");
    let timeout = ask.wait + PEER_WATCH_SLACK;
    match client.call(&PeerRequest::Watch(ask), timeout).await {
        Ok(PeerReply::Watch(news)) => Some(news),
        _ => None,
    }
}

async fn take_news(
    news: WatchReply,
    held: &HomesTable,
    is_own_planner: bool,
    actor: &Address<PlannerActor>,
) {
    if is_own_planner {
        let _ = actor.send(Happened(PlannerEvent::PlannerHeard)).await;
    }
    for notice in news.cold {
        let _ = actor.send(ColdArrived(notice)).await;
    }
    if let Some(text) = news.sheet {
        let _ = actor.send(SheetArrived(text)).await;
    }
    if let Some(table) = news.homes.and_then(|it| it.resolve(held)) {
        let _ = actor.send(Happened(PlannerEvent::HomesLearned(table))).await;
    }
}

/// Starts a watch of each other domain as sheets name them.
pub(crate) async fn watch_domains(state: Arc<PlannerState>, actor: Address<PlannerActor>) {
    let mut watched: BTreeSet<DomainName> = BTreeSet::new();
    let mut published = state.published.subscribe();
    loop {
        let plan = published.borrow_and_update().plan.clone();
        for domain in plan.iter().flat_map(|it| it.domains.keys()) {
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
