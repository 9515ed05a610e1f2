//! The routers and planners, as processes of this program.

use std::{
    path::PathBuf,
    process::Stdio,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use eyre::WrapErr;
use rustix::process::{Pid, Signal, kill_process, set_parent_process_death_signal};
use tokio::process::{Child, Command};

/// Which daemon a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NodeRole {
    Router,
    Planner,
}

/// One daemon.
pub(crate) struct Node {
    pub(crate) vm: String,
    pub(crate) role: NodeRole,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Longest wait for a daemon to end after it was told to.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

impl Node {
    pub(crate) fn new(vm: &str, role: NodeRole, settings: PathBuf) -> Self {
        let log = settings.with_extension("log");
        Self { vm: vm.to_owned(), role, settings, log, child: Mutex::new(None) }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Starts the process.
    pub(crate) fn start(&self) -> eyre::Result<()> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let command = match self.role {
            NodeRole::Router => "node-router",
            NodeRole::Planner => "node-planner",
        };
        let child = Command::new(std::env::current_exe()?)
            .arg(command)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("step=start peer={}", self.vm))?;
        *self.lock() = Some(child);
        Ok(())
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = self.lock().as_ref().and_then(Child::id).and_then(|it| Pid::from_raw(it as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process without warning.
    pub(crate) async fn kill(&self) {
        let child = self.lock().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Tells the process to stop; whether it ended by itself with status 0.
    pub(crate) async fn stop(&self) -> bool {
        self.signal(Signal::TERM);
        let child = self.lock().take();
        let Some(mut child) = child else { return true };
        match tokio::time::timeout(STOP_TIMEOUT, child.wait()).await {
            Ok(Ok(status)) => status.success(),
            _ => {
                let _ = child.kill().await;
                false
            }
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        self.lock().is_some()
    }
}

/// Makes this node end when the trial that started it ends, however that happens.
pub(crate) fn end_with_parent() {
    let _ = set_parent_process_death_signal(Some(Signal::KILL));
}
