//! Request load of each key as reported by routers, with exponential decay.

use std::{collections::BTreeMap, time::Duration};

use model::MonoTime;

use crate::KeyRange;

/// Time in which the weight of a reported request halves.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Weight below which a key is dropped.
const MIN_WEIGHT: f64 = 0.05;

/// Fraction of the total that is added evenly to all keys, to account for keys not seen recently.
const EVEN_SHARE: f64 = 0.25;

/// Load of a service without traffic, so that keys are balanced before traffic starts.
const IDLE_LOAD: f64 = 1.0;

/// Decayed request count of each key.
#[derive(Debug, Clone, Default)]
pub struct KeyLoad {
    weights: BTreeMap<u16, f64>,
    total: f64,
    decayed_at: MonoTime,
}

impl KeyLoad {
    /// Adds `count` requests for `key`.
    pub fn add(&mut self, key: u16, count: u32) {
        let weight = f64::from(count);
        *self.weights.entry(key).or_default() += weight;
        self.total += weight;
    }

    /// Reduces all weights by the time that has passed since the last call.
    pub fn decay(&mut self, now: MonoTime) {
        let half_lives = now.since(self.decayed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5f64.powf(half_lives);
        self.decayed_at = now;
        self.weights.retain(|_, it| {
            *it *= factor;
            *it >= MIN_WEIGHT
        });
        self.total = self.weights.values().sum();
    }

    /// Load of requests that arrive at `rate` a second for long enough.
    pub fn of_rate(rate: f64) -> f64 {
        rate * HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2
    }

    /// Requests a second for all keys, as they have been reported of late.
    pub fn rate(&self) -> f64 {
        self.total / Self::of_rate(1.0)
    }

    /// Load of each key in addition to its weight.
    fn base_load(&self) -> f64 {
        (self.total * EVEN_SHARE + IDLE_LOAD) / f64::from(KeyRange::ALL.n_keys())
    }

    /// Total load of the keys in `range`.
    pub fn in_range(&self, range: KeyRange) -> f64 {
        let weight: f64 = self.weights.range(range.first..=range.last).map(|(_, it)| it).sum();
        weight + self.base_load() * f64::from(range.n_keys())
    }

    /// The `n_keys` keys with the largest weights, in descending order.
    pub fn heaviest_keys(&self, n_keys: usize) -> Vec<(u16, f64)> {
        let mut keys: Vec<(u16, f64)> = self.weights.iter().map(|(key, it)| (*key, *it)).collect();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1));
        keys.truncate(n_keys);
        keys
    }

    /// Splits `range` after the first keys whose load reaches `wanted`; the rest is `None` if empty.
    pub fn split(&self, range: KeyRange, wanted: f64) -> (KeyRange, Option<KeyRange>) {
        let base = self.base_load();
        let mut sum = 0.0;
        let mut last = range.last;
        let mut from = u32::from(range.first);
        for (&key, weight) in self.weights.range(range.first..=range.last) {
            let n_before = u32::from(key) - from;
            if sum + base * f64::from(n_before) >= wanted {
                break;
            }
            sum += base * f64::from(n_before + 1) + weight;
            from = u32::from(key) + 1;
            if sum >= wanted {
                last = key;
                break;
            }
        }
        if sum < wanted {
            let n_more = ((wanted - sum) / base).ceil() as u32;
            let reached = from.saturating_add(n_more).saturating_sub(1);
            last = reached.clamp(u32::from(range.first), u32::from(range.last)) as u16;
        }
        let rest = (last < range.last).then(|| KeyRange { first: last + 1, last: range.last });
        (KeyRange { first: range.first, last }, rest)
    }
}
