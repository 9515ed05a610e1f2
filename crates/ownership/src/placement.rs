//! Which server of a domain should own each of the domain's slices.

use std::collections::{BTreeMap, BTreeSet};

use model::{ServerName, ServiceName, SliceKey};

use crate::DomainMap;

/// Recent load of a slice, in requests per second.
pub type SliceLoads = BTreeMap<SliceKey, f64>;

/// Time over which loads are averaged, in seconds.
pub(crate) const LOAD_WINDOW_SECONDS: f64 = 5.0;

/// Standard deviations of a Poisson count by which two loads must differ.
const NOISE_DEVIATIONS: f64 = 3.0;

/// What placement decides on.
pub struct PlacementInput<'a> {
    /// The map in force.
    pub map: &'a DomainMap,
    /// Slices to which the domain is home.
    pub slices: &'a BTreeSet<SliceKey>,
    /// Servers that may own slices of each service.
    pub eligible: &'a BTreeMap<ServiceName, Vec<ServerName>>,
    /// Recent load of each slice; slices without a figure count as idle.
    pub loads: &'a SliceLoads,
    /// Most slices that a server which is still warming up may own.
    pub warming_caps: &'a BTreeMap<ServerName, usize>,
    /// Most slices that may move only to even out load.
    pub balance_budget: usize,
}

/// Weight of a slice that has seen no load, so that idle slices are shared out too.
const IDLE_WEIGHT: f64 = 1.0;

/// Smallest relative gain in the most loaded server for which a slice moves.
const MIN_GAIN: f64 = 0.10;

/// The owner of each slice that has an eligible server.
///
/// Owners that remain eligible keep their slices, but for at most `balance_budget` moves from the
/// most to the least loaded server.
pub fn place_slices(input: &PlacementInput<'_>) -> BTreeMap<SliceKey, ServerName> {
    let mut owners = BTreeMap::new();
    let mut budget = input.balance_budget;
    for (service, servers) in input.eligible.iter().filter(|(_, it)| !it.is_empty()) {
        let mut place = ServicePlacement::new(servers, input.warming_caps);
        let slices = input.slices.iter().filter(|it| it.service == *service);
        let accepted: BTreeSet<&ServerName> = servers.iter().collect();
        let (kept, homeless): (Vec<_>, Vec<_>) = slices
            .partition(|it| current_owner(input.map, it).is_some_and(|o| accepted.contains(o)));
        for key in kept {
            if let Some(owner) = current_owner(input.map, key) {
                place.give(key, owner, weight(input, key));
            }
        }
        for key in homeless {
            place.give_to_lightest(key, weight(input, key));
        }
        while budget > 0 && place.even_out() {
            budget -= 1;
        }
        owners.extend(place.into_owners());
    }
    owners
}

fn current_owner<'a>(map: &'a DomainMap, key: &SliceKey) -> Option<&'a ServerName> {
    map.entries.get(key).and_then(|it| it.owner.as_ref())
}

fn weight(input: &PlacementInput<'_>, key: &SliceKey) -> f64 {
    IDLE_WEIGHT + input.loads.get(key).copied().unwrap_or_default()
}

/// Whether the difference of two loads is more than chance would make of equal ones.
fn pays_beyond_noise(high: f64, low: f64) -> bool {
    high - low > NOISE_DEVIATIONS * (high / LOAD_WINDOW_SECONDS).sqrt()
}

/// Slices of one service, by owner.
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

    fn give(&mut self, key: &SliceKey, owner: &ServerName, weight: f64) {
        if let Some(held) = self.held.get_mut(owner) {
            held.push((key.clone(), weight));
        }
        if let Some(load) = self.loads.get_mut(owner) {
            *load += weight;
        }
    }

    fn give_to_lightest(&mut self, key: &SliceKey, weight: f64) {
        // A slice without an owner is worse than a server that warms up under some load.
        if let Some(server) = self.lightest(Some(self.caps)).or_else(|| self.lightest(None)) {
            self.give(key, server, weight);
        }
    }

    /// The least loaded server that may own one more slice; with `None`, any server.
    fn lightest(&self, within: Option<&BTreeMap<ServerName, usize>>) -> Option<&'a ServerName> {
        let has_room = |it: &ServerName| {
            let cap = within.and_then(|caps| caps.get(it));
            cap.is_none_or(|cap| self.held[it].len() < *cap)
        };
        let open = self.loads.iter().filter(|(it, _)| has_room(it));
        open.min_by(|a, b| a.1.total_cmp(b.1)).map(|(it, _)| *it)
    }

    fn heaviest(&self) -> Option<&'a ServerName> {
        self.loads.iter().max_by(|a, b| a.1.total_cmp(b.1)).map(|(it, _)| *it)
    }

    /// Moves one slice from the heaviest to the lightest server when that pays.
    fn even_out(&mut self) -> bool {
        let (Some(from), Some(to)) = (self.heaviest(), self.lightest(Some(self.caps))) else {
            return false;
        };
        let (high, low) = (self.loads[from], self.loads[to]);
        let worst_after = |weight: f64| (high - weight).max(low + weight);
        let best = self.held[from]
            .iter()
            .enumerate()
            .min_by(|(_, a), (_, b)| worst_after(a.1).total_cmp(&worst_after(b.1)))
            .map(|(idx, it)| (idx, it.1));
        match best {
            Some((idx, weight))
                if worst_after(weight) < high * (1.0 - MIN_GAIN)
                    && pays_beyond_noise(high, low) =>
            {
                let Some(held) = self.held.get_mut(from) else { return false };
                let (key, weight) = held.swap_remove(idx);
                *self.loads.entry(from).or_default() -= weight;
                self.give(&key, to, weight);
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
