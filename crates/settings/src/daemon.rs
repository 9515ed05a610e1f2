//! Start and stop of a daemon: arguments, settings, listeners and stop signals.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, process::ExitCode};

use clap::Command;
use eyre::WrapErr;
use serde::de::DeserializeOwned;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};

use crate::{SettingError, SettingsCommand, read_daemon_arguments, read_file};

/// Exit status when the settings are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Reads a daemon's settings and calls `run` with them, or only reports whether they are valid when
/// the command line has `--check-config`.
pub fn run_daemon<R, T>(
    command: Command,
    arguments: impl IntoIterator<Item = OsString>,
    run: impl FnOnce(T) -> eyre::Result<()>,
) -> ExitCode
where
    R: DeserializeOwned,
    T: TryFrom<R, Error = SettingError>,
{
    run_reloading_daemon(command, arguments, |settings, _| run(settings))
}

/// Like [`run_daemon`], for a daemon that reloads its settings file: `run` also gets the file's
/// path.
pub fn run_reloading_daemon<R, T>(
    command: Command,
    arguments: impl IntoIterator<Item = OsString>,
    run: impl FnOnce(T, PathBuf) -> eyre::Result<()>,
) -> ExitCode
where
    R: DeserializeOwned,
    T: TryFrom<R, Error = SettingError>,
{
    let matches = command.get_matches_from(arguments);
    let command = read_daemon_arguments(&matches);
    let (SettingsCommand::Run(file) | SettingsCommand::Check(file)) = &command;
    let settings = match read_file::<R, T>(file) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("event=bad-setting {err}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if let SettingsCommand::Check(file) = &command {
        println!("event=settings-allowed file={:?}", file.display());
        return ExitCode::SUCCESS;
    }
    match run(settings, file.clone()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("event=daemon-failed cause={:?}", format!("{err:#}"));
            ExitCode::FAILURE
        }
    }
}

/// Binds a TCP listener to `address`.
///
/// # Errors
/// When the address cannot be bound; the error contains `step` and the address.
pub async fn bind_listener(address: SocketAddr, step: &'static str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("step={step} peer={address}"))
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// When the signal handlers cannot be installed.
pub async fn stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    Ok(())
}
