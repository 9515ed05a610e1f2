//! A planner of a domain of one VM, with a store that answers at once and servers that check tokens.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use model::{
    DomainName, FencingToken, Incarnation, MapVersion, MonoTime, OwnerCheck, ServerName,
    SheetRevision, SliceKey, Term, VmName, WallTime,
};
use ownership::{
    DomainMap, DomainPlanner, GrantOutcome, GrantRequest, HomesTable, LeaseRequest, LeaseTiming,
    MapStamp, PlannerAction, PlannerConfig, PlannerEvent, SheetDoc, StoredRecord, VmId,
    WriteOutcome,
};
use sheet::PlanSheet;

/// Time between ticks of the planner.
const TICK: Duration = Duration::from_millis(20);

/// Longest time for which a test waits for a condition.
const MAX_WAIT: Duration = Duration::from_secs(5);

pub(super) fn vm(idx: usize, incarnation: u64) -> VmId {
    let name = VmName::try_from(format!("vm{idx}").as_str()).unwrap();
    VmId { name, incarnation: Incarnation(incarnation) }
}

pub(super) fn server(idx: usize) -> ServerName {
    ServerName::try_from(format!("s{idx}").as_str()).unwrap()
}

pub(super) fn address(idx: usize) -> SocketAddr {
    format!("10.0.1.{idx}:1").parse().unwrap()
}

pub(super) fn domain() -> DomainName {
    DomainName::try_from("d0").unwrap()
}

/// A map without slices.
pub(super) fn map(term: u64, version: u64, planner: VmId, witnesses: &[VmId]) -> Arc<DomainMap> {
    Arc::new(DomainMap {
        domain: domain(),
        stamp: MapStamp { term: Term(term), version: MapVersion(version) },
        planner,
        witnesses: witnesses.iter().cloned().collect(),
        joint_witnesses: Default::default(),
        entries: Default::default(),
    })
}

/// A sheet of one domain with a keyed service whose servers check tokens.
pub(super) fn sheet(revision: u64, n_vms: usize, servers: &[SocketAddr]) -> SheetDoc {
    checked_sheet(OwnerCheck::Token, revision, n_vms, servers)
}

pub(super) fn checked_sheet(
    check: OwnerCheck,
    revision: u64,
    n_vms: usize,
    servers: &[SocketAddr],
) -> SheetDoc {
    let mut text = format!(
        "kind,name,domain,service,address,state,from,until,settings\n\
         domain,d0,,,,in,,,\n\
         service,queue,,,,,,,kind=keyed;slice-bits=2;check={check};deadline-ms=300\n"
    );
    for idx in 0..n_vms {
        text += &format!("vm,vm{idx},d0,,10.0.0.{idx}:1,in,,,planner=10.0.0.{idx}:2\n");
    }
    for (idx, address) in servers.iter().enumerate() {
        text += &format!("server,s{idx},d0,queue,{address},in,,,\n");
    }
    sheet_of(revision, &text)
}

pub(super) fn sheet_of(revision: u64, text: &str) -> SheetDoc {
    let sheet = PlanSheet::try_from(text).unwrap();
    SheetDoc { revision: SheetRevision(revision), sheet: Arc::new(sheet) }
}

/// One process of a server, at one address.
#[derive(Default)]
pub(super) struct ServerProcess {
    granted: BTreeMap<SliceKey, FencingToken>,
    lease_until: MonoTime,
    receipts: BTreeMap<String, MonoTime>,
}

impl ServerProcess {
    /// Slices that the process holds at `now`.
    pub(super) fn holds_at(&self, now: MonoTime) -> impl Iterator<Item = &SliceKey> {
        self.granted.keys().filter(move |_| now < self.lease_until)
    }

    fn issue(&mut self, process: u64, now: MonoTime) -> String {
        let receipt = format!("{process}-{}", self.receipts.len());
        self.receipts.insert(receipt.clone(), now);
        receipt
    }

    fn answer(&mut self, process: u64, request: GrantRequest, now: MonoTime) -> GrantOutcome {
        let issued_at = request.basis.as_ref().and_then(|it| self.receipts.get(it)).copied();
        let is_lapsed = self.lease_until <= now;
        let Some(issued_at) = issued_at.filter(|_| request.entries.is_some() || !is_lapsed) else {
            return GrantOutcome::NeedSet { basis: self.issue(process, now) };
        };
        if let Some(entries) = request.entries {
            self.granted = entries.into_iter().collect();
        }
        self.lease_until = self.lease_until.max(issued_at + request.lease);
        GrantOutcome::Acked {
            term: request.term,
            set_version: request.set_version,
            basis: self.issue(process, now),
        }
    }
}

/// The planner of `vm0` and what surrounds it.
pub(super) struct PlannerDriver {
    pub(super) now: MonoTime,
    planner: DomainPlanner,
    record: Option<(Arc<DomainMap>, u64)>,
    map: Option<Arc<DomainMap>>,
    /// Answers to writes of the record are kept in `delayed`.
    pub(super) delays_writes: bool,
    /// Revision that each write of the record was to replace.
    pub(super) replaced_revisions: Vec<Option<u64>>,
    /// Running processes by address; connections to other addresses are refused.
    pub(super) servers: BTreeMap<SocketAddr, ServerProcess>,
    /// Addresses from which nothing is answered, although the process runs.
    pub(super) unreachable: BTreeSet<SocketAddr>,
    n_processes: u64,
    process_numbers: BTreeMap<SocketAddr, u64>,
    /// The next answer from this address is kept in `delayed`.
    pub(super) delayed_address: Option<SocketAddr>,
    pub(super) delayed: Vec<PlannerEvent>,
    pub(super) violations: Vec<String>,
}

impl PlannerDriver {
    /// A planner whose domain has `n_servers` servers, after every slice has opened.
    pub(super) fn serving(n_servers: usize) -> Self {
        Self::with_check(OwnerCheck::Token, n_servers)
    }

    /// The same with servers that check tokens or not.
    pub(super) fn with_check(check: OwnerCheck, n_servers: usize) -> Self {
        let now = MonoTime::from_millis(10_000);
        let config =
            PlannerConfig { id: vm(0, 1), domain: domain(), timing: LeaseTiming::default() };
        let mut driver = Self {
            now,
            planner: DomainPlanner::new(config, now),
            record: None,
            map: None,
            delays_writes: false,
            replaced_revisions: Vec::new(),
            servers: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            n_processes: 0,
            process_numbers: BTreeMap::new(),
            delayed_address: None,
            delayed: Vec::new(),
            violations: Vec::new(),
        };
        let addresses: Vec<SocketAddr> = (0..n_servers).map(address).collect();
        for address in &addresses {
            driver.start_server(*address);
        }
        driver.handle(PlannerEvent::HomesLearned(HomesTable::default()));
        driver.handle(PlannerEvent::SheetLearned(checked_sheet(check, 1, 1, &addresses)));
        driver.run_until(|it| it.open_count() == 4);
        driver.run(Duration::from_secs(1));
        driver
    }

    pub(super) fn start_server(&mut self, address: SocketAddr) {
        self.n_processes += 1;
        self.process_numbers.insert(address, self.n_processes);
        self.servers.insert(address, ServerProcess::default());
    }

    /// Number of open slices in the published map.
    pub(super) fn open_count(&self) -> usize {
        self.map.as_ref().map_or(0, |it| it.open_count())
    }

    /// Version of the published map.
    pub(super) fn version(&self) -> MapVersion {
        self.map.as_ref().map_or(MapVersion(0), |it| it.stamp.version)
    }

    /// Has a router renew its lease on the published map, under which `drained` is drained.
    pub(super) fn renew_lease(&mut self, drained: MapVersion) {
        let request = LeaseRequest {
            router: vm(0, 7),
            held: self.map.as_ref().map_or_else(MapStamp::default, |it| it.stamp),
            held_open: self.open_count() as u32,
            drained,
            suspects: Default::default(),
        };
        self.planner.answer_lease(&request, self.now);
    }

    /// Has a router report that a server's host refused its connection.
    pub(super) fn report_suspect(&mut self, server: ServerName) {
        let request = LeaseRequest {
            router: vm(0, 7),
            held: MapStamp::default(),
            held_open: 0,
            drained: MapVersion(0),
            suspects: [server].into_iter().collect(),
        };
        self.planner.answer_lease(&request, self.now);
    }

    pub(super) fn deliver_delayed(&mut self) {
        for event in std::mem::take(&mut self.delayed) {
            self.handle(event);
        }
    }

    pub(super) fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + TICK;
            self.handle(PlannerEvent::Tick);
            self.check_holders();
        }
    }

    pub(super) fn run_until(&mut self, has_come: impl Fn(&Self) -> bool) {
        let end = self.now + MAX_WAIT;
        while !has_come(self) {
            assert!(self.now < end, "the awaited state was not reached");
            self.run(TICK);
        }
    }

    /// Has the planner handle an event and answers its calls at once.
    pub(super) fn handle(&mut self, event: PlannerEvent) {
        let wall = WallTime(self.now.as_millis() / 1_000);
        for action in self.planner.handle(event, self.now, wall) {
            if let Some(answer) = self.answer(action) {
                self.handle(answer);
            }
        }
    }

    fn answer(&mut self, action: PlannerAction) -> Option<PlannerEvent> {
        match action {
            PlannerAction::ReadRecord => {
                let map = self.record.as_ref().map(|it| it.0.clone());
                let revision = self.record.as_ref().map_or(0, |it| it.1);
                Some(PlannerEvent::RecordRead(Some(StoredRecord { map, revision })))
            }
            PlannerAction::WriteRecord { map, expected } => {
                self.replaced_revisions.push(expected);
                let revision = self.record.as_ref().map_or(1, |it| it.1 + 1);
                let stamp = map.stamp;
                self.record = Some((map, revision));
                let outcome = WriteOutcome::Written(revision);
                let event = PlannerEvent::RecordWritten { stamp, outcome };
                if self.delays_writes {
                    self.delayed.push(event);
                    return None;
                }
                Some(event)
            }
            PlannerAction::WriteHomes(table) => Some(PlannerEvent::HomesWritten(Some(table))),
            PlannerAction::Publish(map) => {
                self.map = Some(map);
                None
            }
            PlannerAction::Grant { address, .. } if self.unreachable.contains(&address) => None,
            PlannerAction::Grant { server, address, request, sent_at } => {
                let process = self.process_numbers.get(&address).copied().unwrap_or_default();
                let answer = match self.servers.get_mut(&address) {
                    Some(it) => it.answer(process, request, self.now),
                    None => GrantOutcome::Refused,
                };
                let event = PlannerEvent::ServerAnswered { server, sent_at, answer };
                if self.delayed_address.take_if(|it| *it == address).is_some() {
                    self.delayed.push(event);
                    return None;
                }
                Some(event)
            }
            PlannerAction::Probe { server, address, sent_at } => {
                let answer = match self.servers.contains_key(&address) {
                    true => GrantOutcome::Acked {
                        term: Term::default(),
                        set_version: 0,
                        basis: String::new(),
                    },
                    false => GrantOutcome::Refused,
                };
                Some(PlannerEvent::ServerAnswered { server, sent_at, answer })
            }
            _ => None,
        }
    }

    fn check_holders(&mut self) {
        let mut held: BTreeMap<&SliceKey, BTreeSet<SocketAddr>> = BTreeMap::new();
        for (address, process) in &self.servers {
            for key in process.holds_at(self.now) {
                held.entry(key).or_default().insert(*address);
            }
        }
        for (key, holders) in held.iter().filter(|(_, it)| it.len() > 1) {
            self.violations.push(format!("{:?} {holders:?} hold {key}", self.now));
        }
    }
}
