//! The same scenario under several policies and seeds.

use policy::BalancerPolicy;

use crate::{report::TrialReport, run::run_scenario, scenario::Scenario};

/// A figure that is compared.
type Figure = (&'static str, fn(&TrialReport) -> f64);

const FIGURES: [Figure; 8] = [
    ("served share", TrialReport::served_share),
    ("p50 ms", TrialReport::p50_ms),
    ("p99 ms", TrialReport::p99_ms),
    ("p99.9 ms", TrialReport::p999_ms),
    ("longest unavailable ms", TrialReport::max_unavailable_ms),
    ("imbalance", TrialReport::imbalance),
    ("slices moved", TrialReport::churn),
    ("sent/received", TrialReport::sent_ratio),
];

/// Runs the scenario once for each policy and seed, in turn, and prints medians and ranges.
pub(crate) fn compare(
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
    for (name, figure) in FIGURES {
        print!("{name:<24}");
        for reports in &reports {
            print!("{:>28}", spread(reports.iter().map(figure).collect()));
        }
        println!();
    }
    Ok(())
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (Some(low), Some(high)) = (values.first(), values.last()) else {
        return "none".to_owned();
    };
    let median = values[values.len() / 2];
    format!("{median:.3} ({low:.2} - {high:.2})")
}
