//! Keyed requests under way, by the assignment under which each was sent.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use model::{FencingToken, MapVersion, SliceKey};
use ownership::DomainMap;

/// Counts of keyed requests under way.
#[derive(Debug, Clone, Default)]
pub(crate) struct InflightBook {
    counts: Arc<Mutex<HashMap<(SliceKey, FencingToken), usize>>>,
}

/// Keeps one request counted until it is dropped.
#[derive(Debug)]
pub(crate) struct InflightGuard {
    book: InflightBook,
    place: Option<(SliceKey, FencingToken)>,
}

impl InflightBook {
    /// Counts a request that is about to be sent.
    pub(crate) fn enter(&self, slice: &SliceKey, token: FencingToken) -> InflightGuard {
        let place = (slice.clone(), token);
        *self.lock().entry(place.clone()).or_default() += 1;
        InflightGuard { book: self.clone(), place: Some(place) }
    }

    /// The newest version such that every request sent under an older assignment has ended.
    pub(crate) fn drained(&self, map: &DomainMap) -> MapVersion {
        let newest = map.stamp.version;
        let blocked_by = |place: &(SliceKey, FencingToken)| match map.entries.get(&place.0) {
            Some(entry) if entry.token == place.1 => None,
            Some(entry) if entry.token.term == map.stamp.term => Some(entry.token.version),
            Some(_) | None => Some(newest),
        };
        let oldest_block = self.lock().keys().filter_map(blocked_by).min();
        oldest_block.map_or(newest, |it| MapVersion(it.0.saturating_sub(1)))
    }

    /// Requests under way.
    pub(crate) fn total(&self) -> usize {
        self.lock().values().sum()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<(SliceKey, FencingToken), usize>> {
        self.counts.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn leave(&self, place: (SliceKey, FencingToken)) {
        let mut counts = self.lock();
        if let Some(count) = counts.get_mut(&place) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&place);
            }
        }
    }
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        if let Some(place) = self.place.take() {
            self.book.leave(place);
        }
    }
}
