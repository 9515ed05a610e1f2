//! Changes of the map: how the next map differs, and making it durable before it is used.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use model::{FencingToken, MonoTime, ServerName, ServiceKind, ServiceName, SliceKey};
use sheet::WorkState;
use smallvec::SmallVec;

use super::{
    NextRole, PlannerAction, PlannerContext, PlannerEvent, PlannerRole, WriteOutcome,
    acting::{ActingState, is_witness_healthy},
    following::FollowingState,
    handover::previous_owners,
    leases::are_routers_fresh,
    witness_set::desired_witnesses,
};
use crate::{
    DomainMap, MapStamp, OwnerEntry, PlacementInput, SlicePhase, initial_homes, map::quorum_size,
    place_slices, placement::LOAD_WINDOW_SECONDS, plan_releases,
};

/// Minimum interval between rounds of moves that only balance load.
const BALANCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of slices that one balancing round moves.
const BALANCE_BUDGET: usize = 4;

/// Time after which an unconfirmed write of the homes table is repeated.
const HOMES_RETRY_INTERVAL: Duration = Duration::from_millis(600);

/// Time after which a change of witnesses that the store has not recorded is dropped.
const WITNESS_CHANGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Minimum number of VMs that must hold a change that is adopted without the store.
const MIN_REPLICAS: usize = 2;

/// A map that waits to be stored before the planner adopts it.
#[derive(Debug)]
pub(super) struct MapProposal {
    map: Arc<DomainMap>,
    started_at: MonoTime,
    is_witness_change: bool,
}

/// Handles the end of a read or write of the record.
pub(super) fn handle_record_event(
    state: &mut ActingState,
    event: &PlannerEvent,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) -> NextRole {
    ctx.record.observe(event, ctx.now);
    match event {
        PlannerEvent::RecordWritten { stamp, outcome: WriteOutcome::Written(_) } => {
            mark_saved(state, *stamp);
            None
        }
        PlannerEvent::RecordRead(Some(record)) => match &record.map {
            Some(map) if map.stamp.term > state.term() => {
                ctx.witness.observe_term(map.stamp.term);
                Some(PlannerRole::Following(FollowingState::new(ctx.now)))
            }
            Some(map) if map.planner == ctx.config.id => {
                mark_saved(state, map.stamp);
                None
            }
            _ => None,
        },
        PlannerEvent::RecordWritten { .. } => {
            ctx.record.read(ctx.now, actions);
            None
        }
        _ => None,
    }
}

/// Notes that the store holds this planner's map with `stamp`, and adopts it if it was proposed.
fn mark_saved(state: &mut ActingState, stamp: MapStamp) {
    if stamp == state.map.stamp {
        state.is_saved = true;
    }
    let is_proposed = state.proposal.as_ref().is_some_and(|it| it.map.stamp == stamp);
    if let Some(proposal) = state.proposal.take_if(|_| is_proposed) {
        state.adopt_map(DomainMap::clone(&proposal.map));
        state.is_saved = true;
    }
}

/// Saves, adopts or drops the pending proposal, and writes homes of vacated slices.
pub(super) fn advance(
    state: &mut ActingState,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) {
    adopt_unsaved(state, ctx);
    drop_overdue_witness_change(state, ctx);
    save_map(state, ctx, actions);
    if !state.vacated.is_empty() {
        write_homes(state, ctx, actions);
    }
}

/// Adopts a proposal that the store has not recorded within `store_write_timeout`, unless it
/// changes the witnesses. A majority of the witnesses makes it durable instead, if that is at least
/// [`MIN_REPLICAS`].
fn adopt_unsaved(state: &mut ActingState, ctx: &PlannerContext<'_>) {
    let timeout = ctx.config.timing.store_write_timeout;
    let is_overdue = state.proposal.as_ref().is_some_and(|it| {
        let n_replicas = it.map.quorum_sets().map(|set| quorum_size(set.len())).min();
        let has_enough_replicas = n_replicas.is_some_and(|it| it >= MIN_REPLICAS);
        has_enough_replicas && !it.is_witness_change && ctx.now.since(it.started_at) >= timeout
    });
    if let Some(proposal) = state.proposal.take_if(|_| is_overdue) {
        state.adopt_map(DomainMap::clone(&proposal.map));
        state.is_saved = false;
    }
}

/// Drops a change of witnesses that the store does not record, so that other changes can proceed.
fn drop_overdue_witness_change(state: &mut ActingState, ctx: &PlannerContext<'_>) {
    let is_overdue = |it: &MapProposal| {
        it.is_witness_change && ctx.now.since(it.started_at) >= WITNESS_CHANGE_TIMEOUT
    };
    state.proposal.take_if(|it| is_overdue(it));
}

/// Keeps a read or write of the record in flight while the proposal or the newest map is not in the
/// store.
fn save_map(state: &ActingState, ctx: &mut PlannerContext<'_>, actions: &mut Vec<PlannerAction>) {
    let map = match &state.proposal {
        Some(proposal) => proposal.map.clone(),
        None if !state.is_saved => state.map.clone(),
        None => return,
    };
    match ctx.record.known() {
        _ if ctx.record.is_writing() || ctx.record.is_reading() => {
            if ctx.record.is_reading() && !ctx.record.is_writing() {
                ctx.record.read(ctx.now, actions);
            }
        }
        Some(_) => ctx.record.write(map, actions),
        None => ctx.record.read(ctx.now, actions),
    }
}

/// Proposes the next map if the current one is committed and something should change.
pub(super) fn propose(
    state: &mut ActingState,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) {
    write_homes(state, ctx, actions);
    if state.proposal.is_some() || !state.is_committed() {
        // A proposal becomes due again once the pending map is committed.
        return;
    }
    let mut next = DomainMap::clone(&state.map);
    next.stamp.version = state.last_version.max(next.stamp.version).next();
    let is_witness_change = change_witnesses(&mut next, state, ctx);
    if !is_witness_change {
        update_releases(state, ctx);
        change_owners(&mut next, state, ctx);
    }
    if next.entries == state.map.entries && !is_witness_change {
        return;
    }
    state.last_version = next.stamp.version;
    let map = Arc::new(next);
    state.proposal = Some(MapProposal { map, started_at: ctx.now, is_witness_change });
    save_map(state, ctx, actions);
}

/// Puts the desired witnesses into `next`, and returns whether the set changes. A majority of the
/// old set is needed too until the following map.
fn change_witnesses(next: &mut DomainMap, state: &ActingState, ctx: &PlannerContext<'_>) -> bool {
    if !ctx.record.is_reachable(ctx.now) {
        return false;
    }
    if !next.joint_witnesses.is_empty() {
        next.joint_witnesses = SmallVec::new();
        return true;
    }
    let is_healthy = |it: &crate::VmId| is_witness_healthy(state, it, ctx);
    let desired = desired_witnesses(ctx, &state.map.witnesses, is_healthy);
    let mut current = state.map.witnesses.clone();
    current.sort();
    if desired == current {
        return false;
    }
    next.joint_witnesses = std::mem::replace(&mut next.witnesses, desired);
    true
}

/// Chooses the slices that leave the domain; none are added while the store cannot record their new
/// homes. A slice that has lost its owner for this stays chosen until its home has changed.
fn update_releases(state: &mut ActingState, ctx: &PlannerContext<'_>) {
    let Some(doc) = ctx.sheet.filter(|_| ctx.record.is_reachable(ctx.now)) else {
        return;
    };
    let budget = if may_balance(state, ctx) { BALANCE_BUDGET } else { 0 };
    let unserved = unserved_services(state, ctx);
    let domain = &ctx.config.domain;
    let releases = plan_releases(&doc.sheet, ctx.homes, domain, &unserved, budget, ctx.wall);
    state.releases.retain(|key, _| {
        let is_home = ctx.homes.entries.get(key).is_some_and(|it| it.domain == *domain);
        let is_unowned = state.map.entries.get(key).is_some_and(|it| it.owner.is_none());
        is_home && is_unowned
    });
    for (key, target) in releases {
        state.releases.entry(key).or_insert(target);
    }
}

/// Services without a live server in the domain, once the servers have had time to answer.
fn unserved_services(state: &ActingState, ctx: &PlannerContext<'_>) -> BTreeSet<ServiceName> {
    let Some(doc) = ctx.sheet else {
        return BTreeSet::new();
    };
    let is_grace_over = ctx.now.since(state.started_at()) >= ctx.config.timing.server_probation;
    let has_live = |service: &ServiceName| {
        doc.sheet
            .servers_of(service)
            .filter(|it| it.domain == ctx.config.domain)
            .any(|it| state.may_keep(&it.name))
    };
    doc.sheet.services.keys().filter(|it| is_grace_over && !has_live(it)).cloned().collect()
}

/// Maximum number of slices of each server that recovered recently and is still warming up.
fn warming_caps(state: &ActingState, ctx: &PlannerContext<'_>) -> BTreeMap<ServerName, usize> {
    let rows = ctx.sheet.into_iter().flat_map(|it| it.sheet.servers.values());
    rows.filter(|it| state.is_warming(&it.name, it.warm_after * 2, ctx.now))
        .map(|it| (it.name.clone(), it.cold_slots as usize))
        .collect()
}

/// Whether slices may move now just to balance load: the last round is long enough ago, no handover
/// is in progress, and every router has renewed its lease recently.
fn may_balance(state: &ActingState, ctx: &PlannerContext<'_>) -> bool {
    ctx.now.since(state.balanced_at) >= BALANCE_INTERVAL
        && state.handovers.is_empty()
        && are_routers_fresh(state, &ctx.config.timing, ctx.now)
}

/// Assigns the slices of the domain in `next`, and removes others. A slice in `releases`
/// loses its owner; one without an eligible server keeps its entry, or gets one without an owner.
fn change_owners(next: &mut DomainMap, state: &mut ActingState, ctx: &PlannerContext<'_>) {
    let domain = &ctx.config.domain;
    let homes: BTreeMap<&SliceKey, u64> =
        ctx.homes.slices_of(domain).map(|(key, it)| (key, it.epoch)).collect();
    let slices: BTreeSet<SliceKey> = homes
        .keys()
        .filter(|it| !state.releases.contains_key(**it))
        .map(|it| (*it).clone())
        .collect();
    let is_balancing = may_balance(state, ctx);
    let input = PlacementInput {
        map: &state.map,
        slices: &slices,
        eligible: &eligible_servers(state, ctx),
        loads: &state.loads,
        warming_caps: &warming_caps(state, ctx),
        balance_budget: if is_balancing { BALANCE_BUDGET } else { 0 },
    };
    let owners = place_slices(&input);
    if is_balancing {
        state.balanced_at = ctx.now;
    }
    let stamp = next.stamp;
    next.entries.retain(|key, _| homes.contains_key(key));
    for (key, epoch) in homes {
        let is_released = state.releases.contains_key(key);
        let token = FencingToken { epoch, term: stamp.term, version: stamp.version };
        match (next.entries.get_mut(key), owners.get(key)) {
            (Some(entry), owner) if is_released || owner.is_some() => {
                assign(entry, owner.filter(|_| !is_released), token);
            }
            (Some(_), _) => (),
            (None, owner) => {
                let entry = new_entry(owner.filter(|_| !is_released).cloned(), token);
                next.entries.insert(key.clone(), entry);
            }
        }
    }
}

/// Starts a new assignment of the slice, unless `owner` is its owner already.
fn assign(entry: &mut OwnerEntry, owner: Option<&ServerName>, token: FencingToken) {
    if entry.owner.as_ref() == owner {
        return;
    }
    entry.previous = previous_owners(entry, owner);
    entry.owner = owner.cloned();
    entry.token = token;
    entry.phase = SlicePhase::Moving;
}

fn new_entry(owner: Option<ServerName>, token: FencingToken) -> OwnerEntry {
    OwnerEntry { owner, token, previous: SmallVec::new(), phase: SlicePhase::Moving }
}

/// Servers that may own slices of each keyed service. A server that owns slices already needs less
/// evidence of health than one that is to receive its first.
fn eligible_servers(
    state: &ActingState,
    ctx: &PlannerContext<'_>,
) -> BTreeMap<ServiceName, Vec<ServerName>> {
    let Some(doc) = ctx.sheet else {
        return BTreeMap::new();
    };
    let owners: BTreeSet<&ServerName> =
        state.map.entries.values().filter_map(|it| it.owner.as_ref()).collect();
    let probation = ctx.config.timing.server_probation;
    let is_eligible = |server: &ServerName| {
        let may_own = match owners.contains(server) {
            true => state.may_keep(server),
            false => state.may_receive(server, probation, ctx.now),
        };
        may_own && doc.sheet.server_work_state(server, ctx.wall) == WorkState::Accepting
    };
    let mut eligible = BTreeMap::new();
    for spec in doc.sheet.services.values() {
        if let ServiceKind::Keyed { .. } = spec.kind {
            let servers = doc
                .sheet
                .servers_of(&spec.name)
                .filter(|it| it.domain == ctx.config.domain && is_eligible(&it.name))
                .map(|it| it.name.clone())
                .collect();
            eligible.insert(spec.name.clone(), servers);
        }
    }
    eligible
}

/// Assigns homes to slices without one, and moves the homes of vacated slices to other domains.
fn write_homes(
    state: &mut ActingState,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) {
    let is_pending =
        state.homes_written_at.is_some_and(|it| ctx.now.since(it) < HOMES_RETRY_INTERVAL);
    let Some(doc) = ctx.sheet.filter(|_| !is_pending) else {
        return;
    };
    let domain = &ctx.config.domain;
    let mut changes = initial_homes(&doc.sheet, ctx.homes, ctx.wall);
    for key in &state.vacated {
        let is_home = ctx.homes.entries.get(key).is_some_and(|it| it.domain == *domain);
        if let Some(target) = state.releases.get(key).filter(|_| is_home) {
            changes.insert(key.clone(), target.clone());
        }
    }
    if changes.is_empty() {
        return;
    }
    state.homes_written_at = Some(ctx.now);
    let attempt = ctx.now.as_micros() ^ ctx.config.id.incarnation.0;
    actions.push(PlannerAction::WriteHomes(ctx.homes.with_homes(&changes, attempt)));
}

/// Updates the moving average of each slice's load with the routers' counts of one second.
pub(super) fn average_loads(state: &mut ActingState, newest: &BTreeMap<SliceKey, f64>) {
    let gain = 1.0 / LOAD_WINDOW_SECONDS;
    let mut averaged = std::mem::take(&mut state.loads);
    for load in averaged.values_mut() {
        *load *= 1.0 - gain;
    }
    for (key, load) in newest {
        *averaged.entry(key.clone()).or_default() += load * gain;
    }
    state.loads = averaged;
}
