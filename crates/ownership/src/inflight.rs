//! Keyed requests in flight at a router, by the assignment under which each was sent.

use std::collections::HashMap;

use model::{FencingToken, MapVersion, SliceKey};

use crate::DomainMap;

/// Number of keyed requests in flight for each assignment.
#[derive(Debug, Clone, Default)]
pub struct InflightCounts {
    counts: HashMap<(SliceKey, FencingToken), usize>,
}

impl InflightCounts {
    /// Counts a request that is about to be sent.
    pub fn enter(&mut self, slice: &SliceKey, token: FencingToken) {
        *self.counts.entry((slice.clone(), token)).or_default() += 1;
    }

    /// Removes a request that has ended or can no longer run.
    pub fn leave(&mut self, slice: &SliceKey, token: FencingToken) {
        let assignment = (slice.clone(), token);
        match self.counts.get_mut(&assignment) {
            Some(count) if *count > 1 => *count -= 1,
            _ => {
                self.counts.remove(&assignment);
            }
        }
    }

    /// Number of requests in flight.
    pub fn total(&self) -> usize {
        self.counts.values().sum()
    }

    /// The newest version such that every request sent under an older assignment has ended.
    pub fn drained(&self, map: &DomainMap) -> MapVersion {
        let newest = map.stamp.version;
        let blocked_by = |(slice, token): &(SliceKey, FencingToken)| match map.entries.get(slice) {
            Some(entry) if entry.token == *token => None,
            Some(entry) if entry.token.term == map.stamp.term => Some(entry.token.version),
            Some(_) | None => Some(newest),
        };
        let oldest_blocked = self.counts.keys().filter_map(blocked_by).min();
        oldest_blocked.map_or(newest, |it| MapVersion(it.0.saturating_sub(1)))
    }
}
