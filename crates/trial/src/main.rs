//! The `jackdaw-trial` program: a system test that runs real routers and planners against small
//! stand-ins of the platform and the backend servers, under load and injected faults.

mod backend_server;
mod checker;
mod compare;
mod deployment;
mod fault_matrix;
mod fault_proxy;
mod faults;
mod load;
mod nodes;
mod report;
mod run;
mod scenario;
mod stand_ins;
mod store_server;

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use policy::BalancerPolicy;
use strum::IntoEnumIterator;

use crate::{fault_matrix::FaultCombination, report::TrialReport, scenario::Scenario};

/// Exit status when a trial could not be run, for example because its scenario is not valid. A run
/// with violated guarantees exits with 1.
const EXIT_TRIAL_FAILED: u8 = 2;

/// Scenarios that run when no file is given: the name and the text of each.
const BUILT_IN_SCENARIOS: [(&str, &str); 2] = [
    ("schetsbord", include_str!("../../../examples/schetsbord.toml")),
    ("carretillas", include_str!("../../../examples/carretillas.toml")),
];

fn main() -> ExitCode {
    let mut arguments: Vec<OsString> = std::env::args_os().collect();
    // The trial starts its routers and planners as child processes of this same program.
    match arguments.get(1).and_then(|it| it.to_str()) {
        Some("node-router") => {
            arguments.remove(1);
            nodes::end_with_parent();
            return router::main_with(arguments);
        }
        Some("node-planner") => {
            arguments.remove(1);
            nodes::end_with_parent();
            return planner::main_with(arguments);
        }
        _ => (),
    }
    let matches = command().get_matches_from(arguments);
    match run_command(&matches) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("event=trial-failed cause={:?}", format!("{err:#}"));
            ExitCode::from(EXIT_TRIAL_FAILED)
        }
    }
}

fn command() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .value_name("N")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .global(true)
        .help("Seed of the load and of the servers' service times");
    let json = Arg::new("json")
        .long("json")
        .action(ArgAction::SetTrue)
        .global(true)
        .help("Print one JSON object for each scenario, after the table");
    Command::new("jackdaw-trial")
        .about("Runs routers and planners against stand-ins, under load and faults")
        .version(clap::crate_version!())
        .arg(seed)
        .arg(json)
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Run this scenario, as `run` does"),
        )
        .arg(
            Arg::new("check-config")
                .long("check-config")
                .action(ArgAction::SetTrue)
                .help("Check the scenario given by --config and exit"),
        )
        .subcommand(stand_ins_command())
        .subcommand(compare_command())
        .subcommand(
            Command::new("battery")
                .about("Runs a base scenario under each fault in turn and prints a line for each")
                .arg(
                    Arg::new("scenario")
                        .value_name("SCENARIO.toml")
                        .value_parser(value_parser!(PathBuf))
                        .help("The base scenario; its own faults are left out"),
                )
                .arg(
                    Arg::new("pairs")
                        .long("pairs")
                        .action(ArgAction::SetTrue)
                        .help("Run each pair of faults instead of each fault"),
                )
                .arg(
                    Arg::new("only")
                        .long("only")
                        .value_name("TEXT")
                        .help("Run only the scenarios whose name contains this text"),
                ),
        )
        .subcommand(
            Command::new("run").about("Runs one scenario").arg(
                Arg::new("scenario")
                    .value_name("SCENARIO.toml")
                    .required(true)
                    .value_parser(value_parser!(PathBuf)),
            ),
        )
}

fn stand_ins_command() -> Command {
    Command::new("stand-ins")
        .about("Serves stand-ins of the store and of a sheet's servers, for nodes started by hand")
        .arg(
            Arg::new("sheet")
                .value_name("SHEET.csv")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("store")
                .long("store")
                .value_name("IP:PORT")
                .default_value("127.0.0.1:9500")
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_name("N")
                .default_value("600")
                .value_parser(value_parser!(u64).range(1..=3_600))
                .help("Stop after this time"),
        )
}

fn compare_command() -> Command {
    Command::new("compare")
        .about("Runs a scenario under several policies and seeds and prints medians and ranges")
        .arg(
            Arg::new("scenario")
                .value_name("SCENARIO.toml")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("POLICY")
                .action(ArgAction::Append)
                .value_parser(|it: &str| it.parse::<BalancerPolicy>())
                .help("A policy to compare; may be repeated; all policies when not given"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .default_value("3")
                .value_parser(value_parser!(u64).range(1..=20)),
        )
}

fn run_compare(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let missing_argument = || eyre::eyre!("an argument is missing; see --help");
    let scenario =
        scenario::read(matches.get_one::<PathBuf>("scenario").ok_or_else(missing_argument)?)?;
    let n_seeds = matches.get_one::<u64>("seeds").copied().unwrap_or(1);
    let chosen = matches.get_many::<BalancerPolicy>("policy").unwrap_or_default();
    let mut policies: Vec<BalancerPolicy> = chosen.copied().collect();
    if policies.is_empty() {
        policies = BalancerPolicy::iter().collect();
    }
    compare::compare_policies(&scenario, &policies, n_seeds)?;
    Ok(ExitCode::SUCCESS)
}

fn run_stand_ins(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let missing_argument = || eyre::eyre!("an argument is missing; see --help");
    let sheet = matches.get_one::<PathBuf>("sheet").ok_or_else(missing_argument)?;
    let store = matches.get_one::<SocketAddr>("store").ok_or_else(missing_argument)?;
    let seconds = matches.get_one::<u64>("seconds").ok_or_else(missing_argument)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(stand_ins::serve(sheet, *store, Duration::from_secs(*seconds)))?;
    Ok(ExitCode::SUCCESS)
}

/// Runs the base scenario under each fault or pair of faults and prints a line for each.
fn run_battery(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let base = match matches.get_one::<PathBuf>("scenario") {
        Some(file) => scenario::read(file)?,
        None => scenario::parse(BUILT_IN_SCENARIOS[0].0, BUILT_IN_SCENARIOS[0].1)?,
    };
    let combination = match matches.get_flag("pairs") {
        true => FaultCombination::Pairs,
        false => FaultCombination::Single,
    };
    let name_filter = matches.get_one::<String>("only").cloned().unwrap_or_default();
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let mut n_failed = 0;
    report::print_summary_heading();
    for scenario in fault_matrix::scenarios(&base, combination) {
        if !scenario.name.contains(&name_filter) {
            continue;
        }
        let report = run::run_scenario(scenario, seed)?;
        report::print_summary_line(&report);
        n_failed += usize::from(!report.is_passing());
    }
    println!("event=battery-done broken={n_failed}");
    Ok(if n_failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn run_command(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    match matches.subcommand() {
        Some(("battery", matches)) => return run_battery(matches),
        Some(("compare", matches)) => return run_compare(matches),
        Some(("stand-ins", matches)) => return run_stand_ins(matches),
        _ => (),
    }
    let file = match matches.subcommand() {
        Some(("run", it)) => it.get_one::<PathBuf>("scenario"),
        _ => matches.get_one::<PathBuf>("config"),
    };
    let scenarios = match file {
        Some(file) => vec![scenario::read(file)?],
        None => {
            let parsed = BUILT_IN_SCENARIOS.iter().map(|(name, text)| scenario::parse(name, text));
            parsed.collect::<eyre::Result<Vec<Scenario>>>()?
        }
    };
    if matches.get_flag("check-config") {
        println!("event=scenarios-allowed count={}", scenarios.len());
        return Ok(ExitCode::SUCCESS);
    }
    let seed = seed_argument(matches);
    let is_json = has_json_flag(matches);
    let mut reports = Vec::new();
    for scenario in scenarios {
        reports.push(run::run_scenario(scenario, seed)?);
    }
    report::print_table(&reports);
    if is_json {
        for report in &reports {
            println!("{}", serde_json::to_string(report)?);
        }
    }
    let is_success = reports.iter().all(TrialReport::is_passing);
    Ok(if is_success { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn seed_argument(matches: &ArgMatches) -> u64 {
    let subcommand_seed = matches.subcommand().and_then(|(_, it)| it.get_one::<u64>("seed"));
    subcommand_seed.or_else(|| matches.get_one::<u64>("seed")).copied().unwrap_or(1)
}

fn has_json_flag(matches: &ArgMatches) -> bool {
    matches.get_flag("json") || matches.subcommand().is_some_and(|(_, it)| it.get_flag("json"))
}
