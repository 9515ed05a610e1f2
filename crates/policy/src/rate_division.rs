//! Divides the requests of a service among servers of unequal speed, by what each takes well.
//!
//! Load pattern: servers of one service differ in speed by a factor of three, and the service has room to
//! spare most of the time. In proportion to their speed, all are equally busy, and the slowest answer many
//! requests late although faster ones are idle. When there is too little room, all are needed.

use std::{collections::BTreeMap, time::Duration};

use model::{MonoTime, ServerName};

/// Time in which a weight follows a lasting change by two thirds. Work times vary by chance, and each change of
/// a weight moves keys.
const SMOOTHING_TIME: Duration = Duration::from_millis(5_000);

/// Work time that nearly all requests keep to, as a multiple of the average.
const TAIL_FACTOR: f64 = 2.5;

/// Least share of the headroom of an instant answer that a server counts with, so that it gets enough
/// requests for its speed to be known.
const MIN_HEADROOM: f64 = 0.05;

/// Utilization up to which faster servers are preferred.
const PREFERRED_UTILIZATION: f64 = 0.6;

/// A server's slots and its average work time, as it is known now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerSpeed {
    /// Requests that it processes at once.
    pub slots: u32,
    /// Average seconds of work for a request.
    pub work_seconds: f64,
}

impl ServerSpeed {
    /// Requests a second that it answers with all slots in use.
    fn throughput(self) -> f64 {
        // Keeps the quotient finite.
        f64::from(self.slots.max(1)) / self.work_seconds.max(1e-4)
    }

    /// Part of the objective that is left when nearly all requests are answered.
    fn headroom(self, objective_seconds: f64) -> f64 {
        let left = 1.0 - TAIL_FACTOR * self.work_seconds / objective_seconds.max(1e-4);
        left.max(MIN_HEADROOM)
    }
}

/// Requests a second that each server should get of `total_rate`, in the order of `servers`.
///
/// Servers are used in proportion to their headroom, each up to [`PREFERRED_UTILIZATION`]. What is beyond
/// that for all of them together is divided so that all are equally busy.
pub fn divide_rate(servers: &[ServerSpeed], objective_seconds: f64, total_rate: f64) -> Vec<f64> {
    let throughput: Vec<f64> = servers.iter().map(|it| it.throughput()).collect();
    let total_throughput: f64 = throughput.iter().sum();
    if total_rate >= PREFERRED_UTILIZATION * total_throughput {
        let utilization = total_rate / total_throughput.max(1e-9);
        return throughput.iter().map(|it| it * utilization).collect();
    }
    let headroom: Vec<f64> = servers.iter().map(|it| it.headroom(objective_seconds)).collect();
    let mut is_full = vec![false; servers.len()];
    loop {
        let (mut rest, mut weight) = (total_rate, 0.0);
        for idx in 0..servers.len() {
            match is_full[idx] {
                true => rest -= PREFERRED_UTILIZATION * throughput[idx],
                false => weight += throughput[idx] * headroom[idx],
            }
        }
        // Utilization of a server for each unit of its headroom.
        let level = rest.max(0.0) / weight.max(1e-9);
        let mut has_filled = false;
        for idx in 0..servers.len() {
            if !is_full[idx] && level * headroom[idx] > PREFERRED_UTILIZATION {
                is_full[idx] = true;
                has_filled = true;
            }
        }
        if !has_filled {
            let rate = |idx: usize| match is_full[idx] {
                true => PREFERRED_UTILIZATION * throughput[idx],
                false => level * headroom[idx] * throughput[idx],
            };
            return (0..servers.len()).map(rate).collect();
        }
    }
}

/// Weights of servers that follow their rates slowly.
#[derive(Debug, Clone, Default)]
pub struct SmoothedWeights {
    weights: BTreeMap<ServerName, f64>,
    updated_at: MonoTime,
}

impl SmoothedWeights {
    /// Lets the weights follow these rates, and returns them in the same order. Only the ratio of the rates
    /// matters. A server that was not there before begins with its rate.
    pub fn follow(&mut self, rates: &[(ServerName, f64)], now: MonoTime) -> Vec<f64> {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let gain = 1.0 - (-elapsed / SMOOTHING_TIME.as_secs_f64()).exp();
        self.updated_at = now;
        let mean = rates.iter().map(|it| it.1).sum::<f64>() / rates.len().max(1) as f64;
        let known = std::mem::take(&mut self.weights);
        for (name, rate) in rates {
            let wanted = if mean > 0.0 { rate / mean } else { 1.0 };
            let old = known.get(name).copied().unwrap_or(wanted);
            self.weights.insert(name.clone(), old + (wanted - old) * gain);
        }
        rates.iter().map(|it| self.weights[&it.0]).collect()
    }
}
