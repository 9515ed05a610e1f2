//! Prometheus metrics of the processes.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.001, 0.002, 0.004, 0.008, 0.013, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// Metrics of a router.
#[derive(Clone)]
pub struct RouterMetrics {
    /// Registry that contains all metrics of the process.
    pub registry: Registry,
    /// Callers' requests, by outcome; without those that are rejected on arrival because the router
    /// is overloaded or leaving.
    pub outcomes: IntCounterVec,
    /// Requests sent to backend servers, by cause: `first`, `replacement` (in place of a send that
    /// certainly did not run or went to a former owner) or `again` (a retry or a hedge).
    pub sends: IntCounterVec,
    /// Seconds from the complete arrival of a caller's request to its outcome, answered or not.
    pub latency: Histogram,
    /// Callers' requests in flight, as of the latest arrival.
    pub in_flight: IntGauge,
    /// Revision of the sheet in force.
    pub sheet_revision: IntGauge,
    /// Connection pools of servers replaced because a request got no answer in time.
    pub pool_replacements: IntCounter,
    /// Bytes exchanged with peers over connections that the router opened: control traffic, and the
    /// requests that it forwards.
    pub control_bytes: IntCounter,
}

impl Default for RouterMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        let latency = HistogramOpts::new(
            "jackdaw_request_seconds",
            "Seconds from the complete arrival of a request to its outcome.",
        )
        .buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        let metrics = Self {
            outcomes: counters("jackdaw_requests_total", "Requests, by outcome.", "outcome"),
            sends: counters(
                "jackdaw_sends_total",
                "Requests sent to backend servers, by cause.",
                "cause",
            ),
            latency: Histogram::with_opts(latency).expect("valid metric"),
            in_flight: gauge("jackdaw_in_flight", "Requests in flight."),
            sheet_revision: gauge("jackdaw_sheet_revision", "Revision of the sheet in force."),
            pool_replacements: counter(
                "jackdaw_pool_replacements_total",
                "Connection pools of servers replaced because a request got no answer in time.",
            ),
            control_bytes: counter(
                "jackdaw_control_bytes_total",
                "Bytes of control traffic sent and received.",
            ),
            registry,
        };
        register(&metrics.registry, Box::new(metrics.outcomes.clone()));
        register(&metrics.registry, Box::new(metrics.sends.clone()));
        register(&metrics.registry, Box::new(metrics.latency.clone()));
        register(&metrics.registry, Box::new(metrics.in_flight.clone()));
        register(&metrics.registry, Box::new(metrics.sheet_revision.clone()));
        register(&metrics.registry, Box::new(metrics.pool_replacements.clone()));
        register(&metrics.registry, Box::new(metrics.control_bytes.clone()));
        metrics
    }
}

/// Metrics of a planner.
#[derive(Clone)]
pub struct PlannerMetrics {
    /// Registry that contains all metrics of the process.
    pub registry: Registry,
    /// Calls to the platform's store, by kind.
    pub store_calls: IntCounterVec,
    /// 1 if this planner is the acting one of its domain, else 0.
    pub is_acting: IntGauge,
    /// Revision of the sheet in force.
    pub sheet_revision: IntGauge,
    /// Bytes of control traffic sent to and received from peers.
    pub control_bytes: IntCounter,
}

impl Default for PlannerMetrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Registry::new(),
            store_calls: counters(
                "jackdaw_store_calls_total",
                "Calls to the platform's store, by kind.",
                "kind",
            ),
            is_acting: gauge(
                "jackdaw_planner_acting",
                "1 if this planner is the acting one of its domain, else 0.",
            ),
            sheet_revision: gauge("jackdaw_sheet_revision", "Revision of the sheet in force."),
            control_bytes: counter(
                "jackdaw_control_bytes_total",
                "Bytes of control traffic sent and received.",
            ),
        };
        register(&metrics.registry, Box::new(metrics.store_calls.clone()));
        register(&metrics.registry, Box::new(metrics.is_acting.clone()));
        register(&metrics.registry, Box::new(metrics.sheet_revision.clone()));
        register(&metrics.registry, Box::new(metrics.control_bytes.clone()));
        metrics
    }
}

/// Renders the metrics of a registry in the Prometheus text format.
pub fn render(registry: &Registry) -> String {
    let mut text = Vec::new();
    let res = TextEncoder::new().encode(&registry.gather(), &mut text);
    match res {
        Ok(()) => String::from_utf8_lossy(&text).into_owned(),
        Err(err) => format!("# encoding failed: {err}\n"),
    }
}

// All names and labels are constants, so the `expect`s below cannot fail at run time.

fn counters(name: &str, help: &str, label: &str) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), &[label]).expect("valid metric")
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("valid metric")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("valid metric")
}

fn register(registry: &Registry, collector: Box<dyn prometheus::core::Collector>) {
    registry.register(collector).expect("metric registered once");
}
