//! The `compare` subcommand: one scenario under several balancer policies and seeds.

use policy::BalancerPolicy;

use crate::{report::TrialReport, run::run_scenario, scenario::Scenario};

/// A figure's heading, and how it is taken from a report.
type ComparedMetric = (&'static str, fn(&TrialReport) -> f64);

const COMPARED_METRICS: [ComparedMetric; 8] = [
    ("served share", TrialReport::served_share),
    ("p50 ms", TrialReport::p50_ms),
    ("p99 ms", TrialReport::p99_ms),
    ("p99.9 ms", TrialReport::p999_ms),
    ("longest unavailable ms", TrialReport::max_unavailable_ms),
    ("imbalance", TrialReport::imbalance),
    ("slices moved", TrialReport::churn),
    ("sent/received", TrialReport::sent_ratio),
];

/// Runs the scenario once for each seed and policy, one run at a time, and prints the median and
/// range of each figure.
pub(crate) fn compare_policies(
    scenario: &Scenario,
    policies: &[BalancerPolicy],
    n_seeds: u64,
) -> eyre::Result<()> {
    let mut reports: Vec<Vec<TrialReport>> = policies.iter().map(|_| Vec::new()).collect();
    for seed in 1..=n_seeds {
        for (policy, reports) in policies.iter().zip(&mut reports) {
            eprintln!("compare: {policy} seed {seed}");
            let scenario = Scenario { policy: *policy, ..scenario.clone() };
            reports.push(run_scenario(scenario, seed)?);
        }
    }
    print!("{:<24}", "median (low - high)");
    for policy in policies {
        print!("{:>28}", policy.to_string());
    }
    println!();
    for (name, metric) in COMPARED_METRICS {
        print!("{name:<24}");
        for reports in &reports {
            print!("{:>28}", median_and_range(reports.iter().map(metric).collect()));
        }
        println!();
    }
    Ok(())
}

fn median_and_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (Some(lowest), Some(highest)) = (values.first(), values.last()) else {
        return "none".to_owned();
    };
    let median = values[values.len() / 2];
    format!("{median:.3} ({lowest:.2} - {highest:.2})")
}
