//! What changed between two maps or two homes tables, so that news costs what changed and not
//! what there is.

use std::{collections::BTreeMap, sync::Arc};

use model::SliceKey;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::{DomainMap, HomeEntry, HomesTable, MapStamp, OwnerEntry, SlicePhase, VmId};

/// The entries by which one table differs from another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryChanges<V> {
    /// Entries that are new or differ.
    pub changed: Vec<(SliceKey, V)>,
    /// Entries that are gone.
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

/// A map, in full or as changes to one that the receiver holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MapUpdate {
    /// The whole map.
    Full(Arc<DomainMap>),
    /// What changed since a map that the receiver holds.
    Delta(Box<MapDelta>),
}

/// What changed since the map with the digest `base`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MapDelta {
    /// Digest of the map to change.
    pub base: u64,
    /// Order of the new map.
    pub stamp: MapStamp,
    /// Its planner.
    pub planner: VmId,
    /// Its witnesses.
    pub witnesses: SmallVec<[VmId; 5]>,
    /// Its earlier witnesses.
    pub joint_witnesses: SmallVec<[VmId; 5]>,
    /// Changes of owners.
    pub entries: EntryChanges<OwnerEntry>,
}

impl MapUpdate {
    /// What changed from `base` to `target`.
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

    /// The whole new map, unless it is a change to a map other than `held`.
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

/// Digest of a map's order, owners, tokens and phases.
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

/// Homes, in full or as changes to a revision that the receiver holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HomesUpdate {
    /// The whole table.
    Full(HomesTable),
    /// What changed since revision `base`.
    Delta {
        /// Revision to change.
        base: u64,
        /// The new revision.
        revision: u64,
        /// Identity of the write that made it.
        attempt: u64,
        /// Changes of homes.
        entries: EntryChanges<HomeEntry>,
    },
}

impl HomesUpdate {
    /// What changed from `base` to `target`.
    pub fn between(base: &HomesTable, target: &HomesTable) -> Self {
        Self::Delta {
            base: base.revision,
            revision: target.revision,
            attempt: target.attempt,
            entries: EntryChanges::between(&base.entries, &target.entries),
        }
    }

    /// The whole new table, unless it is a change to a revision other than `held`.
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
