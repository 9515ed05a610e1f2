//! The electing role: a candidate collects promises from the witnesses, or replaces them once so
//! many are known to be dead that the others can never form a majority.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use model::{MonoTime, OwnerCheck, ServiceKind, Term};
use smallvec::SmallVec;

use super::{
    NextRole, PlannerAction, PlannerContext, PlannerEvent, PlannerRole,
    acting::ActingState,
    bootstrap::BootstrapWrite,
    following::FollowingState,
    witness_set::{desired_witnesses, send_hellos},
};
use crate::{DomainMap, MapStamp, PrepareReply, PrepareRequest, SlicePhase, VmId};

/// Time after which an undecided election is abandoned.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);

/// State of a candidate that collects promises for `term`.
#[derive(Debug)]
pub(super) struct ElectionState {
    term: Term,
    /// The newest map known: its witnesses elect the planner, and the winner takes it over.
    base: Arc<DomainMap>,
    /// Witnesses that have promised to accept no earlier term, with the time of the answer.
    promises: BTreeMap<VmId, MonoTime>,
    /// Witnesses that have been asked for a promise.
    asked: SmallVec<[VmId; 5]>,
    started_at: MonoTime,
    /// When it was first known that the live old witnesses can no longer form a majority.
    quorum_lost_since: Option<MonoTime>,
    /// Write of a record with new witnesses, once a quorum of the old ones is lost.
    bootstrap: BootstrapWrite,
}

impl ElectionState {
    /// Starts an election in a term later than every term known to this VM, and asks the witnesses
    /// of `base` for their promises.
    pub(super) fn start(
        base: Arc<DomainMap>,
        ctx: &mut PlannerContext<'_>,
        actions: &mut Vec<PlannerAction>,
    ) -> Self {
        let term = ctx.witness.promised().max(base.stamp.term).next();
        let mut state = Self {
            term,
            base,
            promises: BTreeMap::new(),
            asked: SmallVec::new(),
            started_at: ctx.now,
            quorum_lost_since: None,
            bootstrap: BootstrapWrite::default(),
        };
        state.ask_witnesses(ctx, actions);
        state
    }

    pub(super) fn term(&self) -> Term {
        self.term
    }

    /// Asks each witness of the base for its promise, unless it has been asked already.
    fn ask_witnesses(&mut self, ctx: &mut PlannerContext<'_>, actions: &mut Vec<PlannerAction>) {
        for witness in self.base.all_witnesses() {
            if self.asked.contains(&witness) {
                continue;
            }
            self.asked.push(witness.clone());
            let request = PrepareRequest {
                domain: ctx.config.domain.clone(),
                witness,
                candidate: ctx.config.id.clone(),
                term: self.term,
            };
            match request.witness == ctx.config.id {
                true => self.promise_to_self(&request, ctx),
                false => actions.push(PlannerAction::Prepare(request)),
            }
        }
    }

    fn promise_to_self(&mut self, request: &PrepareRequest, ctx: &mut PlannerContext<'_>) {
        let answer = ctx.witness.answer_prepare(request, &ctx.config.timing, ctx.now);
        if let PrepareReply::Promised { .. } = answer {
            self.promises.insert(request.witness.clone(), ctx.now);
        }
    }

    /// Replaces the base by `accepted` if that is newer, and merges the open phases of both maps.
    fn merge_base(&mut self, accepted: Option<&Arc<DomainMap>>) {
        match accepted {
            Some(map) if map.stamp > self.base.stamp => {
                let mut map = DomainMap::clone(map);
                map.merge_phases(&self.base);
                self.base = Arc::new(map);
            }
            Some(map) => {
                let mut base = DomainMap::clone(&self.base);
                base.merge_phases(map);
                self.base = Arc::new(base);
            }
            None => (),
        }
    }
}

pub(super) fn handle(
    state: &mut ElectionState,
    event: &PlannerEvent,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) -> NextRole {
    let next = state.bootstrap.resolve(event, ctx, actions);
    match event {
        _ if next.is_some() => next,
        PlannerEvent::Tick => tick(state, ctx, actions),
        PlannerEvent::PrepareAnswered { from, term, answer: Some(answer) }
            if *term == state.term =>
        {
            handle_answer(state, from, answer, ctx, actions)
        }
        PlannerEvent::RecordRead(Some(record)) => match &record.map {
            // Another planner has written a map of this term or a later one.
            Some(map) if map.stamp.term >= state.term => {
                ctx.witness.observe_term(map.stamp.term);
                Some(back_off(state, ctx))
            }
            _ => None,
        },
        _ => None,
    }
}

/// Returns to the following role for a backoff that differs between the witnesses, so that two
/// candidates do not refuse each other forever.
fn back_off(state: &ElectionState, ctx: &PlannerContext<'_>) -> PlannerRole {
    let timing = &ctx.config.timing;
    let witnesses = &state.base.witnesses;
    let rank = witnesses.iter().position(|it| *it == ctx.config.id).unwrap_or(witnesses.len());
    let backoff = timing.takeover_stagger * 2 * (rank as u32 + 1);
    PlannerRole::Following(FollowingState::new(ctx.now + backoff))
}

fn handle_answer(
    state: &mut ElectionState,
    from: &VmId,
    answer: &PrepareReply,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) -> NextRole {
    match answer {
        PrepareReply::Promised { accepted } => {
            state.promises.insert(from.clone(), ctx.now);
            // A newer base may have other witnesses.
            state.merge_base(accepted.as_ref());
            state.ask_witnesses(ctx, actions);
            let has_won = state.base.has_quorum(|it| state.promises.contains_key(it));
            has_won.then(|| win_election(state, ctx))
        }
        PrepareReply::Refused { promised } => {
            ctx.witness.observe_term(*promised);
            Some(back_off(state, ctx))
        }
        // The election goes on with the other witnesses until it is decided or times out.
        PrepareReply::PlannerAlive => None,
        PrepareReply::Restarted { current } => {
            ctx.liveness.note_incarnation(&from.name, *current, state.started_at, ctx.now);
            None
        }
    }
}

/// Takes over the newest map that the majority accepted, without changing any owner.
fn win_election(state: &ElectionState, ctx: &mut PlannerContext<'_>) -> PlannerRole {
    // A candidate that is no witness has made no promise itself. Without one, it could be elected in
    // the same term again and issue a second map with a stamp that it has used.
    ctx.witness.observe_term(state.term);
    let mut map = DomainMap::clone(&state.base);
    map.stamp = MapStamp { term: state.term, version: map.stamp.version.next() };
    map.planner = ctx.config.id.clone();
    PlannerRole::Acting(Box::new(ActingState::after_takeover(map, &ctx.config.timing, ctx.now)))
}

fn tick(
    state: &mut ElectionState,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) -> NextRole {
    send_hellos(ctx, actions);
    if state.base.has_quorum(|it| state.promises.contains_key(it)) {
        return Some(win_election(state, ctx));
    }
    if is_quorum_lost(&state.base, ctx) {
        rewrite_record(state, ctx, actions);
        return None;
    }
    let is_over = ctx.now.since(state.started_at) >= ELECTION_TIMEOUT;
    is_over.then(|| back_off(state, ctx))
}

/// Replaces the record by one with new witnesses, once every lease under the old ones has expired.
///
/// The record in the store determines which witnesses count, and the write is conditional on it.
fn rewrite_record(
    state: &mut ElectionState,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) {
    if ctx.record.is_writing() || state.bootstrap.is_pending() {
        return;
    }
    let Some(record) = ctx.record.known().cloned() else {
        ctx.record.read(ctx.now, actions);
        return;
    };
    state.merge_base(record.map.as_ref());
    if !is_quorum_lost(&state.base, ctx) {
        state.quorum_lost_since = None;
        state.ask_witnesses(ctx, actions);
        return;
    }
    let quorum_lost_since = *state.quorum_lost_since.get_or_insert(ctx.now);
    if ctx.now.since(quorum_lost_since) < lease_expiry_wait(ctx) {
        return;
    }
    let old_witnesses = state.base.witnesses.clone();
    let mut map = DomainMap::clone(&state.base);
    map.stamp = MapStamp { term: state.term, version: map.stamp.version.next() };
    map.planner = ctx.config.id.clone();
    map.witnesses = desired_witnesses(ctx, &old_witnesses, |it| !ctx.liveness.is_dead(it));
    map.joint_witnesses = SmallVec::new();
    reissue_tokens(&mut map);
    state.bootstrap.start(map, ctx, actions);
}

/// Time after which no lease from a lost planner is valid and no request under one can still run.
///
/// Servers that check tokens run no request beyond their lease, so that only the deadlines of the
/// other services count.
fn lease_expiry_wait(ctx: &PlannerContext<'_>) -> Duration {
    let timing = &ctx.config.timing;
    let services = ctx.sheet.into_iter().flat_map(|it| it.sheet.services.values());
    let unchecked =
        services.filter(|it| matches!(it.kind, ServiceKind::Keyed { check: OwnerCheck::None, .. }));
    let longest_deadline = unchecked.map(|it| it.deadline).max().unwrap_or_default();
    timing.authority + timing.drift_margin * 2 + longest_deadline
}

/// Gives every slice a token of the new term. The lost planner may have made assignments that no
/// live VM knows of, and the new tokens must exceed theirs too.
fn reissue_tokens(map: &mut DomainMap) {
    for entry in map.entries.values_mut() {
        entry.token.term = map.stamp.term;
        entry.token.version = map.stamp.version;
        entry.previous.clear();
        entry.phase = SlicePhase::Moving;
    }
}

/// Whether so many witnesses of `map` are known to be dead that no planner can act under it.
pub(super) fn is_quorum_lost(map: &DomainMap, ctx: &PlannerContext<'_>) -> bool {
    // This VM's earlier incarnations are dead as well.
    let own = &ctx.config.id;
    map.is_quorum_lost(|it| (it.name == own.name && it != own) || ctx.liveness.is_dead(it))
}
