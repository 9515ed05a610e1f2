//! Leases that let routers use the published map.

use std::time::Duration;

use model::{MapVersion, MonoTime};

use super::acting::ActingState;
use crate::{LeaseReply, LeaseRequest, LeaseTiming, MapStamp};

/// What a router last confirmed, and by when its leases have expired.
#[derive(Debug, Clone, Copy)]
pub(super) struct RouterEntry {
    held: MapStamp,
    drained: MapVersion,
    lease_end: MonoTime,
    requested_at: MonoTime,
}

/// Time after the end of its lease at which a router's entry is dropped; longer than any deadline.
const ROUTER_FORGET_AFTER: Duration = Duration::from_secs(90);

impl RouterEntry {
    /// Whether the router uses a map at least as new as `stamp`.
    pub(super) fn has_confirmed(&self, stamp: MapStamp) -> bool {
        self.held >= stamp
    }

    /// Whether every request that the router sent under maps older than `stamp` has ended.
    pub(super) fn has_drained(&self, stamp: MapStamp) -> bool {
        self.held >= stamp && self.drained >= stamp.version
    }

    /// Whether the router's newest lease expired at least `after` ago.
    pub(super) fn is_expired(&self, after: Duration, now: MonoTime) -> bool {
        now >= self.lease_end + after
    }

    pub(super) fn describe(&self, now: MonoTime) -> String {
        let left = self.lease_end.since(now).as_millis();
        format!("map={} drained={} lease_left_ms={left}", self.held, self.drained)
    }
}

/// Drops routers whose leases expired long ago.
pub(super) fn remove_expired_routers(state: &mut ActingState, now: MonoTime) {
    state.routers.retain(|_, it| !it.is_expired(ROUTER_FORGET_AFTER, now));
}

/// Whether every known router has renewed recently, so that a planned move waits for none of them.
pub(super) fn are_routers_fresh(state: &ActingState, timing: &LeaseTiming, now: MonoTime) -> bool {
    let max_age = timing.router_renewal * 2 + timing.router_renewal / 2;
    state.routers.values().all(|it| now.since(it.requested_at) < max_age)
}

/// Answers a router's lease request. A router with an older map gets the new one and no lease.
pub(super) fn answer_lease(
    state: &mut ActingState,
    request: &LeaseRequest,
    timing: &LeaseTiming,
    now: MonoTime,
) -> LeaseReply {
    let left = state.authority_left(timing, now);
    let Some(map) = state.committed.clone().filter(|_| !left.is_zero()) else {
        return LeaseReply::NotActing { planner: None };
    };
    for server in &request.suspects {
        if let Some(entry) = state.servers.get_mut(server) {
            entry.make_due();
        }
    }
    let entry = state.routers.entry(request.router.clone()).or_insert(RouterEntry {
        held: MapStamp::default(),
        drained: MapVersion::default(),
        lease_end: now,
        requested_at: now,
    });
    entry.requested_at = now;
    entry.held = entry.held.max(request.held);
    entry.drained = entry.drained.max(request.drained);
    match request.held {
        held if held > map.stamp => LeaseReply::NotActing { planner: None },
        held if held < map.stamp || (request.held_open as usize) < state.n_committed_open => {
            LeaseReply::NewerMap { map }
        }
        held => {
            let lease = timing.router_lease.min(left);
            entry.lease_end = entry.lease_end.max(now + lease);
            LeaseReply::Leased { stamp: held, lease }
        }
    }
}
