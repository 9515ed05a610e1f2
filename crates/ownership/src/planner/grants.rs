//! Grants and their leases for backend servers, and detection of servers that have failed.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use model::{FencingToken, MonoTime, OwnerCheck, ServerName, ServiceKind, SliceKey, Term};

use super::{
    NextRole, PlannerAction, PlannerContext, PlannerRole, acting::ActingState,
    following::FollowingState,
};
use crate::{GrantOutcome, GrantRequest, OwnerEntry, SlicePhase};

/// Time after which the next request or probe is sent although the last one is unanswered.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Health of a server as the planner sees it; written by name into the dump.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServerState {
    /// It has not answered yet.
    Unknown,
    /// It answers requests or probes.
    Alive,
    /// It has not answered for `server_silence`; its process may still run.
    Silent,
    /// Its host refused a connection: the process has ended, and its grants with it.
    Dead,
}

/// What the planner knows of one server.
#[derive(Debug)]
pub(super) struct ServerEntry {
    state: ServerState,
    check: OwnerCheck,
    added_at: MonoTime,
    /// Address of the newest request, and since when requests go there.
    address: Option<(SocketAddr, MonoTime)>,
    /// Whether requests went to another address before.
    has_moved: bool,
    /// When it last answered.
    heard_at: Option<MonoTime>,
    /// When it became alive, for the first time or again.
    alive_since: MonoTime,
    /// Whether it was silent or dead at any time under this planner.
    has_been_down: bool,
    /// When the unanswered request or probe was sent, if there is one.
    sent_at: Option<MonoTime>,
    /// When the next request or probe is due.
    due_at: MonoTime,
    /// Receipt from the server's last answer, which the next request quotes, and when it arrived.
    basis: Option<(String, MonoTime)>,
    /// Time by which every lease given to the server has expired. It counts from the arrival of the
    /// receipt, while the server counts from when it issued the receipt.
    lease_end: MonoTime,
    /// Version of `granted`, raised by each change.
    set_version: u64,
    /// The set of grants that the server should hold.
    granted: BTreeMap<SliceKey, FencingToken>,
    /// Newest set version that the server is known to hold; zero for none.
    acked_version: u64,
    /// First set version without each revoked slice.
    revoked_versions: BTreeMap<SliceKey, u64>,
    /// Send time of the newest request whose connection the server's host refused.
    refused_at: Option<MonoTime>,
    /// First set version with each granted slice.
    added_versions: BTreeMap<SliceKey, u64>,
}

impl ServerEntry {
    fn new(check: OwnerCheck, lease_end: MonoTime, now: MonoTime) -> Self {
        Self {
            state: ServerState::Unknown,
            check,
            added_at: now,
            address: None,
            has_moved: false,
            heard_at: None,
            alive_since: now,
            has_been_down: false,
            sent_at: None,
            due_at: now,
            basis: None,
            lease_end,
            set_version: 1,
            granted: BTreeMap::new(),
            acked_version: 0,
            revoked_versions: BTreeMap::new(),
            refused_at: None,
            added_versions: BTreeMap::new(),
        }
    }

    /// Makes the next request due at once, even if one is unanswered.
    pub(super) fn make_due(&mut self) {
        self.due_at = MonoTime::default();
        self.sent_at = None;
    }

    pub(super) fn describe(&self) -> String {
        let Self { state, set_version, acked_version, granted, .. } = self;
        format!("{state:?} set={set_version} acked={acked_version} granted={}", granted.len())
    }

    /// Raises the version for a change of `granted`, and makes the next request due at once.
    fn change_set(&mut self) {
        self.set_version += 1;
        self.due_at = MonoTime::default();
        self.sent_at = None;
    }

    fn mark_down(&mut self, state: ServerState) {
        self.state = state;
        self.has_been_down = true;
    }
}

impl ActingState {
    pub(super) fn server_state(&self, server: &ServerName) -> ServerState {
        self.servers.get(server).map_or(ServerState::Unknown, |it| it.state)
    }

    /// Whether the server's host refused a request sent after `time`. Proves nothing of a server that
    /// has moved, since its process at the earlier address may still run.
    pub(super) fn has_refused_after(&self, server: &ServerName, time: MonoTime) -> bool {
        let entry = self.servers.get(server).filter(|it| !it.has_moved);
        entry.and_then(|it| it.refused_at).is_some_and(|it| it > time)
    }

    /// Makes the next requests to a slice's previous owners due at once.
    pub(super) fn make_previous_owners_due(&mut self, entry: &OwnerEntry) {
        for previous in &entry.previous {
            if let Some(server) = self.servers.get_mut(&previous.server) {
                server.make_due();
            }
        }
    }

    /// Whether the server may be given slices although it owns none: it is alive, and has been for
    /// `probation` if it was down before.
    pub(super) fn may_receive(
        &self,
        server: &ServerName,
        probation: Duration,
        now: MonoTime,
    ) -> bool {
        self.servers.get(server).is_some_and(|it| {
            let is_stable = !it.has_been_down || now.since(it.alive_since) >= probation;
            it.state == ServerState::Alive && is_stable
        })
    }

    /// Whether the server recovered from a failure less than `warm_after` ago.
    pub(super) fn is_warming(
        &self,
        server: &ServerName,
        warm_after: Duration,
        now: MonoTime,
    ) -> bool {
        let entry = self.servers.get(server);
        entry.is_some_and(|it| it.has_been_down && now.since(it.alive_since) < warm_after)
    }

    /// Whether the server may keep the slices it owns; also while it has not answered yet.
    pub(super) fn may_keep(&self, server: &ServerName) -> bool {
        matches!(self.server_state(server), ServerState::Alive | ServerState::Unknown)
    }

    /// Adds a slice to the server's grants. Returns false for a server without an entry.
    pub(super) fn grant(
        &mut self,
        server: &ServerName,
        key: &SliceKey,
        token: FencingToken,
    ) -> bool {
        let Some(entry) = self.servers.get_mut(server) else {
            return false;
        };
        if entry.granted.insert(key.clone(), token) != Some(token) {
            entry.change_set();
            entry.revoked_versions.remove(key);
            entry.added_versions.insert(key.clone(), entry.set_version);
        }
        true
    }

    pub(super) fn revoke(&mut self, server: &ServerName, key: &SliceKey) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.granted.remove(key);
            entry.added_versions.remove(key);
            entry.change_set();
            entry.revoked_versions.insert(key.clone(), entry.set_version);
        }
    }

    /// Whether the server has acknowledged the slice's grant.
    pub(super) fn has_grant(&self, server: &ServerName, key: &SliceKey) -> bool {
        self.servers.get(server).is_some_and(|it| {
            it.granted.contains_key(key)
                && it.added_versions.get(key).is_some_and(|version| it.acked_version >= *version)
        })
    }

    /// Whether the server can no longer hold the slice's grant: it has ended, acknowledged the
    /// revocation, or its lease has expired.
    pub(super) fn has_lost_grant(
        &self,
        server: &ServerName,
        key: &SliceKey,
        margin: Duration,
        now: MonoTime,
    ) -> bool {
        // Entries are dropped only after their leases, so that a server without one can only hold a
        // lease of an earlier planner.
        let Some(entry) = self.servers.get(server) else {
            return now >= self.predecessor_lease_end;
        };
        let has_acked =
            entry.revoked_versions.get(key).is_some_and(|version| entry.acked_version >= *version);
        entry.state == ServerState::Dead || has_acked || now >= entry.lease_end + margin
    }
}

/// Handles the end of a grant request or a probe.
pub(super) fn handle_answer(
    state: &mut ActingState,
    server: &ServerName,
    sent_at: MonoTime,
    answer: &GrantOutcome,
    ctx: &mut PlannerContext<'_>,
) -> NextRole {
    let term = state.term();
    let old_state = state.server_state(server);
    let next = apply_answer(state, server, sent_at, answer, term, ctx);
    state.is_proposal_due |= state.server_state(server) != old_state;
    next
}

fn apply_answer(
    state: &mut ActingState,
    server: &ServerName,
    sent_at: MonoTime,
    answer: &GrantOutcome,
    term: Term,
    ctx: &mut PlannerContext<'_>,
) -> NextRole {
    let entry = state.servers.get_mut(server)?;
    if entry.address.is_none_or(|(_, since)| sent_at < since) {
        // The answer is from the earlier address.
        return None;
    }
    if entry.sent_at == Some(sent_at) {
        entry.sent_at = None;
    }
    match answer {
        GrantOutcome::Acked { term: acked_term, set_version, basis } => {
            entry.mark_alive(ctx.now);
            entry.basis = Some((basis.clone(), ctx.now));
            if *acked_term == term {
                entry.acked_version = entry.acked_version.max(*set_version);
            }
        }
        GrantOutcome::NeedSet { basis } => {
            entry.mark_alive(ctx.now);
            entry.basis = Some((basis.clone(), ctx.now));
            entry.acked_version = 0;
            entry.due_at = ctx.now;
        }
        GrantOutcome::Rejected { term: newer_term } if *newer_term > term => {
            ctx.witness.observe_term(*newer_term);
            return Some(PlannerRole::Following(FollowingState::new(ctx.now)));
        }
        // A refusal of a request sent before the newest answer arrived may be of an earlier process.
        GrantOutcome::Refused if entry.heard_at.is_none_or(|it| sent_at >= it) => {
            entry.mark_down(ServerState::Dead);
            entry.refused_at = entry.refused_at.max(Some(sent_at));
            entry.acked_version = 0;
            entry.basis = None;
        }
        GrantOutcome::Rejected { .. } | GrantOutcome::Refused | GrantOutcome::Silent => (),
    }
    None
}

impl ServerEntry {
    fn mark_alive(&mut self, now: MonoTime) {
        self.heard_at = Some(now);
        if self.state != ServerState::Alive {
            self.state = ServerState::Alive;
            self.alive_since = now;
        }
    }

    /// Has requests go to `address`, and returns whether they may. A process at an earlier address may
    /// hold its grants until its lease has expired, and no answer from the new one tells of it.
    fn adopt_address(&mut self, address: SocketAddr, margin: Duration, now: MonoTime) -> bool {
        match self.address {
            Some((current, _)) if current == address => return true,
            Some(_) if self.state != ServerState::Dead && now < self.lease_end + margin => {
                return false;
            }
            Some(_) => {
                self.has_moved = true;
                self.basis = None;
                self.acked_version = 0;
            }
            None => (),
        }
        self.address = Some((address, now));
        true
    }
}

/// Sends the grant requests and probes that are due, and detects silent servers.
pub(super) fn advance(
    state: &mut ActingState,
    ctx: &PlannerContext<'_>,
    actions: &mut Vec<PlannerAction>,
) {
    detect_silent_servers(state, ctx);
    let timing = &ctx.config.timing;
    let authority_end = state.authority_end(timing) - timing.drift_margin;
    let term = state.term();
    for (server, entry) in &mut state.servers {
        let is_waiting = entry.sent_at.is_some_and(|it| ctx.now.since(it) < REQUEST_TIMEOUT);
        let address = ctx.sheet.and_then(|it| it.sheet.servers.get(server)).map(|it| it.address);
        let Some(address) = address.filter(|_| !is_waiting && ctx.now >= entry.due_at) else {
            continue;
        };
        if !entry.adopt_address(address, timing.drift_margin, ctx.now) {
            continue;
        }
        let sent_at = ctx.now;
        entry.sent_at = Some(sent_at);
        entry.due_at = ctx.now + timing.grant_renewal;
        actions.push(match entry.check {
            OwnerCheck::None => PlannerAction::Probe { server: server.clone(), address, sent_at },
            OwnerCheck::Token => {
                let request = next_request(entry, term, timing.grant_lease, authority_end);
                PlannerAction::Grant { server: server.clone(), address, request, sent_at }
            }
        });
    }
}

/// Builds the next grant request, and counts its lease in `entry`. Without a receipt to count from,
/// the lease is zero.
fn next_request(
    entry: &mut ServerEntry,
    term: Term,
    max_lease: Duration,
    authority_end: MonoTime,
) -> GrantRequest {
    let (basis, lease) = match &entry.basis {
        Some((basis, received_at)) => {
            let lease = max_lease.min(authority_end.since(*received_at));
            entry.lease_end = entry.lease_end.max(*received_at + lease);
            (Some(basis.clone()), lease)
        }
        None => (None, Duration::ZERO),
    };
    // A server that is known to hold the current set gets only its lease renewed.
    let is_held = entry.acked_version == entry.set_version;
    let entries = (!is_held)
        .then(|| entry.granted.iter().map(|(key, token)| (key.clone(), *token)).collect());
    GrantRequest { term, set_version: entry.set_version, basis, lease, entries }
}

/// Adds the domain's servers of keyed services with the grants that they already hold, and drops
/// servers that left the sheet once their leases have expired.
pub(super) fn update_servers(state: &mut ActingState, ctx: &PlannerContext<'_>) {
    let Some(doc) = ctx.sheet else { return };
    for row in doc.sheet.servers.values().filter(|it| it.domain == ctx.config.domain) {
        let Some(spec) = doc.sheet.services.get(&row.service) else { continue };
        let ServiceKind::Keyed { check, .. } = spec.kind else { continue };
        if state.servers.contains_key(&row.name) {
            continue;
        }
        let mut entry = ServerEntry::new(check, state.predecessor_lease_end, ctx.now);
        for (key, owned) in &state.map.entries {
            let is_owner = owned.owner.as_ref() == Some(&row.name);
            // Only open slices are adopted: an earlier planner may already have granted a moving
            // slice to its next owner.
            if is_owner && owned.phase == SlicePhase::Open {
                entry.adopt_grant(key, owned.token);
            }
        }
        state.servers.insert(row.name.clone(), entry);
    }
    let margin = ctx.config.timing.drift_margin;
    state.servers.retain(|name, entry| {
        doc.sheet.servers.contains_key(name) || ctx.now < entry.lease_end + margin
    });
}

impl ServerEntry {
    /// Adds a slice that the server already owns to its grants, without raising the version.
    fn adopt_grant(&mut self, key: &SliceKey, token: FencingToken) {
        self.granted.insert(key.clone(), token);
        self.added_versions.insert(key.clone(), self.set_version);
    }
}

fn detect_silent_servers(state: &mut ActingState, ctx: &PlannerContext<'_>) {
    for entry in state.servers.values_mut() {
        let heard_at = entry.heard_at.unwrap_or(entry.added_at);
        let is_silent = ctx.now.since(heard_at) >= ctx.config.timing.server_silence;
        if is_silent && matches!(entry.state, ServerState::Alive | ServerState::Unknown) {
            entry.mark_down(ServerState::Silent);
            state.is_proposal_due = true;
        }
    }
}
