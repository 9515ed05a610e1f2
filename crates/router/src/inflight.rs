//! The router's count of keyed requests under way, shared by its threads.

use std::sync::{Arc, Mutex};

use model::{FencingToken, MapVersion, SliceKey};
use ownership::{DomainMap, InflightCounts};

use crate::state::lock;

/// Counts of keyed requests under way.
#[derive(Debug, Clone, Default)]
pub(crate) struct InflightBook {
    counts: Arc<Mutex<InflightCounts>>,
}

/// Keeps one request counted until it is dropped.
#[derive(Debug)]
pub(crate) struct InflightGuard {
    book: InflightBook,
    slice: SliceKey,
    token: FencingToken,
}

impl InflightBook {
    /// Counts a request that is about to be sent.
    pub(crate) fn enter(&self, slice: &SliceKey, token: FencingToken) -> InflightGuard {
        lock(&self.counts).enter(slice, token);
        InflightGuard { book: self.clone(), slice: slice.clone(), token }
    }

    /// The newest version such that every request sent under an older assignment has ended.
    pub(crate) fn drained(&self, map: &DomainMap) -> MapVersion {
        lock(&self.counts).drained(map)
    }

    /// Requests under way.
    pub(crate) fn total(&self) -> usize {
        lock(&self.counts).total()
    }
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        lock(&self.book.counts).leave(&self.slice, self.token);
    }
}
