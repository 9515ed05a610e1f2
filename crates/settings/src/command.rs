//! The command line of the daemons.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// What a daemon's command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsCommand {
    /// Run with the settings in this file.
    Run(PathBuf),
    /// Check the settings in this file and exit.
    Check(PathBuf),
}

/// Builds the command line of the daemon `name`.
pub fn daemon_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .version(clap::crate_version!())
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file (TOML)"),
        )
        .arg(
            Arg::new("check-config")
                .long("check-config")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit with status 0 if they are valid, 2 if not"),
        )
}

/// Converts the matches of [`daemon_command`].
pub fn read_daemon_arguments(matches: &ArgMatches) -> SettingsCommand {
    let file = matches.get_one::<PathBuf>("config").cloned().unwrap_or_default();
    match matches.get_flag("check-config") {
        true => SettingsCommand::Check(file),
        false => SettingsCommand::Run(file),
    }
}
