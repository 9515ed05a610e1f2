//! Metrics of the entry process.

use std::time::Duration;

use prometheus::{Gauge, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry};

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
    /// Answers of servers that changed what the server asks of its callers, by signal (`limit`,
    /// `leaving` or `pause`).
    pub backpressure_changes: IntCounterVec,
    /// Requests to servers that ask for less, by signal: those sent, and those held back.
    pub backpressure_sends: IntCounterVec,
    /// Requests of teams by team and outcome (`served`, `failed`, `refused` or `over-quota`); small teams
    /// are counted together.
    pub team_outcomes: IntCounterVec,
    /// Requests for permits out of quotas, by decision (`granted`, `denied`, `settling` or `unanswered`).
    pub quota_calls: IntCounterVec,
    /// Signs that a server may have started again, by cause.
    pub restart_signs: IntCounterVec,
    /// Questions to servers how long they stay cold, by end (`warm`, `cold` or `unanswered`).
    pub probes: IntCounterVec,
    /// Seconds from a request's arrival to its final answer.
    pub latency: Histogram,
    /// Calls for changes of the state, by source (`store` or `relay`) and end (`changes`, `complete`,
    /// `gap` or `failed`).
    pub change_calls: IntCounterVec,
    /// Version of the plan in force; 0 before the first.
    pub plan_version: IntGauge,
    /// How often the store has come back from an older copy, as it says.
    pub store_era: IntGauge,
    /// Seconds since the store last confirmed the cached state.
    pub state_age: Gauge,
}

impl EntryMetrics {
    /// Sets the gauges of the cached state.
    pub fn note_state(&self, plan_version: u64, era: u64, age: Duration) {
        self.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
        self.plan_version.set(i64::try_from(plan_version).unwrap_or(i64::MAX));
        self.state_age.set(age.as_secs_f64());
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        let outcomes = Opts::new("jackdaw_requests_total", "Requests by route and outcome.");
        let failed_sends = Opts::new(
            "jackdaw_sends_failed_total",
            "Attempts at servers that brought no usable answer, by how they ended.",
        );
        let backpressure_changes = Opts::new(
            "jackdaw_backpressure_changes_total",
            "Answers that changed what a server asks of its callers, by signal.",
        );
        let backpressure_sends = Opts::new(
            "jackdaw_backpressure_sends_total",
            "Requests sent to or held back from servers that ask for less, by signal and decision.",
        );
        let team_outcomes =
            Opts::new("jackdaw_team_requests_total", "Requests by team and outcome.");
        let quota_calls =
            Opts::new("jackdaw_quota_calls_total", "Requests for permits, by decision.");
        let restart_signs = Opts::new(
            "jackdaw_restart_signs_total",
            "Signs that a server may have started again, by cause.",
        );
        let probes = Opts::new(
            "jackdaw_probes_total",
            "Questions to servers how long they stay cold, by end.",
        );
        let latency = HistogramOpts::new(
            "jackdaw_request_seconds",
            "Seconds from a request's arrival to its final answer.",
        )
        .buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        let change_calls =
            Opts::new("jackdaw_change_calls_total", "Calls for changes, by source and end.");
        let plan_version = Opts::new("jackdaw_plan_version", "Version of the plan in force.");
        let store_era = Opts::new("jackdaw_store_era", "Era of the store's history.");
        let state_age = Opts::new(
            "jackdaw_state_age_seconds",
            "Seconds since the store last confirmed the cached state.",
        );
        // None of these can fail at run time, as names and labels are constants.
        let metrics = Self {
            outcomes: IntCounterVec::new(outcomes, &["route", "outcome"]).expect("valid metric"),
            failed_sends: IntCounterVec::new(failed_sends, &["end"]).expect("valid metric"),
            backpressure_changes: IntCounterVec::new(backpressure_changes, &["signal"])
                .expect("valid metric"),
            backpressure_sends: IntCounterVec::new(backpressure_sends, &["signal", "decision"])
                .expect("valid metric"),
            team_outcomes: IntCounterVec::new(team_outcomes, &["team", "outcome"])
                .expect("valid metric"),
            quota_calls: IntCounterVec::new(quota_calls, &["decision"]).expect("valid metric"),
            restart_signs: IntCounterVec::new(restart_signs, &["cause"]).expect("valid metric"),
            probes: IntCounterVec::new(probes, &["end"]).expect("valid metric"),
            latency: Histogram::with_opts(latency).expect("valid metric"),
            change_calls: IntCounterVec::new(change_calls, &["source", "end"])
                .expect("valid metric"),
            plan_version: IntGauge::with_opts(plan_version).expect("valid metric"),
            store_era: IntGauge::with_opts(store_era).expect("valid metric"),
            state_age: Gauge::with_opts(state_age).expect("valid metric"),
            registry,
        };
        let collectors: [Box<dyn prometheus::core::Collector>; 13] = [
            Box::new(metrics.store_era.clone()),
            Box::new(metrics.team_outcomes.clone()),
            Box::new(metrics.quota_calls.clone()),
            Box::new(metrics.restart_signs.clone()),
            Box::new(metrics.probes.clone()),
            Box::new(metrics.outcomes.clone()),
            Box::new(metrics.failed_sends.clone()),
            Box::new(metrics.backpressure_changes.clone()),
            Box::new(metrics.backpressure_sends.clone()),
            Box::new(metrics.latency.clone()),
            Box::new(metrics.change_calls.clone()),
            Box::new(metrics.plan_version.clone()),
            Box::new(metrics.state_age.clone()),
        ];
        for collector in collectors {
            metrics.registry.register(collector).expect("metric registered once");
        }
        metrics
    }
}
