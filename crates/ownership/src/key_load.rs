//! How much traffic each key gets, as routers report it, forgotten over a few seconds.

use std::{collections::BTreeMap, time::Duration};

use model::MonoTime;

use crate::KeyRange;

/// Time in which the weight of a report halves.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Weight below which a key is forgotten.
const FORGOTTEN_WEIGHT: f64 = 0.05;

/// Share of the load that is spread evenly over all keys, for keys not seen lately.
const EVEN_SHARE: f64 = 0.25;

/// Load that stands for an idle service, so that keys are spread before traffic starts.
const IDLE_LOAD: f64 = 1.0;

/// Decayed requests of each key.
#[derive(Debug, Clone, Default)]
pub struct KeyLoad {
    weights: BTreeMap<u16, f64>,
    total: f64,
    decayed_at: MonoTime,
}

impl KeyLoad {
    /// Takes in that `count` requests came for `key`.
    pub fn add(&mut self, key: u16, count: u32) {
        let weight = f64::from(count);
        *self.weights.entry(key).or_default() += weight;
        self.total += weight;
    }

    /// Lets older reports fade.
    pub fn decay(&mut self, now: MonoTime) {
        let half_lives = now.since(self.decayed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5f64.powf(half_lives);
        self.decayed_at = now;
        self.weights.retain(|_, it| {
            *it *= factor;
            *it >= FORGOTTEN_WEIGHT
        });
        self.total = self.weights.values().sum();
    }

    /// Load of one key that has not been seen.
    fn even_load(&self) -> f64 {
        (self.total * EVEN_SHARE + IDLE_LOAD) / f64::from(KeyRange::ALL.n_keys())
    }

    /// Load of a range.
    pub fn of(&self, range: KeyRange) -> f64 {
        let seen: f64 = self.weights.range(range.first..=range.last).map(|(_, it)| it).sum();
        seen + self.even_load() * f64::from(range.n_keys())
    }

    /// The `most` keys with the largest loads, in falling order.
    pub fn heaviest_keys(&self, most: usize) -> Vec<(u16, f64)> {
        let mut keys: Vec<(u16, f64)> = self.weights.iter().map(|(key, it)| (*key, *it)).collect();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1));
        keys.truncate(most);
        keys
    }

    /// Splits `range` after the first keys whose load reaches `wanted`.
    pub fn split(&self, range: KeyRange, wanted: f64) -> (KeyRange, Option<KeyRange>) {
        let even = self.even_load();
        let mut sum = 0.0;
        let mut last = range.last;
        let mut from = u32::from(range.first);
        for (&key, weight) in self.weights.range(range.first..=range.last) {
            let n_before = u32::from(key) - from;
            if sum + even * f64::from(n_before) >= wanted {
                break;
            }
            sum += even * f64::from(n_before + 1) + weight;
            from = u32::from(key) + 1;
            if sum >= wanted {
                last = key;
                break;
            }
        }
        if sum < wanted {
            let n_more = ((wanted - sum) / even).ceil() as u32;
            let reached = from.saturating_add(n_more).saturating_sub(1);
            last = reached.clamp(u32::from(range.first), u32::from(range.last)) as u16;
        }
        let rest = (last < range.last).then(|| KeyRange { first: last + 1, last: range.last });
        (KeyRange { first: range.first, last }, rest)
    }
}
