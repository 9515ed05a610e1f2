//! The following role: the planner starts an election when the acting planner's heartbeats stop.

use std::{sync::Arc, time::Duration};

use model::{MapVersion, MonoTime, Term};
use smallvec::SmallVec;

use super::{
    NextRole, PlannerAction, PlannerContext, PlannerEvent, PlannerRole,
    bootstrap::BootstrapWrite,
    election::ElectionState,
    witness_set::{desired_witnesses, send_hellos},
};
use crate::{DomainMap, MapStamp};

/// Time without word from the acting planner after which a non-witness VM reads the store.
const STORE_FALLBACK_SILENCE: Duration = Duration::from_millis(800);

/// Additional wait of each further VM before it creates or takes over the domain's record.
const BOOTSTRAP_STAGGER: Duration = Duration::from_millis(250);

/// State of a planner that does not act.
#[derive(Debug)]
pub(super) struct FollowingState {
    /// No election starts before this time.
    not_before: MonoTime,
    bootstrap: BootstrapWrite,
}

impl FollowingState {
    pub(super) fn new(not_before: MonoTime) -> Self {
        Self { not_before, bootstrap: BootstrapWrite::default() }
    }
}

pub(super) fn handle(
    state: &mut FollowingState,
    event: &PlannerEvent,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) -> NextRole {
    let next = state.bootstrap.resolve(event, ctx, actions);
    match event {
        _ if next.is_some() => next,
        PlannerEvent::Tick => tick(state, ctx, actions),
        _ => None,
    }
}

fn tick(
    state: &mut FollowingState,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) -> NextRole {
    let silence = ctx.now.since(ctx.witness.heard_at());
    if ctx.now < state.not_before || silence < ctx.config.timing.planner_silence {
        return None;
    }
    send_hellos(ctx, actions);
    match ctx.witness.accepted().cloned() {
        Some(map) if silence >= takeover_wait(&map, ctx) => start_election(map, ctx, actions),
        _ if silence >= STORE_FALLBACK_SILENCE => check_store(state, ctx, actions),
        _ => None,
    }
}

/// Time without heartbeats after which this VM starts an election.
fn takeover_wait(map: &DomainMap, ctx: &PlannerContext<'_>) -> Duration {
    let timing = &ctx.config.timing;
    let others = map.witnesses.iter().filter(|it| **it != map.planner);
    match others.clone().position(|it| *it == ctx.config.id) {
        Some(rank) => timing.planner_silence + timing.takeover_stagger * rank as u32,
        None if map.planner == ctx.config.id => timing.planner_silence,
        None => STORE_FALLBACK_SILENCE,
    }
}

fn start_election(
    base: Arc<DomainMap>,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) -> NextRole {
    Some(PlannerRole::Electing(ElectionState::start(base, ctx, actions)))
}

fn check_store(
    state: &mut FollowingState,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) -> NextRole {
    if ctx.record.is_writing() {
        return None;
    }
    match ctx.record.known().cloned() {
        Some(record) if record.map.is_some() => {
            let base = record.map?;
            if !base.all_witnesses().contains(&ctx.config.id) && !is_non_witness_due(ctx) {
                return None;
            }
            ctx.witness.observe_term(base.stamp.term);
            start_election(base, ctx, actions)
        }
        Some(_) if is_bootstrap_due(ctx) => {
            let map = bootstrap_map(ctx);
            state.bootstrap.start(map, ctx, actions);
            None
        }
        _ => {
            ctx.record.read(ctx.now, actions);
            None
        }
    }
}

/// Whether the witnesses have had enough time to take over, so that other VMs may try.
fn is_non_witness_due(ctx: &PlannerContext<'_>) -> bool {
    let silence = ctx.now.since(ctx.witness.heard_at());
    let rank = own_rank(ctx).unwrap_or_default() + 1;
    silence >= STORE_FALLBACK_SILENCE + ctx.config.timing.authority + BOOTSTRAP_STAGGER * rank
}

/// Position of this VM among the VMs of its domain.
fn own_rank(ctx: &PlannerContext<'_>) -> Option<u32> {
    let doc = ctx.sheet?;
    let mut vms = doc.sheet.vms_of(&ctx.config.domain);
    vms.position(|it| it.name == ctx.config.id.name).map(|it| it as u32)
}

fn is_bootstrap_due(ctx: &PlannerContext<'_>) -> bool {
    let silence = ctx.now.since(ctx.witness.heard_at());
    own_rank(ctx).is_some_and(|rank| silence >= STORE_FALLBACK_SILENCE + BOOTSTRAP_STAGGER * rank)
}

fn bootstrap_map(ctx: &PlannerContext<'_>) -> DomainMap {
    DomainMap {
        domain: ctx.config.domain.clone(),
        stamp: MapStamp { term: Term(1), version: MapVersion(1) },
        planner: ctx.config.id.clone(),
        witnesses: desired_witnesses(ctx, &[], |_| false),
        joint_witnesses: SmallVec::new(),
        entries: Default::default(),
    }
}
