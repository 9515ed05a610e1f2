//! A router's copy of its domain's map and its lease on that map.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use model::{
    FencingToken, KeyHash, MonoTime, NotRunReason, ServerName, ServiceName, SliceId, SliceKey,
};

use crate::{DomainMap, MapStamp, SlicePhase};

/// Where a keyed request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerRoute {
    /// The slice that contains the key.
    pub slice: SliceKey,
    /// Owner of the slice.
    pub server: ServerName,
    /// Token of the owner's grant.
    pub token: FencingToken,
}

/// The newest map that a router has received, and the end of its lease on it.
#[derive(Debug, Clone, Default)]
pub struct RouterView {
    map: Option<Arc<DomainMap>>,
    lease_until: MonoTime,
    /// When each unanswered lease request was made, by its number.
    pending: BTreeMap<u64, MonoTime>,
    next_request: u64,
}

/// Maximum number of unanswered lease requests that are tracked.
const MAX_PENDING_REQUESTS: usize = 16;

impl RouterView {
    /// The map in use.
    pub fn map(&self) -> Option<&Arc<DomainMap>> {
        self.map.as_ref()
    }

    /// Stamp of the map in use, or the smallest stamp if there is none.
    pub fn stamp(&self) -> MapStamp {
        self.map.as_ref().map_or_else(MapStamp::default, |it| it.stamp)
    }

    /// End of the lease on the map in use.
    pub fn lease_until(&self) -> MonoTime {
        self.lease_until
    }

    /// Registers a lease request that is about to be sent, and returns its number.
    pub fn begin_renewal(&mut self, now: MonoTime) -> u64 {
        let request = self.next_request;
        self.next_request += 1;
        self.pending.insert(request, now);
        while self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_first();
        }
        request
    }

    /// Applies the lease granted in reply to `request`. The lease counts from when the request was
    /// registered, and only if it is for the map in use.
    pub fn apply_lease(&mut self, request: u64, stamp: MapStamp, lease: Duration) {
        let Some(requested_at) = self.pending.remove(&request) else {
            return;
        };
        if stamp == self.stamp() {
            self.lease_until = self.lease_until.max(requested_at + lease);
        }
    }

    /// Adopts `map` unless it is older than the one in use. Returns whether anything changed.
    pub fn apply_map(&mut self, map: &Arc<DomainMap>) -> bool {
        match &self.map {
            Some(held) if map.stamp < held.stamp => false,
            Some(held) if map.stamp == held.stamp => {
                let mut merged = DomainMap::clone(held);
                merged.merge_phases(map);
                let is_changed = merged != **held;
                self.map = Some(Arc::new(merged));
                is_changed
            }
            Some(held) => {
                let mut merged = DomainMap::clone(map);
                merged.merge_phases(held);
                self.map = Some(Arc::new(merged));
                true
            }
            None => {
                self.map = Some(map.clone());
                true
            }
        }
    }

    /// Where a request for `hash` may be sent at `now`.
    ///
    /// # Errors
    /// `NoLease` after the lease has expired, `NotHome` if the map does not contain the slice, and
    /// `NoOwner` while the slice is moving.
    pub fn route(
        &self,
        service: &ServiceName,
        base: SliceId,
        hash: KeyHash,
        now: MonoTime,
    ) -> Result<OwnerRoute, NotRunReason> {
        let Some(map) = self.map.as_ref().filter(|_| now < self.lease_until) else {
            return Err(NotRunReason::NoLease);
        };
        let single = SliceKey { service: service.clone(), slice: SliceId::single(hash) };
        let base = SliceKey { service: service.clone(), slice: base };
        let found = map.entries.get_key_value(&single).or_else(|| map.entries.get_key_value(&base));
        match found {
            None => Err(NotRunReason::NotHome),
            Some((slice, entry)) => match &entry.owner {
                Some(server) if entry.phase == SlicePhase::Open => Ok(OwnerRoute {
                    slice: slice.clone(),
                    server: server.clone(),
                    token: entry.token,
                }),
                _ => Err(NotRunReason::NoOwner),
            },
        }
    }
}
