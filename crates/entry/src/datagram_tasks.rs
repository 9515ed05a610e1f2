//! Tasks that send this VM's datagrams and apply those of other VMs.

use std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use model::{DomainName, MonoTime};
use ownership::KeyLoad;
use policy::PermitDecision;
use settings::ProcessClock;
use slog::{Logger, warn};
use tokio::{net::UdpSocket, time::sleep};

use crate::{
    BackpressureCache, EntrySettings, ReportBatch, ReportCache, ServerFormat, SharedPools,
    SnapshotChannel, TrafficServer, WarmthBatch, WarmthCache,
    assigner::SharedLoads,
    datagrams::{
        DATAGRAM_BUFFER_BYTES, PeerDatagram, ROUTER_LOAD_INTERVAL, RouterLoad, bind_socket,
        decode_datagram, encode_datagrams,
    },
    permits::{PermitReply, PermitRequest, SharedKeeper},
    server_reports::SERVER_REPORT_INTERVAL,
    state_cache::StateCache,
};

/// Receives datagrams of other VMs and applies them.
pub(crate) struct DatagramReceiver {
    pub(crate) settings: EntrySettings,
    pub(crate) server_reports: ReportCache,
    pub(crate) backpressure: BackpressureCache,
    pub(crate) warmth: WarmthCache,
    pub(crate) permit_keeper: SharedKeeper,
    pub(crate) quota_pools: SharedPools,
    pub(crate) loads: SharedLoads,
    pub(crate) cache: Rc<RefCell<StateCache>>,
    pub(crate) channel: SnapshotChannel,
    pub(crate) clock: ProcessClock,
    pub(crate) log: Logger,
}

impl DatagramReceiver {
    /// Receives datagrams for as long as the process runs.
    pub(crate) async fn run(self) {
        let address = self.settings.reports;
        let socket = match bind_socket(address).await {
            Ok(it) => it,
            Err(err) => {
                warn!(self.log, "reports-listen-failed"; "address" => %address, "cause" => %err);
                return;
            }
        };
        let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
        loop {
            let Ok((len, from)) = socket.recv_from(&mut buffer).await else {
                sleep(ROUTER_LOAD_INTERVAL).await;
                continue;
            };
            let datagram = decode_datagram(&buffer[..len]);
            let reply = datagram.and_then(|it| self.apply(it, self.clock.now()));
            // A reply is never too long.
            let bytes = reply.and_then(|it| encode_datagrams(it).ok()).unwrap_or_default();
            for bytes in bytes {
                // The caller sends a call again whose reply is lost.
                let _ = socket.send_to(&bytes, from).await;
            }
        }
    }

    /// Applies a datagram and returns the reply to it, if it is a call.
    fn apply(&self, datagram: PeerDatagram, now: MonoTime) -> Option<PeerDatagram> {
        match datagram {
            PeerDatagram::Load(load) => apply_router_load(&self.loads, load, now),
            PeerDatagram::Shards(update) => {
                let mut cache = self.cache.borrow_mut();
                // The change stream makes up for an update that is not contiguous.
                if cache.apply_shard_update(update) {
                    self.channel.publish(&mut cache);
                }
            }
            PeerDatagram::Acked(range) => {
                let mut cache = self.cache.borrow_mut();
                cache.apply_acked_range(range);
                self.channel.publish(&mut cache);
            }
            PeerDatagram::ServerReports(batch) => {
                let own_domain = &self.settings.domain;
                self.server_reports.record_remote(&batch, own_domain, now);
                let ReportBatch { backpressure, domain, .. } = batch;
                self.backpressure.record_remote(&backpressure, &domain, own_domain, now);
            }
            PeerDatagram::Warmth(batch) => {
                self.warmth.record_remote(&batch, &self.settings.domain, now);
            }
            PeerDatagram::PermitRequest(request) => {
                let PermitRequest { id, .. } = request;
                let decision = self.decide_permit(request, now);
                return Some(PeerDatagram::PermitReply(PermitReply { id, decision }));
            }
            PeerDatagram::Quota(call) => {
                let draw = rand::random();
                let reply = self.quota_pools.lock().handle(call, draw, now);
                return reply.map(PeerDatagram::QuotaReply);
            }
            // Replies go to the sockets of their callers.
            PeerDatagram::PermitReply(_) | PeerDatagram::QuotaReply(_) => (),
        }
        None
    }

    /// Decides on a permit by the newest rate that either VM knows of.
    fn decide_permit(&self, request: PermitRequest, now: MonoTime) -> PermitDecision {
        let PermitRequest { server, rank, max_wait_ms, .. } = request;
        let domain = &self.settings.domain;
        self.backpressure.record_remote(std::slice::from_ref(&server), domain, domain, now);
        let Some(max_rate) = self.backpressure.state(&server.server, server.born).max_rate() else {
            return PermitDecision::Granted(Duration::ZERO);
        };
        let rate = rank.rate(max_rate, self.channel.current().n_sharing_vms());
        let max_wait = Duration::from_millis(max_wait_ms.into());
        let mut keeper = self.permit_keeper.lock();
        keeper.decide(&server.server, server.born, rank, rate, max_wait, now)
    }
}

/// What servers have said of themselves to this VM or to others.
pub(crate) struct SharedReports {
    pub(crate) server_reports: ReportCache,
    pub(crate) backpressure: BackpressureCache,
    pub(crate) warmth: WarmthCache,
}

/// Sends the servers' reports to the domain's relay, which forwards them to the VMs of its domain
/// and to the relays of the other domains.
pub(crate) async fn send_server_reports(
    settings: EntrySettings,
    shared_reports: SharedReports,
    channel: SnapshotChannel,
    clock: ProcessClock,
    log: Logger,
) {
    let SharedReports { server_reports, backpressure, warmth } = shared_reports;
    let socket = bind_sender(&settings, &log).await;
    loop {
        sleep(SERVER_REPORT_INTERVAL).await;
        let reports = server_reports.take_outgoing(clock.now());
        let backpressure = backpressure.take_outgoing(clock.now());
        let warmth = warmth.take_outgoing(clock.now());
        let snapshot = channel.current();
        let domain_relay = snapshot.domain_relay(&settings.domain);
        let is_domain_relay = domain_relay.is_some_and(|(vm, _)| *vm == settings.vm);
        let domains: BTreeSet<&DomainName> = snapshot.vms.values().map(|it| &it.domain).collect();
        let (others, peers): (Vec<_>, Vec<_>) = match is_domain_relay {
            true => (
                domains
                    .into_iter()
                    .filter(|it| **it != settings.domain)
                    .filter_map(|it| Some(snapshot.domain_relay(it)?.1.reports))
                    .collect(),
                snapshot
                    .vms
                    .iter()
                    .filter(|(vm, it)| it.domain == settings.domain && **vm != settings.vm)
                    .map(|(_, it)| it.reports)
                    .collect(),
            ),
            false => (domain_relay.map(|(_, it)| it.reports).into_iter().collect(), Vec::new()),
        };
        let domain = &settings.domain;
        let batch = |server_reports, backpressure| ReportBatch {
            domain: domain.clone(),
            server_reports,
            backpressure,
        };
        let warmth_batch = |reports| WarmthBatch { domain: domain.clone(), reports };
        let for_others = (batch(reports.others, backpressure.others), warmth_batch(warmth.others));
        let for_domain = (batch(reports.domain, backpressure.domain), warmth_batch(warmth.domain));
        for ((batch, warmth), targets) in [(for_others, others), (for_domain, peers)] {
            let mut datagrams = Vec::new();
            // Batches can always be divided.
            if !batch.is_empty() {
                let batch = PeerDatagram::ServerReports(batch);
                datagrams.extend(encode_datagrams(batch).unwrap_or_default());
            }
            if !warmth.reports.is_empty() {
                let warmth = PeerDatagram::Warmth(warmth);
                datagrams.extend(encode_datagrams(warmth).unwrap_or_default());
            }
            for target in targets {
                for bytes in &datagrams {
                    // The next batch makes up for a lost datagram.
                    let _ = socket.send_to(bytes, target).await;
                }
            }
        }
    }
}

fn apply_router_load(loads: &SharedLoads, load: RouterLoad, now: MonoTime) {
    let mut loads = loads.borrow_mut();
    for (service, counts) in load.keys {
        let key_load: &mut KeyLoad = loads.keys.entry(service).or_default();
        key_load.decay(now);
        for (key, count) in counts {
            key_load.add(key, count);
        }
    }
    for (server, millis) in load.work {
        let seconds = f64::from(millis) / 1_000.0;
        let average = loads.work.entry(server).or_insert(seconds);
        *average += (seconds - *average) * WORK_GAIN;
    }
}

/// Weight of one router's report in the moving average of a server's work.
const WORK_GAIN: f64 = 0.1;

/// Sends the load of this router to the assigner.
pub(crate) async fn send_router_loads<F: ServerFormat>(
    traffic: Rc<TrafficServer<F>>,
    channel: SnapshotChannel,
    settings: EntrySettings,
    log: Logger,
) {
    let socket = bind_sender(&settings, &log).await;
    loop {
        sleep(ROUTER_LOAD_INTERVAL).await;
        let load = traffic.take_router_load();
        let Some(assigner) = channel.current().assigner.as_ref().map(|it| it.record.reports) else {
            continue;
        };
        if load.is_empty() {
            continue;
        }
        // Loads can always be divided.
        for bytes in encode_datagrams(PeerDatagram::Load(load)).unwrap_or_default() {
            // The next report makes up for a lost one.
            let _ = socket.send_to(&bytes, assigner).await;
        }
    }
}

/// Binds a socket for outgoing datagrams; tries again until it succeeds.
async fn bind_sender(settings: &EntrySettings, log: &Logger) -> UdpSocket {
    let address = SocketAddr::new(settings.reports.ip(), 0);
    loop {
        match bind_socket(address).await {
            Ok(socket) => return socket,
            Err(err) => warn!(log, "datagram-bind-failed"; "address" => %address, "cause" => %err),
        }
        sleep(BIND_RETRY_DELAY).await;
    }
}

/// Delay before another attempt to bind a socket.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(1_000);
