//! Routers and planners as child processes, which run this same program.

use std::{
    path::PathBuf,
    process::Stdio,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use eyre::WrapErr;
use rustix::process::{Pid, Signal, kill_process, set_parent_process_death_signal};
use tokio::process::{Child, Command};

/// Which program a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NodeRole {
    Router,
    Planner,
}

/// The process of a VM's router or planner, which can be stopped and started again.
pub(crate) struct NodeProcess {
    pub(crate) vm: String,
    pub(crate) role: NodeRole,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Longest time that a process may take to exit after a SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

impl NodeProcess {
    pub(crate) fn new(vm: &str, role: NodeRole, settings_file: PathBuf) -> Self {
        let log_file = settings_file.with_extension("log");
        Self { vm: vm.to_owned(), role, settings_file, log_file, child: Mutex::new(None) }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Starts the process; its log is appended to that of earlier starts.
    pub(crate) fn start(&self) -> eyre::Result<()> {
        let log_file =
            std::fs::OpenOptions::new().create(true).append(true).open(&self.log_file)?;
        let subcommand = match self.role {
            NodeRole::Router => "node-router",
            NodeRole::Planner => "node-planner",
        };
        let child = Command::new(std::env::current_exe()?)
            .arg(subcommand)
            .arg("--config")
            .arg(&self.settings_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("step=start peer={}", self.vm))?;
        *self.lock() = Some(child);
        Ok(())
    }

    /// Sends a signal to the process, if it is running.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = self.lock().as_ref().and_then(Child::id).and_then(|it| Pid::from_raw(it as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process with SIGKILL.
    pub(crate) async fn kill(&self) {
        let child = self.lock().take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Stops the process with SIGTERM and returns whether it exited on its own with status 0; kills
    /// it after [`STOP_TIMEOUT`].
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

/// Makes the kernel kill this process when the trial that started it ends, also when it crashes.
pub(crate) fn end_with_parent() {
    let _ = set_parent_process_death_signal(Some(Signal::KILL));
}
