//! The figures of a trial and how they are printed.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Figures that callers and stand-ins recorded.
#[derive(Debug, Clone, Default)]
pub(crate) struct CallTotals {
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) unreached: u64,
    /// Requests that are not idempotent and ran more than once.
    pub(crate) duplicates: u64,
    /// Requests that ran although their answer said that they had not.
    pub(crate) false_not_run: u64,
    pub(crate) two_owners: u64,
    pub(crate) crossed: u64,
    pub(crate) cut_accepted: u64,
    pub(crate) cold_overload: u64,
    pub(crate) moves: u64,
    /// Requests that reached backend servers.
    pub(crate) n_arrived: u64,
    /// Requests that each server completed.
    pub(crate) served: BTreeMap<String, u64>,
    /// How often each reason kept a request from being answered.
    pub(crate) reasons: BTreeMap<String, u64>,
    pub(crate) max_unavailable_ms: u64,
    pub(crate) latencies_us: Vec<u64>,
}

/// Figures of the routers and planners, taken from outside.
#[derive(Debug, Clone, Default)]
pub(crate) struct NodeTotals {
    /// Longest time until every router had a newly applied sheet.
    pub(crate) sheet_in_force_ms: u64,
    /// How often a router went back to an older sheet.
    pub(crate) sheet_reverts: u64,
    /// Longest time from taking a server out until it received its last request.
    pub(crate) new_work_after_drain_ms: u64,
    /// Longest time from taking a failure domain out until its servers received the last request.
    pub(crate) new_work_after_domain_out_ms: u64,
    pub(crate) store_calls_per_s: f64,
    pub(crate) control_bytes_per_node_s: f64,
    /// Nodes that did not exit on their own with status 0.
    pub(crate) bad_exits: u64,
}

/// Figures of one trial. The field names are the keys of the JSON report; the fields from
/// `duplicates` to `cut_accepted`, `sheet_reverts` and `cold_overload` count violations.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct TrialReport {
    scenario: String,
    seed: u64,
    policy: String,
    requests: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    /// Requests for which no router could be reached.
    unreached: u64,
    duplicates: u64,
    false_not_run: u64,
    /// Commits and grants that two servers had for a key or slice at the same time.
    two_owners: u64,
    /// Answers that a caller received to another request than its own.
    crossed: u64,
    /// Truncated answers that a caller received as whole ones.
    cut_accepted: u64,
    new_work_after_drain_ms: u64,
    new_work_after_domain_out_ms: u64,
    /// Longest time from the start of a request until that or a later request to the same slice was
    /// answered; time without requests doesn't count.
    max_unavailable_ms: u64,
    sheet_in_force_ms: u64,
    sheet_reverts: u64,
    /// Requests to servers known as cold, beyond what they can queue.
    cold_overload: u64,
    /// Highest ratio of a server's commits to the mean of its service.
    imbalance: f64,
    /// Grants of a slice to another server than before.
    churn: u64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    served_share: f64,
    /// Requests that reached backend servers, divided by those that callers sent.
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
        call_totals: CallTotals,
        node_totals: NodeTotals,
        imbalance: f64,
    ) -> Self {
        let mut latencies =
            Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds are constants");
        for latency in &call_totals.latencies_us {
            latencies.saturating_record(*latency);
        }
        let quantile = |q: f64| latencies.value_at_quantile(q) as f64 / 1_000.0;
        Self {
            scenario: scenario.to_owned(),
            seed,
            policy,
            requests: call_totals.requests,
            answered: call_totals.answered,
            not_run: call_totals.not_run,
            unknown: call_totals.unknown,
            unreached: call_totals.unreached,
            duplicates: call_totals.duplicates,
            false_not_run: call_totals.false_not_run,
            two_owners: call_totals.two_owners,
            crossed: call_totals.crossed,
            cut_accepted: call_totals.cut_accepted,
            new_work_after_drain_ms: node_totals.new_work_after_drain_ms,
            new_work_after_domain_out_ms: node_totals.new_work_after_domain_out_ms,
            max_unavailable_ms: call_totals.max_unavailable_ms,
            sheet_in_force_ms: node_totals.sheet_in_force_ms,
            sheet_reverts: node_totals.sheet_reverts,
            cold_overload: call_totals.cold_overload,
            imbalance,
            churn: call_totals.moves,
            p50_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            served_share: call_totals.answered as f64 / call_totals.requests.max(1) as f64,
            sent_ratio: call_totals.n_arrived as f64 / call_totals.requests.max(1) as f64,
            store_calls_per_s: node_totals.store_calls_per_s,
            control_bytes_per_node_s: node_totals.control_bytes_per_node_s,
            bad_exits: node_totals.bad_exits,
            reasons: call_totals.reasons,
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

    /// Whether no guarantee was violated and at least one request was answered.
    pub(crate) fn is_passing(&self) -> bool {
        let n_violations = self.duplicates
            + self.false_not_run
            + self.two_owners
            + self.crossed
            + self.cut_accepted
            + self.sheet_reverts
            + self.cold_overload;
        n_violations == 0 && self.answered > 0
    }
}

/// Prints the reports as a table, one column for each.
pub(crate) fn print_table(reports: &[TrialReport]) {
    let table_rows: Vec<Vec<(String, String)>> = reports.iter().map(table_rows).collect();
    let Some(first) = table_rows.first() else { return };
    for idx in 0..first.len() {
        let values: Vec<&str> = table_rows.iter().map(|it| it[idx].1.as_str()).collect();
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
        let verdict = if report.is_passing() { "kept" } else { "BROKEN" };
        println!("{}: promises {verdict}", report.scenario);
    }
}

fn table_rows(it: &TrialReport) -> Vec<(String, String)> {
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

/// Prints the heading of the lines that [`print_summary_line`] prints.
pub(crate) fn print_summary_heading() {
    println!(
        "{:<52} {:>7} {:>7} {:>6} {:>6} {:>7} {:>7} {:>7} {:>5} verdict",
        "scenario", "share", "p99", "notrun", "unkn", "unavail", "drain", "sheet", "moves"
    );
}

/// Prints a report as one line.
pub(crate) fn print_summary_line(it: &TrialReport) {
    let late_ms = it.new_work_after_drain_ms.max(it.new_work_after_domain_out_ms);
    let verdict = match it.is_passing() {
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
        late_ms,
        it.sheet_in_force_ms,
        it.churn,
        it.reasons
    );
}
