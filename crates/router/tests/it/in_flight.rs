//! Which map version a router reports as drained while a server may still run an earlier request.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use model::{
    DomainName, FencingToken, Incarnation, MapVersion, SheetRevision, SliceId, SliceKey, Term,
};
use ownership::{
    DomainMap, HomeEntry, HomesTable, HomesUpdate, LeaseReply, LeaseTiming, MapStamp, MapUpdate,
    OwnerEntry, SlicePhase, VmId,
};
use peer::{
    ByteCounter, PeerReply, PeerRequest, PeerService, SheetText, WatchReply, WatchRequest,
    serve_peers,
};
use router::{RawSettings, RouterSettings, run_router};
use sheet::PlanSheet;
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Deadline of the service's requests.
const DEADLINE: Duration = Duration::from_millis(1_200);

/// Longest wait for an event that a test needs.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A planner that always acts, and grants leases on its map.
#[derive(Clone)]
struct StandInPlanner {
    sheet: SheetText,
    homes: HomesTable,
    map: Arc<Mutex<Arc<DomainMap>>>,
    /// Each map version that a router held, with the version that it reported as drained then.
    drained: Arc<Mutex<Vec<(MapVersion, MapVersion)>>>,
}

impl StandInPlanner {
    fn watch(&self, request: &WatchRequest) -> WatchReply {
        let map = self.map.lock().unwrap().clone();
        let is_newer = request.map.is_some_and(|it| it < map.stamp);
        WatchReply {
            is_acting: true,
            sheet: Some(self.sheet.clone()).filter(|it| request.sheet < it.revision),
            homes: (request.homes < self.homes.revision)
                .then(|| HomesUpdate::Full(self.homes.clone())),
            map: is_newer.then(|| MapUpdate::Full(map)),
            cold: Vec::new(),
        }
    }

    /// Whether the router has held `version` in a lease request, and what was drained then first.
    fn first_drained(&self, version: u64) -> Option<MapVersion> {
        let drained = self.drained.lock().unwrap();
        drained.iter().find(|it| it.0 == MapVersion(version)).map(|it| it.1)
    }
}

impl PeerService for StandInPlanner {
    type Request = PeerRequest;

    async fn answer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Watch(request) => {
                let reply = self.watch(&request);
                if reply.sheet.is_none() && reply.homes.is_none() && reply.map.is_none() {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
                PeerReply::Watch(self.watch(&request))
            }
            PeerRequest::Lease(request) => {
                let map = self.map.lock().unwrap().clone();
                self.drained.lock().unwrap().push((request.held.version, request.drained));
                let lease = LeaseTiming::default().router_lease;
                PeerReply::Lease(match request.held == map.stamp {
                    true => LeaseReply::Leased { stamp: map.stamp, lease },
                    false => LeaseReply::NewerMap { map },
                })
            }
            _ => PeerReply::Ack,
        }
    }
}

fn domain() -> DomainName {
    DomainName::try_from("d0").unwrap()
}

/// A map whose only slice was given to `s0` in version `owned_since`.
fn map(version: u64, key: &SliceKey, owned_since: u64, phase: SlicePhase) -> Arc<DomainMap> {
    let vm = VmId { name: "vm0".try_into().unwrap(), incarnation: Incarnation(1) };
    let token = FencingToken { epoch: 1, term: Term(1), version: MapVersion(owned_since) };
    let owner = Some("s0".try_into().unwrap());
    let entry = OwnerEntry { owner, token, previous: Default::default(), phase };
    Arc::new(DomainMap {
        domain: domain(),
        stamp: MapStamp { term: Term(1), version: MapVersion(version) },
        planner: vm.clone(),
        witnesses: [vm].into_iter().collect(),
        joint_witnesses: Default::default(),
        entries: [(key.clone(), entry)].into_iter().collect(),
    })
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// An address at which nothing listens yet.
async fn free_address() -> SocketAddr {
    listen().await.1
}

async fn wait_for<T>(mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(it) = check().await {
            return it;
        }
        assert!(started_at.elapsed() < MAX_WAIT, "the awaited event did not occur");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A router that serves callers, with its planner and the listener of the only server.
struct RouterFixture {
    planner: StandInPlanner,
    caller: SocketAddr,
    server: TcpListener,
    key: SliceKey,
}

impl RouterFixture {
    async fn start() -> Self {
        let (planner_listener, planner_address) = listen().await;
        let (server, server_address) = listen().await;
        let (caller, peer) = (free_address().await, free_address().await);
        let operator = free_address().await;
        let deadline_ms = DEADLINE.as_millis();
        let text = format!(
            "kind,name,domain,service,address,state,from,until,settings\n\
             domain,d0,,,,in,,,\n\
             service,queue,,,,,,,kind=keyed;slice-bits=0;check=none;deadline-ms={deadline_ms}\n\
             vm,vm0,d0,,{peer},in,,,planner={planner_address}\n\
             server,s0,d0,queue,{server_address},in,,,\n"
        );
        let sheet = PlanSheet::try_from(text.as_str()).unwrap();
        let slice = SliceId::all(0).next().unwrap();
        let key = SliceKey { service: sheet.services.keys().next().unwrap().clone(), slice };
        let home = HomeEntry { domain: domain(), epoch: 1 };
        let planner = StandInPlanner {
            sheet: SheetText { revision: SheetRevision(1), text: text.into() },
            homes: HomesTable {
                revision: 1,
                attempt: 1,
                entries: [(key.clone(), home)].into_iter().collect(),
            },
            map: Arc::new(Mutex::new(map(1, &key, 1, SlicePhase::Open))),
            drained: Arc::default(),
        };
        let log = Logger::root(Discard, o!());
        tokio::spawn(serve_peers(planner_listener, planner.clone(), ByteCounter::default(), log));
        let raw: RawSettings = toml::from_str(&format!(
            "vm = \"vm0\"\ndomain = \"d0\"\nlocal = \"127.0.0.1\"\n\
             planners = [\"{planner_address}\"]\n\
             [listen]\ncaller = \"{caller}\"\npeer = \"{peer}\"\noperator = \"{operator}\"\n\
             [log]\nlevel = \"error\"\n"
        ))
        .unwrap();
        let settings = RouterSettings::try_from(raw).unwrap();
        std::thread::spawn(move || run_router(settings));
        Self { planner, caller, server, key }
    }

    /// Sends a request as a caller, again until the server has taken it. Returns the connections of
    /// the caller and of the server, and when it was sent.
    async fn send(&self, method: &str) -> (TcpStream, TcpStream, Instant) {
        let request = format!("{method} /queue/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        wait_for(async || {
            let mut call = TcpStream::connect(self.caller).await.ok()?;
            let sent_at = Instant::now();
            call.write_all(request.as_bytes()).await.ok()?;
            let (server, _) = self.accept(Duration::from_millis(200)).await?;
            Some((call, server, sent_at))
        })
        .await
    }

    /// Takes a request on a new connection, and returns its head too.
    async fn accept(&self, wait: Duration) -> Option<(TcpStream, String)> {
        let (mut server, _) = tokio::time::timeout(wait, self.server.accept()).await.ok()?.ok()?;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(server.read_u8().await.ok()?);
        }
        Some((server, String::from_utf8(head).ok()?))
    }

    /// Takes the slice from the server, and checks that the request sent to it at `sent_at` counts as
    /// in flight until its deadline.
    async fn check_counted_until_deadline(&self, sent_at: Instant) {
        *self.planner.map.lock().unwrap() = map(2, &self.key, 2, SlicePhase::Moving);
        let first = wait_for(async || self.planner.first_drained(2)).await;
        assert!(sent_at.elapsed() < DEADLINE, "the machine is too slow for this test");
        assert_eq!(first, MapVersion(1));
        let is_drained = async || {
            let newest = self.planner.drained.lock().unwrap().last().copied();
            newest.filter(|it| it.1 == MapVersion(2)).map(|_| ())
        };
        wait_for(is_drained).await;
        assert!(sent_at.elapsed() >= DEADLINE, "reported as drained before the deadline");
    }
}

/// A caller that closes its connection ends its wait, but not the request at a server that goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_caller_has_left_counts_until_its_deadline() {
    let router = RouterFixture::start().await;
    let (call, _server, sent_at) = router.send("PUT").await;
    drop(call);
    tokio::time::sleep(Duration::from_millis(100)).await;
    router.check_counted_until_deadline(sent_at).await;
}

/// The answer to the second send of a request does not end the first one, which the server may still
/// run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_send_that_another_one_has_overtaken_counts_until_its_deadline() {
    let router = RouterFixture::start().await;
    let (mut call, _first, sent_at) = router.send("GET").await;
    let (mut second, head) = router.accept(DEADLINE).await.unwrap();
    let id = head.lines().find(|it| it.to_ascii_lowercase().starts_with("x-request-id:")).unwrap();
    let answer = format!("HTTP/1.1 200 OK\r\n{id}\r\nContent-Length: 0\r\n\r\n");
    second.write_all(answer.as_bytes()).await.unwrap();
    let mut status = [0; 12];
    call.read_exact(&mut status).await.unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
    router.check_counted_until_deadline(sent_at).await;
}
