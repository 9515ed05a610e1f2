//! The command line of `jackdawctl`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Builds the command line.
pub(crate) fn command() -> Command {
    Command::new("jackdawctl")
        .about("Checks, applies and shows sheets, and dumps the state of processes")
        .version(clap::crate_version!())
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .global(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (TOML) with the address of the platform's store"),
        )
        .arg(
            Arg::new("check-config")
                .long("check-config")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit with status 0 if they are valid, 2 if not"),
        )
        .subcommand(sheet_command())
        .subcommand(explain_command())
        .subcommand(
            Command::new("dump")
                .about("Prints the state of each process as JSON, one object per line")
                .arg(Arg::new("address").value_name("IP:PORT").action(ArgAction::Append).help(
                    "Operator address of a process [default: all that the sheet in force lists]",
                )),
        )
}

fn explain_command() -> Command {
    let value = |name: &'static str, placeholder: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(placeholder).help(help)
    };
    Command::new("explain")
        .about("Tells where a request would go now, and why, without sending it")
        .arg(
            value("vm", "IP:PORT", "Metrics address of the VM that the request would enter by")
                .required(true),
        )
        .arg(value("host", "HOST", "Host of the request").required(true))
        .arg(value("path", "PATH", "Path of the request").required(true))
        .arg(value("key", "KEY", "Shard key, for services that own keys"))
        .arg(value("team", "NAME", "Team of the caller, if the plan has teams"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON, on one line"),
        )
}

fn sheet_command() -> Command {
    let file = || {
        Arg::new("file")
            .value_name("SHEET.csv")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("Sheet file (CSV)")
    };
    Command::new("sheet")
        .about("Checks, compares, applies and shows the planners' sheet")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Reports all errors of a sheet").arg(file()))
        .subcommand(
            Command::new("diff")
                .about("Shows what a sheet would change in the sheet in force")
                .arg(file()),
        )
        .subcommand(
            Command::new("apply")
                .about(
                    "Puts a sheet in force if the revision it was planned from is still in force",
                )
                .arg(file())
                .arg(
                    Arg::new("from")
                        .long("from")
                        .value_name("REVISION")
                        .required(true)
                        .value_parser(value_parser!(u64))
                        .help("Revision that the sheet was planned from; 0 for the first sheet"),
                )
                .arg(
                    Arg::new("author")
                        .long("author")
                        .value_name("NAME")
                        .default_value("operator")
                        .help("Name of the person who applies the sheet, recorded in the history"),
                ),
        )
        .subcommand(
            Command::new("show").about("Prints the text of an accepted sheet").arg(
                Arg::new("revision")
                    .long("revision")
                    .value_name("REVISION")
                    .value_parser(value_parser!(u64))
                    .help("Revision to print [default: the one in force]"),
            ),
        )
        .subcommand(Command::new("history").about("Lists the latest accepted sheets, newest first"))
}

/// Returns the value of `--config`; one given after a subcommand takes precedence.
pub(crate) fn config_file(matches: &ArgMatches) -> Option<PathBuf> {
    let mut file = matches.get_one::<PathBuf>("config").cloned();
    let mut subcommand = matches.subcommand();
    while let Some((_, matches)) = subcommand {
        file = matches.get_one::<PathBuf>("config").cloned().or(file);
        subcommand = matches.subcommand();
    }
    file
}
