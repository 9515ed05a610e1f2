//! The entry process: one thread for control, one for traffic.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, sync::Arc, thread, time::Duration};

use eyre::WrapErr;
use http::StatusCode;
use model::{DomainName, MonoTime};
use ownership::KeyLoad;
use peer::{ByteCount, serve_peers};
use settings::{ProcessClock, SettingError};
use slog::{Logger, info, warn};
use tokio::{
    net::UdpSocket,
    runtime::{Builder, Runtime},
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::LocalSet,
    time::sleep,
};

use crate::{
    AssignerParts, EntryMetrics, EntrySettings, KeyAssigner, ReportBatch, ReportCache,
    ServerFormat, SnapshotChannel, StateStore, TrafficParts, TrafficServer, VmPresence,
    assigner::{LoadBook, SharedLoads},
    beliefs::NewsFollower,
    datagrams::{
        DATAGRAM_BUFFER_BYTES, PeerDatagram, ROUTER_LOAD_INTERVAL, RouterLoad, bind_socket,
        decode_datagram, encode_datagram,
    },
    feed::StateCache,
    http_server::{ShutdownPhase, serve_callers, serve_texts},
    news::{NewsLog, SourceSelector},
    presence::keep_presence,
    server_reports::SERVER_REPORT_INTERVAL,
};

/// Time after SIGTERM in which the balancer stops sending new connections.
const BALANCER_TIME: Duration = Duration::from_millis(2_600);

/// Time before the process is killed at which it ends by itself.
const GRACE_MARGIN: Duration = Duration::from_millis(250);

/// Time between sweeps of connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between looks at requests that are left while the process ends.
const END_INTERVAL: Duration = Duration::from_millis(50);

/// Reads the settings anew; the error says what is not allowed.
pub type SettingsSource = Box<dyn Fn() -> Result<EntrySettings, SettingError>>;

/// Runs the entry process until it is told to stop by a signal.
///
/// # Errors
/// When an address can't be bound or a runtime can't be built; each names its step.
pub fn run_entry<S: StateStore, F: ServerFormat>(
    settings: EntrySettings,
    store: S,
    format: F,
    source: SettingsSource,
    log: Logger,
) -> eyre::Result<()> {
    run_entry_until(settings, store, format, settings::stop_signal(), source, log)
}

/// Runs an entry until `stop` is done.
///
/// # Errors
/// As [`run_entry`].
pub fn run_entry_until<S: StateStore, F: ServerFormat>(
    settings: EntrySettings,
    store: S,
    format: F,
    stop_asked: impl Future<Output = eyre::Result<()>>,
    source: SettingsSource,
    log: Logger,
) -> eyre::Result<()> {
    let clock = ProcessClock::default();
    let incarnation = clock.incarnation();
    let relayed = NewsLog::new(incarnation, clock);
    let channel = SnapshotChannel::relaying(relayed.clone());
    info!(log, "started"; "vm" => %settings.vm, "domain" => %settings.domain,
        "incarnation" => incarnation, "store" => %settings.store, "callers" => %settings.callers);
    let server_reports = ReportCache::default();
    let (stop_sender, stop) = watch::channel(false);
    let control = {
        let (settings, channel, log) = (settings.clone(), channel.clone(), log.clone());
        let (format, stop, server_reports) = (format.clone(), stop.clone(), server_reports.clone());
        thread::Builder::new().name("control".to_owned()).spawn(move || {
            let parts = ControlParts {
                settings,
                store,
                format,
                incarnation,
                clock,
                channel,
                relayed,
                server_reports,
                stop,
            };
            run_control(parts, log)
        })?
    };
    let metrics = EntryMetrics::default();
    let traffic = Rc::new(TrafficServer::new(TrafficParts {
        format,
        settings: settings.clone(),
        channel: channel.clone(),
        clock,
        metrics: metrics.clone(),
        server_reports,
        seed: incarnation,
        log: log.clone(),
    }));
    let runtime = runtime()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let reread = reread_settings(settings.clone(), source, traffic.clone(), log.clone());
        tokio::task::spawn_local(reread);
        let traffic_end = TrafficEnd { clock, stop_sender, stop_asked };
        run_traffic(settings, traffic, channel, metrics, traffic_end, log.clone()).await
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
    relayed: NewsLog,
    server_reports: ReportCache,
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
            relayed,
            server_reports,
            stop,
        } = parts;
        let beliefs = Rc::new(RefCell::new(StateCache::new(log.clone())));
        let loads: SharedLoads = Rc::new(RefCell::new(LoadBook::default()));
        let follower = NewsFollower {
            store: store.clone(),
            local: settings.callers.ip(),
            state: beliefs.clone(),
            channel: channel.clone(),
            relayed: relayed.clone(),
            choice: SourceSelector::new(settings.vm.clone(), settings.domain.clone()),
            clock,
            log: log.clone(),
        };
        tokio::task::spawn_local(follower.run());
        tokio::task::spawn_local(pass_news_on(settings.news, relayed, log.clone()));
        tokio::task::spawn_local(tell_sightings(
            settings.clone(),
            server_reports.clone(),
            channel.clone(),
            clock,
        ));
        tokio::task::spawn_local(hear_notes(
            settings.clone(),
            server_reports,
            loads.clone(),
            beliefs.clone(),
            channel.clone(),
            clock,
            log.clone(),
        ));
        let presence = VmPresence {
            domain: settings.domain.clone(),
            strength: settings.strength,
            reports: settings.reports,
            news: settings.news,
            incarnation,
        };
        let present = tokio::task::spawn_local(keep_presence(
            store.clone(),
            settings.vm.clone(),
            presence,
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
            beliefs,
            loads,
            log,
        };
        KeyAssigner::new(parts).run(stop).await;
        // Both end with the same signal.
        let _ = present.await;
    });
}

/// Serves the VMs that get their news from this one.
async fn pass_news_on(address: std::net::SocketAddr, relayed: NewsLog, log: Logger) {
    match settings::listen(address, "listen-news").await {
        Ok(listener) => serve_peers(listener, relayed, ByteCount::default(), log).await,
        Err(err) => warn!(log, "relay-listen-failed"; "cause" => %err),
    }
}

/// Takes in what other VMs tell.
async fn hear_notes(
    settings: EntrySettings,
    server_reports: ReportCache,
    loads: SharedLoads,
    beliefs: Rc<RefCell<StateCache>>,
    channel: SnapshotChannel,
    clock: ProcessClock,
    log: Logger,
) {
    let address = settings.reports;
    let socket = match bind_socket(address).await {
        Ok(it) => it,
        Err(err) => {
            warn!(log, "reports-listen-failed"; "address" => %address, "cause" => %err);
            return;
        }
    };
    let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buffer).await else {
            sleep(ROUTER_LOAD_INTERVAL).await;
            continue;
        };
        match decode_datagram(&buffer[..len]) {
            Some(PeerDatagram::Load(note)) => take_load(&loads, note, clock.now()),
            Some(PeerDatagram::Shards(note)) => {
                let mut beliefs = beliefs.borrow_mut();
                // A note that does not follow is made up for by the news.
                if beliefs.apply_shard_note(note) {
                    channel.publish(&mut beliefs);
                }
            }
            Some(PeerDatagram::Opened(note)) => {
                let mut beliefs = beliefs.borrow_mut();
                beliefs.apply_opened_note(note);
                channel.publish(&mut beliefs);
            }
            Some(PeerDatagram::ServerReports(note)) => {
                server_reports.record_remote(&note, &settings.domain, clock.now());
            }
            None => (),
        }
    }
}

/// Tells others what servers reported: the strongest VM of the domain, which tells all of them.
async fn tell_sightings(
    settings: EntrySettings,
    server_reports: ReportCache,
    channel: SnapshotChannel,
    clock: ProcessClock,
) {
    let from = std::net::SocketAddr::new(settings.reports.ip(), 0);
    let Ok(socket) = UdpSocket::bind(from).await else {
        return;
    };
    loop {
        sleep(SERVER_REPORT_INTERVAL).await;
        let outgoing = server_reports.take_outgoing(clock.now());
        let beliefs = channel.current();
        let hub = beliefs.hub(&settings.domain);
        let is_hub = hub.is_some_and(|(vm, _)| *vm == settings.vm);
        let domains: BTreeSet<&DomainName> = beliefs.vms.values().map(|it| &it.domain).collect();
        let (others, peers): (Vec<_>, Vec<_>) = match is_hub {
            true => (
                domains
                    .into_iter()
                    .filter(|it| **it != settings.domain)
                    .filter_map(|it| Some(beliefs.hub(it)?.1.reports))
                    .collect(),
                beliefs
                    .vms
                    .iter()
                    .filter(|(vm, it)| it.domain == settings.domain && **vm != settings.vm)
                    .map(|(_, it)| it.reports)
                    .collect(),
            ),
            false => (hub.map(|(_, it)| it.reports).into_iter().collect(), Vec::new()),
        };
        for (server_reports, targets) in [(outgoing.others, others), (outgoing.domain, peers)] {
            if server_reports.is_empty() {
                continue;
            }
            let note = ReportBatch { domain: settings.domain.clone(), server_reports };
            let Some(bytes) = encode_datagram(PeerDatagram::ServerReports(note)) else {
                continue;
            };
            for target in targets {
                // A lost note is made up for by the next.
                let _ = socket.send_to(&bytes, target).await;
            }
        }
    }
}

fn take_load(loads: &SharedLoads, note: RouterLoad, now: MonoTime) {
    let mut loads = loads.borrow_mut();
    for (service, counts) in note.keys {
        let load: &mut KeyLoad = loads.keys.entry(service).or_default();
        load.decay(now);
        for (key, count) in counts {
            load.add(key, count);
        }
    }
    for (server, millis) in note.work {
        let seconds = f64::from(millis) / 1_000.0;
        let held = loads.work.entry(server).or_insert(seconds);
        *held += (seconds - *held) * WORK_GAIN;
    }
}

/// Weight of one router's report in a server's average.
const WORK_GAIN: f64 = 0.1;

/// Takes changed settings over: at SIGHUP, and without it when the file is found changed.
async fn reread_settings<F: ServerFormat>(
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
        let is_asked = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(SETTINGS_INTERVAL) => false,
        };
        match source() {
            Ok(read) if read != settings => {
                info!(log, "settings-adopted"; "by_signal" => is_asked);
                traffic.adopt_settings(read.clone());
                settings = read;
            }
            Ok(_) if is_asked => info!(log, "settings-unchanged"),
            Ok(_) => (),
            Err(err) => warn!(log, "settings-refused"; "cause" => %err),
        }
    }
}

/// Time between looks at the settings file.
const SETTINGS_INTERVAL: Duration = Duration::from_millis(2_000);

/// How traffic comes to its end.
struct TrafficEnd<E> {
    clock: ProcessClock,
    /// Tells the control thread.
    stop_sender: watch::Sender<bool>,
    /// Done when the process is to stop.
    stop_asked: E,
}

async fn run_traffic<F: ServerFormat>(
    settings: EntrySettings,
    traffic: Rc<TrafficServer<F>>,
    channel: SnapshotChannel,
    metrics: EntryMetrics,
    traffic_end: TrafficEnd<impl Future<Output = eyre::Result<()>>>,
    log: Logger,
) -> eyre::Result<()> {
    let TrafficEnd { clock, stop_sender, stop_asked } = traffic_end;
    let (phase_sender, phase) = watch::channel(ShutdownPhase::Serving);
    let open = Rc::new(RefCell::new(0));
    let listener = settings::listen(settings.callers, "listen-callers").await?;
    let callers =
        serve_callers(listener, traffic.clone(), phase.clone(), open.clone(), log.clone());
    tokio::task::spawn_local(callers);
    let is_ready = {
        let channel = channel.clone();
        move |_: &str| match *phase.borrow() == ShutdownPhase::Serving
            && channel.current().plan.is_some()
        {
            true => (StatusCode::OK, "ready\n".to_owned()),
            false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        }
    };
    let listener = settings::listen(settings.readiness, "listen-readiness").await?;
    tokio::task::spawn_local(serve_texts(listener, Rc::new(is_ready), log.clone()));
    let text = {
        let channel = channel.clone();
        move |path: &str| match path {
            "/metrics" => (StatusCode::OK, telemetry::render(&metrics.registry)),
            "/dump" => (StatusCode::OK, format!("{:#?}\n", channel.current())),
            _ => (StatusCode::NOT_FOUND, String::new()),
        }
    };
    let listener = settings::listen(settings.metrics, "listen-metrics").await?;
    tokio::task::spawn_local(serve_texts(listener, Rc::new(text), log.clone()));
    tokio::task::spawn_local(send_reports(traffic.clone(), channel, settings.clone()));
    stop_asked.await?;
    info!(log, "stopping"; "open_requests" => traffic.n_open(), "connections" => *open.borrow());
    phase_sender.send_replace(ShutdownPhase::Draining);
    stop_sender.send_replace(true);
    let asked_at = clock.now();
    let latest = asked_at + settings.grace.saturating_sub(GRACE_MARGIN);
    sleep(BALANCER_TIME.min(settings.grace / 2)).await;
    phase_sender.send_replace(ShutdownPhase::Closing);
    while clock.now() < latest && (traffic.n_open() > 0 || *open.borrow() > 0) {
        sleep(END_INTERVAL).await;
    }
    info!(log, "stopping-done"; "open_requests" => traffic.n_open(),
        "after_ms" => clock.now().since(asked_at).as_millis() as u64);
    Ok(())
}

/// Tells the assigner what came in, and tidies up.
async fn send_reports<F: ServerFormat>(
    traffic: Rc<TrafficServer<F>>,
    channel: SnapshotChannel,
    settings: EntrySettings,
) {
    let from = std::net::SocketAddr::new(settings.reports.ip(), 0);
    let Ok(socket) = UdpSocket::bind(from).await.map(Arc::new) else {
        return;
    };
    let mut n_rounds: u32 = 0;
    loop {
        sleep(ROUTER_LOAD_INTERVAL).await;
        n_rounds += 1;
        if u128::from(n_rounds) * ROUTER_LOAD_INTERVAL.as_millis() >= SWEEP_INTERVAL.as_millis() {
            traffic.sweep();
            n_rounds = 0;
        }
        let note = traffic.take_router_load();
        let assigner = channel.current().assigner.as_ref().map(|it| it.record.reports);
        if let (Some(assigner), Some(bytes)) = (assigner, encode_datagram(PeerDatagram::Load(note)))
        {
            // A lost report is made up for by the next.
            let _ = socket.send_to(&bytes, assigner).await;
        }
    }
}
