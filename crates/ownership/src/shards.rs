//! Which server holds which keys, where one elected process assigns them and servers check tokens.
//!
//! The record is kept in the platform's store and replaced by compare-and-swap only. An entry whose
//! `leaving` list is empty may be granted to its holder at any time; one with leaving holders may be
//! granted only after each of them has given the keys up, is dead, or has let its grant lapse.

use std::{collections::BTreeMap, net::SocketAddr};

use model::ServerName;
use serde::{Deserialize, Serialize};

use crate::KeyLoad;

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

    /// Number of keys.
    pub fn n_keys(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }
}

/// One life of a server; a server that starts again under its name is another life.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerLife {
    /// The server.
    pub server: ServerName,
    /// Unix milliseconds of its start.
    pub born: u64,
    /// Where it takes orders.
    pub address: SocketAddr,
}

impl ServerLife {
    /// Whether both are the same life, wherever it listens.
    pub fn is_same(&self, other: &Self) -> bool {
        self.server == other.server && self.born == other.born
    }
}

/// A life with the token under which it was given keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardHolder {
    /// Who holds the keys.
    pub life: ServerLife,
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
    pub fn is_sound(&self) -> bool {
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

    /// Gives the keys that `life` holds alone a larger token; its grants must be sent anew.
    pub fn renew_tokens(&mut self, life: &ServerLife) {
        let token = self.next_token;
        self.next_token += 1;
        for entry in &mut self.entries {
            if entry.is_settled() && entry.holder.life.is_same(life) {
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
        record.is_sound().then_some(record)
    }
}

/// What a server may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerStanding {
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
    pub life: ServerLife,
    /// How much it bears, in units shared by all servers of the service.
    pub capacity: f64,
    /// What it may be given.
    pub standing: ServerStanding,
    /// Whether all its grants have been answered, so that keys can be moved off it at once.
    pub is_certain: bool,
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

/// Part of the mean server's load that one piece of a lost server's keys may carry.
const PIECE_SHARE: f64 = 0.34;

/// The next record, or nothing when the present one stands.
///
/// `dead` tells of lives that are known to have ended. Without any server that may take keys, the
/// record stays as it is.
pub fn plan_shards(
    record: Option<&ShardRecord>,
    servers: &[ShardServer],
    dead: &dyn Fn(&ServerLife) -> bool,
    load: &KeyLoad,
    limits: ShardLimits,
) -> Option<ShardRecord> {
    let mut receivers = with_standing(servers, ServerStanding::Serving);
    if receivers.is_empty() {
        receivers = with_standing(servers, ServerStanding::Cold);
    }
    if receivers.is_empty() {
        return None;
    }
    let Some(record) = record else {
        return Some(found_record(&receivers));
    };
    let mut draft = Draft::new(record, &receivers, load);
    draft.replace_absent(servers, dead);
    draft.balance(limits);
    draft.join_entries(limits.max_entries * receivers.len());
    let next = draft.record;
    (next != *record).then_some(next)
}

fn with_standing(servers: &[ShardServer], standing: ServerStanding) -> Vec<&ShardServer> {
    servers.iter().filter(|it| it.standing == standing && it.capacity > 0.0).collect()
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
        let holder = ShardHolder { life: server.life.clone(), token: idx as u64 + 1 };
        entries.push(ShardEntry { range, holder, leaving: Vec::new() });
        first = end;
    }
    ShardRecord { next_token: receivers.len() as u64 + 1, entries }
}

/// A record under change, with the load of each receiver.
struct Draft<'a> {
    record: ShardRecord,
    receivers: &'a [&'a ShardServer],
    load: &'a KeyLoad,
    carried: BTreeMap<ServerLife, f64>,
    total: f64,
    capacity: f64,
}

impl<'a> Draft<'a> {
    fn new(record: &ShardRecord, receivers: &'a [&'a ShardServer], load: &'a KeyLoad) -> Self {
        let mut carried: BTreeMap<ServerLife, f64> =
            receivers.iter().map(|it| (it.life.clone(), 0.0)).collect();
        for entry in &record.entries {
            if let Some(sum) = carried.get_mut(&entry.holder.life) {
                *sum += load.of(entry.range);
            }
        }
        Self {
            record: record.clone(),
            receivers,
            load,
            carried,
            total: load.of(KeyRange::ALL),
            capacity: receivers.iter().map(|it| it.capacity).sum(),
        }
    }

    fn mean(&self) -> f64 {
        self.total / self.capacity
    }

    /// Load for each unit of capacity.
    fn pressure(&self, server: &ShardServer) -> f64 {
        self.carried.get(&server.life).copied().unwrap_or(0.0) / server.capacity
    }

    fn least_pressed(&self) -> &'a ShardServer {
        let by_pressure =
            |a: &&&ShardServer, b: &&&ShardServer| self.pressure(a).total_cmp(&self.pressure(b));
        self.receivers.iter().min_by(by_pressure).copied().unwrap_or(self.receivers[0])
    }

    /// Moves the keys of servers that are gone or leaving.
    fn replace_absent(&mut self, servers: &[ShardServer], dead: &dyn Fn(&ServerLife) -> bool) {
        let may_stay = |life: &ServerLife| {
            servers.iter().any(|it| it.life.is_same(life) && it.standing != ServerStanding::Leaving)
        };
        let cold_stays = self.receivers.iter().all(|it| it.standing == ServerStanding::Cold);
        let is_cold = |life: &ServerLife| {
            let cold = |it: &ShardServer| it.standing == ServerStanding::Cold;
            servers.iter().any(|it| it.life.is_same(life) && cold(it))
        };
        let piece = self.total / self.receivers.len() as f64 * PIECE_SHARE;
        let entries = std::mem::take(&mut self.record.entries);
        for entry in entries {
            let life = &entry.holder.life;
            let is_placed = may_stay(life) && (cold_stays || !is_cold(life) || !entry.is_settled());
            if is_placed && !dead(life) {
                self.record.entries.push(entry);
                continue;
            }
            let mut left = Some(entry.range);
            while let Some(range) = left {
                let (taken, rest) = self.load.split(range, piece);
                left = rest;
                let receiver = self.least_pressed();
                let moved = self.moved(&entry, taken, receiver, dead);
                self.record.entries.push(moved);
            }
        }
    }

    /// The part `range` of `entry` in the hands of `receiver`.
    fn moved(
        &mut self,
        entry: &ShardEntry,
        range: KeyRange,
        receiver: &ShardServer,
        dead: &dyn Fn(&ServerLife) -> bool,
    ) -> ShardEntry {
        // The token before it is kept for fencing unanswered grants off before the move.
        let token = self.record.next_token + 1;
        self.record.next_token += 2;
        *self.carried.entry(receiver.life.clone()).or_default() += self.load.of(range);
        let mut leaving = entry.leaving.clone();
        leaving.push(entry.holder.clone());
        leaving.retain(|it| !it.life.is_same(&receiver.life) && !dead(&it.life));
        let holder = ShardHolder { life: receiver.life.clone(), token };
        ShardEntry { range, holder, leaving }
    }

    /// Moves keys from pressed servers to others.
    fn balance(&mut self, limits: ShardLimits) {
        let most_entries = limits.max_entries * self.receivers.len();
        let n_moves = (limits.max_moves * self.receivers.len() as f64).ceil() as usize;
        for _ in 0..n_moves {
            let mean = self.mean();
            let by_pressure = |a: &&&ShardServer, b: &&&ShardServer| {
                self.pressure(a).total_cmp(&self.pressure(b))
            };
            let givers = self.receivers.iter().filter(|it| it.is_certain);
            let Some(giver) = givers.max_by(by_pressure).copied() else {
                return;
            };
            let receiver = self.least_pressed();
            let is_even = self.pressure(giver) <= mean * (1.0 + limits.tolerance);
            if is_even || self.record.entries.len() + 2 > most_entries {
                return;
            }
            let excess = (self.pressure(giver) - mean) * giver.capacity;
            let room = (mean - self.pressure(receiver)) * receiver.capacity;
            let wanted = excess.min(room);
            if wanted <= 0.0 || !self.move_piece(giver, receiver, wanted) {
                return;
            }
        }
    }

    /// Moves about `wanted` of the giver's load; tells whether anything was moved.
    fn move_piece(&mut self, giver: &ShardServer, receiver: &ShardServer, wanted: f64) -> bool {
        let held = self
            .record
            .entries
            .iter()
            .enumerate()
            .filter(|(_, it)| it.is_settled() && it.holder.life.is_same(&giver.life));
        let distance = |it: &ShardEntry| (self.load.of(it.range) - wanted).abs();
        let fit = held
            .clone()
            .filter(|(_, it)| self.load.of(it.range) <= wanted * 1.3)
            .filter(|(_, it)| self.load.of(it.range) >= wanted * 0.5)
            .min_by(|(_, a), (_, b)| distance(a).total_cmp(&distance(b)));
        let largest =
            held.max_by(|(_, a), (_, b)| self.load.of(a.range).total_cmp(&self.load.of(b.range)));
        let Some((idx, _)) = fit.or(largest) else {
            return false;
        };
        let entry = self.record.entries[idx].clone();
        let whole = self.load.of(entry.range);
        let (taken, rest) = match whole <= wanted * 1.3 {
            true => (entry.range, None),
            false => self.load.split(entry.range, wanted),
        };
        let moved_load = self.load.of(taken);
        // A single key that outweighs the difference would only move the pressure.
        let after = (self.carried.get(&receiver.life).copied().unwrap_or(0.0) + moved_load)
            / receiver.capacity;
        if after >= self.pressure(giver) || moved_load < wanted * 0.1 {
            return false;
        }
        if let Some(sum) = self.carried.get_mut(&giver.life) {
            *sum -= moved_load;
        }
        let moved = self.moved(&entry, taken, receiver, &|_| false);
        self.record.entries[idx] = moved;
        if let Some(range) = rest {
            self.record.entries.insert(idx + 1, ShardEntry { range, ..entry });
        }
        true
    }

    /// Joins neighbours of one holder: those of one token always, others when entries abound.
    fn join_entries(&mut self, most: usize) {
        let is_crowded = self.record.entries.len() * 4 > most * 3;
        let mut joined: Vec<ShardEntry> = Vec::with_capacity(self.record.entries.len());
        for entry in std::mem::take(&mut self.record.entries) {
            match joined.last_mut() {
                Some(last)
                    if last.is_settled()
                        && entry.is_settled()
                        && last.holder.life.is_same(&entry.holder.life)
                        && (is_crowded || last.holder.token == entry.holder.token) =>
                {
                    last.range.last = entry.range.last;
                    if last.holder.token != entry.holder.token {
                        last.holder.token = self.record.next_token;
                        self.record.next_token += 1;
                    }
                }
                _ => joined.push(entry),
            }
        }
        self.record.entries = joined;
    }
}
