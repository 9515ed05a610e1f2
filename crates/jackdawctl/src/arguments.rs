//! The command line.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// The whole command line.
pub(crate) fn command() -> Command {
    Command::new("jackdawctl")
        .about("Checks, applies and reads sheets, and dumps the state of processes")
        .version(clap::crate_version!())
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .global(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (TOML) that names the platform's store"),
        )
        .arg(
            Arg::new("check-config")
                .long("check-config")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit: 0 when they are allowed, 2 when not"),
        )
        .subcommand(sheet_command())
        .subcommand(
            Command::new("dump")
                .about("Prints each process's state as JSON, one object a line")
                .arg(
                    Arg::new("address")
                        .value_name("IP:PORT")
                        .action(ArgAction::Append)
                        .help("Operator address; without any, those in the sheet in force"),
                ),
        )
}

fn sheet_command() -> Command {
    let file = || {
        Arg::new("file")
            .value_name("SHEET.csv")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("The planners' sheet")
    };
    Command::new("sheet")
        .about("Works with the planners' sheet")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Reports every error of a sheet").arg(file()))
        .subcommand(Command::new("diff").about("Shows what a sheet would change").arg(file()))
        .subcommand(
            Command::new("apply")
                .about("Puts a sheet in force, if the sheet it was planned from still is")
                .arg(file())
                .arg(
                    Arg::new("from")
                        .long("from")
                        .value_name("REVISION")
                        .required(true)
                        .value_parser(value_parser!(u64))
                        .help("Revision that the sheet was planned from; 0 for the first"),
                )
                .arg(
                    Arg::new("author")
                        .long("author")
                        .value_name("NAME")
                        .default_value("operator")
                        .help("Who applies it; kept in the history"),
                ),
        )
        .subcommand(
            Command::new("show").about("Prints a sheet's text").arg(
                Arg::new("revision")
                    .long("revision")
                    .value_name("REVISION")
                    .value_parser(value_parser!(u64))
                    .help("An earlier revision; without it, the sheet in force"),
            ),
        )
        .subcommand(Command::new("history").about("Lists accepted sheets, newest first"))
}

/// The settings file, if one is named.
pub(crate) fn config_file(matches: &ArgMatches) -> Option<PathBuf> {
    let mut found = matches.get_one::<PathBuf>("config").cloned();
    let mut deeper = matches.subcommand();
    while let Some((_, matches)) = deeper {
        found = matches.get_one::<PathBuf>("config").cloned().or(found);
        deeper = matches.subcommand();
    }
    found
}
