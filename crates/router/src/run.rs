//! Starts and stops the router.

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
    control::{ApplyWatch, ControlActor, NextWatch, RenewLease},
    operator_source::RouterSource,
    peer_service::RouterPeerService,
    state::{RouterState, lock},
    traffic::TrafficService,
};

/// Time that the reply to a watch may take beyond the wait that the watch names.
const WATCH_MARGIN: Duration = Duration::from_millis(500);

/// Delay before the next watch after one that was not answered.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest wait at a graceful shutdown for accepted requests to end, and again for the connections
/// of callers.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Defines the command line of `jackdaw-router`.
pub fn command() -> Command {
    daemon_command(
        "jackdaw-router",
        "Routes callers' requests to the backend servers that own the keys",
    )
}

/// Runs the program with the given command-line arguments, the program name first.
pub fn main_with(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    run_daemon::<RawSettings, RouterSettings>(command(), arguments, run_router)
}

/// Runs a router until a stop signal arrives and the accepted requests have ended.
///
/// # Errors
/// When a runtime, a listener or a signal handler cannot be set up.
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
    let caller_listener = callers.into_std()?;
    let peer_listener = peers.into_std()?;
    let service = TrafficService { state: state.clone() };
    let limits = CallerLimits { max_body_bytes: settings.max_body_bytes };
    let caller_task = traffic.spawn(async move {
        if let Ok(listener) = TcpListener::from_std(caller_listener) {
            let stopped = async {
                let _ = stopped.await;
            };
            serve_callers(listener, service, limits, stopped).await;
        }
    });
    let service = RouterPeerService { state: state.clone() };
    // Requests that other routers forward are traffic: their bytes do not count as control bytes.
    let peer_task = traffic.spawn({
        let log = log.clone();
        async move {
            if let Ok(listener) = TcpListener::from_std(peer_listener) {
                serve_peers(listener, service, ByteCounter::default(), log).await;
            }
        }
    });

    stop_signal().await?;
    leave(state, log).await;
    let _ = stop.send(());
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, caller_task).await;
    peer_task.abort();
    Ok(())
}

/// Shuts down gracefully: reports itself as leaving, still serves callers for the grace period in
/// which the platform's balancer notices, then refuses new ones and waits for accepted requests to
/// end.
async fn leave(state: &Arc<RouterState>, log: &Logger) {
    info!(log, "router-leaving"; "serving" => state.n_serving.load(Ordering::Relaxed));
    state.is_leaving.store(true, Ordering::Relaxed);
    tokio::time::sleep(state.settings.leave_grace).await;
    state.is_closed.store(true, Ordering::Relaxed);
    let started_at = state.now();
    while state.n_serving.load(Ordering::Relaxed) + state.inflight.total() > 0
        && state.now().since(started_at) < DRAIN_TIMEOUT
    {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn renew_loop(state: Arc<RouterState>, actor: Address<ControlActor>) {
    let interval = state.settings.timing.router_renewal;
    loop {
        let _ = actor.send(RenewLease).await;
        let _ = tokio::time::timeout(interval, state.renew_lease_now.notified()).await;
    }
}

async fn watch_loop(state: Arc<RouterState>, actor: Address<ControlActor>) {
    let mut failed = None;
    loop {
        let Ok(Some((target, watch))) = actor.send(NextWatch { failed }).await else {
            tokio::time::sleep(WATCH_RETRY_DELAY).await;
            continue;
        };
        let client = state.peers.client(target, "watch");
        let timeout = watch.wait + WATCH_MARGIN;
        match client.call(&PeerRequest::Watch(watch), timeout).await {
            Ok(PeerReply::Watch(reply)) => {
                failed = (!reply.is_acting).then_some(target);
                let _ = actor.send(ApplyWatch { from: target, reply }).await;
            }
            _ => {
                failed = Some(target);
                tokio::time::sleep(WATCH_RETRY_DELAY).await;
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

/// Time between probes of servers to which a connection was refused or broke.
const LOST_SERVER_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Probes lost servers, and lets those that answer receive requests again.
async fn probe_lost_servers(state: Arc<RouterState>) {
    loop {
        tokio::time::sleep(LOST_SERVER_PROBE_INTERVAL).await;
        let table = state.table();
        for service in table.sheet.services.keys() {
            let lost_servers = lock(&state.balancer(service)).lost_servers();
            for server in lost_servers {
                let Some(endpoint) = state.server_endpoint(&table, &server) else { continue };
                if let GrantOutcome::Acked { .. } = state.backend.probe(&endpoint).await {
                    info!(state.log, "server-returned"; "server" => %server);
                    state.note_alive(service, &server);
                }
            }
        }
    }
}
