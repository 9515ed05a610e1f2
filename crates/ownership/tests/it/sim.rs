//! Simulation of a failure domain with its planners, routers and servers. A seeded random generator
//! decides the delay and so the order of all messages.

mod checks;
mod delivery;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    sync::Arc,
    time::Duration,
};

use model::{
    DomainName, FencingToken, Incarnation, MapVersion, MonoTime, OwnerCheck, ServerName,
    ServiceName, SheetRevision, SliceId, SliceKey, VmName, WallTime,
};
use ownership::{
    AcceptReply, AcceptRequest, DomainMap, DomainPlanner, GrantOutcome, GrantRequest, HomesTable,
    InflightCounts, LeaseReply, LeaseRequest, LeaseTiming, PlannerAction, PlannerConfig,
    PlannerEvent, PrepareReply, PrepareRequest, RouterView, SheetDoc, StoredRecord, VmId,
    WriteOutcome,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use sheet::PlanSheet;

/// Resolution of the simulated time.
pub const STEP: Duration = Duration::from_millis(5);
const PLANNER_TICK_MS: u64 = 20;
const LEASE_INTERVAL_MS: u64 = 100;
const REQUEST_INTERVAL_MS: u64 = 35;
const CALL_TIMEOUT: Duration = Duration::from_millis(220);
pub const DEADLINE: Duration = Duration::from_millis(300);
const SLICE_BITS: u8 = 2;

/// A fault, or a change by an operator, with the index of its target and its length in milliseconds;
/// `LoseReplies` has the number of store replies to lose.
#[derive(Debug, Clone)]
pub enum SimFault {
    PausePlanner(usize, u64),
    KillPlanner(usize),
    IsolatePlanner(usize, u64),
    /// Isolates the planner and router of a VM from the other VMs and the store.
    IsolateVm(usize, u64),
    PauseRouter(usize, u64),
    FreezeServer(usize, u64),
    KillServer(usize, u64),
    DrainServer(usize),
    ReturnServer(usize),
    StoreDown(u64),
    LoseReplies(u32),
}

enum SimMessage {
    Event(usize, Incarnation, PlannerEvent),
    Accept { from: usize, to: usize, request: AcceptRequest, sent_at: MonoTime },
    Prepare { from: usize, to: usize, request: PrepareRequest },
    Hello { from: usize, to: usize, sent_at: MonoTime },
    Read(usize),
    Write { from: usize, map: Arc<DomainMap>, expected: Option<u64> },
    WriteHomes { from: usize, table: HomesTable },
    Grant { from: usize, server: usize, request: GrantRequest, sent_at: MonoTime },
    Probe { from: usize, server: usize, sent_at: MonoTime },
    Lease { router: usize, to: usize, number: u64, request: LeaseRequest },
    Leased { router: usize, from: usize, number: u64, answer: LeaseReply },
}

struct SimPlanner {
    planner: DomainPlanner,
    incarnation: Incarnation,
    paused_until: MonoTime,
    isolated_until: MonoTime,
    vm_isolated_until: MonoTime,
    published: Option<Arc<DomainMap>>,
}

#[derive(Default)]
struct SimServer {
    granted: BTreeMap<SliceKey, FencingToken>,
    lease_until: MonoTime,
    term: u64,
    set_version: u64,
    receipts: BTreeMap<String, MonoTime>,
    next_receipt: u64,
    frozen_until: MonoTime,
    dead_until: MonoTime,
}

struct SimRouter {
    view: RouterView,
    paused_until: MonoTime,
    acting: Option<usize>,
    /// Requests in flight: slice, token, server and end.
    in_flight: Vec<(SliceKey, FencingToken, usize, MonoTime)>,
}

#[derive(Default)]
struct SimStore {
    record: Option<(Arc<DomainMap>, u64)>,
    homes: HomesTable,
    revision: u64,
    down_until: MonoTime,
    n_replies_to_lose: u32,
}

pub struct DomainSim {
    pub now: MonoTime,
    rng: SmallRng,
    timing: LeaseTiming,
    check: OwnerCheck,
    planners: Vec<SimPlanner>,
    servers: Vec<SimServer>,
    routers: Vec<SimRouter>,
    store: SimStore,
    queue: BTreeMap<(MonoTime, u64), SimMessage>,
    sequence: u64,
    drained: BTreeSet<usize>,
    revision: u64,
    newest_routed: BTreeMap<SliceKey, FencingToken>,
    newest_granted: BTreeMap<SliceKey, FencingToken>,
    pub log: String,
    pub violations: Vec<String>,
}

fn domain() -> DomainName {
    DomainName::try_from("d0").unwrap()
}

fn vm_name(idx: usize) -> VmName {
    VmName::try_from(format!("vm{idx}").as_str()).unwrap()
}

fn server_name(idx: usize) -> ServerName {
    ServerName::try_from(format!("s{idx}").as_str()).unwrap()
}

pub fn service() -> ServiceName {
    ServiceName::try_from("queue").unwrap()
}

fn index_of(name: &str) -> usize {
    name.trim_start_matches(|it: char| it.is_alphabetic()).parse().unwrap()
}

impl DomainSim {
    pub fn new(n_vms: usize, n_servers: usize, check: OwnerCheck, seed: u64) -> Self {
        let now = MonoTime::from_millis(10_000);
        let mut sim = Self {
            now,
            rng: SmallRng::seed_from_u64(seed),
            timing: LeaseTiming::default(),
            check,
            planners: Vec::new(),
            servers: (0..n_servers).map(|_| SimServer::default()).collect(),
            routers: Vec::new(),
            store: SimStore::default(),
            queue: BTreeMap::new(),
            sequence: 0,
            drained: BTreeSet::new(),
            revision: 0,
            newest_routed: BTreeMap::new(),
            newest_granted: BTreeMap::new(),
            log: String::new(),
            violations: Vec::new(),
        };
        for idx in 0..n_vms {
            let planner = sim.new_planner(idx);
            sim.planners.push(planner);
            sim.routers.push(SimRouter {
                view: RouterView::default(),
                paused_until: now,
                acting: None,
                in_flight: Vec::new(),
            });
        }
        sim.apply_sheet();
        sim
    }

    fn new_planner(&mut self, idx: usize) -> SimPlanner {
        let incarnation = Incarnation(self.rng.random_range(1..1_000_000));
        let config = PlannerConfig {
            id: VmId { name: vm_name(idx), incarnation },
            domain: domain(),
            timing: self.timing,
        };
        SimPlanner {
            planner: DomainPlanner::new(config, self.now),
            incarnation,
            paused_until: self.now,
            isolated_until: self.now,
            vm_isolated_until: self.now,
            published: None,
        }
    }

    fn sheet_doc(&self) -> SheetDoc {
        let check = self.check;
        let deadline = DEADLINE.as_millis();
        let mut text = "kind,name,domain,service,address,state,from,until,settings\n\
                        domain,d0,,,,in,,,\n"
            .to_owned();
        writeln!(
            text,
            "service,queue,,,,,,,kind=keyed;slice-bits={SLICE_BITS};check={check};deadline-ms={deadline}"
        )
        .unwrap();
        for idx in 0..self.planners.len().max(1) {
            writeln!(text, "vm,vm{idx},d0,,10.0.0.{idx}:1,in,,,planner=10.0.0.{idx}:2").unwrap();
        }
        for idx in 0..self.servers.len() {
            let state = if self.drained.contains(&idx) { "out" } else { "in" };
            writeln!(text, "server,s{idx},d0,queue,10.0.1.{idx}:1,{state},,,").unwrap();
        }
        let sheet = PlanSheet::try_from(text.as_str()).unwrap();
        SheetDoc { revision: SheetRevision(self.revision), sheet: Arc::new(sheet) }
    }

    fn apply_sheet(&mut self) {
        self.revision += 1;
        let doc = self.sheet_doc();
        for idx in 0..self.planners.len() {
            self.send_event(idx, PlannerEvent::SheetLearned(doc.clone()));
        }
    }

    pub fn inject(&mut self, fault: &SimFault) {
        let now = self.now;
        let after = |ms: &u64| now + Duration::from_millis(*ms);
        writeln!(self.log, "{} {fault:?}", now.as_millis() - 10_000).unwrap();
        match fault {
            SimFault::PausePlanner(idx, ms) => self.planner(*idx).paused_until = after(ms),
            SimFault::IsolatePlanner(idx, ms) => self.planner(*idx).isolated_until = after(ms),
            SimFault::IsolateVm(idx, ms) => {
                let planner = self.planner(*idx);
                planner.isolated_until = after(ms);
                planner.vm_isolated_until = after(ms);
            }
            SimFault::KillPlanner(idx) => {
                let idx = idx % self.planners.len();
                self.planners[idx] = self.new_planner(idx);
                let doc = self.sheet_doc();
                self.send_event(idx, PlannerEvent::SheetLearned(doc));
                let homes = self.store.homes.clone();
                self.send_event(idx, PlannerEvent::HomesLearned(homes));
            }
            SimFault::PauseRouter(idx, ms) => {
                let idx = idx % self.routers.len();
                self.routers[idx].paused_until = after(ms);
            }
            SimFault::FreezeServer(idx, ms) => self.server(*idx).frozen_until = after(ms),
            SimFault::KillServer(idx, ms) => {
                let until = after(ms);
                let killed = idx % self.servers.len();
                for router in &mut self.routers {
                    router.in_flight.retain(|it| it.2 != killed);
                }
                let server = self.server(*idx);
                *server = SimServer { dead_until: until, ..SimServer::default() };
            }
            SimFault::DrainServer(idx) => {
                let idx = idx % self.servers.len();
                if self.drained.len() + 1 < self.servers.len() {
                    self.drained.insert(idx);
                }
                self.apply_sheet();
            }
            SimFault::ReturnServer(idx) => {
                let idx = idx % self.servers.len();
                self.drained.remove(&idx);
                self.apply_sheet();
            }
            SimFault::StoreDown(ms) => self.store.down_until = after(ms),
            SimFault::LoseReplies(n) => self.store.n_replies_to_lose = *n,
        }
    }

    fn planner(&mut self, idx: usize) -> &mut SimPlanner {
        let idx = idx % self.planners.len();
        &mut self.planners[idx]
    }

    fn server(&mut self, idx: usize) -> &mut SimServer {
        let idx = idx % self.servers.len();
        &mut self.servers[idx]
    }

    /// Runs for `length` and checks the invariants after each step.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver_due();
            let ms = self.now.as_millis();
            if ms.is_multiple_of(PLANNER_TICK_MS) {
                for idx in 0..self.planners.len() {
                    if self.planners[idx].paused_until <= self.now {
                        self.handle_event(idx, PlannerEvent::Tick);
                    }
                }
            }
            for idx in 0..self.routers.len() {
                self.run_router(idx, ms);
            }
            self.check_invariants();
        }
    }

    fn run_router(&mut self, idx: usize, ms: u64) {
        let now = self.now;
        self.routers[idx].in_flight.retain(|it| it.3 > now);
        if self.routers[idx].paused_until > now {
            return;
        }
        if (ms + 15 * idx as u64).is_multiple_of(LEASE_INTERVAL_MS) {
            self.request_lease(idx);
        }
        if (ms + 5 * idx as u64).is_multiple_of(REQUEST_INTERVAL_MS) {
            self.send_requests(idx);
        }
    }

    fn request_lease(&mut self, idx: usize) {
        let targets: Vec<usize> = match self.routers[idx].acting {
            Some(it) => vec![it],
            None => (0..self.planners.len()).collect(),
        };
        // If this planner does not answer, the next request goes to all planners again.
        self.routers[idx].acting = None;
        for to in targets {
            let router = &mut self.routers[idx];
            let number = router.view.begin_renewal(self.now);
            let map = router.view.map().cloned();
            let request = LeaseRequest {
                router: VmId { name: vm_name(idx), incarnation: Incarnation(7) },
                held: router.view.stamp(),
                held_open: map.as_ref().map_or(0, |it| it.open_count() as u32),
                drained: map.as_ref().map_or(MapVersion(0), |it| drained(router, it)),
                suspects: Default::default(),
            };
            self.send(SimMessage::Lease { router: idx, to, number, request });
        }
    }

    fn send_requests(&mut self, idx: usize) {
        let service_time = Duration::from_millis(self.rng.random_range(5..280));
        for slice in SliceId::all(SLICE_BITS) {
            let router = &mut self.routers[idx];
            let Ok(route) = router.view.route(&service(), slice, slice.start(), self.now) else {
                continue;
            };
            let server = index_of(route.server.as_str());
            let is_running = self.servers[server].dead_until <= self.now;
            if is_running && router.in_flight.iter().filter(|it| it.0 == route.slice).count() < 3 {
                // A frozen server may execute the request at any time until its deadline.
                let is_frozen = self.servers[server].frozen_until > self.now;
                let end = self.now + if is_frozen { DEADLINE } else { service_time };
                router.in_flight.push((route.slice, route.token, server, end));
            }
        }
    }

    fn send(&mut self, message: SimMessage) {
        let delay = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(20..180),
            _ => self.rng.random_range(1..12),
        };
        self.deliver_after(Duration::from_millis(delay), message);
    }

    fn deliver_after(&mut self, delay: Duration, message: SimMessage) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), message);
    }

    fn send_event(&mut self, idx: usize, event: PlannerEvent) {
        let incarnation = self.planners[idx].incarnation;
        self.send(SimMessage::Event(idx, incarnation, event));
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let message = entry.remove();
            if let Some(until) = self.delayed_until(&message) {
                self.sequence += 1;
                self.queue.insert((until + STEP, self.sequence), message);
                continue;
            }
            self.deliver(message);
        }
    }

    /// When the receiver of `message` will be able to take it, if it cannot do so now.
    fn delayed_until(&self, message: &SimMessage) -> Option<MonoTime> {
        let until = match message {
            SimMessage::Event(to, ..)
            | SimMessage::Accept { to, .. }
            | SimMessage::Prepare { to, .. }
            | SimMessage::Hello { to, .. }
            | SimMessage::Lease { to, .. } => self.planners[*to].paused_until,
            SimMessage::Grant { server, .. } | SimMessage::Probe { server, .. } => {
                self.servers[*server].frozen_until
            }
            SimMessage::Leased { router, .. } => self.routers[*router].paused_until,
            SimMessage::Read(_) | SimMessage::Write { .. } | SimMessage::WriteHomes { .. } => {
                self.store.down_until
            }
        };
        (until > self.now).then_some(until)
    }

    fn is_isolated(&self, a: usize, b: usize) -> bool {
        a != b
            && (self.planners[a].isolated_until > self.now
                || self.planners[b].isolated_until > self.now)
    }

    fn is_router_isolated(&self, router: usize, planner: usize) -> bool {
        let is_isolated = |it: usize| self.planners[it].vm_isolated_until > self.now;
        router != planner && (is_isolated(router) || is_isolated(planner))
    }

    fn is_store_unreachable(&self, planner: usize) -> bool {
        self.planners[planner].vm_isolated_until > self.now
    }

    fn time_out(&mut self, planner: usize, event: PlannerEvent) {
        let incarnation = self.planners[planner].incarnation;
        self.deliver_after(CALL_TIMEOUT, SimMessage::Event(planner, incarnation, event));
    }
}

impl SimServer {
    fn issue(&mut self, now: MonoTime) -> String {
        self.next_receipt += 1;
        let receipt = format!("r{}-{}", now.as_micros(), self.next_receipt);
        self.receipts.insert(receipt.clone(), now);
        receipt
    }
}

fn drained(router: &SimRouter, map: &DomainMap) -> MapVersion {
    let mut counts = InflightCounts::default();
    for (slice, token, ..) in &router.in_flight {
        counts.enter(slice, *token);
    }
    counts.drained(map)
}
