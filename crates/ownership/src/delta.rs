//! Differences between two maps or two homes tables, so that the size of an update depends on the
//! number of changes and not on the size of the table.

use std::{collections::BTreeMap, sync::Arc};

use model::SliceKey;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::{DomainMap, HomeEntry, HomesTable, MapStamp, OwnerEntry, SlicePhase, VmId};

/// The entries in which two tables differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryChanges<V> {
    /// Entries that were added or changed.
    pub changed: Vec<(SliceKey, V)>,
    /// Keys of entries that were removed.
    pub removed: Vec<SliceKey>,
}

impl<V: Clone + PartialEq> EntryChanges<V> {
    fn between(base: &BTreeMap<SliceKey, V>, target: &BTreeMap<SliceKey, V>) -> Self {
        let is_changed = |(key, entry): &(&SliceKey, &V)| base.get(*key) != Some(*entry);
        let changed = target.iter().filter(is_changed);
        Self {
            changed: changed.map(|(key, entry)| (key.clone(), entry.clone())).collect(),
            removed: base.keys().filter(|it| !target.contains_key(it)).cloned().collect(),
        }
    }

    fn apply(&self, entries: &mut BTreeMap<SliceKey, V>) {
        for key in &self.removed {
            entries.remove(key);
        }
        for (key, entry) in &self.changed {
            entries.insert(key.clone(), entry.clone());
        }
    }
}

/// A map, in full or as a delta to one that the receiver holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MapUpdate {
    /// The whole map.
    Full(Arc<DomainMap>),
    /// The changes since a map that the receiver holds.
    Delta(Box<MapDelta>),
}

/// The changes since the map whose digest is `base`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta {
    /// Digest of the map to which the delta applies.
    pub base: u64,
    /// Stamp of the new map.
    pub stamp: MapStamp,
    /// Planner of the new map.
    pub planner: VmId,
    /// Witnesses of the new map.
    pub witnesses: SmallVec<[VmId; 5]>,
    /// Previous witnesses that the new map lists.
    pub joint_witnesses: SmallVec<[VmId; 5]>,
    /// Slices whose ownership changed.
    pub entries: EntryChanges<OwnerEntry>,
}

impl MapUpdate {
    /// Computes the delta from `base` to `target`.
    pub fn between(base: &DomainMap, target: &DomainMap) -> Self {
        Self::Delta(Box::new(MapDelta {
            base: map_digest(base),
            stamp: target.stamp,
            planner: target.planner.clone(),
            witnesses: target.witnesses.clone(),
            joint_witnesses: target.joint_witnesses.clone(),
            entries: EntryChanges::between(&base.entries, &target.entries),
        }))
    }

    /// Returns the whole new map, or `None` if this is a delta to a map other than `held`.
    pub fn resolve(&self, held: Option<&DomainMap>) -> Option<Arc<DomainMap>> {
        match self {
            Self::Full(map) => Some(map.clone()),
            Self::Delta(delta) => {
                let mut map = held.filter(|it| map_digest(it) == delta.base)?.clone();
                map.stamp = delta.stamp;
                map.planner = delta.planner.clone();
                map.witnesses = delta.witnesses.clone();
                map.joint_witnesses = delta.joint_witnesses.clone();
                delta.entries.apply(&mut map.entries);
                Some(Arc::new(map))
            }
        }
    }
}

/// Hash of a map's stamp, slices, tokens and phases. Owners are covered by their tokens.
pub fn map_digest(map: &DomainMap) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&map.stamp.term.0.to_le_bytes());
    hasher.update(&map.stamp.version.0.to_le_bytes());
    for (key, entry) in &map.entries {
        hasher.update(key.service.as_str().as_bytes());
        hasher.update(&key.slice.start().0.to_le_bytes());
        hasher.update(&entry.token.epoch.to_le_bytes());
        hasher.update(&entry.token.term.0.to_le_bytes());
        hasher.update(&entry.token.version.0.to_le_bytes());
        hasher.update(&[key.slice.bits(), u8::from(entry.phase == SlicePhase::Open)]);
    }
    hasher.digest()
}

/// A homes table, in full or as a delta to a revision that the receiver holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomesUpdate {
    /// The whole table.
    Full(HomesTable),
    /// The changes since revision `base`.
    Delta {
        /// Revision to which the delta applies.
        base: u64,
        /// Revision of the new table.
        revision: u64,
        /// Identifier of the write that created the new revision.
        attempt: u64,
        /// Slices whose home changed.
        entries: EntryChanges<HomeEntry>,
    },
}

impl HomesUpdate {
    /// Computes the delta from `base` to `target`.
    pub fn between(base: &HomesTable, target: &HomesTable) -> Self {
        Self::Delta {
            base: base.revision,
            revision: target.revision,
            attempt: target.attempt,
            entries: EntryChanges::between(&base.entries, &target.entries),
        }
    }

    /// Returns the whole new table, or `None` if this is a delta to a revision other than `held`.
    pub fn resolve(self, held: &HomesTable) -> Option<HomesTable> {
        match self {
            Self::Full(table) => Some(table),
            Self::Delta { base, revision, attempt, entries } if base == held.revision => {
                let mut table = HomesTable { revision, attempt, entries: held.entries.clone() };
                entries.apply(&mut table.entries);
                Some(table)
            }
            Self::Delta { .. } => None,
        }
    }
}
