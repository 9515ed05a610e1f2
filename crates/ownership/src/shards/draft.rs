//! A record under change: keys of absent servers are placed anew, pressed servers relieved.

use std::collections::BTreeMap;

use crate::KeyLoad;

use super::{
    KeyRange, ServerInstance, ServerPhase, ShardEntry, ShardHolder, ShardLimits, ShardRecord,
    ShardServer,
};

/// Part of the mean server's load that one piece of a lost server's keys may carry.
const PIECE_SHARE: f64 = 0.34;

/// A record under change, with the load of each receiver.
pub(super) struct ShardDraft<'a> {
    record: ShardRecord,
    receivers: &'a [&'a ShardServer],
    load: &'a KeyLoad,
    carried: BTreeMap<ServerInstance, f64>,
    total: f64,
}

impl<'a> ShardDraft<'a> {
    pub(super) fn new(
        record: &ShardRecord,
        receivers: &'a [&'a ShardServer],
        load: &'a KeyLoad,
    ) -> Self {
        let mut carried: BTreeMap<ServerInstance, f64> =
            receivers.iter().map(|it| (it.instance.clone(), 0.0)).collect();
        for entry in &record.entries {
            if let Some(sum) = carried.get_mut(&entry.holder.instance) {
                *sum += load.of(entry.range);
            }
        }
        Self { record: record.clone(), receivers, load, carried, total: load.of(KeyRange::ALL) }
    }

    /// The record as changed.
    pub(super) fn into_record(self) -> ShardRecord {
        self.record
    }

    /// Load for each unit of capacity.
    fn pressure(&self, server: &ShardServer) -> f64 {
        self.carried.get(&server.instance).copied().unwrap_or(0.0) / server.capacity
    }

    fn least_pressed(&self) -> &'a ShardServer {
        let by_pressure =
            |a: &&&ShardServer, b: &&&ShardServer| self.pressure(a).total_cmp(&self.pressure(b));
        self.receivers.iter().min_by(by_pressure).copied().unwrap_or(self.receivers[0])
    }

    /// Moves the keys of servers that are gone or leaving.
    pub(super) fn replace_absent(
        &mut self,
        servers: &[ShardServer],
        dead: &dyn Fn(&ServerInstance) -> bool,
    ) {
        let may_stay = |instance: &ServerInstance| {
            servers
                .iter()
                .any(|it| it.instance.is_same(instance) && it.phase != ServerPhase::Leaving)
        };
        let cold_stays = self.receivers.iter().all(|it| it.phase == ServerPhase::Cold);
        let is_cold = |instance: &ServerInstance| {
            let cold = |it: &ShardServer| it.phase == ServerPhase::Cold;
            servers.iter().any(|it| it.instance.is_same(instance) && cold(it))
        };
        let piece = self.total / self.receivers.len() as f64 * PIECE_SHARE;
        let entries = std::mem::take(&mut self.record.entries);
        for entry in entries {
            let instance = &entry.holder.instance;
            let is_placed =
                may_stay(instance) && (cold_stays || !is_cold(instance) || !entry.is_settled());
            if is_placed && !dead(instance) {
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
        dead: &dyn Fn(&ServerInstance) -> bool,
    ) -> ShardEntry {
        // The token before it is kept for fencing unanswered grants off before the move.
        let token = self.record.next_token + 1;
        self.record.next_token += 2;
        *self.carried.entry(receiver.instance.clone()).or_default() += self.load.of(range);
        let mut leaving = entry.leaving.clone();
        leaving.push(entry.holder.clone());
        leaving.retain(|it| !it.instance.is_same(&receiver.instance) && !dead(&it.instance));
        let holder = ShardHolder { instance: receiver.instance.clone(), token };
        ShardEntry { range, holder, leaving }
    }

    /// Moves keys from pressed servers to others.
    ///
    /// A key that outweighs a fair server can't be divided: its holder keeps it and gives away
    /// everything else, and the others are balanced as if neither existed.
    pub(super) fn balance(&mut self, limits: ShardLimits) {
        let most_entries = limits.max_entries * self.receivers.len();
        let n_moves = (limits.max_moves * self.receivers.len() as f64).ceil() as usize;
        let fair = FairLoad::new(self.load, self.receivers);
        let mut stuck: Vec<&ServerInstance> = Vec::new();
        let mut n_moved = 0;
        while n_moved < n_moves && self.record.entries.len() + 2 <= most_entries {
            let pinned = self.pinned_keys(&fair);
            let excess = |it: &ShardServer| self.excess(it, &pinned, &fair);
            let givers = self.receivers.iter().copied().filter(|it| {
                let least = limits.tolerance * fair.pressure * it.capacity;
                it.is_fully_acked && !stuck.contains(&&it.instance) && excess(it) > least
            });
            let by_excess = |a: &&ShardServer, b: &&ShardServer| {
                (excess(a) / a.capacity).total_cmp(&(excess(b) / b.capacity))
            };
            let Some(giver) = givers.max_by(by_excess) else {
                return;
            };
            let receiver = self.least_pressed();
            let room = (fair.pressure - self.pressure(receiver)) * receiver.capacity;
            let wanted = excess(giver).min(room);
            if wanted <= 0.0 {
                return;
            }
            let kept = pinned.get(&giver.instance).map(|it| it.key);
            match self.move_piece(giver, receiver, wanted, kept) {
                true => n_moved += 1,
                false => stuck.push(&giver.instance),
            }
        }
    }

    /// The heaviest of the heavy keys of each holder.
    fn pinned_keys(&self, fair: &FairLoad) -> BTreeMap<ServerInstance, HeavyKey> {
        let mut pinned: BTreeMap<ServerInstance, HeavyKey> = BTreeMap::new();
        for heavy in &fair.heavy {
            let Some(entry) = self.record.entry(heavy.key) else {
                continue;
            };
            let held = pinned.entry(entry.holder.instance.clone()).or_insert(*heavy);
            if held.load < heavy.load {
                *held = *heavy;
            }
        }
        pinned
    }

    /// Load that `server` should give away; negative when it may take more.
    fn excess(
        &self,
        server: &ShardServer,
        pinned: &BTreeMap<ServerInstance, HeavyKey>,
        fair: &FairLoad,
    ) -> f64 {
        let carried = self.carried.get(&server.instance).copied().unwrap_or(0.0);
        match pinned.get(&server.instance) {
            Some(heavy) => carried - heavy.load,
            None => carried - fair.pressure * server.capacity,
        }
    }

    /// Moves about `wanted` of the giver's load, but not the key `kept`; tells whether anything was
    /// moved.
    fn move_piece(
        &mut self,
        giver: &ShardServer,
        receiver: &ShardServer,
        wanted: f64,
        kept: Option<u16>,
    ) -> bool {
        let held = self.record.entries.iter().enumerate();
        let held =
            held.filter(|(_, it)| it.is_settled() && it.holder.instance.is_same(&giver.instance));
        let pieces: Vec<(usize, KeyRange, f64)> = held
            .flat_map(|(idx, it)| it.range.without(kept).map(move |range| (idx, range)))
            .map(|(idx, range)| (idx, range, self.load.of(range)))
            .collect();
        let fit = pieces
            .iter()
            .filter(|(_, _, load)| (wanted * 0.5..=wanted * 1.3).contains(load))
            .min_by(|a, b| (a.2 - wanted).abs().total_cmp(&(b.2 - wanted).abs()));
        let largest = pieces.iter().max_by(|a, b| a.2.total_cmp(&b.2));
        let Some(&(idx, range, whole)) = fit.or(largest) else {
            return false;
        };
        let taken = match whole <= wanted * 1.3 {
            true => range,
            false => self.load.split(range, wanted).0,
        };
        let moved_load = self.load.of(taken);
        // A single key that outweighs the difference would only move the pressure.
        let after = (self.carried.get(&receiver.instance).copied().unwrap_or(0.0) + moved_load)
            / receiver.capacity;
        if after >= self.pressure(giver) || moved_load < wanted * 0.1 {
            return false;
        }
        if let Some(sum) = self.carried.get_mut(&giver.instance) {
            *sum -= moved_load;
        }
        let entry = self.record.entries[idx].clone();
        let moved = self.moved(&entry, taken, receiver, &|_| false);
        let part = |range| ShardEntry { range, ..entry.clone() };
        let before = (entry.range.first < taken.first)
            .then(|| part(KeyRange { first: entry.range.first, last: taken.first - 1 }));
        let behind = (taken.last < entry.range.last)
            .then(|| part(KeyRange { first: taken.last + 1, last: entry.range.last }));
        let parts = before.into_iter().chain([moved]).chain(behind);
        self.record.entries.splice(idx..=idx, parts);
        true
    }

    /// Joins neighbours of one holder: those of one token always, others when entries abound.
    pub(super) fn join_entries(&mut self, most: usize) {
        let is_crowded = self.record.entries.len() * 4 > most * 3;
        let mut joined: Vec<ShardEntry> = Vec::with_capacity(self.record.entries.len());
        for entry in std::mem::take(&mut self.record.entries) {
            match joined.last_mut() {
                Some(last)
                    if last.is_settled()
                        && entry.is_settled()
                        && last.holder.instance.is_same(&entry.holder.instance)
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

/// A key that alone outweighs a fair server.
#[derive(Debug, Clone, Copy)]
struct HeavyKey {
    key: u16,
    load: f64,
}

/// What servers should carry.
#[derive(Debug)]
struct FairLoad {
    /// Load for each unit of capacity, without heavy keys and a server for each of them.
    pressure: f64,
    heavy: Vec<HeavyKey>,
}

impl FairLoad {
    fn new(load: &KeyLoad, servers: &[&ShardServer]) -> Self {
        let mut n_servers = servers.len() as f64;
        let typical = servers.iter().map(|it| it.capacity).sum::<f64>() / n_servers;
        let mut total = load.of(KeyRange::ALL);
        let mut fair = Self { pressure: total / (typical * n_servers), heavy: Vec::new() };
        // Without the heaviest keys the fair load is smaller, so that others may be heavy too.
        for (key, weight) in load.heaviest_keys(servers.len() / 2) {
            if weight <= fair.pressure * typical {
                break;
            }
            fair.heavy.push(HeavyKey { key, load: weight });
            total -= weight;
            n_servers -= 1.0;
            fair.pressure = total / (typical * n_servers);
        }
        fair
    }
}
