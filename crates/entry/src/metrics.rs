//! Counters of the entry process.

use prometheus::{Histogram, HistogramOpts, IntCounterVec, Opts, Registry};

const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0];

/// Metrics of an entry process.
#[derive(Clone)]
pub struct EntryMetrics {
    /// All metrics of the process.
    pub registry: Registry,
    /// Requests by route and outcome.
    pub outcomes: IntCounterVec,
    /// Sends that did not bring an answer, by how they ended.
    pub sends: IntCounterVec,
    /// Seconds from a request's arrival to its final answer.
    pub latency: Histogram,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        let outcomes = Opts::new("jackdaw_requests_total", "Requests by route and outcome.");
        let sends = Opts::new("jackdaw_sends_failed_total", "Sends without an answer, by end.");
        let latency = HistogramOpts::new("jackdaw_request_seconds", "Time to the final answer.")
            .buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        // Names and labels are constants, so that none of these can fail at run time.
        let metrics = Self {
            outcomes: IntCounterVec::new(outcomes, &["route", "outcome"]).expect("valid metric"),
            sends: IntCounterVec::new(sends, &["end"]).expect("valid metric"),
            latency: Histogram::with_opts(latency).expect("valid metric"),
            registry,
        };
        let collectors: [Box<dyn prometheus::core::Collector>; 3] = [
            Box::new(metrics.outcomes.clone()),
            Box::new(metrics.sends.clone()),
            Box::new(metrics.latency.clone()),
        ];
        for collector in collectors {
            metrics.registry.register(collector).expect("metric registered once");
        }
        metrics
    }
}
