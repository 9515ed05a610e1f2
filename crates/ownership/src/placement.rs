//! Assignment of a domain's slices to its servers.

use std::collections::{BTreeMap, BTreeSet};

use model::{ServerName, ServiceName, SliceKey};

use crate::DomainMap;

/// Recent load of each slice, in requests per second.
pub type SliceLoads = BTreeMap<SliceKey, f64>;

/// Length of the window over which loads are averaged, in seconds.
pub(crate) const LOAD_WINDOW_SECONDS: f64 = 5.0;

/// Smallest significant difference of two loads, in standard deviations of a Poisson count.
const MIN_DEVIATIONS: f64 = 3.0;

/// State on which the placement of a domain's slices depends.
pub struct PlacementInput<'a> {
    /// The map in force.
    pub map: &'a DomainMap,
    /// Slices whose home is the domain.
    pub slices: &'a BTreeSet<SliceKey>,
    /// Servers that may own slices, by service.
    pub eligible: &'a BTreeMap<ServiceName, Vec<ServerName>>,
    /// Recent load of each slice; a slice without an entry counts as idle.
    pub loads: &'a SliceLoads,
    /// Maximum number of slices of each server that is still warming up.
    pub warming_caps: &'a BTreeMap<ServerName, usize>,
    /// Maximum number of slices that may move only to balance load.
    pub balance_budget: usize,
}

/// Weight of a slice in addition to its load, so that idle slices are distributed as well.
const BASE_WEIGHT: f64 = 1.0;

/// Smallest relative reduction of the highest server load for which a slice moves.
const MIN_GAIN: f64 = 0.10;

/// Chooses an owner for each slice that has an eligible server.
///
/// Owners that are still eligible keep their slices, except for at most `balance_budget` moves from
/// the most to the least loaded server.
pub fn place_slices(input: &PlacementInput<'_>) -> BTreeMap<SliceKey, ServerName> {
    let mut owners = BTreeMap::new();
    let mut budget = input.balance_budget;
    for (service, servers) in input.eligible.iter().filter(|(_, it)| !it.is_empty()) {
        let mut placement = ServicePlacement::new(servers, input.warming_caps);
        let slices = input.slices.iter().filter(|it| it.service == *service);
        let eligible: BTreeSet<&ServerName> = servers.iter().collect();
        let (kept, unowned): (Vec<_>, Vec<_>) = slices
            .partition(|it| current_owner(input.map, it).is_some_and(|o| eligible.contains(o)));
        for key in kept {
            if let Some(owner) = current_owner(input.map, key) {
                placement.assign(key, owner, weight(input, key));
            }
        }
        for key in unowned {
            placement.assign_to_least_loaded(key, weight(input, key));
        }
        while budget > 0 && placement.balance_once() {
            budget -= 1;
        }
        owners.extend(placement.into_owners());
    }
    owners
}

fn current_owner<'a>(map: &'a DomainMap, key: &SliceKey) -> Option<&'a ServerName> {
    map.entries.get(key).and_then(|it| it.owner.as_ref())
}

fn weight(input: &PlacementInput<'_>, key: &SliceKey) -> f64 {
    BASE_WEIGHT + input.loads.get(key).copied().unwrap_or_default()
}

/// Whether the difference of two loads exceeds the random variation of equal loads.
fn exceeds_noise(high: f64, low: f64) -> bool {
    high - low > MIN_DEVIATIONS * (high / LOAD_WINDOW_SECONDS).sqrt()
}

/// Slices of one service by owner, with their weights.
struct ServicePlacement<'a> {
    held: BTreeMap<&'a ServerName, Vec<(SliceKey, f64)>>,
    loads: BTreeMap<&'a ServerName, f64>,
    caps: &'a BTreeMap<ServerName, usize>,
}

impl<'a> ServicePlacement<'a> {
    fn new(servers: &'a [ServerName], caps: &'a BTreeMap<ServerName, usize>) -> Self {
        Self {
            caps,
            held: servers.iter().map(|it| (it, Vec::new())).collect(),
            loads: servers.iter().map(|it| (it, 0.0)).collect(),
        }
    }

    fn assign(&mut self, key: &SliceKey, owner: &ServerName, weight: f64) {
        if let Some(held) = self.held.get_mut(owner) {
            held.push((key.clone(), weight));
        }
        if let Some(load) = self.loads.get_mut(owner) {
            *load += weight;
        }
    }

    fn assign_to_least_loaded(&mut self, key: &SliceKey, weight: f64) {
        // An unowned slice is worse than a warming server that exceeds its cap.
        if let Some(server) = self.least_loaded(Some(self.caps)).or_else(|| self.least_loaded(None))
        {
            self.assign(key, server, weight);
        }
    }

    /// The least loaded server that may own one more slice under `caps`, or of all servers for `None`.
    fn least_loaded(&self, caps: Option<&BTreeMap<ServerName, usize>>) -> Option<&'a ServerName> {
        let has_room = |it: &ServerName| {
            let cap = caps.and_then(|caps| caps.get(it));
            cap.is_none_or(|cap| self.held[it].len() < *cap)
        };
        let candidates = self.loads.iter().filter(|(it, _)| has_room(it));
        candidates.min_by(|a, b| a.1.total_cmp(b.1)).map(|(it, _)| *it)
    }

    fn most_loaded(&self) -> Option<&'a ServerName> {
        self.loads.iter().max_by(|a, b| a.1.total_cmp(b.1)).map(|(it, _)| *it)
    }

    /// Moves one slice from the most to the least loaded server if the gain is large enough. Returns
    /// whether a slice was moved.
    fn balance_once(&mut self) -> bool {
        let (Some(from), Some(to)) = (self.most_loaded(), self.least_loaded(Some(self.caps)))
        else {
            return false;
        };
        let (high, low) = (self.loads[from], self.loads[to]);
        let max_after = |weight: f64| (high - weight).max(low + weight);
        let best = self.held[from]
            .iter()
            .enumerate()
            .min_by(|(_, a), (_, b)| max_after(a.1).total_cmp(&max_after(b.1)))
            .map(|(idx, it)| (idx, it.1));
        match best {
            Some((idx, weight))
                if max_after(weight) < high * (1.0 - MIN_GAIN) && exceeds_noise(high, low) =>
            {
                let Some(held) = self.held.get_mut(from) else { return false };
                let (key, weight) = held.swap_remove(idx);
                *self.loads.entry(from).or_default() -= weight;
                self.assign(&key, to, weight);
                true
            }
            _ => false,
        }
    }

    fn into_owners(self) -> impl Iterator<Item = (SliceKey, ServerName)> {
        self.held.into_iter().flat_map(|(owner, slices)| {
            slices.into_iter().map(move |(key, _)| (key, owner.clone()))
        })
    }
}
