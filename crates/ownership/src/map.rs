//! A failure domain's ownership map.

use std::{collections::BTreeMap, fmt};

use model::{
    DomainName, FencingToken, Incarnation, MapVersion, ServerName, SliceKey, Term, VmName,
};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use smallvec::SmallVec;

/// Identity of one run of a VM, as a planner, witness or router.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VmId {
    /// The VM's name.
    pub name: VmName,
    /// Incarnation of the run. A restarted VM has lost its state and so has another identity.
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

/// Position of a map in the order of a domain's maps: a term and a version, not a time.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct MapStamp {
    /// Term in which the map was created.
    pub term: Term,
    /// Version of the map; compared after the term.
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
    /// An earlier owner may still hold the slice, or the owner has no grant yet; routers must not send.
    Moving,
    /// The owner holds the slice exclusively and has its grant.
    Open,
}

/// A server that may still hold a slice under an older token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousOwner {
    /// Name of the server.
    pub server: ServerName,
    /// Token of its grant.
    pub token: FencingToken,
}

/// Ownership of one slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerEntry {
    /// The owner, or `None` while the slice is leaving the domain.
    pub owner: Option<ServerName>,
    /// Token of this assignment.
    pub token: FencingToken,
    /// Earlier owners that may still hold the slice.
    pub previous: SmallVec<[PreviousOwner; 1]>,
    /// Whether routers may send. Maps of one stamp may differ in it; under the same token it never
    /// goes back to `Moving`.
    pub phase: SlicePhase,
}

/// The ownership map of one failure domain, as kept in the store and by the witnesses.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainMap {
    /// The failure domain whose slices are mapped.
    pub domain: DomainName,
    /// Position of this map among the domain's maps; newer maps have larger stamps.
    pub stamp: MapStamp,
    /// The planner that created it.
    pub planner: VmId,
    /// VMs of which a majority must accept the planner.
    pub witnesses: SmallVec<[VmId; 5]>,
    /// Previous witnesses, of which a majority is needed as well until the next map.
    pub joint_witnesses: SmallVec<[VmId; 5]>,
    /// Ownership of each slice whose home is the domain.
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

    /// The witness sets, from each of which a majority is needed.
    pub fn quorum_sets(&self) -> impl Iterator<Item = &[VmId]> {
        let joint = Some(self.joint_witnesses.as_slice()).filter(|it| !it.is_empty());
        std::iter::once(self.witnesses.as_slice()).chain(joint)
    }

    /// The witness set without a majority of which no planner can act.
    ///
    /// While two sets are in force this is the previous one, since a planner may still act under that
    /// set alone.
    pub fn governing_witnesses(&self) -> &[VmId] {
        match self.joint_witnesses.is_empty() {
            true => &self.witnesses,
            false => &self.joint_witnesses,
        }
    }

    /// Whether too few governing witnesses are alive to form a majority.
    pub fn is_quorum_lost(&self, is_dead: impl Fn(&VmId) -> bool) -> bool {
        let set = self.governing_witnesses();
        let n_dead = set.iter().filter(|it| is_dead(it)).count();
        set.len() - n_dead < quorum_size(set.len())
    }

    /// All VMs of both witness sets, without duplicates.
    pub fn all_witnesses(&self) -> SmallVec<[VmId; 10]> {
        let mut all: SmallVec<[VmId; 10]> = SmallVec::new();
        for id in self.witnesses.iter().chain(&self.joint_witnesses) {
            if !all.contains(id) {
                all.push(id.clone());
            }
        }
        all
    }

    /// Marks the slices as open that are open in `other` under the same token.
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

    /// Number of open slices.
    pub fn open_count(&self) -> usize {
        self.entries.values().filter(|it| it.phase == SlicePhase::Open).count()
    }
}

/// Number of members that form a majority of a set of `n_members`.
pub fn quorum_size(n_members: usize) -> usize {
    n_members / 2 + 1
}
