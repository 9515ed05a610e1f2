//! Metrics of the entry process.

use prometheus::{Histogram, HistogramOpts, IntCounterVec, Opts, Registry};

const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0];

/// Metrics that the entry process exports.
#[derive(Clone)]
pub struct EntryMetrics {
    /// Registry from which the metrics are rendered.
    pub registry: Registry,
    /// Requests by route and outcome.
    pub outcomes: IntCounterVec,
    /// Attempts at servers that brought no usable answer, by how they ended.
    pub failed_sends: IntCounterVec,
    /// Seconds from a request's arrival to its final answer.
    pub latency: Histogram,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        let outcomes = Opts::new("jackdaw_requests_total", "Requests by route and outcome.");
        let failed_sends = Opts::new(
            "jackdaw_sends_failed_total",
            "Attempts at servers that brought no usable answer, by how they ended.",
        );
        let latency = HistogramOpts::new(
            "jackdaw_request_seconds",
            "Seconds from a request's arrival to its final answer.",
        )
        .buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        // None of these can fail at run time, as names and labels are constants.
        let metrics = Self {
            outcomes: IntCounterVec::new(outcomes, &["route", "outcome"]).expect("valid metric"),
            failed_sends: IntCounterVec::new(failed_sends, &["end"]).expect("valid metric"),
            latency: Histogram::with_opts(latency).expect("valid metric"),
            registry,
        };
        let collectors: [Box<dyn prometheus::core::Collector>; 3] = [
            Box::new(metrics.outcomes.clone()),
            Box::new(metrics.failed_sends.clone()),
            Box::new(metrics.latency.clone()),
        ];
        for collector in collectors {
            metrics.registry.register(collector).expect("metric registered once");
        }
        metrics
    }
}
