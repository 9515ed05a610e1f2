//! A router's view of its domain's map and of its lease on it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use model::{
    FencingToken, KeyHash, MonoTime, NotRunReason, ServerName, ServiceName, SliceId, SliceKey,
};

use crate::{DomainMap, MapStamp, SlicePhase};

/// Where a keyed request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerRoute {
    /// The slice of the key.
    pub slice: SliceKey,
    /// Its owner.
    pub server: ServerName,
    /// Token of the owner's grant.
    pub token: FencingToken,
}

/// The newest map a router has seen, and until when it may use it.
#[derive(Debug, Clone, Default)]
pub struct RouterView {
    map: Option<Arc<DomainMap>>,
    lease_until: MonoTime,
    asks: BTreeMap<u64, MonoTime>,
    next_ask: u64,
}

/// Unanswered lease requests that are remembered.
const MAX_OPEN_ASKS: usize = 16;

impl RouterView {
    /// The map in use.
    pub fn map(&self) -> Option<&Arc<DomainMap>> {
        self.map.as_ref()
    }

    /// Order of the map in use.
    pub fn stamp(&self) -> MapStamp {
        self.map.as_ref().map_or_else(MapStamp::default, |it| it.stamp)
    }

    /// End of the lease.
    pub fn lease_until(&self) -> MonoTime {
        self.lease_until
    }

    /// Notes that a lease request is about to be sent; returns its number.
    pub fn begin_renewal(&mut self, now: MonoTime) -> u64 {
        let ask = self.next_ask;
        self.next_ask += 1;
        self.asks.insert(ask, now);
        while self.asks.len() > MAX_OPEN_ASKS {
            self.asks.pop_first();
        }
        ask
    }

    /// Takes a lease that answers request `ask`. It counts from when the request was made, and
    /// only when it is for the map in use.
    pub fn apply_lease(&mut self, ask: u64, stamp: MapStamp, lease: Duration) {
        let Some(asked_at) = self.asks.remove(&ask) else {
            return;
        };
        if stamp == self.stamp() {
            self.lease_until = self.lease_until.max(asked_at + lease);
        }
    }

    /// Takes a map unless it is older than the one in use. Returns whether anything changed.
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
    /// `NoLease` after the lease has lapsed, `NotHome` when the domain's map lacks the slice,
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
