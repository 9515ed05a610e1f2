//! What a trial measured.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// What callers and servers recorded.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallerTotals {
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) unreached: u64,
    pub(crate) duplicates: u64,
    pub(crate) false_not_run: u64,
    pub(crate) two_owners: u64,
    pub(crate) crossed: u64,
    pub(crate) cut_accepted: u64,
    pub(crate) cold_overload: u64,
    pub(crate) moves: u64,
    pub(crate) arrived: u64,
    pub(crate) served: BTreeMap<String, u64>,
    pub(crate) reasons: BTreeMap<String, u64>,
    pub(crate) max_unavailable_ms: u64,
    pub(crate) latencies_us: Vec<u64>,
}

/// What was seen of the nodes from outside.
#[derive(Debug, Clone, Default)]
pub(crate) struct NodeTotals {
    pub(crate) sheet_in_force_ms: u64,
    pub(crate) sheet_reverts: u64,
    pub(crate) new_work_after_drain_ms: u64,
    pub(crate) new_work_after_domain_out_ms: u64,
    pub(crate) store_calls_per_s: f64,
    pub(crate) control_bytes_per_node_s: f64,
    pub(crate) bad_exits: u64,
}

/// One trial's figures.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct TrialReport {
    scenario: String,
    seed: u64,
    policy: String,
    requests: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    unreached: u64,
    duplicates: u64,
    false_not_run: u64,
    two_owners: u64,
    crossed: u64,
    cut_accepted: u64,
    new_work_after_drain_ms: u64,
    new_work_after_domain_out_ms: u64,
    max_unavailable_ms: u64,
    sheet_in_force_ms: u64,
    sheet_reverts: u64,
    cold_overload: u64,
    imbalance: f64,
    churn: u64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    served_share: f64,
    /// Requests that reached servers for each one that reached routers.
    sent_ratio: f64,
    store_calls_per_s: f64,
    control_bytes_per_node_s: f64,
    bad_exits: u64,
    reasons: BTreeMap<String, u64>,
}

impl TrialReport {
    pub(crate) fn new(
        scenario: &str,
        policy: String,
        seed: u64,
        callers: CallerTotals,
        nodes: NodeTotals,
        imbalance: f64,
    ) -> Self {
        let mut latencies =
            Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds are constants");
        for latency in &callers.latencies_us {
            latencies.saturating_record(*latency);
        }
        let quantile = |q: f64| latencies.value_at_quantile(q) as f64 / 1_000.0;
        Self {
            scenario: scenario.to_owned(),
            seed,
            policy,
            requests: callers.requests,
            answered: callers.answered,
            not_run: callers.not_run,
            unknown: callers.unknown,
            unreached: callers.unreached,
            duplicates: callers.duplicates,
            false_not_run: callers.false_not_run,
            two_owners: callers.two_owners,
            crossed: callers.crossed,
            cut_accepted: callers.cut_accepted,
            new_work_after_drain_ms: nodes.new_work_after_drain_ms,
            new_work_after_domain_out_ms: nodes.new_work_after_domain_out_ms,
            max_unavailable_ms: callers.max_unavailable_ms,
            sheet_in_force_ms: nodes.sheet_in_force_ms,
            sheet_reverts: nodes.sheet_reverts,
            cold_overload: callers.cold_overload,
            imbalance,
            churn: callers.moves,
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            served_share: callers.answered as f64 / callers.requests.max(1) as f64,
            sent_ratio: callers.arrived as f64 / callers.requests.max(1) as f64,
            store_calls_per_s: nodes.store_calls_per_s,
            control_bytes_per_node_s: nodes.control_bytes_per_node_s,
            bad_exits: nodes.bad_exits,
            reasons: callers.reasons,
        }
    }

    pub(crate) fn served_share(&self) -> f64 {
        self.served_share
    }

    pub(crate) fn p50_ms(&self) -> f64 {
        self.p50_ms
    }

    pub(crate) fn p99_ms(&self) -> f64 {
        self.p99_ms
    }

    pub(crate) fn p999_ms(&self) -> f64 {
        self.p999_ms
    }

    pub(crate) fn max_unavailable_ms(&self) -> f64 {
        self.max_unavailable_ms as f64
    }

    pub(crate) fn imbalance(&self) -> f64 {
        self.imbalance
    }

    pub(crate) fn churn(&self) -> f64 {
        self.churn as f64
    }

    pub(crate) fn sent_ratio(&self) -> f64 {
        self.sent_ratio
    }

    /// Whether every promise that must never break was kept.
    pub(crate) fn keeps_promises(&self) -> bool {
        let broken = self.duplicates
            + self.false_not_run
            + self.two_owners
            + self.crossed
            + self.cut_accepted
            + self.sheet_reverts
            + self.cold_overload;
        broken == 0 && self.answered > 0
    }
}

/// Prints the reports side by side.
pub(crate) fn print_table(reports: &[TrialReport]) {
    let rows: Vec<Vec<(String, String)>> = reports.iter().map(rows).collect();
    let Some(first) = rows.first() else { return };
    for idx in 0..first.len() {
        let values: Vec<&str> = rows.iter().map(|it| it[idx].1.as_str()).collect();
        println!(
            "{:<30} {}",
            first[idx].0,
            values.iter().map(|it| format!("{it:>16}")).collect::<String>()
        );
    }
    for report in reports {
        for (reason, count) in &report.reasons {
            println!("{}: {count} x {reason}", report.scenario);
        }
        let verdict = if report.keeps_promises() { "kept" } else { "BROKEN" };
        println!("{}: promises {verdict}", report.scenario);
    }
}

fn rows(it: &TrialReport) -> Vec<(String, String)> {
    let row = |name: &str, value: String| (name.to_owned(), value);
    vec![
        row("scenario", it.scenario.clone()),
        row("requests", it.requests.to_string()),
        row("answered", it.answered.to_string()),
        row("not run", it.not_run.to_string()),
        row("unknown", it.unknown.to_string()),
        row("unreached", it.unreached.to_string()),
        row("served share", format!("{:.5}", it.served_share)),
        row("p50 ms", format!("{:.2}", it.p50_ms)),
        row("p99 ms", format!("{:.2}", it.p99_ms)),
        row("p99.9 ms", format!("{:.2}", it.p999_ms)),
        row("longest unavailable ms", it.max_unavailable_ms.to_string()),
        row("imbalance (max/mean)", format!("{:.2}", it.imbalance)),
        row("slices moved", it.churn.to_string()),
        row("duplicates", it.duplicates.to_string()),
        row("false not-run", it.false_not_run.to_string()),
        row("two owners", it.two_owners.to_string()),
        row("crossed", it.crossed.to_string()),
        row("cut answers accepted", it.cut_accepted.to_string()),
        row("cold overload", it.cold_overload.to_string()),
        row("sheet in force ms", it.sheet_in_force_ms.to_string()),
        row("sheet reverts", it.sheet_reverts.to_string()),
        row("new work after drain ms", it.new_work_after_drain_ms.to_string()),
        row("new work after out ms", it.new_work_after_domain_out_ms.to_string()),
        row("store calls/s", format!("{:.1}", it.store_calls_per_s)),
        row("control bytes/node/s", format!("{:.0}", it.control_bytes_per_node_s)),
        row("bad exits", it.bad_exits.to_string()),
    ]
}

/// Prints the heading for [`print_line`].
pub(crate) fn print_line_heading() {
    println!(
        "{:<52} {:>7} {:>7} {:>6} {:>6} {:>7} {:>7} {:>7} {:>5} verdict",
        "scenario", "share", "p99", "notrun", "unkn", "unavail", "drain", "sheet", "moves"
    );
}

/// Prints one report as one line.
pub(crate) fn print_line(it: &TrialReport) {
    let late = it.new_work_after_drain_ms.max(it.new_work_after_domain_out_ms);
    let verdict = match it.keeps_promises() {
        true => "kept".to_owned(),
        false => format!(
            "BROKEN dup={} false={} owners={} crossed={} cut={} reverts={} cold={}",
            it.duplicates,
            it.false_not_run,
            it.two_owners,
            it.crossed,
            it.cut_accepted,
            it.sheet_reverts,
            it.cold_overload
        ),
    };
    println!(
        "{:<52} {:>7.4} {:>7.1} {:>6} {:>6} {:>7} {:>7} {:>7} {:>5} {verdict} {:?}",
        it.scenario,
        it.served_share,
        it.p99_ms,
        it.not_run,
        it.unknown,
        it.max_unavailable_ms,
        late,
        it.sheet_in_force_ms,
        it.churn,
        it.reasons
    );
}
