//! Handover of a slice from its previous owners to the next one.
//!
//! The types enforce the order of the steps: routers confirm the map and finish requests under
//! older ones, previous owners release the slice or their leases expire, the next owner
//! acknowledges its grant, and the slice opens.

use std::time::Duration;

use model::{FencingToken, MonoTime, OwnerCheck, ServerName, ServiceKind, SliceKey};
use smallvec::SmallVec;

use super::{PlannerContext, acting::ActingState, grants::ServerState};
use crate::{DomainMap, MapStamp, OwnerEntry, PreviousOwner, SlicePhase};

/// Routers may still send to a previous owner.
#[derive(Debug)]
pub(super) struct AwaitRouters {
    /// Stamp of the map with which the handover began; routers must use it or a newer one.
    required: MapStamp,
    /// When every router had confirmed the map or lost its lease on older ones, so that none sent
    /// to a previous owner after it.
    confirmed_at: Option<MonoTime>,
}

/// No router sends to a previous owner, but one may still hold its grant.
#[derive(Debug)]
pub(super) struct AwaitRevoke(());

/// No previous owner holds a grant, and the next one has not acknowledged its own.
#[derive(Debug)]
pub(super) struct AwaitGrant(());

impl AwaitRouters {
    fn confirmed(self) -> AwaitRevoke {
        AwaitRevoke(())
    }
}

impl AwaitRevoke {
    fn revoked(self) -> AwaitGrant {
        AwaitGrant(())
    }
}

#[derive(Debug)]
enum HandoverStep {
    Routers(AwaitRouters),
    Revoke(AwaitRevoke),
    Grant(AwaitGrant),
    Done,
}

/// Progress of the handover that one assignment of a slice needs.
#[derive(Debug)]
pub(super) struct SliceHandover {
    /// Token of the assignment. If the slice's entry has another one, the assignment was replaced.
    token: FencingToken,
    step: HandoverStep,
}

impl SliceHandover {
    pub(super) fn step_name(&self) -> &'static str {
        match self.step {
            HandoverStep::Routers(_) => "await-routers",
            HandoverStep::Revoke(_) => "await-revoke",
            HandoverStep::Grant(_) => "await-grant",
            HandoverStep::Done => "done",
        }
    }
}

/// Starts a handover for each moving slice of the newly committed map, and drops those of
/// replaced assignments.
pub(super) fn begin(state: &mut ActingState) {
    let map = state.map.clone();
    let required = map.stamp;
    state.handovers.retain(|key, it| {
        map.entries
            .get(key)
            .is_some_and(|entry| entry.token == it.token && entry.phase == SlicePhase::Moving)
    });
    state.vacated.retain(|key| map.entries.get(key).is_some_and(|entry| entry.owner.is_none()));
    for (key, entry) in map.entries.iter().filter(|(_, it)| it.phase == SlicePhase::Moving) {
        let is_vacated = state.vacated.contains(key);
        if is_vacated || state.handovers.contains_key(key) {
            continue;
        }
        let step = HandoverStep::Routers(AwaitRouters { required, confirmed_at: None });
        state.handovers.insert(key.clone(), SliceHandover { token: entry.token, step });
    }
}

/// Advances every handover as far as its conditions hold now, and opens the slices that are done.
pub(super) fn advance(state: &mut ActingState, ctx: &PlannerContext<'_>) {
    if state.handovers.is_empty() {
        return;
    }
    let map = state.map.clone();
    let mut handovers = std::mem::take(&mut state.handovers);
    let mut opened: SmallVec<[SliceKey; 8]> = SmallVec::new();
    for (key, handover) in &mut handovers {
        let Some(entry) = map.entries.get(key).filter(|it| it.token == handover.token) else {
            continue;
        };
        let slice = MovingSlice { key, entry, rules: slice_rules(key, ctx) };
        let step = std::mem::replace(&mut handover.step, HandoverStep::Done);
        handover.step = take_steps(step, &slice, state, ctx);
        if matches!(handover.step, HandoverStep::Done) {
            opened.push(key.clone());
        }
    }
    handovers.retain(|_, it| !matches!(it.step, HandoverStep::Done));
    state.handovers = handovers;
    open_slices(state, &opened);
}

struct MovingSlice<'a> {
    key: &'a SliceKey,
    entry: &'a OwnerEntry,
    rules: SliceRules,
}

#[derive(Clone, Copy)]
struct SliceRules {
    check: OwnerCheck,
    deadline: Duration,
}

fn slice_rules(key: &SliceKey, ctx: &PlannerContext<'_>) -> SliceRules {
    let spec = ctx.sheet.and_then(|it| it.sheet.services.get(&key.service));
    match spec.map(|it| (it.kind, it.deadline)) {
        Some((ServiceKind::Keyed { check, .. }, deadline)) => SliceRules { check, deadline },
        // The sheet no longer has the service: assumes no check of tokens and a long deadline.
        _ => SliceRules { check: OwnerCheck::None, deadline: Duration::from_secs(60) },
    }
}

/// Takes the steps whose conditions hold, and returns the step at which the handover now waits.
fn take_steps(
    step: HandoverStep,
    slice: &MovingSlice<'_>,
    state: &mut ActingState,
    ctx: &PlannerContext<'_>,
) -> HandoverStep {
    match step {
        HandoverStep::Routers(mut it) => {
            if it.confirmed_at.is_none() && have_routers_confirmed(it.required, state, ctx) {
                it.confirmed_at = Some(ctx.now);
                // A server that refuses a request from now on runs no request from before.
                state.make_previous_owners_due(slice.entry);
            }
            if !are_previous_owners_idle(&it, slice, state, ctx) {
                return HandoverStep::Routers(it);
            }
            for previous in &slice.entry.previous {
                state.revoke(&previous.server, slice.key);
            }
            take_steps(HandoverStep::Revoke(it.confirmed()), slice, state, ctx)
        }
        HandoverStep::Revoke(it) if have_previous_owners_lost_grants(slice, state, ctx) => {
            match &slice.entry.owner {
                Some(owner) if state.grant(owner, slice.key, slice.entry.token) => {
                    take_steps(HandoverStep::Grant(it.revoked()), slice, state, ctx)
                }
                // The owner has no entry that the grant could be added to yet.
                Some(_) => HandoverStep::Revoke(it),
                None => {
                    state.vacated.insert(slice.key.clone());
                    HandoverStep::Done
                }
            }
        }
        HandoverStep::Grant(it) => match is_granted(slice, state) {
            true => HandoverStep::Done,
            false => HandoverStep::Grant(it),
        },
        step => step,
    }
}

/// Whether every router uses the required map or its lease on an older one has expired.
fn have_routers_confirmed(
    required: MapStamp,
    state: &ActingState,
    ctx: &PlannerContext<'_>,
) -> bool {
    let margin = ctx.config.timing.drift_margin;
    let mut routers = state.routers.values();
    ctx.now >= state.predecessor_lease_end
        && routers.all(|it| it.has_confirmed(required) || it.is_expired(margin, ctx.now))
}

/// Whether no router sends to a previous owner any more and no earlier request can still run there.
fn are_previous_owners_idle(
    step: &AwaitRouters,
    slice: &MovingSlice<'_>,
    state: &ActingState,
    ctx: &PlannerContext<'_>,
) -> bool {
    let previous = &slice.entry.previous;
    match step.confirmed_at {
        _ if previous.is_empty() => true,
        Some(time) if !previous.iter().any(|it| is_drain_needed(it, time, slice, state)) => true,
        Some(_) => have_routers_drained(step.required, slice, state, ctx),
        None => false,
    }
}

/// Whether every request that routers sent under older maps has ended or passed its deadline.
fn have_routers_drained(
    required: MapStamp,
    slice: &MovingSlice<'_>,
    state: &ActingState,
    ctx: &PlannerContext<'_>,
) -> bool {
    // A server that checks tokens stops requests of an expired router when its grant ends, so
    // their deadlines need not be waited for here.
    let after = match slice.rules.check {
        OwnerCheck::Token => ctx.config.timing.drift_margin,
        OwnerCheck::None => ctx.config.timing.drift_margin + slice.rules.deadline,
    };
    let has_predecessor = state.predecessor_lease_end > state.started_at();
    let is_predecessor_work_done =
        !has_predecessor || ctx.now >= state.predecessor_lease_end + after;
    let mut routers = state.routers.values();
    is_predecessor_work_done
        && routers.all(|it| it.has_drained(required) || it.is_expired(after, ctx.now))
}

/// Whether the handover must wait for requests at a previous owner to end, given that no router
/// has sent any there since `confirmed_at`.
///
/// A server whose process was down after that time runs none of them. A dead or silent server that
/// checks tokens runs none without its grant, and the next step waits for the grant to end.
fn is_drain_needed(
    previous: &PreviousOwner,
    confirmed_at: MonoTime,
    slice: &MovingSlice<'_>,
    state: &ActingState,
) -> bool {
    match (state.server_state(&previous.server), slice.rules.check) {
        (ServerState::Dead | ServerState::Silent, OwnerCheck::Token) => false,
        (ServerState::Dead, OwnerCheck::None) => {
            !state.has_refused_after(&previous.server, confirmed_at)
        }
        (ServerState::Silent, OwnerCheck::None) => true,
        (ServerState::Alive | ServerState::Unknown, _) => true,
    }
}

/// Whether no previous owner can still hold a grant; servers that check no tokens have none.
fn have_previous_owners_lost_grants(
    slice: &MovingSlice<'_>,
    state: &ActingState,
    ctx: &PlannerContext<'_>,
) -> bool {
    slice.entry.previous.iter().all(|it| match slice.rules.check {
        OwnerCheck::None => true,
        OwnerCheck::Token => {
            state.has_lost_grant(&it.server, slice.key, ctx.config.timing.drift_margin, ctx.now)
        }
    })
}

fn is_granted(slice: &MovingSlice<'_>, state: &ActingState) -> bool {
    match (&slice.entry.owner, slice.rules.check) {
        (Some(owner), OwnerCheck::Token) => state.has_grant(owner, slice.key),
        (Some(_), OwnerCheck::None) => true,
        (None, _) => false,
    }
}

/// Marks the slices as open in the newest map, except those that have no owner, since they leave
/// the domain.
fn open_slices(state: &mut ActingState, opened: &[SliceKey]) {
    if opened.is_empty() {
        return;
    }
    let mut map = DomainMap::clone(&state.map);
    for key in opened {
        if let Some(entry) = map.entries.get_mut(key).filter(|it| it.owner.is_some()) {
            entry.phase = SlicePhase::Open;
        }
    }
    state.set_map(map);
}

/// The owners to record as previous when the slice of `entry` is assigned to `next`.
pub(super) fn previous_owners(
    entry: &OwnerEntry,
    next: Option<&ServerName>,
) -> SmallVec<[PreviousOwner; 1]> {
    let current = entry
        .owner
        .iter()
        .map(|server| PreviousOwner { server: server.clone(), token: entry.token });
    // An open slice has no earlier owners any more, even if the entry still lists some.
    let older = match entry.phase {
        SlicePhase::Open => &[],
        SlicePhase::Moving => entry.previous.as_slice(),
    };
    let mut owners: SmallVec<[PreviousOwner; 1]> = SmallVec::new();
    for previous in current.chain(older.iter().cloned()) {
        let is_next = next == Some(&previous.server);
        if !is_next && owners.iter().all(|it| it.server != previous.server) {
            owners.push(previous);
        }
    }
    owners
}
