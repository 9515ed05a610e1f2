//! The acting role: heartbeats to witnesses, the planner's authority, and commit of maps.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use model::{DomainName, MapVersion, MonoTime, ServerName, SliceKey, Term, VmName, WallTime};

use super::{
    ActingDump, NextRole, PlannerAction, PlannerContext, PlannerEvent, PlannerRole,
    election::{ElectionState, is_quorum_lost},
    following::FollowingState,
    grants::{self, ServerEntry, ServerState},
    handover::{self, SliceHandover},
    leases::{self, RouterEntry},
    proposal::{self, MapProposal},
    witness_set::send_hellos,
};
use crate::{AcceptReply, AcceptRequest, DomainMap, LeaseTiming, MapStamp, VmId, map::quorum_size};

/// Time after which the next heartbeat is sent although the last one is unanswered.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval between reads of the domain's record while nothing changes.
const RECORD_POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// What the acting planner knows of one witness.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WitnessEntry {
    /// Stamp of the newest map that the witness accepted.
    pub(super) stamp: MapStamp,
    /// When the newest accepted heartbeat was sent.
    pub(super) accepted_sent_at: Option<MonoTime>,
    /// When the unanswered heartbeat was sent, if there is one.
    pending_sent_at: Option<MonoTime>,
    /// Whether the next heartbeat must contain the map even though `stamp` and `n_open` are
    /// current: the witness asked for it, refused the last heartbeat or did not answer it.
    is_map_needed: bool,
    /// Number of open slices in the newest map sent to it.
    n_open: usize,
}

/// State of the acting planner.
#[derive(Debug)]
pub(super) struct ActingState {
    /// The newest map; routers get it once it is committed.
    pub(super) map: Arc<DomainMap>,
    /// The newest committed map: a majority of each witness set has accepted it.
    pub(super) committed: Option<Arc<DomainMap>>,
    /// Whether `map` is known to be in the store.
    pub(super) is_saved: bool,
    pub(super) witnesses: BTreeMap<VmId, WitnessEntry>,
    /// When heartbeats were last sent; `None` makes the next ones due at once.
    heartbeat_at: Option<MonoTime>,
    /// The next map, which is not in force yet.
    pub(super) proposal: Option<MapProposal>,
    pub(super) routers: BTreeMap<VmId, RouterEntry>,
    /// Time by which every lease from an earlier planner has expired.
    pub(super) predecessor_lease_end: MonoTime,
    pub(super) servers: BTreeMap<ServerName, ServerEntry>,
    pub(super) handovers: BTreeMap<SliceKey, SliceHandover>,
    /// Slices to hand to another failure domain, with that domain.
    pub(super) releases: BTreeMap<SliceKey, DomainName>,
    /// Slices in `releases` that no server or router of this domain uses any more.
    pub(super) vacated: BTreeSet<SliceKey>,
    /// When the unconfirmed write of the homes table was sent, if there is one.
    pub(super) homes_written_at: Option<MonoTime>,
    /// When a balancing round last ran; at first, when the role began.
    pub(super) balanced_at: MonoTime,
    /// Moving average of each slice's load, in requests per second.
    pub(super) loads: BTreeMap<SliceKey, f64>,
    started_at: MonoTime,
    polled_at: MonoTime,
    /// Number of open slices in `map`; routers may send to the owners of open ones only.
    n_open: usize,
    /// Number of open slices in `committed`.
    pub(super) n_committed_open: usize,
    /// Whether an event since the last call of `proposal::propose` may change owners or homes.
    pub(super) is_proposal_due: bool,
    /// Time of that call, in the wall time that the sheet's schedule uses.
    proposed_at: WallTime,
    /// Highest map version proposed in this term.
    pub(super) last_version: MapVersion,
}

impl ActingState {
    /// Starts the role after this VM wrote the domain's record to the store, when no earlier lease
    /// is in force.
    pub(super) fn after_bootstrap(map: Arc<DomainMap>, now: MonoTime) -> Self {
        Self::new(map, true, now, now)
    }

    /// Starts the role after a won election, while leases of the predecessor may still be in force.
    pub(super) fn after_takeover(map: DomainMap, timing: &LeaseTiming, now: MonoTime) -> Self {
        // Leases end with the authority that they were given under, which a majority has stopped
        // extending by now.
        let lease_end = now + timing.authority + timing.drift_margin;
        Self::new(Arc::new(map), false, lease_end, now)
    }

    fn new(map: Arc<DomainMap>, is_saved: bool, lease_end: MonoTime, now: MonoTime) -> Self {
        Self {
            last_version: map.stamp.version,
            n_open: map.open_count(),
            n_committed_open: 0,
            is_proposal_due: true,
            proposed_at: WallTime::default(),
            polled_at: now,
            map,
            committed: None,
            is_saved,
            witnesses: BTreeMap::new(),
            heartbeat_at: None,
            proposal: None,
            routers: BTreeMap::new(),
            predecessor_lease_end: lease_end,
            servers: BTreeMap::new(),
            handovers: BTreeMap::new(),
            releases: BTreeMap::new(),
            vacated: BTreeSet::new(),
            homes_written_at: None,
            balanced_at: now,
            loads: BTreeMap::new(),
            started_at: now,
        }
    }

    pub(super) fn term(&self) -> Term {
        self.map.stamp.term
    }

    pub(super) fn started_at(&self) -> MonoTime {
        self.started_at
    }

    /// When this planner must stop acting: `timing.authority` after the send time of the newest
    /// heartbeat that a majority of each witness set accepted.
    pub(super) fn authority_end(&self, timing: &LeaseTiming) -> MonoTime {
        let ends = self.map.quorum_sets().map(|set| {
            let mut send_times: Vec<MonoTime> = set
                .iter()
                .filter_map(|it| self.witnesses.get(it))
                .filter(|it| it.stamp.term == self.map.stamp.term)
                .filter_map(|it| it.accepted_sent_at)
                .collect();
            send_times.sort_by(|a, b| b.cmp(a));
            let quorum_sent_at = send_times.get(quorum_size(set.len()) - 1);
            // Without a majority there is no authority; the default is the earliest time.
            quorum_sent_at.map_or_else(MonoTime::default, |it| *it + timing.authority)
        });
        ends.min().unwrap_or_default()
    }

    /// Remaining authority, less the margin for clock drift.
    pub(super) fn authority_left(&self, timing: &LeaseTiming, now: MonoTime) -> Duration {
        self.authority_end(timing).since(now + timing.drift_margin)
    }

    /// Whether the newest map is committed.
    pub(super) fn is_committed(&self) -> bool {
        self.committed.as_ref().is_some_and(|it| it.stamp == self.map.stamp)
    }

    /// Makes `map`, which has a new stamp, the newest one. Slices that have opened since it was
    /// proposed stay open. It is sent with the next heartbeats, which are due at once, also to
    /// witnesses that have not answered the last one.
    pub(super) fn adopt_map(&mut self, mut map: DomainMap) {
        map.merge_phases(&self.map);
        self.set_map(map);
        self.is_proposal_due = true;
        self.heartbeat_at = None;
        for entry in self.witnesses.values_mut() {
            entry.pending_sent_at = None;
        }
    }

    /// Replaces the newest map and recounts its open slices.
    pub(super) fn set_map(&mut self, map: DomainMap) {
        self.n_open = map.open_count();
        self.map = Arc::new(map);
    }

    pub(super) fn dump(&self, timing: &LeaseTiming, now: MonoTime) -> ActingDump {
        let owners = self.map.entries.iter().map(|(key, it)| {
            let owner =
                it.owner.as_ref().map_or_else(|| "none".to_owned(), |name| name.to_string());
            (key.to_string(), format!("{owner} {} {:?}", it.token, it.phase))
        });
        let routers = self.routers.iter().map(|(id, it)| (id.to_string(), it.describe(now)));
        ActingDump {
            stamp: self.map.stamp.to_string(),
            authority_left_ms: self.authority_left(timing, now).as_millis() as u64,
            is_saved: self.is_saved,
            witnesses: self.map.all_witnesses().iter().map(|it| it.to_string()).collect(),
            routers: routers.collect(),
            servers: self.servers.iter().map(|(k, it)| (k.to_string(), it.describe())).collect(),
            handovers: self
                .handovers
                .iter()
                .map(|(k, it)| (k.to_string(), it.step_name().to_owned()))
                .collect(),
            owners: owners.collect(),
        }
    }
}

pub(super) fn handle(
    state: &mut ActingState,
    event: &PlannerEvent,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) -> NextRole {
    if matches!(event, PlannerEvent::SheetLearned(_) | PlannerEvent::HomesLearned(_)) {
        state.is_proposal_due = true;
    }
    let next = match event {
        PlannerEvent::AcceptAnswered { from, sent_at, stamp, answer } => {
            handle_accept_answer(state, from, *sent_at, *stamp, answer.as_ref(), ctx, actions)
        }
        PlannerEvent::RecordRead(_) | PlannerEvent::RecordWritten { .. } => {
            proposal::handle_record_event(state, event, ctx, actions)
        }
        PlannerEvent::HomesWritten(_) => {
            ctx.record.observe(event, ctx.now);
            state.is_proposal_due = true;
            // Without a known table, the next write waits for the retry interval.
            if matches!(event, PlannerEvent::HomesWritten(Some(_))) {
                state.homes_written_at = None;
            }
            None
        }
        PlannerEvent::ServerAnswered { server, sent_at, answer } => {
            let old_state = state.server_state(server);
            let next = grants::handle_answer(state, server, *sent_at, answer, ctx);
            let new_state = state.server_state(server);
            if (old_state, new_state) == (ServerState::Dead, ServerState::Alive) {
                actions.push(PlannerAction::ServerRestarted(server.clone()));
            }
            next
        }
        PlannerEvent::LoadsReported(loads) => {
            proposal::average_loads(state, loads);
            None
        }
        _ => None,
    };
    if next.is_some() {
        return next;
    }
    let is_tick = matches!(event, PlannerEvent::Tick);
    if is_tick {
        send_hellos(ctx, actions);
        grants::update_servers(state, ctx);
        leases::remove_expired_routers(state, ctx.now);
        poll_record(state, ctx, actions);
    }
    send_due_heartbeats(state, ctx, actions);
    commit(state, actions);
    if state.authority_left(&ctx.config.timing, ctx.now).is_zero() {
        return handle_lost_authority(state, ctx, actions);
    }
    proposal::advance(state, ctx, actions);
    // The wall time has whole seconds, so server states that depend on elapsed time and scheduled
    // stops are evaluated at least once per second.
    if is_tick && (state.is_proposal_due || state.proposed_at != ctx.wall) {
        state.is_proposal_due = false;
        state.proposed_at = ctx.wall;
        proposal::propose(state, ctx, actions);
    }
    handover::advance(state, ctx);
    grants::advance(state, ctx, actions);
    commit(state, actions);
    None
}

/// Reads the domain's record periodically, to detect an unreachable store and writes of other
/// planners.
fn poll_record(
    state: &mut ActingState,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) {
    let is_due = ctx.now.since(state.polled_at) >= RECORD_POLL_INTERVAL;
    if is_due && !ctx.record.is_writing() {
        state.polled_at = ctx.now;
        ctx.record.read(ctx.now, actions);
    }
}

/// Time without authority after which the planner steps down and follows again.
const STEP_DOWN_AFTER: Duration = Duration::from_secs(2);

fn handle_lost_authority(
    state: &ActingState,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) -> NextRole {
    // Only an election can replace witnesses of which too few are alive.
    if is_quorum_lost(&state.map, ctx) {
        let state = ElectionState::start(state.map.clone(), ctx, actions);
        return Some(PlannerRole::Electing(state));
    }
    // A planner that never had authority is given the same time, counted from its start.
    let end = state.authority_end(&ctx.config.timing).max(state.started_at());
    let is_step_down_due = ctx.now.since(end) >= STEP_DOWN_AFTER;
    is_step_down_due.then(|| PlannerRole::Following(FollowingState::new(ctx.now)))
}

/// Sends a heartbeat to each witness that has answered the last one or failed to do so in time, if
/// heartbeats are due. This VM's own witness answers at once.
fn send_due_heartbeats(
    state: &mut ActingState,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) {
    let timing = &ctx.config.timing;
    let is_due = state.heartbeat_at.is_none_or(|it| ctx.now.since(it) >= timing.heartbeat);
    if !is_due {
        return;
    }
    state.heartbeat_at = Some(ctx.now);
    let stamp = state.map.stamp;
    let n_open = state.n_open;
    for witness in state.map.all_witnesses() {
        let entry = state.witnesses.entry(witness.clone()).or_default();
        let is_waiting =
            entry.pending_sent_at.is_some_and(|it| ctx.now.since(it) < HEARTBEAT_TIMEOUT);
        if is_waiting {
            continue;
        }
        // Slices open without a new stamp, so the number of open ones is compared too.
        let is_map_included = entry.is_map_needed || entry.stamp != stamp || entry.n_open < n_open;
        if is_map_included {
            entry.n_open = n_open;
        }
        let request = AcceptRequest {
            domain: ctx.config.domain.clone(),
            witness: witness.clone(),
            planner: ctx.config.id.clone(),
            stamp,
            map: is_map_included.then(|| state.map.clone()),
        };
        if witness == ctx.config.id {
            accept_locally(entry, &request, ctx);
            continue;
        }
        entry.pending_sent_at = Some(ctx.now);
        actions.push(PlannerAction::Accept { request, sent_at: ctx.now });
    }
}

fn accept_locally(entry: &mut WitnessEntry, request: &AcceptRequest, ctx: &mut PlannerContext<'_>) {
    let answer = ctx.witness.answer_accept(request, ctx.now);
    entry.is_map_needed = answer == AcceptReply::NeedMap;
    if answer == AcceptReply::Accepted {
        entry.stamp = request.stamp;
        entry.accepted_sent_at = Some(ctx.now);
    }
}

fn handle_accept_answer(
    state: &mut ActingState,
    from: &VmId,
    sent_at: MonoTime,
    stamp: MapStamp,
    answer: Option<&AcceptReply>,
    ctx: &mut PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) -> NextRole {
    let own_term = state.term();
    if stamp.term != own_term {
        return None;
    }
    let entry = state.witnesses.entry(from.clone()).or_default();
    if entry.pending_sent_at == Some(sent_at) {
        entry.pending_sent_at = None;
    }
    match answer {
        Some(AcceptReply::Accepted) => {
            entry.stamp = entry.stamp.max(stamp);
            entry.accepted_sent_at = entry.accepted_sent_at.max(Some(sent_at));
            entry.is_map_needed = false;
            None
        }
        Some(AcceptReply::NeedMap) => {
            entry.is_map_needed = true;
            state.heartbeat_at = None;
            None
        }
        Some(AcceptReply::Refused { promised }) if *promised > own_term => {
            ctx.witness.observe_term(*promised);
            let base = state.committed.clone().unwrap_or_else(|| state.map.clone());
            Some(PlannerRole::Electing(ElectionState::start(base, ctx, actions)))
        }
        Some(AcceptReply::Restarted { current }) => {
            ctx.liveness.note_incarnation(&from.name, *current, sent_at, ctx.now);
            None
        }
        Some(AcceptReply::Refused { .. }) | None => {
            entry.is_map_needed = true;
            None
        }
    }
}

/// Commits the newest map once a majority of each witness set has accepted it, and publishes it to
/// routers. A map in which only slices have opened keeps its stamp and is published again.
fn commit(state: &mut ActingState, actions: &mut Vec<PlannerAction>) {
    let stamp = state.map.stamp;
    let is_accepted = state
        .map
        .has_quorum(|it| state.witnesses.get(it).is_some_and(|entry| entry.stamp >= stamp));
    let has_changed = state.committed.as_ref().is_none_or(|it| !Arc::ptr_eq(it, &state.map));
    if !is_accepted || !has_changed {
        return;
    }
    if !state.is_committed() {
        handover::begin(state);
        state.is_proposal_due = true;
    }
    state.n_committed_open = state.n_open;
    state.committed = Some(state.map.clone());
    actions.push(PlannerAction::Publish(state.map.clone()));
}

/// Whether the witness is listed in the sheet, is not known to be dead, and accepted a heartbeat
/// recently enough to stay in the witness set.
pub(super) fn is_witness_healthy(state: &ActingState, id: &VmId, ctx: &PlannerContext<'_>) -> bool {
    let timing = &ctx.config.timing;
    let heard_at = state
        .witnesses
        .get(id)
        .and_then(|it| it.accepted_sent_at)
        .unwrap_or_else(|| state.started_at());
    let is_listed = |vm: &VmName| ctx.sheet.is_some_and(|it| it.sheet.vms.contains_key(vm));
    !ctx.liveness.is_dead(id)
        && is_listed(&id.name)
        && ctx.now.since(heard_at) < timing.witness_silence
}
