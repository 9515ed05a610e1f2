//! A domain of pure planners, routers and servers, with messages delivered in a seeded order.

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
    AcceptAnswer, AcceptAsk, DomainMap, DomainPlanner, GrantAnswer, GrantOrder, HomesTable,
    InflightCounts, LeaseAnswer, LeaseAsk, LeaseTiming, PlannerAction, PlannerEvent,
    PlannerIdentity, PrepareAnswer, PrepareAsk, RouterView, SheetDoc, StoredRecord, VmId,
    WriteOutcome,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use sheet::PlanSheet;

pub const STEP: Duration = Duration::from_millis(5);
const TICK_MS: u64 = 20;
const ASK_MS: u64 = 100;
const REQUEST_MS: u64 = 35;
const CALL_TIMEOUT: Duration = Duration::from_millis(220);
pub const DEADLINE: Duration = Duration::from_millis(300);
const SLICE_BITS: u8 = 2;

/// Something that goes wrong, or is ordered.
#[derive(Debug, Clone)]
pub enum Trouble {
    PausePlanner(usize, u64),
    KillPlanner(usize),
    CutPlanner(usize, u64),
    /// Cuts planner and router of a VM off from the other VMs and the store.
    CutVm(usize, u64),
    PauseRouter(usize, u64),
    FreezeServer(usize, u64),
    KillServer(usize, u64),
    DrainServer(usize),
    ReturnServer(usize),
    StoreDown(u64),
    LoseReplies(u32),
}

enum Delivery {
    Event(usize, Incarnation, PlannerEvent),
    Accept { from: usize, to: usize, ask: AcceptAsk, asked_at: MonoTime },
    Prepare { from: usize, to: usize, ask: PrepareAsk },
    Hello { from: usize, to: usize },
    Read(usize),
    Write { from: usize, map: Arc<DomainMap>, expected: Option<u64> },
    WriteHomes { from: usize, table: HomesTable },
    Grant { from: usize, server: usize, order: GrantOrder, sent_at: MonoTime },
    Probe { from: usize, server: usize, sent_at: MonoTime },
    Lease { router: usize, to: usize, number: u64, ask: LeaseAsk },
    Leased { router: usize, from: usize, number: u64, answer: LeaseAnswer },
}

struct SimPlanner {
    planner: DomainPlanner,
    incarnation: Incarnation,
    paused_until: MonoTime,
    cut_until: MonoTime,
    router_cut_until: MonoTime,
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
    /// Requests under way: slice, token, server and end.
    open: Vec<(SliceKey, FencingToken, usize, MonoTime)>,
}

#[derive(Default)]
struct SimStore {
    record: Option<(Arc<DomainMap>, u64)>,
    homes: HomesTable,
    revision: u64,
    down_until: MonoTime,
    n_lost: u32,
}

pub struct Sim {
    pub now: MonoTime,
    rng: SmallRng,
    timing: LeaseTiming,
    check: OwnerCheck,
    planners: Vec<SimPlanner>,
    servers: Vec<SimServer>,
    routers: Vec<SimRouter>,
    store: SimStore,
    queue: BTreeMap<(MonoTime, u64), Delivery>,
    sequence: u64,
    drained: BTreeSet<usize>,
    revision: u64,
    newest: BTreeMap<SliceKey, FencingToken>,
    committed: BTreeMap<SliceKey, FencingToken>,
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

fn index(name: &str) -> usize {
    name.trim_start_matches(|it: char| it.is_alphabetic()).parse().unwrap()
}

impl Sim {
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
            newest: BTreeMap::new(),
            committed: BTreeMap::new(),
            log: String::new(),
            violations: Vec::new(),
        };
        for idx in 0..n_vms {
            let planner = sim.fresh_planner(idx);
            sim.planners.push(planner);
            sim.routers.push(SimRouter {
                view: RouterView::default(),
                paused_until: now,
                acting: None,
                open: Vec::new(),
            });
        }
        sim.apply_sheet();
        sim
    }

    fn fresh_planner(&mut self, idx: usize) -> SimPlanner {
        let incarnation = Incarnation(self.rng.random_range(1..1_000_000));
        let identity = PlannerIdentity {
            id: VmId { name: vm_name(idx), incarnation },
            domain: domain(),
            timing: self.timing,
        };
        SimPlanner {
            planner: DomainPlanner::new(identity, self.now),
            incarnation,
            paused_until: self.now,
            cut_until: self.now,
            router_cut_until: self.now,
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
            self.feed_later(idx, PlannerEvent::SheetLearned(doc.clone()));
        }
    }

    pub fn cause(&mut self, trouble: &Trouble) {
        let now = self.now;
        let after = |ms: &u64| now + Duration::from_millis(*ms);
        writeln!(self.log, "{} {trouble:?}", now.as_millis() - 10_000).unwrap();
        match trouble {
            Trouble::PausePlanner(idx, ms) => self.planner(*idx).paused_until = after(ms),
            Trouble::CutPlanner(idx, ms) => self.planner(*idx).cut_until = after(ms),
            Trouble::CutVm(idx, ms) => {
                let planner = self.planner(*idx);
                planner.cut_until = after(ms);
                planner.router_cut_until = after(ms);
            }
            Trouble::KillPlanner(idx) => {
                let idx = idx % self.planners.len();
                self.planners[idx] = self.fresh_planner(idx);
                let doc = self.sheet_doc();
                self.feed_later(idx, PlannerEvent::SheetLearned(doc));
                let homes = self.store.homes.clone();
                self.feed_later(idx, PlannerEvent::HomesLearned(homes));
            }
            Trouble::PauseRouter(idx, ms) => {
                let idx = idx % self.routers.len();
                self.routers[idx].paused_until = after(ms);
            }
            Trouble::FreezeServer(idx, ms) => self.server(*idx).frozen_until = after(ms),
            Trouble::KillServer(idx, ms) => {
                let until = after(ms);
                let gone = idx % self.servers.len();
                for router in &mut self.routers {
                    router.open.retain(|it| it.2 != gone);
                }
                let server = self.server(*idx);
                *server = SimServer { dead_until: until, ..SimServer::default() };
            }
            Trouble::DrainServer(idx) => {
                let idx = idx % self.servers.len();
                if self.drained.len() + 1 < self.servers.len() {
                    self.drained.insert(idx);
                }
                self.apply_sheet();
            }
            Trouble::ReturnServer(idx) => {
                let idx = idx % self.servers.len();
                self.drained.remove(&idx);
                self.apply_sheet();
            }
            Trouble::StoreDown(ms) => self.store.down_until = after(ms),
            Trouble::LoseReplies(n) => self.store.n_lost = *n,
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

    /// Runs for `length`, checking the invariants at each step.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver_due();
            let ms = self.now.as_millis();
            if ms.is_multiple_of(TICK_MS) {
                for idx in 0..self.planners.len() {
                    if self.planners[idx].paused_until <= self.now {
                        self.feed(idx, PlannerEvent::Tick);
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
        self.routers[idx].open.retain(|it| it.3 > now);
        if self.routers[idx].paused_until > now {
            return;
        }
        if (ms + 15 * idx as u64).is_multiple_of(ASK_MS) {
            self.ask(idx);
        }
        if (ms + 5 * idx as u64).is_multiple_of(REQUEST_MS) {
            self.send_requests(idx);
        }
    }

    fn ask(&mut self, idx: usize) {
        let targets: Vec<usize> = match self.routers[idx].acting {
            Some(it) => vec![it],
            None => (0..self.planners.len()).collect(),
        };
        // A planner that does not answer is not asked alone again.
        self.routers[idx].acting = None;
        for to in targets {
            let router = &mut self.routers[idx];
            let number = router.view.begin_ask(self.now);
            let map = router.view.map().cloned();
            let ask = LeaseAsk {
                router: VmId { name: vm_name(idx), incarnation: Incarnation(7) },
                held: router.view.stamp(),
                held_open: map.as_ref().map_or(0, |it| it.open_count() as u32),
                drained: map.as_ref().map_or(MapVersion(0), |it| drained(router, it)),
                suspects: Default::default(),
            };
            self.send(Delivery::Lease { router: idx, to, number, ask });
        }
    }

    fn send_requests(&mut self, idx: usize) {
        let hold = Duration::from_millis(self.rng.random_range(5..280));
        for slice in SliceId::all(SLICE_BITS) {
            let router = &mut self.routers[idx];
            let Ok(route) = router.view.route(&service(), slice, slice.start(), self.now) else {
                continue;
            };
            let server = index(route.server.as_str());
            let is_taken = self.servers[server].dead_until <= self.now;
            if is_taken && router.open.iter().filter(|it| it.0 == route.slice).count() < 3 {
                // A frozen server may run it at any time until its deadline.
                let is_frozen = self.servers[server].frozen_until > self.now;
                let end = self.now + if is_frozen { DEADLINE } else { hold };
                router.open.push((route.slice, route.token, server, end));
            }
        }
    }

    fn send(&mut self, delivery: Delivery) {
        let delay = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(20..180),
            _ => self.rng.random_range(1..12),
        };
        self.deliver_after(Duration::from_millis(delay), delivery);
    }

    fn deliver_after(&mut self, delay: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), delivery);
    }

    fn feed_later(&mut self, idx: usize, event: PlannerEvent) {
        let incarnation = self.planners[idx].incarnation;
        self.send(Delivery::Event(idx, incarnation, event));
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let delivery = entry.remove();
            if let Some(until) = self.held_until(&delivery) {
                self.sequence += 1;
                self.queue.insert((until + STEP, self.sequence), delivery);
                continue;
            }
            self.deliver(delivery);
        }
    }

    /// When a paused receiver takes its messages.
    fn held_until(&self, delivery: &Delivery) -> Option<MonoTime> {
        let until = match delivery {
            Delivery::Event(to, ..)
            | Delivery::Accept { to, .. }
            | Delivery::Prepare { to, .. }
            | Delivery::Hello { to, .. }
            | Delivery::Lease { to, .. } => self.planners[*to].paused_until,
            Delivery::Grant { server, .. } | Delivery::Probe { server, .. } => {
                self.servers[*server].frozen_until
            }
            Delivery::Leased { router, .. } => self.routers[*router].paused_until,
            Delivery::Read(_) | Delivery::Write { .. } | Delivery::WriteHomes { .. } => {
                self.store.down_until
            }
        };
        (until > self.now).then_some(until)
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        a != b && (self.planners[a].cut_until > self.now || self.planners[b].cut_until > self.now)
    }

    fn is_router_cut(&self, router: usize, planner: usize) -> bool {
        let is_cut = |it: usize| self.planners[it].router_cut_until > self.now;
        router != planner && (is_cut(router) || is_cut(planner))
    }

    fn is_store_cut(&self, planner: usize) -> bool {
        self.planners[planner].router_cut_until > self.now
    }

    fn fail_later(&mut self, planner: usize, event: PlannerEvent) {
        let incarnation = self.planners[planner].incarnation;
        self.deliver_after(CALL_TIMEOUT, Delivery::Event(planner, incarnation, event));
    }

    fn deliver(&mut self, delivery: Delivery) {
        let now = self.now;
        match delivery {
            Delivery::Event(idx, incarnation, event) => {
                if self.planners[idx].incarnation == incarnation {
                    self.feed(idx, event);
                }
            }
            Delivery::Accept { from, to, ask, asked_at } => {
                let answer = (!self.is_cut(from, to))
                    .then(|| self.planners[to].planner.answer_accept(&ask, now));
                self.answer_accept(from, ask, asked_at, answer);
            }
            Delivery::Prepare { from, to, ask } => {
                let answer = (!self.is_cut(from, to))
                    .then(|| self.planners[to].planner.answer_prepare(&ask, now));
                self.answer_prepare(from, ask, answer);
            }
            Delivery::Hello { from, to } => {
                if !self.is_cut(from, to) {
                    let incarnation = self.planners[to].incarnation;
                    let event = PlannerEvent::HelloAnswered { vm: vm_name(to), incarnation };
                    self.feed_later(from, event);
                }
            }
            Delivery::Read(from) if self.is_store_cut(from) => {
                self.fail_later(from, PlannerEvent::RecordRead(None));
            }
            Delivery::Write { from, map, .. } if self.is_store_cut(from) => {
                let (stamp, outcome) = (map.stamp, WriteOutcome::Unknown);
                self.fail_later(from, PlannerEvent::RecordWritten { stamp, outcome });
            }
            Delivery::WriteHomes { from, .. } if self.is_store_cut(from) => {
                self.fail_later(from, PlannerEvent::HomesWritten(None));
            }
            Delivery::Read(from) => {
                let record = StoredRecord {
                    map: self.store.record.as_ref().map(|it| it.0.clone()),
                    revision: self.store.record.as_ref().map_or(0, |it| it.1),
                };
                self.feed_later(from, PlannerEvent::RecordRead(Some(record)));
            }
            Delivery::Write { from, map, expected } => self.write(from, map, expected),
            Delivery::WriteHomes { from, table } => {
                if self.store.homes.revision + 1 == table.revision {
                    self.store.homes = table;
                    for idx in 0..self.planners.len() {
                        let homes = self.store.homes.clone();
                        self.feed_later(idx, PlannerEvent::HomesLearned(homes));
                    }
                }
                let homes = self.store.homes.clone();
                self.feed_later(from, PlannerEvent::HomesWritten(Some(homes)));
            }
            Delivery::Grant { from, server, order, sent_at } => {
                let answer = self.take_grant(server, order);
                let event =
                    PlannerEvent::ServerAnswered { server: server_name(server), sent_at, answer };
                self.feed_later(from, event);
            }
            Delivery::Probe { from, server, sent_at } => {
                let is_dead = self.servers[server].dead_until > now;
                let answer = match is_dead {
                    true => GrantAnswer::Refused,
                    false => GrantAnswer::Acked {
                        term: Default::default(),
                        set_version: 0,
                        basis: String::new(),
                    },
                };
                let event =
                    PlannerEvent::ServerAnswered { server: server_name(server), sent_at, answer };
                self.feed_later(from, event);
            }
            Delivery::Lease { router, to, .. } if self.is_router_cut(router, to) => (),
            Delivery::Leased { router, from, .. } if self.is_router_cut(router, from) => (),
            Delivery::Lease { router, to, number, ask } => {
                let answer = self.planners[to].planner.answer_lease(&ask, now);
                self.send(Delivery::Leased { router, from: to, number, answer });
            }
            Delivery::Leased { router, from, number, answer } => {
                self.take_lease(router, from, number, answer);
            }
        }
    }

    fn answer_accept(
        &mut self,
        from: usize,
        ask: AcceptAsk,
        asked_at: MonoTime,
        answer: Option<AcceptAnswer>,
    ) {
        let incarnation = self.planners[from].incarnation;
        let delay = if answer.is_some() { STEP } else { CALL_TIMEOUT };
        let event =
            PlannerEvent::AcceptAnswered { from: ask.witness, asked_at, stamp: ask.stamp, answer };
        self.deliver_after(delay, Delivery::Event(from, incarnation, event));
    }

    fn answer_prepare(&mut self, from: usize, ask: PrepareAsk, answer: Option<PrepareAnswer>) {
        let incarnation = self.planners[from].incarnation;
        let delay = if answer.is_some() { STEP } else { CALL_TIMEOUT };
        let event = PlannerEvent::PrepareAnswered { from: ask.witness, term: ask.term, answer };
        self.deliver_after(delay, Delivery::Event(from, incarnation, event));
    }

    fn write(&mut self, from: usize, map: Arc<DomainMap>, expected: Option<u64>) {
        let stamp = map.stamp;
        let held = self.store.record.as_ref().map(|it| it.1);
        let outcome = if held == expected {
            self.store.revision += 1;
            self.store.record = Some((map, self.store.revision));
            match self.store.n_lost {
                0 => WriteOutcome::Written(self.store.revision),
                _ => {
                    self.store.n_lost -= 1;
                    WriteOutcome::Unknown
                }
            }
        } else {
            WriteOutcome::Conflict
        };
        self.feed_later(from, PlannerEvent::RecordWritten { stamp, outcome });
    }

    fn take_grant(&mut self, idx: usize, order: GrantOrder) -> GrantAnswer {
        let now = self.now;
        let server = &mut self.servers[idx];
        if server.dead_until > now {
            return GrantAnswer::Refused;
        }
        let position = (order.term.0, order.set_version);
        if position < (server.term, server.set_version) {
            return match order.term.0 < server.term {
                true => GrantAnswer::Rejected { term: model::Term(server.term) },
                false => GrantAnswer::NeedSet { basis: server.issue(now) },
            };
        }
        let issued = order.basis.as_ref().and_then(|it| server.receipts.get(it)).copied();
        let Some(issued) = issued else {
            return GrantAnswer::NeedSet { basis: server.issue(now) };
        };
        let is_lapsed = server.lease_until <= now;
        if is_lapsed {
            server.granted.clear();
        }
        match order.entries {
            Some(entries) => {
                server.granted = entries.into_iter().collect();
                (server.term, server.set_version) = position;
            }
            None if is_lapsed || position != (server.term, server.set_version) => {
                return GrantAnswer::NeedSet { basis: server.issue(now) };
            }
            None => (),
        }
        server.lease_until = server.lease_until.max(issued + order.lease);
        GrantAnswer::Acked {
            term: order.term,
            set_version: order.set_version,
            basis: server.issue(now),
        }
    }

    fn take_lease(&mut self, idx: usize, from: usize, number: u64, answer: LeaseAnswer) {
        let router = &mut self.routers[idx];
        match answer {
            LeaseAnswer::Leased { stamp, lease } => {
                router.acting = Some(from);
                router.view.take_lease(number, stamp, lease);
            }
            LeaseAnswer::Behind { map } => {
                router.acting = Some(from);
                router.view.take_map(&map);
                self.ask(idx);
            }
            LeaseAnswer::NotActing { .. } => (),
        }
    }

    fn feed(&mut self, idx: usize, event: PlannerEvent) {
        let now = self.now;
        let wall = WallTime(now.as_millis() / 1_000);
        let actions = self.planners[idx].planner.handle(event, now, wall);
        for action in actions {
            self.carry_out(idx, action);
        }
    }

    fn carry_out(&mut self, from: usize, action: PlannerAction) {
        match action {
            PlannerAction::Accept { ask, asked_at } => {
                let to = index(ask.witness.name.as_str());
                self.send(Delivery::Accept { from, to, ask, asked_at });
            }
            PlannerAction::Prepare(ask) => {
                let to = index(ask.witness.name.as_str());
                self.send(Delivery::Prepare { from, to, ask });
            }
            PlannerAction::Hello(vm) => {
                let to = index(vm.as_str());
                self.send(Delivery::Hello { from, to });
            }
            PlannerAction::ReadRecord => self.send(Delivery::Read(from)),
            PlannerAction::WriteRecord { map, expected } => {
                self.send(Delivery::Write { from, map, expected });
            }
            PlannerAction::WriteHomes(table) => self.send(Delivery::WriteHomes { from, table }),
            PlannerAction::Grant { server, order, sent_at, .. } => {
                let server = index(server.as_str());
                self.send(Delivery::Grant { from, server, order, sent_at });
            }
            PlannerAction::Probe { server, sent_at, .. } => {
                let server = index(server.as_str());
                self.send(Delivery::Probe { from, server, sent_at });
            }
            PlannerAction::ServerReturned(_) => (),
            PlannerAction::Publish(map) => self.publish(from, map),
            PlannerAction::RoleChanged { role, term } => {
                let ms = self.now.as_millis() - 10_000;
                writeln!(self.log, "{ms} vm{from} {role} term={term}").unwrap();
            }
        }
    }

    fn publish(&mut self, from: usize, map: Arc<DomainMap>) {
        let is_new = self.planners[from].published.as_ref().is_none_or(|it| it.stamp != map.stamp);
        if is_new {
            let owners: Vec<String> = map
                .entries
                .values()
                .map(|it| it.owner.as_ref().map_or("-".to_owned(), |o| o.to_string()))
                .collect();
            let ms = self.now.as_millis() - 10_000;
            writeln!(self.log, "{ms} vm{from} map={} {}", map.stamp, owners.join(",")).unwrap();
        }
        self.planners[from].published = Some(map);
    }

    fn check_invariants(&mut self) {
        let now = self.now;
        for slice in SliceId::all(SLICE_BITS) {
            let key = SliceKey { service: service(), slice };
            let mut senders: BTreeSet<String> = BTreeSet::new();
            for router in &self.routers {
                if let Ok(route) = router.view.route(&service(), slice, slice.start(), now) {
                    senders.insert(format!("{}@{}", route.server, route.token));
                    let newest = self.newest.entry(key.clone()).or_default();
                    *newest = (*newest).max(route.token);
                }
            }
            if senders.len() > 1 {
                self.violations.push(format!("{now:?} routers send {key} to {senders:?}"));
            }
            let holders: Vec<usize> = self
                .servers
                .iter()
                .enumerate()
                .filter(|(_, it)| it.lease_until > now && it.granted.contains_key(&key))
                .map(|(idx, _)| idx)
                .collect();
            if holders.len() > 1 {
                self.violations.push(format!("{now:?} servers {holders:?} hold {key}"));
            }
            if self.check == OwnerCheck::None {
                let running: BTreeSet<usize> = self
                    .routers
                    .iter()
                    .flat_map(|it| &it.open)
                    .filter(|it| it.0 == key && self.servers[it.2].dead_until <= now)
                    .map(|it| it.2)
                    .collect();
                if running.len() > 1 {
                    self.violations.push(format!("{now:?} servers {running:?} run {key}"));
                }
            }
            let held = holders.first().map(|it| self.servers[*it].granted[&key]);
            let last = self.committed.entry(key.clone()).or_default();
            match held {
                Some(token) if token < *last => {
                    self.violations.push(format!("{now:?} {key} token fell {last} -> {token}"));
                }
                Some(token) => *last = token,
                None => (),
            }
        }
    }

    /// Slices that no router that runs may send now.
    pub fn unserved(&self) -> usize {
        SliceId::all(SLICE_BITS)
            .filter(|slice| {
                self.routers
                    .iter()
                    .any(|it| it.view.route(&service(), *slice, slice.start(), self.now).is_err())
            })
            .count()
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
    for (slice, token, ..) in &router.open {
        counts.enter(slice, *token);
    }
    counts.drained(map)
}
