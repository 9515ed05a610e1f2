//! Assignment of key ranges to servers that check fencing tokens, made by one elected process.
//!
//! The record is kept in the platform's store and replaced only by compare-and-swap. An entry whose
//! `leaving` list is empty may be granted to its holder at any time; one with leaving holders may be
//! granted only after each of them has released the keys, has died, or has let its grant expire.

mod draft;
mod packed;

use std::net::SocketAddr;

use model::ServerName;
use serde::{Deserialize, Serialize};

use crate::KeyLoad;

use draft::ShardDraft;
use packed::{PackedRecord, StoredRecord};

/// A range of shard keys that includes both ends. A shard key is the 16-bit number that a request
/// for a keyed service names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key of the range.
    pub first: u16,
    /// Last key of the range, which belongs to it.
    pub last: u16,
}

impl KeyRange {
    /// Whether the ranges have a key in common.
    pub fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Whether all keys of `other` belong to this range.
    pub fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// The range of all keys.
    pub const ALL: Self = Self { first: 0, last: u16::MAX };

    /// Whether `key` belongs to the range.
    pub fn contains(self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// The parts of the range on either side of `key`, or the whole range if `key` is not in it.
    fn excluding(self, key: Option<u16>) -> impl Iterator<Item = Self> {
        let key = key.filter(|it| self.contains(*it));
        let before = match key {
            Some(key) => (self.first < key).then(|| Self { first: self.first, last: key - 1 }),
            None => Some(self),
        };
        let after =
            key.filter(|it| *it < self.last).map(|it| Self { first: it + 1, last: self.last });
        before.into_iter().chain(after)
    }

    /// Number of keys in the range, which is at least one.
    pub fn n_keys(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }
}

/// One run of a server process; a server that restarts under its name is another instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerInstance {
    /// Name of the server.
    pub server: ServerName,
    /// Start time, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Address at which it takes grants and releases.
    pub address: SocketAddr,
}

impl ServerInstance {
    /// Whether both are the same instance, regardless of the address.
    pub fn is_same(&self, other: &Self) -> bool {
        self.server == other.server && self.born == other.born
    }
}

/// A server instance and the token under which it was granted keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardHolder {
    /// The instance that holds the keys.
    #[serde(rename = "life")]
    pub instance: ServerInstance,
    /// Fencing token of the grant.
    pub token: u64,
}

/// A key range, its holder and the holders before it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardEntry {
    /// The keys that the entry assigns.
    pub range: KeyRange,
    /// The holder, which is granted the keys only once `leaving` is empty. Until then the token just
    /// below the holder's is unused, so that it can fence off earlier holders.
    pub holder: ShardHolder,
    /// Earlier holders that may still process requests for the keys.
    pub leaving: Vec<ShardHolder>,
}

impl ShardEntry {
    /// Whether no earlier holder remains, so that the holder may be granted the keys at any time. It
    /// may not have acknowledged its grant yet.
    pub fn is_settled(&self) -> bool {
        self.leaving.is_empty()
    }
}

/// Assignment of all keys of one service, in key order and without gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "StoredRecord", into = "PackedRecord")]
pub struct ShardRecord {
    /// Smallest token that is neither assigned nor reserved.
    pub next_token: u64,
    /// The entries in key order.
    pub entries: Vec<ShardEntry>,
}

impl ShardRecord {
    /// The entry whose range contains `key`.
    pub fn entry(&self, key: u16) -> Option<&ShardEntry> {
        let idx = self.entries.partition_point(|it| it.range.last < key);
        self.entries.get(idx).filter(|it| it.range.contains(key))
    }

    /// Whether the entries cover all keys in order, holders' tokens are below `next_token`, and those
    /// of leaving holders are below that of the holder.
    pub fn is_valid(&self) -> bool {
        let mut expected = 0;
        for entry in &self.entries {
            let is_in_order = u32::from(entry.range.first) == expected
                && entry.range.first <= entry.range.last
                && entry.holder.token < self.next_token
                && entry.leaving.iter().all(|it| it.token < entry.holder.token);
            if !is_in_order {
                return false;
            }
            expected = u32::from(entry.range.last) + 1;
        }
        expected == u32::from(u16::MAX) + 1
    }

    /// Removes the earlier holders from entries within `range` whose holder has `token`; for use once
    /// the holder has acknowledged its grant.
    pub fn settle(&mut self, range: KeyRange, token: u64) {
        for entry in &mut self.entries {
            if entry.holder.token == token
                && entry.range.first >= range.first
                && entry.range.last <= range.last
            {
                entry.leaving.clear();
            }
        }
    }

    /// Raises the token of all settled entries of `instance`; their grants must be sent again.
    pub fn renew_tokens(&mut self, instance: &ServerInstance) {
        let token = self.next_token;
        self.next_token += 1;
        for entry in &mut self.entries {
            if entry.is_settled() && entry.holder.instance.is_same(instance) {
                entry.holder.token = token;
            }
        }
    }

    /// Raises the token of the entry that moves to the holder with `token`; its grant must be sent
    /// again. Returns whether there is one.
    pub fn renew_move_token(&mut self, token: u64) -> bool {
        let is_moving = |it: &&mut ShardEntry| !it.is_settled() && it.holder.token == token;
        let Some(entry) = self.entries.iter_mut().find(is_moving) else {
            return false;
        };
        // Leaves the token below it unused, as for every move.
        entry.holder.token = self.next_token + 1;
        self.next_token += 2;
        true
    }
}

/// The entries that one change of a record removes and adds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardDelta {
    next_token: u64,
    removed: Vec<KeyRange>,
    added: Vec<ShardEntry>,
}

impl ShardDelta {
    /// Computes the change from `old` to `new`.
    pub fn between(old: &ShardRecord, new: &ShardRecord) -> Self {
        let removed = old.entries.iter().filter(|it| new.entry(it.range.first) != Some(*it));
        let added = new.entries.iter().filter(|it| old.entry(it.range.first) != Some(*it));
        Self {
            next_token: new.next_token,
            removed: removed.map(|it| it.range).collect(),
            added: added.cloned().collect(),
        }
    }

    /// Applies the change to `old`. Returns `None` if the result is invalid, because the change was
    /// computed from another record.
    pub fn apply(&self, old: &ShardRecord) -> Option<ShardRecord> {
        let kept = old.entries.iter().filter(|it| !self.removed.contains(&it.range));
        let mut entries: Vec<ShardEntry> = kept.chain(&self.added).cloned().collect();
        entries.sort_by_key(|it| it.range.first);
        let record = ShardRecord { next_token: self.next_token, entries };
        record.is_valid().then_some(record)
    }
}

/// Whether a server may be assigned keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerPhase {
    /// It is assigned keys in proportion to its capacity.
    Serving,
    /// It is assigned no keys while another server can take them.
    Cold,
    /// It is assigned no keys, and those that it holds are handed over.
    Leaving,
}

/// A live server from the assigner's point of view.
#[derive(Debug, Clone)]
pub struct ShardServer {
    /// The current instance.
    pub instance: ServerInstance,
    /// Relative capacity, in a unit common to all servers of the service.
    pub capacity: f64,
    /// Most load that it takes, in the unit of [`KeyLoad`], if it has named a limit.
    pub max_load: Option<f64>,
    /// Whether it may be assigned keys.
    pub phase: ServerPhase,
    /// Whether all its grants have been answered, so that its keys can be moved without waiting.
    pub is_fully_acked: bool,
}

/// Limits on the changes of one planning round.
#[derive(Debug, Clone, Copy)]
pub struct ShardLimits {
    /// Fraction of its fair load by which a server must be overloaded before keys move.
    pub tolerance: f64,
    /// Maximum number of rebalancing moves in one round, per server that may take keys; the product
    /// is rounded up.
    pub max_moves: f64,
    /// Maximum number of entries, per server that may take keys.
    pub max_entries: usize,
}

impl Default for ShardLimits {
    fn default() -> Self {
        Self { tolerance: 0.25, max_moves: 0.4, max_entries: 12 }
    }
}

/// Computes the next record, or returns `None` if the current one needs no change.
///
/// `is_dead` tells whether an instance is known to have ended. The record stays unchanged while no
/// server may take keys.
pub fn plan_shards(
    record: Option<&ShardRecord>,
    servers: &[ShardServer],
    is_dead: &dyn Fn(&ServerInstance) -> bool,
    load: &KeyLoad,
    limits: ShardLimits,
) -> Option<ShardRecord> {
    let mut targets = servers_in_phase(servers, ServerPhase::Serving);
    if targets.is_empty() {
        targets = servers_in_phase(servers, ServerPhase::Cold);
    }
    if targets.is_empty() {
        return None;
    }
    let limited = limit_capacity(&targets, load.in_range(KeyRange::ALL));
    let targets: Vec<&ShardServer> = limited.iter().collect();
    let Some(record) = record else {
        return Some(initial_record(&targets));
    };
    let mut draft = ShardDraft::new(record, &targets, load);
    draft.reassign_unserved(servers, is_dead);
    draft.balance(limits);
    draft.merge_entries(limits.max_entries * targets.len());
    let next = draft.into_record();
    (next != *record).then_some(next)
}

fn servers_in_phase(servers: &[ShardServer], phase: ServerPhase) -> Vec<&ShardServer> {
    servers.iter().filter(|it| it.phase == phase && it.capacity > 0.0).collect()
}

/// Least capacity of a limited server, as a fraction of its own, so that loads can be divided by it.
const MIN_CAPACITY_SHARE: f64 = 0.001;

/// Lowers the capacity of servers whose fair share of `total_load` exceeds the most that they take to
/// what makes that their fair share, and drops limits that do not bind; the others share the rest.
fn limit_capacity(targets: &[&ShardServer], total_load: f64) -> Vec<ShardServer> {
    let mut limited: Vec<ShardServer> = targets.iter().map(|it| (*it).clone()).collect();
    let mut is_limited = vec![false; targets.len()];
    loop {
        let (mut free_load, mut free_capacity) = (total_load, 0.0);
        for (server, is_limited) in targets.iter().zip(&is_limited) {
            match server.max_load.filter(|_| *is_limited) {
                Some(max_load) => free_load -= max_load,
                None => free_capacity += server.capacity,
            }
        }
        let utilization = match free_capacity > 0.0 && free_load > 0.0 {
            true => free_load / free_capacity,
            // All have limits: each gets a share in proportion to its own.
            false => 1.0,
        };
        let mut has_changed = false;
        for (idx, server) in targets.iter().enumerate() {
            let Some(max_load) = server.max_load else {
                continue;
            };
            if is_limited[idx] || max_load < utilization * server.capacity {
                has_changed |= !std::mem::replace(&mut is_limited[idx], true);
                let min_capacity = server.capacity * MIN_CAPACITY_SHARE;
                limited[idx].capacity = (max_load / utilization).max(min_capacity);
            }
        }
        if !has_changed {
            break;
        }
    }
    for (server, is_limited) in limited.iter_mut().zip(is_limited) {
        server.max_load = server.max_load.filter(|_| is_limited);
    }
    limited
}

/// Divides all keys in proportion to capacity, with one range per server.
fn initial_record(targets: &[&ShardServer]) -> ShardRecord {
    let total: f64 = targets.iter().map(|it| it.capacity).sum();
    let n_keys = f64::from(KeyRange::ALL.n_keys());
    let mut entries = Vec::with_capacity(targets.len());
    let mut first: u32 = 0;
    let mut sum = 0.0;
    for (idx, server) in targets.iter().enumerate() {
        sum += server.capacity;
        let is_last = idx + 1 == targets.len();
        let end = if is_last { n_keys as u32 } else { (sum / total * n_keys) as u32 };
        if end <= first {
            continue;
        }
        let range = KeyRange { first: first as u16, last: (end - 1) as u16 };
        let holder = ShardHolder { instance: server.instance.clone(), token: idx as u64 + 1 };
        entries.push(ShardEntry { range, holder, leaving: Vec::new() });
        first = end;
    }
    ShardRecord { next_token: targets.len() as u64 + 1, entries }
}
