//! The router's count of in-flight keyed requests, shared by its threads.

use std::sync::{Arc, Mutex};

use model::{FencingToken, MapVersion, SliceKey};
use ownership::{DomainMap, InflightCounts};

use crate::state::lock;

/// Counts in-flight keyed requests by slice and fencing token.
#[derive(Debug, Clone, Default)]
pub(crate) struct InflightTracker {
    counts: Arc<Mutex<InflightCounts>>,
}

/// Keeps one request counted until the guard is dropped.
#[derive(Debug)]
pub(crate) struct InflightGuard {
    tracker: InflightTracker,
    slice: SliceKey,
    token: FencingToken,
}

impl InflightTracker {
    /// Counts a request that is about to be sent.
    pub(crate) fn enter(&self, slice: &SliceKey, token: FencingToken) -> InflightGuard {
        lock(&self.counts).enter(slice, token);
        InflightGuard { tracker: self.clone(), slice: slice.clone(), token }
    }

    /// The newest version such that every request sent under an older assignment has ended.
    pub(crate) fn drained(&self, map: &DomainMap) -> MapVersion {
        lock(&self.counts).drained(map)
    }

    /// Number of in-flight requests.
    pub(crate) fn total(&self) -> usize {
        lock(&self.counts).total()
    }
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        lock(&self.tracker.counts).leave(&self.slice, self.token);
    }
}
