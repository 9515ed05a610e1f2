//! Which server holds which keys, where one elected process assigns them and servers check tokens.
//!
//! The record is kept in the platform's store and replaced by compare-and-swap only. An entry whose
//! `leaving` list is empty may be granted to its holder at any time; one with leaving holders may be
//! granted only after each of them has given the keys up, is dead, or has let its grant lapse.

mod draft;

use std::net::SocketAddr;

use model::ServerName;
use serde::{Deserialize, Serialize};

use crate::KeyLoad;

use draft::ShardDraft;

/// A range of keys; both ends belong to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
}

impl KeyRange {
    /// Whether the ranges share a key.
    pub fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Whether all keys of `other` belong to this range.
    pub fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// All keys.
    pub const ALL: Self = Self { first: 0, last: u16::MAX };

    /// Whether `key` belongs to the range.
    pub fn contains(self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// The parts of the range on both sides of `key`; the whole range where that is not in it.
    fn without(self, key: Option<u16>) -> impl Iterator<Item = Self> {
        let key = key.filter(|it| self.contains(*it));
        let before = match key {
            Some(key) => (self.first < key).then(|| Self { first: self.first, last: key - 1 }),
            None => Some(self),
        };
        let behind =
            key.filter(|it| *it < self.last).map(|it| Self { first: it + 1, last: self.last });
        before.into_iter().chain(behind)
    }

    /// Number of keys.
    pub fn n_keys(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }
}

/// One life of a server; a server that starts again under its name is another life.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerInstance {
    /// The server.
    pub server: ServerName,
    /// Unix milliseconds of its start.
    pub born: u64,
    /// Where it takes orders.
    pub address: SocketAddr,
}

impl ServerInstance {
    /// Whether both are the same life, wherever it listens.
    pub fn is_same(&self, other: &Self) -> bool {
        self.server == other.server && self.born == other.born
    }
}

/// A life with the token under which it was given keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardHolder {
    /// Who holds the keys.
    #[serde(rename = "life")]
    pub instance: ServerInstance,
    /// Fencing token of the grant.
    pub token: u64,
}

/// A range with its holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardEntry {
    /// The keys.
    pub range: KeyRange,
    /// Who holds them, or is to hold them once nobody is leaving. While somebody is leaving, the
    /// token before this one is free for fencing.
    pub holder: ShardHolder,
    /// Earlier holders that may still work on the keys.
    pub leaving: Vec<ShardHolder>,
}

impl ShardEntry {
    /// Whether no earlier holder is left.
    pub fn is_settled(&self) -> bool {
        self.leaving.is_empty()
    }
}

/// All keys of one service, in order and without gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Token of the next grant to another holder.
    pub next_token: u64,
    /// The entries in key order.
    pub entries: Vec<ShardEntry>,
}

impl ShardRecord {
    /// The entry that covers `key`.
    pub fn entry(&self, key: u16) -> Option<&ShardEntry> {
        let idx = self.entries.partition_point(|it| it.range.last < key);
        self.entries.get(idx).filter(|it| it.range.contains(key))
    }

    /// Whether the entries cover all keys in order, and no token is as large as the next one.
    pub fn is_valid(&self) -> bool {
        let mut expected = 0;
        for entry in &self.entries {
            let in_order = u32::from(entry.range.first) == expected
                && entry.range.first <= entry.range.last
                && entry.holder.token < self.next_token
                && entry.leaving.iter().all(|it| it.token < entry.holder.token);
            if !in_order {
                return false;
            }
            expected = u32::from(entry.range.last) + 1;
        }
        expected == u32::from(u16::MAX) + 1
    }

    /// Marks the keys granted under `token` within `range` as free of earlier holders.
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

    /// Gives the keys that `instance` holds alone a larger token; its grants must be sent anew.
    pub fn renew_tokens(&mut self, instance: &ServerInstance) {
        let token = self.next_token;
        self.next_token += 1;
        for entry in &mut self.entries {
            if entry.is_settled() && entry.holder.instance.is_same(instance) {
                entry.holder.token = token;
            }
        }
    }
}

/// What one change of a record replaces.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardDelta {
    next_token: u64,
    removed: Vec<KeyRange>,
    added: Vec<ShardEntry>,
}

impl ShardDelta {
    /// The change from `old` to `new`.
    pub fn between(old: &ShardRecord, new: &ShardRecord) -> Self {
        let removed = old.entries.iter().filter(|it| new.entry(it.range.first) != Some(*it));
        let added = new.entries.iter().filter(|it| old.entry(it.range.first) != Some(*it));
        Self {
            next_token: new.next_token,
            removed: removed.map(|it| it.range).collect(),
            added: added.cloned().collect(),
        }
    }

    /// The record after the change, if `old` is the one that it was made from.
    pub fn apply(&self, old: &ShardRecord) -> Option<ShardRecord> {
        let kept = old.entries.iter().filter(|it| !self.removed.contains(&it.range));
        let mut entries: Vec<ShardEntry> = kept.chain(&self.added).cloned().collect();
        entries.sort_by_key(|it| it.range.first);
        let record = ShardRecord { next_token: self.next_token, entries };
        record.is_valid().then_some(record)
    }
}

/// What a server may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerPhase {
    /// Keys up to its capacity.
    Serving,
    /// No keys while another server can take them.
    Cold,
    /// No keys; those that it holds are handed over.
    Leaving,
}

/// A live server as the assigner sees it.
#[derive(Debug, Clone)]
pub struct ShardServer {
    /// The present life.
    pub instance: ServerInstance,
    /// How much it bears, in units shared by all servers of the service.
    pub capacity: f64,
    /// What it may be given.
    pub phase: ServerPhase,
    /// Whether all its grants have been answered, so that keys can be moved off it at once.
    pub is_fully_acked: bool,
}

/// Bounds on what one round changes.
#[derive(Debug, Clone, Copy)]
pub struct ShardLimits {
    /// Relative load above the mean at which keys move.
    pub tolerance: f64,
    /// Most moves for balance in one round, for each server that may take keys.
    pub max_moves: f64,
    /// Most entries for each server.
    pub max_entries: usize,
}

impl Default for ShardLimits {
    fn default() -> Self {
        Self { tolerance: 0.25, max_moves: 0.4, max_entries: 12 }
    }
}

/// The next record, or nothing when the present one stands.
///
/// `dead` tells of lives that are known to have ended. Without any server that may take keys, the
/// record stays as it is.
pub fn plan_shards(
    record: Option<&ShardRecord>,
    servers: &[ShardServer],
    dead: &dyn Fn(&ServerInstance) -> bool,
    load: &KeyLoad,
    limits: ShardLimits,
) -> Option<ShardRecord> {
    let mut receivers = with_standing(servers, ServerPhase::Serving);
    if receivers.is_empty() {
        receivers = with_standing(servers, ServerPhase::Cold);
    }
    if receivers.is_empty() {
        return None;
    }
    let Some(record) = record else {
        return Some(found_record(&receivers));
    };
    let mut draft = ShardDraft::new(record, &receivers, load);
    draft.replace_absent(servers, dead);
    draft.balance(limits);
    draft.join_entries(limits.max_entries * receivers.len());
    let next = draft.into_record();
    (next != *record).then_some(next)
}

fn with_standing(servers: &[ShardServer], phase: ServerPhase) -> Vec<&ShardServer> {
    servers.iter().filter(|it| it.phase == phase && it.capacity > 0.0).collect()
}

/// Divides all keys by capacity, one range for each server.
fn found_record(receivers: &[&ShardServer]) -> ShardRecord {
    let total: f64 = receivers.iter().map(|it| it.capacity).sum();
    let n_keys = f64::from(KeyRange::ALL.n_keys());
    let mut entries = Vec::with_capacity(receivers.len());
    let mut first: u32 = 0;
    let mut sum = 0.0;
    for (idx, server) in receivers.iter().enumerate() {
        sum += server.capacity;
        let is_last = idx + 1 == receivers.len();
        let end = if is_last { n_keys as u32 } else { (sum / total * n_keys) as u32 };
        if end <= first {
            continue;
        }
        let range = KeyRange { first: first as u16, last: (end - 1) as u16 };
        let holder = ShardHolder { instance: server.instance.clone(), token: idx as u64 + 1 };
        entries.push(ShardEntry { range, holder, leaving: Vec::new() });
        first = end;
    }
    ShardRecord { next_token: receivers.len() as u64 + 1, entries }
}
