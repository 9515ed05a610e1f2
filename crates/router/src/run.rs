//! Starting and stopping the router.

use std::{
    ffi::OsString,
    process::ExitCode,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use backend::BackendClient;
use caller::{CallerLimits, serve_callers};
use clap::Command;
use model::Incarnation;
use operator::serve_operators;
use ownership::GrantOutcome;
use peer::{ByteCounter, PeerPool, PeerReply, PeerRequest, serve_peers};
use settings::{ProcessClock, bind_listener, daemon_command, run_daemon, stop_signal};
use slog::{Logger, info};
use telemetry::start_log;
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
};
use xtra::prelude::*;

use crate::{
    RawSettings, RouterSettings,
    control::{ControlActor, NewsArrived, Renew, WatchPlan},
    operator_edge::RouterSource,
    peer_edge::RouterPeerService,
    state::{RouterState, lock},
    traffic::TrafficService,
};

/// Time that a watch may take beyond its own wait.
const WATCH_SLACK: Duration = Duration::from_millis(500);

/// Pause after a watch that was not answered.
const WATCH_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for accepted requests to end after a planned stop.
const DRAIN_LIMIT: Duration = Duration::from_secs(60);

/// The router's command line.
pub fn command() -> Command {
    daemon_command(
        "jackdaw-router",
        "Takes callers' requests to the backend servers that own the keys",
    )
}

/// Runs the program with these arguments.
pub fn main_with(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    run_daemon::<RawSettings, RouterSettings>(command(), arguments, run_router)
}

/// Runs a router until it is told to stop and has finished what it accepted.
///
/// # Errors
/// When a listener cannot be opened.
pub fn run_router(settings: RouterSettings) -> eyre::Result<()> {
    let (log, _guard) =
        start_log("jackdaw-router", settings.identity.vm.as_str(), settings.log_level);
    let control = Builder::new_current_thread().enable_all().build()?;
    let traffic = Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()?;
    let bytes = ByteCounter::default();
    let peers = PeerPool::new(settings.identity.local, bytes.clone());
    let clock = ProcessClock::default();
    let incarnation = Incarnation(rand::random::<u64>() >> 16);
    let state = Arc::new(RouterState::new(settings, incarnation, clock, peers, log.clone()));
    control.block_on(serve(&state, &traffic, bytes, &log))?;
    info!(log, "router-stopped");
    traffic.shutdown_timeout(Duration::from_millis(200));
    Ok(())
}

async fn serve(
    state: &Arc<RouterState>,
    traffic: &Runtime,
    bytes: ByteCounter,
    log: &Logger,
) -> eyre::Result<()> {
    let settings = &state.settings;
    let callers = bind_listener(settings.caller, "listen-callers").await?;
    let peers = bind_listener(settings.peer, "listen-peers").await?;
    let operators = bind_listener(settings.operator, "listen-operators").await?;
    info!(log, "router-started"; "caller" => %settings.caller, "peer" => %settings.peer,
          "operator" => %settings.operator, "incarnation" => state.incarnation.0);

    let actor = xtra::spawn_tokio(ControlActor::new(state.clone()), Mailbox::unbounded());
    tokio::spawn(renew_loop(state.clone(), actor.clone()));
    tokio::spawn(watch_loop(state.clone(), actor));
    tokio::spawn(serve_operators(operators, RouterSource { state: state.clone() }));
    tokio::spawn(probe_lost_servers(state.clone()));
    tokio::spawn(count_bytes(state.clone(), bytes.clone()));

    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let caller_std = callers.into_std()?;
    let peer_std = peers.into_std()?;
    let service = TrafficService { state: state.clone() };
    let limits = CallerLimits { max_body_bytes: settings.max_body_bytes };
    let caller_task = traffic.spawn(async move {
        if let Ok(listener) = TcpListener::from_std(caller_std) {
            let stopped = async {
                let _ = stopped.await;
            };
            serve_callers(listener, service, limits, stopped).await;
        }
    });
    let service = RouterPeerService { state: state.clone() };
    // Bodies of forwarded requests are traffic, not control.
    let peer_task = traffic.spawn({
        let log = log.clone();
        async move {
            if let Ok(listener) = TcpListener::from_std(peer_std) {
                serve_peers(listener, service, ByteCounter::default(), log).await;
            }
        }
    });

    stop_signal().await?;
    leave(state, log).await;
    let _ = stop.send(());
    let _ = tokio::time::timeout(DRAIN_LIMIT, caller_task).await;
    peer_task.abort();
    Ok(())
}

/// Says leaving to the balancer, serves until it has noticed, then finishes accepted requests.
async fn leave(state: &Arc<RouterState>, log: &Logger) {
    info!(log, "router-leaving"; "serving" => state.n_serving.load(Ordering::Relaxed));
    state.is_leaving.store(true, Ordering::Relaxed);
    tokio::time::sleep(state.settings.leave_grace).await;
    state.is_closed.store(true, Ordering::Relaxed);
    let started_at = state.now();
    while state.n_serving.load(Ordering::Relaxed) + state.inflight.total() > 0
        && state.now().since(started_at) < DRAIN_LIMIT
    {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn renew_loop(state: Arc<RouterState>, actor: Address<ControlActor>) {
    let interval = state.settings.timing.router_renewal;
    loop {
        let _ = actor.send(Renew).await;
        let _ = tokio::time::timeout(interval, state.ask_now.notified()).await;
    }
}

async fn watch_loop(state: Arc<RouterState>, actor: Address<ControlActor>) {
    let mut failed = None;
    loop {
        let Ok(Some((target, ask))) = actor.send(WatchPlan { failed }).await else {
            tokio::time::sleep(WATCH_PAUSE).await;
            continue;
        };
        let client = state.peers.client(target, "watch");
        let timeout = ask.wait + WATCH_SLACK;
        match client.call(&PeerRequest::Watch(ask), timeout).await {
            Ok(PeerReply::Watch(news)) => {
                failed = (!news.is_acting).then_some(target);
                let _ = actor.send(NewsArrived { from: target, news }).await;
            }
            _ => {
                failed = Some(target);
                tokio::time::sleep(WATCH_PAUSE).await;
            }
        }
    }
}

async fn count_bytes(state: Arc<RouterState>, bytes: ByteCounter) {
    loop {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let counted = state.metrics.control_bytes.get();
        state.metrics.control_bytes.inc_by(bytes.total().saturating_sub(counted));
    }
}

/// Time between probes of servers whose hosts refused a connection.
const LOST_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Finds out when lost servers return.
async fn probe_lost_servers(state: Arc<RouterState>) {
    loop {
        tokio::time::sleep(LOST_PROBE_INTERVAL).await;
        let table = state.table();
        for service in table.sheet.services.keys() {
            let lost = lock(&state.balancer(service)).lost_servers();
            for server in lost {
                let Some(peer) = state.server_peer(&table, &server) else { continue };
                if let GrantOutcome::Acked { .. } = state.backend.probe(&peer).await {
                    info!(state.log, "server-returned"; "server" => %server);
                    state.note_alive(service, &server);
                }
            }
        }
    }
}
