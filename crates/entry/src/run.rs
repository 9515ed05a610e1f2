//! Runs the entry process: a control thread and a traffic thread.

use std::{cell::RefCell, rc::Rc, thread, time::Duration};

use eyre::WrapErr;
use http::{StatusCode, Uri};
use peer::{ByteCounter, serve_peers};
use settings::{ProcessClock, SettingError};
use slog::{Logger, info, warn};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::LocalSet,
    time::sleep,
};

use crate::{
    AssignerParts, BackpressureCache, EntryMetrics, EntrySettings, KeyAssigner, PlacementQuery,
    RelayLog, ReportCache, ServerFormat, SharedKeeper, SharedPools, SnapshotChannel,
    SourceSelector, StateStore, TrafficParts, TrafficServer, VmPresence, WarmthCache,
    assigner::{KeyedLoads, SharedLoads},
    datagram_tasks::{DatagramReceiver, SharedReports, send_router_loads, send_server_reports},
    http_server::{ShutdownPhase, serve_callers, serve_texts},
    presence::maintain_presence,
    state_cache::StateCache,
    state_sync::ChangeFollower,
};

/// Time after SIGTERM by which the load balancer has stopped opening new connections.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_600);

/// Time before the kill deadline at which the process exits by itself; a VM with a tenth of a core
/// may need most of it to run the last steps.
const GRACE_MARGIN: Duration = Duration::from_millis(600);

/// Interval between sweeps of unusable connections and removed servers.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Poll interval for remaining requests and connections during shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reads the settings file again; the error names the setting and the allowed values.
pub type SettingsSource = Box<dyn Fn() -> Result<EntrySettings, SettingError>>;

/// Runs the entry process until a signal stops it.
///
/// # Errors
/// Fails if an address can't be bound or a runtime can't be built; the error names the step.
pub fn run_entry<S: StateStore, F: ServerFormat>(
    settings: EntrySettings,
    store: S,
    format: F,
    source: SettingsSource,
    log: Logger,
) -> eyre::Result<()> {
    run_entry_until(settings, store, format, settings::stop_signal(), source, log)
}

/// Runs an entry process until `stop_request` completes.
///
/// # Errors
/// Fails like [`run_entry`].
pub fn run_entry_until<S: StateStore, F: ServerFormat>(
    settings: EntrySettings,
    store: S,
    format: F,
    stop_request: impl Future<Output = eyre::Result<()>>,
    source: SettingsSource,
    log: Logger,
) -> eyre::Result<()> {
    let clock = ProcessClock::default();
    let incarnation = clock.incarnation();
    let relay_log = RelayLog::new(incarnation, clock);
    let channel = SnapshotChannel::with_relay(relay_log.clone());
    info!(log, "started"; "vm" => %settings.vm, "domain" => %settings.domain,
        "incarnation" => incarnation, "store" => %settings.store, "callers" => %settings.callers,
        "max_change_delay_ms" => settings.change_timing.max_delay().as_millis() as u64);
    let server_reports = ReportCache::default();
    let backpressure = BackpressureCache::default();
    let warmth = WarmthCache::default();
    let permit_keeper = SharedKeeper::default();
    let quota_pools = SharedPools::new(incarnation, clock.now());
    let metrics = EntryMetrics::default();
    let (stop_sender, stop) = watch::channel(false);
    let control = {
        let (settings, channel, log) = (settings.clone(), channel.clone(), log.clone());
        let (format, stop, server_reports) = (format.clone(), stop.clone(), server_reports.clone());
        let (metrics, backpressure) = (metrics.clone(), backpressure.clone());
        let (permit_keeper, warmth) = (permit_keeper.clone(), warmth.clone());
        let quota_pools = quota_pools.clone();
        thread::Builder::new().name("control".to_owned()).spawn(move || {
            let parts = ControlParts {
                settings,
                store,
                format,
                incarnation,
                clock,
                channel,
                relay_log,
                server_reports,
                backpressure,
                warmth,
                permit_keeper,
                quota_pools,
                metrics,
                stop,
            };
            run_control(parts, log)
        })?
    };
    let traffic = Rc::new(TrafficServer::new(TrafficParts {
        format,
        settings: settings.clone(),
        channel: channel.clone(),
        clock,
        metrics: metrics.clone(),
        server_reports,
        backpressure,
        warmth,
        permit_keeper,
        quota_pools,
        incarnation,
        seed: incarnation,
        log: log.clone(),
    }));
    let runtime = runtime()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let reload = reload_settings(settings.clone(), source, traffic.clone(), log.clone());
        tokio::task::spawn_local(reload);
        let traffic_shutdown = TrafficShutdown { clock, stop_sender, stop_request };
        run_traffic(settings, traffic, channel, metrics, traffic_shutdown, log.clone()).await
    })?;
    if control.join().is_err() {
        warn!(log, "control-thread-failed");
    }
    info!(log, "stopped");
    Ok(())
}

fn runtime() -> eyre::Result<Runtime> {
    Builder::new_current_thread().enable_all().build().wrap_err("step=build-runtime")
}

struct ControlParts<S, F> {
    settings: EntrySettings,
    store: S,
    format: F,
    incarnation: u64,
    clock: ProcessClock,
    channel: SnapshotChannel,
    relay_log: RelayLog,
    server_reports: ReportCache,
    backpressure: BackpressureCache,
    warmth: WarmthCache,
    permit_keeper: SharedKeeper,
    quota_pools: SharedPools,
    metrics: EntryMetrics,
    stop: watch::Receiver<bool>,
}

fn run_control<S: StateStore, F: ServerFormat>(parts: ControlParts<S, F>, log: Logger) {
    let runtime = match runtime() {
        Ok(it) => it,
        Err(err) => {
            warn!(log, "control-failed"; "cause" => %err);
            return;
        }
    };
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let ControlParts {
            settings,
            store,
            format,
            incarnation,
            clock,
            channel,
            relay_log,
            server_reports,
            backpressure,
            warmth,
            permit_keeper,
            quota_pools,
            metrics,
            stop,
        } = parts;
        let cache = Rc::new(RefCell::new(StateCache::new(log.clone())));
        let loads: SharedLoads = Rc::new(RefCell::new(KeyedLoads::default()));
        let follower = ChangeFollower {
            store: store.clone(),
            local: settings.callers.ip(),
            cache: cache.clone(),
            channel: channel.clone(),
            selector: SourceSelector::new(settings.vm.clone(), settings.domain.clone()),
            timing: settings.change_timing,
            clock,
            metrics,
            log: log.clone(),
        };
        tokio::task::spawn_local(follower.run());
        tokio::task::spawn_local(serve_relay(settings.relay, relay_log, log.clone()));
        tokio::task::spawn_local(send_server_reports(
            settings.clone(),
            SharedReports {
                server_reports: server_reports.clone(),
                backpressure: backpressure.clone(),
                warmth: warmth.clone(),
            },
            channel.clone(),
            clock,
            log.clone(),
        ));
        let receiver = DatagramReceiver {
            settings: settings.clone(),
            server_reports,
            backpressure: backpressure.clone(),
            warmth,
            permit_keeper,
            quota_pools,
            loads: loads.clone(),
            cache: cache.clone(),
            channel: channel.clone(),
            clock,
            log: log.clone(),
        };
        tokio::task::spawn_local(receiver.run());
        let presence = VmPresence {
            domain: settings.domain.clone(),
            millicores: settings.millicores,
            reports: settings.reports,
            relay: settings.relay,
            incarnation,
        };
        let presence_task = tokio::task::spawn_local(maintain_presence(
            store.clone(),
            settings.vm.clone(),
            presence,
            channel.clone(),
            stop.clone(),
            log.clone(),
        ));
        let parts = AssignerParts {
            store,
            format,
            settings,
            incarnation,
            clock,
            channel,
            cache,
            loads,
            backpressure,
            log,
        };
        KeyAssigner::new(parts).run(stop).await;
        // The same signal ends both.
        let _ = presence_task.await;
    });
}

async fn serve_relay(address: std::net::SocketAddr, relay_log: RelayLog, log: Logger) {
    match settings::bind_listener(address, "listen-news").await {
        Ok(listener) => serve_peers(listener, relay_log, ByteCounter::default(), log).await,
        Err(err) => warn!(log, "relay-listen-failed"; "cause" => %err),
    }
}

/// Applies changed settings, on SIGHUP and whenever polling finds the file changed.
async fn reload_settings<F: ServerFormat>(
    mut settings: EntrySettings,
    source: SettingsSource,
    traffic: Rc<TrafficServer<F>>,
    log: Logger,
) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(it) => it,
        Err(err) => {
            warn!(log, "signal-handler-failed"; "signal" => "SIGHUP", "cause" => %err);
            return;
        }
    };
    loop {
        let is_signaled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(SETTINGS_INTERVAL) => false,
        };
        match source() {
            Ok(read) if read != settings => {
                info!(log, "settings-adopted"; "by_signal" => is_signaled);
                traffic.adopt_settings(read.clone());
                settings = read;
            }
            Ok(_) if is_signaled => info!(log, "settings-unchanged"),
            Ok(_) => (),
            Err(err) => warn!(log, "settings-refused"; "cause" => %err),
        }
    }
}

/// Interval between polls of the settings file.
const SETTINGS_INTERVAL: Duration = Duration::from_millis(2_000);

/// Handles that the traffic thread needs for its shutdown.
struct TrafficShutdown<E> {
    clock: ProcessClock,
    /// Stops the control thread.
    stop_sender: watch::Sender<bool>,
    /// Completes when the process is to stop.
    stop_request: E,
}

async fn run_traffic<F: ServerFormat>(
    settings: EntrySettings,
    traffic: Rc<TrafficServer<F>>,
    channel: SnapshotChannel,
    metrics: EntryMetrics,
    traffic_shutdown: TrafficShutdown<impl Future<Output = eyre::Result<()>>>,
    log: Logger,
) -> eyre::Result<()> {
    let TrafficShutdown { clock, stop_sender, stop_request } = traffic_shutdown;
    let (phase_sender, phase) = watch::channel(ShutdownPhase::Serving);
    let n_connections = Rc::new(RefCell::new(0));
    let listener = settings::bind_listener(settings.callers, "listen-callers").await?;
    let callers =
        serve_callers(listener, traffic.clone(), phase.clone(), n_connections.clone(), log.clone());
    tokio::task::spawn_local(callers);
    let is_ready = {
        let channel = channel.clone();
        move |_: &Uri| match *phase.borrow() == ShutdownPhase::Serving
            && channel.current().plan.is_some()
        {
            true => (StatusCode::OK, "ready\n".to_owned()),
            false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        }
    };
    let listener = settings::bind_listener(settings.readiness, "listen-readiness").await?;
    tokio::task::spawn_local(serve_texts(listener, Rc::new(is_ready), log.clone()));
    let operator_page = {
        let (channel, traffic) = (channel.clone(), traffic.clone());
        move |uri: &Uri| match uri.path() {
            "/metrics" => {
                let snapshot = channel.current();
                let version = snapshot.plan.as_ref().map_or(0, |it| it.version);
                metrics.note_state(version, snapshot.era(), clock.now().since(snapshot.synced_at));
                (StatusCode::OK, telemetry::render(&metrics.registry))
            }
            "/dump" => {
                let quotas = traffic.describe_quotas();
                (StatusCode::OK, format!("{:#?}\n{quotas}", channel.current()))
            }
            "/explain" => explain(&traffic, uri.query().unwrap_or_default()),
            _ => (StatusCode::NOT_FOUND, String::new()),
        }
    };
    let listener = settings::bind_listener(settings.metrics, "listen-metrics").await?;
    tokio::task::spawn_local(serve_texts(listener, Rc::new(operator_page), log.clone()));
    tokio::task::spawn_local(sweep_regularly(traffic.clone()));
    tokio::task::spawn_local(traffic.clone().run_probes());
    tokio::task::spawn_local(traffic.clone().run_quota_loans());
    tokio::task::spawn_local(send_router_loads(
        traffic.clone(),
        channel,
        settings.clone(),
        log.clone(),
    ));
    stop_request.await?;
    info!(log, "stopping"; "open_requests" => traffic.n_open(),
        "connections" => *n_connections.borrow());
    let requested_at = clock.now();
    let deadline = requested_at + settings.grace.saturating_sub(GRACE_MARGIN);
    traffic.end_at(deadline);
    phase_sender.send_replace(ShutdownPhase::Draining);
    stop_sender.send_replace(true);
    sleep(BALANCER_DRAIN_TIME.min(settings.grace / 2)).await;
    phase_sender.send_replace(ShutdownPhase::Closing);
    while clock.now() < deadline && (traffic.n_open() > 0 || *n_connections.borrow() > 0) {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    info!(log, "drain-ended"; "open_requests" => traffic.n_open(),
        "after_ms" => clock.now().since(requested_at).as_millis() as u64);
    Ok(())
}

/// Explains as JSON where a request would go; the text is an error otherwise.
fn explain<F: ServerFormat>(traffic: &TrafficServer<F>, query: &str) -> (StatusCode, String) {
    match PlacementQuery::try_from(query) {
        Ok(query) => match traffic.explain(&query) {
            Ok(value) => (StatusCode::OK, format!("{value:#}\n")),
            Err((status, cause)) => (status, format!("{cause}\n")),
        },
        Err(cause) => (StatusCode::BAD_REQUEST, format!("{cause}\n")),
    }
}

/// Drops what is no longer needed, such as connections that can't be used any more.
async fn sweep_regularly<F: ServerFormat>(traffic: Rc<TrafficServer<F>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        traffic.sweep();
    }
}
