//! Starts and stops the planner.

use std::{ffi::OsString, process::ExitCode, sync::Arc, time::Duration};

use backend::HttpBackend;
use clap::Command;
use model::Incarnation;
use operator::serve_operators;
use ownership::PlannerEvent;
use peer::{ByteCounter, PeerPool, serve_peers};
use settings::{ProcessClock, bind_listener, daemon_command, run_daemon, stop_signal};
use slog::info;
use store::HttpStore;
use telemetry::{PlannerMetrics, start_log};
use tokio::{runtime::Builder, sync::watch};
use xtra::prelude::*;

use crate::{
    PlannerSettings, RawSettings,
    control::{HandleEvent, PlannerActor, PlannerState},
    operator_source::PlannerSource,
    peer_service::PlannerPeerService,
    published_state::PublishedState,
    watches::{WatchedDomain, watch_domains, watch_planners, watch_store, watch_vms},
};

/// Time between ticks of the planner.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Defines the command line of `jackdaw-planner`.
pub fn command() -> Command {
    daemon_command("jackdaw-planner", "Decides which backend server owns which keys of a domain")
}

/// Runs the program with the given command-line arguments, the program name first.
pub fn main_with(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    run_daemon::<RawSettings, PlannerSettings>(command(), arguments, run_planner)
}

/// Runs a planner until a stop signal arrives.
///
/// # Errors
/// When the runtime, the store's client, a listener or a signal handler cannot be set up.
pub fn run_planner(settings: PlannerSettings) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: PlannerSettings) -> eyre::Result<()> {
    let (log, _guard) =
        start_log("jackdaw-planner", settings.identity.vm.as_str(), settings.log_level);
    let peers = bind_listener(settings.peer, "listen-peers").await?;
    let operators = bind_listener(settings.operator, "listen-operators").await?;
    let bytes = ByteCounter::default();
    let state = Arc::new(PlannerState {
        incarnation: Incarnation(rand::random::<u64>() >> 16),
        clock: ProcessClock::default(),
        metrics: PlannerMetrics::default(),
        store: HttpStore::new(settings.store, settings.identity.local)?,
        backend: HttpBackend::new(settings.identity.local),
        peers: PeerPool::new(settings.identity.local, bytes.clone()),
        published: watch::Sender::new(PublishedState::default()),
        log: log.clone(),
        settings,
    });
    info!(log, "planner-started"; "peer" => %state.settings.peer,
          "operator" => %state.settings.operator, "incarnation" => state.incarnation.0);
    let actor = xtra::spawn_tokio(PlannerActor::new(state.clone()), Mailbox::unbounded());
    let service = PlannerPeerService { state: state.clone(), actor: actor.clone() };
    tokio::spawn(serve_peers(peers, service, bytes.clone(), log.clone()));
    let source = PlannerSource { state: state.clone(), actor: actor.clone() };
    tokio::spawn(serve_operators(operators, source));
    tokio::spawn(watch_store(state.clone(), actor.clone()));
    tokio::spawn(watch_vms(state.clone(), actor.clone()));
    tokio::spawn(watch_planners(state.clone(), actor.clone(), WatchedDomain::Own));
    tokio::spawn(watch_domains(state.clone(), actor.clone()));
    tokio::spawn(tick_loop(state.clone(), actor, bytes));
    stop_signal().await?;
    info!(log, "planner-stopped");
    Ok(())
}

async fn tick_loop(state: Arc<PlannerState>, actor: Address<PlannerActor>, bytes: ByteCounter) {
    loop {
        if actor.send(HandleEvent(PlannerEvent::Tick)).await.is_err() {
            return;
        }
        let counted = state.metrics.control_bytes.get();
        state.metrics.control_bytes.inc_by(bytes.total().saturating_sub(counted));
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}
