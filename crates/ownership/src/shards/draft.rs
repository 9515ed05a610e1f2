//! Working copy of a shard record: reassigns the keys of servers that should not serve them, and
//! relieves overloaded ones.

use std::collections::BTreeMap;

use crate::KeyLoad;

use super::{
    KeyRange, ServerInstance, ServerPhase, ShardEntry, ShardHolder, ShardLimits, ShardRecord,
    ShardServer,
};

/// Load of each piece into which reassigned keys are cut, as a fraction of the mean load of a
/// target.
const PIECE_SHARE: f64 = 0.34;

/// Working copy of a record, with the load assigned to each target.
pub(super) struct ShardDraft<'a> {
    record: ShardRecord,
    /// Servers that may receive keys; never empty.
    targets: &'a [&'a ShardServer],
    load: &'a KeyLoad,
    assigned_load: BTreeMap<ServerInstance, f64>,
    total_load: f64,
}

impl<'a> ShardDraft<'a> {
    pub(super) fn new(
        record: &ShardRecord,
        targets: &'a [&'a ShardServer],
        load: &'a KeyLoad,
    ) -> Self {
        let mut assigned_load: BTreeMap<ServerInstance, f64> =
            targets.iter().map(|it| (it.instance.clone(), 0.0)).collect();
        for entry in &record.entries {
            if let Some(sum) = assigned_load.get_mut(&entry.holder.instance) {
                *sum += load.in_range(entry.range);
            }
        }
        Self {
            record: record.clone(),
            targets,
            load,
            assigned_load,
            total_load: load.in_range(KeyRange::ALL),
        }
    }

    /// The record with all changes applied.
    pub(super) fn into_record(self) -> ShardRecord {
        self.record
    }

    /// Load per unit of capacity.
    fn utilization(&self, server: &ShardServer) -> f64 {
        self.assigned_load.get(&server.instance).copied().unwrap_or(0.0) / server.capacity
    }

    /// The least utilized target, among those without a limit if there are any: what a limited one
    /// may take is often less than the smallest piece.
    fn least_loaded(&self) -> &'a ShardServer {
        let by_utilization = |a: &&&ShardServer, b: &&&ShardServer| {
            self.utilization(a).total_cmp(&self.utilization(b))
        };
        let unlimited = self.targets.iter().filter(|it| it.max_load.is_none());
        unlimited
            .min_by(by_utilization)
            .or_else(|| self.targets.iter().min_by(by_utilization))
            .copied()
            .unwrap_or(self.targets[0])
    }

    /// Reassigns the keys of holders that are not listed in `servers`, leaving or dead, and the
    /// settled entries of cold holders while there are warm targets.
    pub(super) fn reassign_unserved(
        &mut self,
        servers: &[ShardServer],
        is_dead: &dyn Fn(&ServerInstance) -> bool,
    ) {
        let is_staying = |instance: &ServerInstance| {
            servers
                .iter()
                .any(|it| it.instance.is_same(instance) && it.phase != ServerPhase::Leaving)
        };
        let are_all_targets_cold = self.targets.iter().all(|it| it.phase == ServerPhase::Cold);
        let is_cold = |instance: &ServerInstance| {
            let cold = |it: &ShardServer| it.phase == ServerPhase::Cold;
            servers.iter().any(|it| it.instance.is_same(instance) && cold(it))
        };
        let piece_load = self.total_load / self.targets.len() as f64 * PIECE_SHARE;
        let entries = std::mem::take(&mut self.record.entries);
        for entry in entries {
            let instance = &entry.holder.instance;
            let is_holder_kept = is_staying(instance)
                && (are_all_targets_cold || !is_cold(instance) || !entry.is_settled());
            if is_holder_kept && !is_dead(instance) {
                self.record.entries.push(entry);
                continue;
            }
            let mut remaining = Some(entry.range);
            while let Some(range) = remaining {
                let (taken, rest) = self.load.split(range, piece_load);
                remaining = rest;
                let target = self.least_loaded();
                let moved = self.reassign(&entry, taken, target, is_dead);
                self.record.entries.push(moved);
            }
        }
    }

    /// Returns the part `range` of `entry`, assigned to `target`, and adds its load to that target.
    fn reassign(
        &mut self,
        entry: &ShardEntry,
        range: KeyRange,
        target: &ShardServer,
        is_dead: &dyn Fn(&ServerInstance) -> bool,
    ) -> ShardEntry {
        // Skips one token, which is used to fence off unanswered grants of the previous holder.
        let token = self.record.next_token + 1;
        self.record.next_token += 2;
        *self.assigned_load.entry(target.instance.clone()).or_default() +=
            self.load.in_range(range);
        let mut previous_holders = entry.leaving.clone();
        previous_holders.push(entry.holder.clone());
        previous_holders
            .retain(|it| !it.instance.is_same(&target.instance) && !is_dead(&it.instance));
        let holder = ShardHolder { instance: target.instance.clone(), token };
        ShardEntry { range, holder, leaving: previous_holders }
    }

    /// Moves keys from overloaded targets to the least loaded ones.
    ///
    /// Keys are indivisible. A server that holds a key above the fair load keeps that key and gives
    /// away its others; both are left out of the other servers' fair load.
    pub(super) fn balance(&mut self, limits: ShardLimits) {
        let max_entries = limits.max_entries * self.targets.len();
        let max_moves = (limits.max_moves * self.targets.len() as f64).ceil() as usize;
        let fair = FairLoad::new(self.load, self.targets);
        // Sources without a suitable piece.
        let mut exhausted: Vec<&ServerInstance> = Vec::new();
        let mut n_moved = 0;
        // A move splits an entry into up to three, which adds two.
        while n_moved < max_moves && self.record.entries.len() + 2 <= max_entries {
            let pinned = self.pinned_keys(&fair);
            let excess = |it: &ShardServer| self.excess(it, &pinned, &fair);
            let sources = self.targets.iter().copied().filter(|it| {
                let min_excess = limits.tolerance * fair.utilization * it.capacity;
                it.is_fully_acked && !exhausted.contains(&&it.instance) && excess(it) > min_excess
            });
            let by_excess = |a: &&ShardServer, b: &&ShardServer| {
                (excess(a) / a.capacity).total_cmp(&(excess(b) / b.capacity))
            };
            let Some(source) = sources.max_by(by_excess) else {
                return;
            };
            let target = self.least_loaded();
            let headroom = (fair.utilization - self.utilization(target)) * target.capacity;
            let wanted = excess(source).min(headroom);
            if wanted <= 0.0 {
                return;
            }
            let pinned_key = pinned.get(&source.instance).map(|it| it.key);
            match self.move_piece(source, target, wanted, pinned_key) {
                true => n_moved += 1,
                false => exhausted.push(&source.instance),
            }
        }
    }

    /// For each holder of heavy keys, the heaviest of them, which it keeps unless the key alone is more
    /// than it takes.
    fn pinned_keys(&self, fair: &FairLoad) -> BTreeMap<ServerInstance, HeavyKey> {
        let mut pinned: BTreeMap<ServerInstance, HeavyKey> = BTreeMap::new();
        for heavy in &fair.heavy_keys {
            let Some(entry) = self.record.entry(heavy.key) else {
                continue;
            };
            let holder = self.targets.iter().find(|it| it.instance.is_same(&entry.holder.instance));
            if holder.and_then(|it| it.max_load).is_some_and(|it| it < heavy.load) {
                continue;
            }
            let heaviest = pinned.entry(entry.holder.instance.clone()).or_insert(*heavy);
            if heaviest.load < heavy.load {
                *heaviest = *heavy;
            }
        }
        pinned
    }

    /// Load that `server` should give away; negative if it may take more.
    fn excess(
        &self,
        server: &ShardServer,
        pinned: &BTreeMap<ServerInstance, HeavyKey>,
        fair: &FairLoad,
    ) -> f64 {
        let assigned_load = self.assigned_load.get(&server.instance).copied().unwrap_or(0.0);
        match pinned.get(&server.instance) {
            Some(heavy) => assigned_load - heavy.load,
            None => assigned_load - fair.utilization * server.capacity,
        }
    }

    /// Moves about `wanted` of the load of `source`, but never `pinned_key`. Returns whether
    /// anything was moved.
    ///
    /// The range with 50% to 130% of the wanted load that comes closest to it is moved whole;
    /// otherwise the heaviest range is split if it has more. Less than a tenth is not moved.
    fn move_piece(
        &mut self,
        source: &ShardServer,
        target: &ShardServer,
        wanted: f64,
        pinned_key: Option<u16>,
    ) -> bool {
        let entries = self.record.entries.iter().enumerate();
        let entries = entries
            .filter(|(_, it)| it.is_settled() && it.holder.instance.is_same(&source.instance));
        let pieces: Vec<(usize, KeyRange, f64)> = entries
            .flat_map(|(idx, it)| it.range.excluding(pinned_key).map(move |range| (idx, range)))
            .map(|(idx, range)| (idx, range, self.load.in_range(range)))
            .collect();
        let fit = pieces
            .iter()
            .filter(|(_, _, load)| (wanted * 0.5..=wanted * 1.3).contains(load))
            .min_by(|a, b| (a.2 - wanted).abs().total_cmp(&(b.2 - wanted).abs()));
        let largest = pieces.iter().max_by(|a, b| a.2.total_cmp(&b.2));
        let Some(&(idx, range, range_load)) = fit.or(largest) else {
            return false;
        };
        let taken = match range_load <= wanted * 1.3 {
            true => range,
            false => self.load.split(range, wanted).0,
        };
        let moved_load = self.load.in_range(taken);
        // A move that leaves the target as utilized as the source is now would only shift the
        // overload.
        let utilization_after = (self.assigned_load.get(&target.instance).copied().unwrap_or(0.0)
            + moved_load)
            / target.capacity;
        if utilization_after >= self.utilization(source) || moved_load < wanted * 0.1 {
            return false;
        }
        if let Some(sum) = self.assigned_load.get_mut(&source.instance) {
            *sum -= moved_load;
        }
        let entry = self.record.entries[idx].clone();
        let moved = self.reassign(&entry, taken, target, &|_| false);
        let part = |range| ShardEntry { range, ..entry.clone() };
        let before = (entry.range.first < taken.first)
            .then(|| part(KeyRange { first: entry.range.first, last: taken.first - 1 }));
        let after = (taken.last < entry.range.last)
            .then(|| part(KeyRange { first: taken.last + 1, last: entry.range.last }));
        let parts = before.into_iter().chain([moved]).chain(after);
        self.record.entries.splice(idx..=idx, parts);
        true
    }

    /// Merges adjacent settled entries of one holder: always if they have the same token, otherwise
    /// only once more than three quarters of `max_entries`, the limit for the whole record, are in
    /// use. Entries with different tokens get a new one.
    pub(super) fn merge_entries(&mut self, max_entries: usize) {
        let is_near_limit = self.record.entries.len() * 4 > max_entries * 3;
        let mut merged: Vec<ShardEntry> = Vec::with_capacity(self.record.entries.len());
        for entry in std::mem::take(&mut self.record.entries) {
            match merged.last_mut() {
                Some(last)
                    if last.is_settled()
                        && entry.is_settled()
                        && last.holder.instance.is_same(&entry.holder.instance)
                        && (is_near_limit || last.holder.token == entry.holder.token) =>
                {
                    last.range.last = entry.range.last;
                    if last.holder.token != entry.holder.token {
                        last.holder.token = self.record.next_token;
                        self.record.next_token += 1;
                    }
                }
                _ => merged.push(entry),
            }
        }
        self.record.entries = merged;
    }
}

/// A key whose load alone exceeds the fair load of a server.
#[derive(Debug, Clone, Copy)]
struct HeavyKey {
    key: u16,
    /// Its weight, without the base load that every key has.
    load: f64,
}

/// The load that each server should have.
#[derive(Debug)]
struct FairLoad {
    /// Load per unit of capacity, without the heavy keys and one server for each of them.
    utilization: f64,
    heavy_keys: Vec<HeavyKey>,
}

impl FairLoad {
    fn new(load: &KeyLoad, servers: &[&ShardServer]) -> Self {
        let mut n_servers = servers.len() as f64;
        let mean_capacity = servers.iter().map(|it| it.capacity).sum::<f64>() / n_servers;
        let mut total = load.in_range(KeyRange::ALL);
        let mut fair =
            Self { utilization: total / (mean_capacity * n_servers), heavy_keys: Vec::new() };
        // Each heavy key that is left out lowers the fair load, which may make the next one heavy.
        // At most half of the servers are left out.
        for (key, weight) in load.heaviest_keys(servers.len() / 2) {
            if weight <= fair.utilization * mean_capacity {
                break;
            }
            fair.heavy_keys.push(HeavyKey { key, load: weight });
            total -= weight;
            n_servers -= 1.0;
            fair.utilization = total / (mean_capacity * n_servers);
        }
        fair
    }
}
