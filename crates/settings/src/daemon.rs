//! The frame of a daemon's life: arguments, settings, listeners and the signal to stop.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, process::ExitCode};

use clap::Command;
use eyre::WrapErr;
use serde::de::DeserializeOwned;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};

use crate::{SettingError, SettingsCommand, read_daemon_arguments, read_file};

/// Exit status when the settings are not allowed.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Runs a daemon: reads its settings and either reports them or runs with them.
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

/// As [`run_daemon`], for a daemon that also reads its settings file again while it runs.
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
    let wanted = read_daemon_arguments(&matches);
    let (SettingsCommand::Run(file) | SettingsCommand::Check(file)) = &wanted;
    let settings = match read_file::<R, T>(file) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("event=bad-setting {err}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if let SettingsCommand::Check(file) = &wanted {
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

/// Opens a listener.
///
/// # Errors
/// When the address cannot be bound; the error names `step` and the address.
pub async fn bind_listener(address: SocketAddr, step: &'static str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("step={step} peer={address}"))
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// When the signals cannot be watched.
pub async fn stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    Ok(())
}
