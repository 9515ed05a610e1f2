//! A failure domain's ownership map.

use std::{collections::BTreeMap, fmt};

use model::{
    DomainName, FencingToken, Incarnation, MapVersion, ServerName, SliceKey, Term, VmName,
};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use smallvec::SmallVec;

/// One run of an entry VM's planner.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VmId {
    /// The VM's name.
    pub name: VmName,
    /// The run; a restarted VM remembers nothing and is another identity.
    pub incarnation: Incarnation,
}

impl fmt::Display for VmId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

impl fmt::Debug for VmId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Order of maps within a domain.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct MapStamp {
    /// Term in which the map was made.
    pub term: Term,
    /// Version of the map.
    pub version: MapVersion,
}

impl fmt::Display for MapStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.version)
    }
}

/// Whether routers may send to a slice's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlicePhase {
    /// The owner is not yet alone; routers hold requests back.
    Moving,
    /// The owner is alone and has its grant.
    Open,
}

/// A server that may still hold a slice under an older token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousOwner {
    /// The server.
    pub server: ServerName,
    /// The token of its grant.
    pub token: FencingToken,
}

/// Who owns a slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerEntry {
    /// The owner, or none while the slice is leaving the domain.
    pub owner: Option<ServerName>,
    /// Token of this assignment.
    pub token: FencingToken,
    /// Earlier owners that may not yet have given the slice up.
    pub previous: SmallVec<[PreviousOwner; 1]>,
    /// Whether routers may send; not part of the agreed map, and never falls back to moving
    /// under the same token.
    pub phase: SlicePhase,
}

/// The ownership map of one failure domain, as the store and the witnesses hold it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainMap {
    /// The domain whose slices are mapped.
    pub domain: DomainName,
    /// Order of this map among the domain's maps.
    pub stamp: MapStamp,
    /// The planner that made it.
    pub planner: VmId,
    /// VMs whose majority stands behind the planner.
    pub witnesses: SmallVec<[VmId; 5]>,
    /// Earlier witnesses, whose majority is needed too until the next map.
    pub joint_witnesses: SmallVec<[VmId; 5]>,
    /// Owner of each slice to which the domain is home.
    #[serde_as(as = "Vec<(_, _)>")]
    pub entries: BTreeMap<SliceKey, OwnerEntry>,
}

impl DomainMap {
    /// Whether `is_member` holds for a majority of every witness set.
    pub fn has_quorum(&self, is_member: impl Fn(&VmId) -> bool) -> bool {
        self.quorum_sets().all(|set| {
            let n_members = set.iter().filter(|it| is_member(it)).count();
            n_members >= quorum_size(set.len())
        })
    }

    /// The witness sets of which a majority each is needed.
    pub fn quorum_sets(&self) -> impl Iterator<Item = &[VmId]> {
        let joint = Some(self.joint_witnesses.as_slice()).filter(|it| !it.is_empty());
        std::iter::once(self.witnesses.as_slice()).chain(joint)
    }

    /// The witnesses without a majority of which no planner can act.
    ///
    /// While two sets count these are the older ones: a planner may still act under them alone.
    pub fn governing_witnesses(&self) -> &[VmId] {
        match self.joint_witnesses.is_empty() {
            true => &self.witnesses,
            false => &self.joint_witnesses,
        }
    }

    /// Whether too few governing witnesses are left for any majority.
    pub fn is_quorum_lost(&self, is_dead: impl Fn(&VmId) -> bool) -> bool {
        let set = self.governing_witnesses();
        let n_dead = set.iter().filter(|it| is_dead(it)).count();
        set.len() - n_dead < quorum_size(set.len())
    }

    /// Every VM in any witness set, each once.
    pub fn all_witnesses(&self) -> SmallVec<[VmId; 10]> {
        let mut all: SmallVec<[VmId; 10]> = SmallVec::new();
        for id in self.witnesses.iter().chain(&self.joint_witnesses) {
            if !all.contains(id) {
                all.push(id.clone());
            }
        }
        all
    }

    /// Marks slices open that `other` knows to be open under the same token.
    pub fn merge_phases(&mut self, other: &Self) {
        for (key, entry) in &mut self.entries {
            let is_open = other
                .entries
                .get(key)
                .is_some_and(|it| it.token == entry.token && it.phase == SlicePhase::Open);
            if is_open {
                entry.phase = SlicePhase::Open;
            }
        }
    }

    /// Number of slices whose owner is open.
    pub fn open_count(&self) -> usize {
        self.entries.values().filter(|it| it.phase == SlicePhase::Open).count()
    }
}

/// Members that make a majority of a set of `n_members`.
pub fn quorum_size(n_members: usize) -> usize {
    n_members / 2 + 1
}
