//! The `jackdawctl` program, with which operators check, apply and read sheets, and dump the state
//! of processes.

mod arguments;
mod dump;
mod explain;
mod settings_file;
mod sheets;

use std::process::ExitCode;

use clap::ArgMatches;
use settings::{SettingError, read_file};

use crate::{
    arguments::{command, config_file},
    settings_file::{CtlSettings, RawSettings},
};

/// Exit status when settings or arguments are invalid, or a sheet is rejected as invalid or
/// superseded.
const EXIT_REJECTED: u8 = 2;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let res = match runtime {
        Ok(runtime) => runtime.block_on(run(&matches)),
        Err(err) => Err(err.into()),
    };
    match res {
        Ok(code) => code,
        Err(err) => {
            eprintln!("event=failed cause={:?}", format!("{err:#}"));
            ExitCode::FAILURE
        }
    }
}

async fn run(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    if let Some(("sheet", sheet)) = matches.subcommand()
        && let Some(("check", check)) = sheet.subcommand()
    {
        return sheets::check(check);
    }
    if let Some(("explain", explain)) = matches.subcommand() {
        return explain::run(explain).await;
    }
    let settings = match load_settings(matches) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("event=bad-setting {err}");
            return Ok(ExitCode::from(EXIT_REJECTED));
        }
    };
    match matches.subcommand() {
        _ if matches.get_flag("check-config") => {
            println!("event=settings-allowed");
            Ok(ExitCode::SUCCESS)
        }
        Some(("sheet", sheet)) => sheets::run(sheet, &settings).await,
        Some(("dump", dump)) => dump::run(dump, &settings).await,
        _ => Err(eyre::eyre!("no command given; see --help")),
    }
}

fn load_settings(matches: &ArgMatches) -> Result<CtlSettings, SettingError> {
    let file = config_file(matches)
        .ok_or_else(|| SettingError::new("--config", "", "a settings file for this command"))?;
    read_file::<RawSettings, CtlSettings>(&file)
}
