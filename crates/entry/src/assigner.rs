//! Assigns keys to servers; one process of all does this at a time, by a lease of the store.
//!
//! A record is changed only by the holder of the lease, in one change that names the revisions of
//! both. Orders are sent only while the lease is surely held. A process that takes over gives every
//! settled holder a larger token first, so that servers refuse its predecessor, and moves keys only
//! after the predecessor's lease has ended by any clock, as the store may drop a lease early.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use model::{MonoTime, ServerName, ServiceName};
use ownership::{
    KeyLoad, KeyRange, ServerLife, ServerStanding, ShardDelta, ShardEntry, ShardHolder,
    ShardLimits, ShardRecord, ShardServer, plan_shards,
};
use settings::ProcessClock;
use slog::{Logger, info, warn};
use tokio::{
    net::UdpSocket,
    sync::{Mutex, mpsc},
    time::sleep,
};

use crate::{
    AssignerRecord, BeliefBoard, BeliefSnapshot, EntrySettings, LeaseId, RecordChange,
    ServerFormat, StateStore, StoreFault, StoredAssigner, StoredShards,
    feed::{ASSIGNER_RECORD, BeliefState, SHARDS_PREFIX, encode_record},
    gossip::{OpenedNote, PeerNote, ShardNote, encode_note, open_socket},
    orders::{GrantKind, OrderEnd, OrderSender, hold_end},
};

/// Length of the assigner's lease.
const LEASE_LENGTH: Duration = Duration::from_millis(3_000);

/// Time after a renewal was sent for which the lease is surely held.
const LEASE_TRUST: Duration = Duration::from_millis(2_700);

/// Time between renewals.
const LEASE_INTERVAL: Duration = Duration::from_millis(700);

/// Longest wait for the store's answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// How long a grant holds that only fences earlier ones off.
const FENCE_HOLD: Duration = Duration::from_millis(1_000);

/// Time between plans for balance.
const BALANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Least time between writes that only say which keys are settled.
const SETTLE_INTERVAL: Duration = Duration::from_millis(400);

/// Time between renewals of a holder's grants.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long grants hold while the store answers.
const USUAL_HOLD: Duration = Duration::from_millis(5_000);

/// Age of the last renewal of the lease beyond which grants are made as long as may be.
const STALE_STORE: Duration = Duration::from_millis(1_100);

/// Least time between attempts at grants that fail.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a predecessor surely sends no more orders.
const PREDECESSOR_WAIT: Duration = Duration::from_millis(3_200);

/// Longest wait for one release before it is sent again.
const RELEASE_PATIENCE: Duration = Duration::from_millis(3_000);

/// Pause between attempts at one order.
const ORDER_PAUSE: Duration = Duration::from_millis(200);

/// Wait of each further VM before it tries to become the assigner.
const CAMPAIGN_STAGGER: Duration = Duration::from_millis(120);

/// Most steps that a VM waits.
const MAX_STAGGERS: u32 = 12;

/// Acknowledged grants beyond which old ones are forgotten.
const MAX_KEPT_GRANTS: usize = 2_048;

/// Load that routers report.
pub type SharedLoads = Rc<RefCell<LoadBook>>;

/// What routers report of keyed services.
#[derive(Debug, Default)]
pub struct LoadBook {
    /// Requests by key.
    pub keys: BTreeMap<ServiceName, KeyLoad>,
    /// Average seconds of work by server.
    pub work: HashMap<ServerName, f64>,
}

/// The lease as this process holds it.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    lease: LeaseId,
    revision: u64,
    kept_at: MonoTime,
    may_move_at: MonoTime,
}

impl HeldLease {
    fn is_sure(&self, now: MonoTime) -> bool {
        now.since(self.kept_at) < LEASE_TRUST
    }
}

/// What a finished order task tells the round.
#[derive(Debug)]
enum OrderNews {
    /// The keys are with their new holder.
    Granted { service: ServiceName, range: KeyRange, token: u64 },
    /// The life needs a larger token.
    NeedsToken { service: ServiceName, life: ServerLife },
    /// The task has ended.
    Ended { task: TaskKey },
}

/// One order task at a time for each of these.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum TaskKey {
    Lease,
    Renewal(ServiceName, ServerLife),
    Move(ServiceName, KeyRange, u64),
}

/// State shared with order tasks.
#[derive(Debug, Default)]
struct OrderBook {
    lease: Option<HeldLease>,
    /// When each life's grants have surely ended.
    free_at: BTreeMap<ServerLife, MonoTime>,
    /// Grants that their holders have acknowledged.
    acked: BTreeSet<(ServiceName, KeyRange, u64)>,
    /// The records in force; an order that they do not call for is not sent.
    records: BTreeMap<ServiceName, Arc<ShardRecord>>,
    /// Lives that have ended, as other servers answer at their addresses.
    gone: BTreeSet<ServerLife>,
    /// Grants that may still be carried out.
    unanswered: BTreeMap<ServerLife, Vec<UnansweredGrant>>,
    /// Held while a grant to a life is on its way, so that no release overtakes it.
    grant_locks: BTreeMap<ServerLife, Rc<Mutex<()>>>,
}

/// A grant that may be carried out later than it was sent.
#[derive(Debug, Clone, Copy)]
struct UnansweredGrant {
    range: KeyRange,
    token: u64,
    /// When it has surely no effect any more, as its time counts from its arrival.
    until: MonoTime,
}

impl OrderBook {
    /// Notes a grant that was sent and not answered.
    fn note_unanswered(&mut self, life: &ServerLife, grant: UnansweredGrant) {
        self.unanswered.entry(life.clone()).or_default().push(grant);
    }

    /// Notes an acknowledged grant; the server refuses smaller tokens on its keys from then on.
    fn note_acked(&mut self, life: &ServerLife, range: KeyRange, token: u64) {
        if let Some(grants) = self.unanswered.get_mut(life) {
            grants.retain(|it| !(range.covers(it.range) && it.token < token));
        }
    }

    /// Until when a grant to `life` may take some of `range` belatedly.
    fn unanswered_until(
        &mut self,
        life: &ServerLife,
        range: KeyRange,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let grants = self.unanswered.get_mut(life)?;
        grants.retain(|it| it.until > now);
        grants.iter().filter(|it| it.range.overlaps(range)).map(|it| it.until).max()
    }

    /// Whether the records call for this grant.
    fn calls_for(&self, service: &ServiceName, entry: &ShardEntry) -> bool {
        let Some(record) = self.records.get(service) else {
            return false;
        };
        record.entries.iter().any(|it| {
            it.holder == entry.holder
                && it.range.first <= entry.range.first
                && it.range.last >= entry.range.last
        })
    }

    /// Forgets what concerns grants that no record calls for any more.
    fn forget_old(&mut self, now: MonoTime) {
        if self.acked.len() < MAX_KEPT_GRANTS {
            return;
        }
        let records = &self.records;
        self.acked.retain(|(service, _, token)| {
            let mut entries = records.get(service).into_iter().flat_map(|it| &it.entries);
            entries.any(|it| it.holder.token == *token)
        });
        self.unanswered.retain(|_, grants| grants.iter().any(|it| it.until > now));
        self.grant_locks.retain(|_, lock| Rc::strong_count(lock) > 1);
    }

    fn grant_lock(&mut self, life: &ServerLife) -> Rc<Mutex<()>> {
        self.grant_locks.entry(life.clone()).or_default().clone()
    }
}

/// The task of assigning keys on one VM.
pub struct KeyAssigner<S, F> {
    store: S,
    orders: OrderSender<F>,
    settings: EntrySettings,
    incarnation: u64,
    clock: ProcessClock,
    board: BeliefBoard,
    beliefs: Rc<RefCell<BeliefState>>,
    loads: SharedLoads,
    book: Rc<RefCell<OrderBook>>,
    tasks: BTreeMap<TaskKey, MonoTime>,
    news: (mpsc::UnboundedSender<OrderNews>, mpsc::UnboundedReceiver<OrderNews>),
    granted: Vec<(ServiceName, KeyRange, u64)>,
    needs_token: Vec<(ServiceName, ServerLife)>,
    renewed_at: BTreeMap<(ServiceName, ServerLife), MonoTime>,
    balanced_at: BTreeMap<ServiceName, MonoTime>,
    vacant_since: Option<MonoTime>,
    /// Whether the store has not renewed the lease for so long that grants are made long.
    is_stale: bool,
    notes: Option<UdpSocket>,
    /// Revision of each record as this process wrote or read it last.
    revisions: BTreeMap<ServiceName, u64>,
    written_at: MonoTime,
    founded: BTreeMap<ServiceName, u64>,
    log: Logger,
}

/// What a [`KeyAssigner`] is built from.
pub struct AssignerParts<S, F> {
    /// The store.
    pub store: S,
    /// The format of orders.
    pub format: F,
    /// Settings of the process.
    pub settings: EntrySettings,
    /// Distinguishes runs of the process.
    pub incarnation: u64,
    /// The clock.
    pub clock: ProcessClock,
    /// Beliefs as published.
    pub board: BeliefBoard,
    /// Beliefs as kept.
    pub beliefs: Rc<RefCell<BeliefState>>,
    /// Load as reported.
    pub loads: SharedLoads,
    /// The log.
    pub log: Logger,
}

impl<S: StateStore, F: ServerFormat> KeyAssigner<S, F> {
    /// An assigner that holds nothing.
    pub fn new(parts: AssignerParts<S, F>) -> Self {
        Self {
            orders: OrderSender::new(parts.format, parts.clock),
            store: parts.store,
            settings: parts.settings,
            incarnation: parts.incarnation,
            clock: parts.clock,
            board: parts.board,
            beliefs: parts.beliefs,
            loads: parts.loads,
            book: Rc::default(),
            tasks: BTreeMap::new(),
            news: mpsc::unbounded_channel(),
            granted: Vec::new(),
            needs_token: Vec::new(),
            renewed_at: BTreeMap::new(),
            balanced_at: BTreeMap::new(),
            vacant_since: None,
            is_stale: false,
            notes: None,
            revisions: BTreeMap::new(),
            written_at: MonoTime::default(),
            founded: BTreeMap::new(),
            log: parts.log,
        }
    }

    /// Works until `stop` says so, then hands the task on.
    pub async fn run(mut self, mut stop: tokio::sync::watch::Receiver<bool>) {
        while !*stop.borrow() {
            self.round().await;
            tokio::select! {
                () = sleep(ROUND_INTERVAL) => (),
                Some(news) = self.news.1.recv() => self.take_order_news(news).await,
                _ = stop.changed() => (),
            }
        }
        self.resign().await;
    }

    fn lease(&self) -> Option<HeldLease> {
        self.book.borrow().lease
    }

    async fn round(&mut self) {
        let now = self.clock.now();
        let beliefs = self.board.current();
        if beliefs.plan.is_none() {
            return;
        }
        let Some(lease) = self.lease() else {
            return self.campaign(&beliefs, now).await;
        };
        self.start_keeping(lease, now);
        let Some(lease) = self.lease().filter(|it| it.is_sure(now)) else {
            return;
        };
        // The store may drop a lease early; another process then holds the record.
        let is_held = |it: &StoredAssigner| it.revision == lease.revision;
        if !beliefs.assigner.as_ref().is_some_and(is_held) {
            return self.step_down("replaced");
        }
        while let Ok(news) = self.news.1.try_recv() {
            self.take_order_news(news).await;
        }
        // While the store does not answer, nothing could be written.
        let is_stale = now.since(lease.kept_at) > STALE_STORE;
        if !is_stale {
            for service in beliefs.keyed_services() {
                self.plan_service(&service, &beliefs, lease, now).await;
            }
        }
        if std::mem::replace(&mut self.is_stale, is_stale) != is_stale {
            info!(self.log, "hold-length-changed"; "is_longest" => is_stale);
            self.renewed_at.clear();
        }
        let beliefs = self.board.current();
        self.send_orders(&beliefs, lease, now);
    }

    fn step_down(&mut self, cause: &'static str) {
        if self.book.borrow_mut().lease.take().is_some() {
            warn!(self.log, "assigner-lost"; "cause" => cause);
        }
        self.vacant_since = None;
        self.founded.clear();
    }

    /// Tries to become the assigner when nobody is.
    async fn campaign(&mut self, beliefs: &BeliefSnapshot, now: MonoTime) {
        let predecessor = beliefs.assigner.as_ref();
        let is_own_earlier_run = predecessor.is_some_and(|it| {
            it.record.vm == self.settings.vm && it.record.incarnation != self.incarnation
        });
        let has_resigned = predecessor.is_some_and(|it| it.record.has_resigned);
        if predecessor.is_some() && !is_own_earlier_run && !has_resigned {
            self.vacant_since = None;
            return;
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        let vms = beliefs.vms_by_strength(|_| true);
        let rank = vms.iter().position(|it| **it == self.settings.vm);
        let wait = match rank {
            _ if is_own_earlier_run => Duration::ZERO,
            Some(rank) => CAMPAIGN_STAGGER * (rank as u32).min(MAX_STAGGERS),
            None => CAMPAIGN_STAGGER * MAX_STAGGERS,
        };
        if now.since(vacant_since) < wait {
            return;
        }
        self.vacant_since = Some(now);
        match self.acquire(beliefs).await {
            Ok((lease, revision, asked_at)) => {
                let is_free = is_own_earlier_run || has_resigned;
                let wait = if is_free { Duration::ZERO } else { PREDECESSOR_WAIT };
                let may_move_at = self.clock.now() + wait;
                info!(self.log, "assigner-acquired"; "revision" => revision,
                    "own-earlier-run" => is_own_earlier_run, "resigned" => has_resigned);
                let mut book = self.book.borrow_mut();
                *book = OrderBook {
                    lease: Some(HeldLease { lease, revision, kept_at: asked_at, may_move_at }),
                    ..OrderBook::default()
                };
                drop(book);
                self.publish_own(revision);
                self.granted.clear();
                self.needs_token.clear();
                self.renewed_at.clear();
                self.founded.clear();
            }
            Err(StoreFault::Conflict) => self.board.ask_for_news(),
            Err(fault) => warn!(self.log, "campaign-failed"; "cause" => %fault),
        }
    }

    /// Publishes that this process assigns keys, before the store's news says so.
    fn publish_own(&self, revision: u64) {
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.note_assigner(StoredAssigner { revision, record: self.own_record(false) });
        self.board.publish(&mut beliefs);
    }

    fn own_record(&self, has_resigned: bool) -> AssignerRecord {
        AssignerRecord {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            reports: self.settings.reports,
            has_resigned,
        }
    }

    async fn acquire(
        &self,
        beliefs: &BeliefSnapshot,
    ) -> Result<(LeaseId, u64, MonoTime), StoreFault> {
        let asked_at = self.clock.now();
        let lease = self.store.open_lease(LEASE_LENGTH, STORE_TIMEOUT).await?;
        let record = self.own_record(false);
        let change = RecordChange {
            expected: vec![(ASSIGNER_RECORD.to_owned(), beliefs.assigner_revision)],
            writes: vec![(ASSIGNER_RECORD.to_owned(), encode_record(&record), Some(lease))],
            removals: Vec::new(),
        };
        match self.store.change(change, STORE_TIMEOUT).await {
            Ok(revision) => Ok((lease, revision, asked_at)),
            Err(fault) => {
                // Without the lease a write that is carried out later does no harm.
                if let Err(cause) = self.store.end_lease(lease, STORE_TIMEOUT).await {
                    warn!(self.log, "lease-not-ended"; "cause" => %cause);
                }
                Err(fault)
            }
        }
    }

    /// Renews the lease beside the round, when it is due and no renewal is under way.
    fn start_keeping(&mut self, lease: HeldLease, now: MonoTime) {
        if now.since(lease.kept_at) < LEASE_INTERVAL || self.tasks.contains_key(&TaskKey::Lease) {
            return;
        }
        self.tasks.insert(TaskKey::Lease, now);
        let (store, book, log) = (self.store.clone(), self.book.clone(), self.log.clone());
        let sender = self.news.0.clone();
        tokio::task::spawn_local(async move {
            let res = store.keep_lease(lease.lease, STORE_TIMEOUT).await;
            let mut book = book.borrow_mut();
            let held = book.lease.as_mut().filter(|it| it.lease == lease.lease);
            match (res, held) {
                (Ok(()), Some(held)) => held.kept_at = now,
                (Err(StoreFault::LeaseEnded), Some(_)) => {
                    warn!(log, "assigner-lost"; "cause" => "lease-ended");
                    book.lease = None;
                }
                // The lease is trusted for a while yet.
                (Err(fault), Some(_)) => warn!(log, "lease-not-kept"; "cause" => %fault),
                (_, None) => (),
            }
            let _ = sender.send(OrderNews::Ended { task: TaskKey::Lease });
        });
    }

    async fn resign(&mut self) {
        let Some(lease) = self.book.borrow_mut().lease.take() else {
            return;
        };
        let record = self.own_record(true);
        let change = RecordChange {
            expected: vec![(ASSIGNER_RECORD.to_owned(), lease.revision)],
            writes: vec![(ASSIGNER_RECORD.to_owned(), encode_record(&record), None)],
            removals: Vec::new(),
        };
        let res = self.store.change(change, STORE_TIMEOUT).await;
        info!(self.log, "assigner-resigned"; "written" => res.is_ok());
    }

    async fn take_order_news(&mut self, news: OrderNews) {
        match news {
            OrderNews::Granted { service, range, token } => {
                let revision = self.revisions.get(&service).copied().unwrap_or_default();
                self.granted.push((service.clone(), range, token));
                let note = OpenedNote { service, revision, range, token };
                {
                    let mut beliefs = self.beliefs.borrow_mut();
                    beliefs.apply_opened_note(note.clone());
                    self.board.publish(&mut beliefs);
                }
                self.tell_routers(PeerNote::Opened(note)).await;
            }
            OrderNews::NeedsToken { service, life } => self.needs_token.push((service, life)),
            OrderNews::Ended { task } => {
                self.tasks.remove(&task);
            }
        }
    }

    /// Writes the service's next record, if there is one.
    async fn plan_service(
        &mut self,
        service: &ServiceName,
        beliefs: &BeliefSnapshot,
        lease: HeldLease,
        now: MonoTime,
    ) {
        let stored = beliefs.shards.get(service);
        let servers = self.shard_servers(service, beliefs, now);
        let mut draft = stored.map(|it| (*it.record).clone());
        let has_new_tokens = match &mut draft {
            Some(draft) => self.prepare_draft(service, draft),
            None => false,
        };
        let may_move = now >= lease.may_move_at || draft.is_none();
        let planned = match may_move {
            true => self.plan(service, draft.as_ref(), &servers, beliefs, now),
            false => None,
        };
        // Settled keys are in use already; their record is written along with the next change.
        let has_granted = self.granted.iter().any(|it| it.0 == *service)
            && now.since(self.written_at) >= SETTLE_INTERVAL;
        let draft = draft.filter(|_| has_new_tokens || has_granted);
        let Some(next) = planned.or(draft) else {
            self.founded.entry(service.clone()).or_insert(lease.revision);
            return;
        };
        self.write(service, stored, next, lease).await;
    }

    /// Takes finished moves and wanted tokens into the draft; tells whether any token is new.
    fn prepare_draft(&mut self, service: &ServiceName, draft: &mut ShardRecord) -> bool {
        for (_, range, token) in self.granted.iter().filter(|it| it.0 == *service) {
            draft.settle(*range, *token);
        }
        let mut lives: Vec<ServerLife> = Vec::new();
        if !self.founded.contains_key(service) {
            // First round after taking over: servers shall refuse the predecessor's tokens.
            let settled = draft.entries.iter().filter(|it| it.is_settled());
            lives.extend(settled.map(|it| it.holder.life.clone()));
        }
        let wanted = self.needs_token.iter().filter(|it| it.0 == *service);
        lives.extend(wanted.map(|it| it.1.clone()));
        lives.sort();
        lives.dedup();
        for life in &lives {
            draft.renew_tokens(life);
        }
        !lives.is_empty()
    }

    fn plan(
        &mut self,
        service: &ServiceName,
        draft: Option<&ShardRecord>,
        servers: &[ShardServer],
        beliefs: &BeliefSnapshot,
        now: MonoTime,
    ) -> Option<ShardRecord> {
        let book = self.book.clone();
        let is_dead = |life: &ServerLife| {
            beliefs.servers.get(&life.server).is_some_and(|it| it.entry.born != life.born)
                || book.borrow().gone.contains(life)
        };
        let mut loads = self.loads.borrow_mut();
        let load = loads.keys.entry(service.clone()).or_default();
        load.decay(now);
        let mut limits = ShardLimits::default();
        let balanced_at = self.balanced_at.entry(service.clone()).or_default();
        match now.since(*balanced_at) >= BALANCE_INTERVAL {
            true => *balanced_at = now,
            false => limits.max_moves = 0.0,
        }
        plan_shards(draft, servers, &is_dead, load, limits)
    }

    fn shard_servers(
        &self,
        service: &ServiceName,
        beliefs: &BeliefSnapshot,
        now: MonoTime,
    ) -> Vec<ShardServer> {
        let loads = self.loads.borrow();
        let names = beliefs.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let seen: Vec<_> = names.iter().filter_map(|it| beliefs.servers.get(it)).collect();
        let work: Vec<f64> =
            seen.iter().filter_map(|it| loads.work.get(&it.entry.name)).copied().collect();
        let typical = work.iter().sum::<f64>() / work.len().max(1) as f64;
        seen.iter()
            .map(|it| {
                let work = loads.work.get(&it.entry.name).copied().unwrap_or(typical);
                let speed = if work > 0.0 { (typical / work).clamp(0.4, 2.0) } else { 1.0 };
                let is_gone = self.book.borrow().gone.contains(&it.life());
                let standing = match () {
                    () if is_gone || it.leaving_since.is_some() => ServerStanding::Leaving,
                    () if beliefs.is_evacuated(it) => ServerStanding::Leaving,
                    () if it.cold_until > now => ServerStanding::Cold,
                    () => ServerStanding::Serving,
                };
                let capacity = f64::from(it.entry.slots) * speed;
                let life = it.life();
                let until = self.book.borrow_mut().unanswered_until(&life, KeyRange::ALL, now);
                ShardServer { life, capacity, standing, is_certain: until.is_none() }
            })
            .collect()
    }

    async fn write(
        &mut self,
        service: &ServiceName,
        stored: Option<&StoredShards>,
        next: ShardRecord,
        lease: HeldLease,
    ) {
        let name = format!("{SHARDS_PREFIX}{service}");
        let base = stored.map_or(0, |it| it.revision);
        let change = RecordChange {
            expected: vec![(ASSIGNER_RECORD.to_owned(), lease.revision), (name.clone(), base)],
            writes: vec![(name.clone(), encode_record(&next), None)],
            removals: Vec::new(),
        };
        match self.store.change(change, STORE_TIMEOUT).await {
            Ok(revision) => {
                info!(self.log, "shards-written"; "service" => %service, "revision" => revision,
                    "entries" => next.entries.len(), "next_token" => next.next_token,
                    "moving" => next.entries.iter().filter(|it| !it.is_settled()).count());
                self.written_at = self.clock.now();
                self.revisions.insert(service.clone(), revision);
                self.granted.retain(|it| it.0 != *service);
                self.needs_token.retain(|it| it.0 != *service);
                self.founded.entry(service.clone()).or_insert(lease.revision);
                let old = self.beliefs.borrow().stored_shards(service);
                if let Some(old) = old.filter(|it| it.revision == base) {
                    let delta = ShardDelta::between(&old.record, &next);
                    let service = service.clone();
                    let note = ShardNote { service, base, revision, delta };
                    self.tell_routers(PeerNote::Shards(note)).await;
                }
                let stored = StoredShards { revision, record: Arc::new(next) };
                let mut book = self.book.borrow_mut();
                book.records.insert(service.clone(), stored.record.clone());
                drop(book);
                let mut beliefs = self.beliefs.borrow_mut();
                if beliefs.stored_shards(service).is_none_or(|it| it.revision < revision) {
                    beliefs.note_shards(service.clone(), stored);
                    self.board.publish(&mut beliefs);
                }
            }
            Err(fault) => {
                warn!(self.log, "shards-not-written"; "service" => %service, "cause" => %fault);
                self.board.ask_for_news();
            }
        }
    }

    /// Tells all VMs of changed shards, ahead of the store's news; a lost note is made up for there.
    async fn tell_routers(&mut self, note: PeerNote) {
        let own = self.settings.reports;
        if self.notes.is_none() {
            let from = std::net::SocketAddr::new(own.ip(), 0);
            self.notes = open_socket(from).await.ok();
        }
        let Some((socket, bytes)) = self.notes.as_ref().zip(encode_note(note)) else {
            return;
        };
        let beliefs = self.board.current();
        for presence in beliefs.vms.values().filter(|it| it.reports != own) {
            let _ = socket.send_to(&bytes, presence.reports).await;
        }
    }

    /// Starts the orders that are due and not under way.
    fn send_orders(&mut self, beliefs: &BeliefSnapshot, lease: HeldLease, now: MonoTime) {
        let hold = if self.is_stale {
            self.settings.max_hold
        } else {
            self.settings.max_hold.min(USUAL_HOLD)
        };
        self.book.borrow_mut().forget_old(now);
        for (service, stored) in &beliefs.shards {
            self.book.borrow_mut().records.insert(service.clone(), stored.record.clone());
            self.revisions.insert(service.clone(), stored.revision);
            // Orders wait until servers can be given tokens that fence the predecessor off.
            if !self.founded.contains_key(service) {
                continue;
            }
            let mut settled: BTreeMap<ServerLife, Vec<ShardEntry>> = BTreeMap::new();
            for entry in &stored.record.entries {
                match entry.is_settled() {
                    true => {
                        settled.entry(entry.holder.life.clone()).or_default().push(entry.clone())
                    }
                    false if now >= lease.may_move_at => {
                        self.start_move(service, entry, beliefs, hold, now);
                    }
                    false => (),
                }
            }
            for (life, entries) in settled {
                self.start_renewal(service, life, entries, hold, now);
            }
        }
    }

    fn start_renewal(
        &mut self,
        service: &ServiceName,
        life: ServerLife,
        entries: Vec<ShardEntry>,
        hold: Duration,
        now: MonoTime,
    ) {
        let task = TaskKey::Renewal(service.clone(), life.clone());
        let key = (service.clone(), life.clone());
        let is_new = {
            let book = self.book.borrow();
            let is_acked = |it: &ShardEntry| {
                book.acked.contains(&(service.clone(), it.range, it.holder.token))
            };
            !entries.iter().all(is_acked)
        };
        let interval = if is_new { RETRY_INTERVAL } else { RENEW_INTERVAL };
        let is_due = self.renewed_at.get(&key).is_none_or(|it| now.since(*it) >= interval);
        if !is_due || self.tasks.contains_key(&task) {
            return;
        }
        self.tasks.insert(task.clone(), now);
        self.renewed_at.insert(key, now);
        let run = OrderRun { service: service.clone(), ..self.order_run(hold) };
        let sender = self.news.0.clone();
        tokio::task::spawn_local(async move {
            run.renew(&life, entries).await;
            let _ = sender.send(OrderNews::Ended { task });
        });
    }

    fn start_move(
        &mut self,
        service: &ServiceName,
        entry: &ShardEntry,
        beliefs: &BeliefSnapshot,
        hold: Duration,
        now: MonoTime,
    ) {
        let task = TaskKey::Move(service.clone(), entry.range, entry.holder.token);
        let is_reported =
            self.granted.iter().any(|it| it.2 == entry.holder.token && it.0 == *service);
        if is_reported || self.tasks.contains_key(&task) {
            return;
        }
        // A predecessor may have granted until its lease ended, and as long as may be.
        let unknown = hold_end(now, self.settings.max_hold);
        for holder in &entry.leaving {
            let mut book = self.book.borrow_mut();
            book.free_at.entry(holder.life.clone()).or_insert(unknown);
        }
        self.tasks.insert(task.clone(), now);
        let run = OrderRun { service: service.clone(), ..self.order_run(hold) };
        let entry = entry.clone();
        let dead: Vec<ServerLife> = entry
            .leaving
            .iter()
            .map(|it| it.life.clone())
            .filter(|it| {
                beliefs.servers.get(&it.server).is_some_and(|seen| seen.entry.born != it.born)
            })
            .collect();
        let sender = self.news.0.clone();
        tokio::task::spawn_local(async move {
            run.hand_over(&entry, &dead).await;
            let _ = sender.send(OrderNews::Ended { task });
        });
    }

    fn order_run(&self, hold: Duration) -> OrderRun<F> {
        OrderRun {
            orders: self.orders.clone(),
            book: self.book.clone(),
            clock: self.clock,
            sender: self.news.0.clone(),
            service: ServiceName::try_from("none").expect("a valid name"),
            hold,
            log: self.log.clone(),
        }
    }
}

/// What a task needs to send orders.
struct OrderRun<F> {
    orders: OrderSender<F>,
    book: Rc<RefCell<OrderBook>>,
    clock: ProcessClock,
    sender: mpsc::UnboundedSender<OrderNews>,
    service: ServiceName,
    hold: Duration,
    log: Logger,
}

impl<F: ServerFormat> OrderRun<F> {
    fn is_authorised(&self) -> bool {
        let now = self.clock.now();
        self.book.borrow().lease.is_some_and(|it| it.is_sure(now))
    }

    /// Sends one grant, if this process still holds the lease.
    async fn grant(
        &self,
        entry: &ShardEntry,
        handover: Option<&str>,
        kind: GrantKind,
    ) -> Option<OrderEnd> {
        let holder = &entry.holder;
        let lock = self.book.borrow_mut().grant_lock(&holder.life);
        let _guard = lock.lock().await;
        if !self.is_authorised() || !self.book.borrow().calls_for(&self.service, entry) {
            return None;
        }
        let end = hold_end(self.clock.now(), self.hold);
        let note_sent = || {
            let mut book = self.book.borrow_mut();
            let free_at = book.free_at.entry(holder.life.clone()).or_default();
            *free_at = (*free_at).max(end);
        };
        let res = self
            .orders
            .grant(&holder.life, entry.range, holder.token, self.hold, handover, kind, note_sent)
            .await;
        let mut book = self.book.borrow_mut();
        let (range, token) = (entry.range, holder.token);
        match res {
            OrderEnd::Done(_) => {
                book.acked.insert((self.service.clone(), range, token));
                book.note_acked(&holder.life, range, token);
            }
            OrderEnd::Silent(_) => {
                book.note_unanswered(&holder.life, UnansweredGrant { range, token, until: end });
            }
            OrderEnd::Gone => _ = book.gone.insert(holder.life.clone()),
            _ => (),
        }
        drop(book);
        Some(res)
    }

    /// Grants the keys of a move for a short time under the token kept for it, so that the server
    /// refuses earlier grants that it has not answered; tells whether it acknowledged.
    async fn fence(&self, range: KeyRange, life: &ServerLife, token: u64) -> bool {
        let lock = self.book.borrow_mut().grant_lock(life);
        let _guard = lock.lock().await;
        if !self.is_authorised() {
            return false;
        }
        let until = hold_end(self.clock.now(), FENCE_HOLD);
        let res =
            self.orders.grant(life, range, token, FENCE_HOLD, None, GrantKind::First, || ()).await;
        let mut book = self.book.borrow_mut();
        match res {
            OrderEnd::Done(_) => book.note_acked(life, range, token),
            OrderEnd::Silent(_) => {
                book.note_unanswered(life, UnansweredGrant { range, token, until });
            }
            _ => (),
        }
        let free_at = book.free_at.entry(life.clone()).or_default();
        *free_at = (*free_at).max(until);
        drop(book);
        info!(self.log, "unanswered-grants-fenced"; "server" => %life.server, "token" => token,
            "end" => ?res);
        matches!(res, OrderEnd::Done(_))
    }

    async fn renew(&self, life: &ServerLife, entries: Vec<ShardEntry>) {
        for entry in entries {
            let key = (self.service.clone(), entry.range, entry.holder.token);
            let is_known = self.book.borrow().acked.iter().any(|it| it.0 == key.0 && it.2 == key.2);
            let kind = if is_known { GrantKind::Renewal } else { GrantKind::First };
            match self.grant(&entry, None, kind).await {
                Some(OrderEnd::Done(_)) => (),
                None => return,
                Some(end) => {
                    warn!(self.log, "grant-failed"; "server" => %life.server,
                        "first" => entry.range.first, "last" => entry.range.last,
                        "token" => entry.holder.token, "end" => ?end);
                    if matches!(end, OrderEnd::LineLost | OrderEnd::Superseded) {
                        let (service, life) = (self.service.clone(), life.clone());
                        let _ = self.sender.send(OrderNews::NeedsToken { service, life });
                    }
                    return;
                }
            }
        }
    }

    async fn hand_over(&self, entry: &ShardEntry, dead: &[ServerLife]) {
        let mut handover = None;
        for holder in &entry.leaving {
            if dead.iter().any(|it| it.is_same(&holder.life)) {
                continue;
            }
            let fence = entry.holder.token - 1;
            let Some(told) = self.free(entry.range, holder, fence).await else {
                return;
            };
            handover = told.or(handover);
        }
        let mut kind = GrantKind::First;
        loop {
            match self.grant(entry, handover.as_deref(), kind).await {
                Some(OrderEnd::Done(_)) => break,
                None => return,
                Some(end) => {
                    warn!(self.log, "move-grant-failed"; "server" => %entry.holder.life.server,
                        "token" => entry.holder.token, "end" => ?end);
                    if end == OrderEnd::Superseded {
                        return;
                    }
                    kind = GrantKind::First;
                    sleep(ORDER_PAUSE).await;
                }
            }
        }
        let (service, range, token) = (self.service.clone(), entry.range, entry.holder.token);
        let _ = self.sender.send(OrderNews::Granted { service, range, token });
    }

    /// Waits until `life` holds nothing of `range`; nothing when the lease is lost meanwhile.
    async fn free(
        &self,
        range: KeyRange,
        holder: &ShardHolder,
        fence: u64,
    ) -> Option<Option<String>> {
        let life = &holder.life;
        let mut token = holder.token;
        let mut is_logged = false;
        loop {
            if !self.is_authorised() {
                return None;
            }
            let now = self.clock.now();
            if self.book.borrow_mut().unanswered_until(life, range, now).is_some()
                && token < fence
                && self.fence(range, life, fence).await
            {
                token = fence;
            }
            if self.book.borrow().gone.contains(life) {
                return Some(None);
            }
            let free_at = self.book.borrow().free_at.get(life).copied().unwrap_or_default();
            if self.clock.now() >= free_at {
                info!(self.log, "hold-lapsed"; "server" => %life.server, "token" => token);
                return Some(None);
            }
            let lock = self.book.borrow_mut().grant_lock(life);
            drop(lock.lock().await);
            match self.orders.release(life, range, token, RELEASE_PATIENCE).await {
                OrderEnd::Done(handover) => {
                    let now = self.clock.now();
                    let until = self.book.borrow_mut().unanswered_until(life, range, now);
                    if let Some(until) = until {
                        sleep(until.since(now)).await;
                    }
                    return Some(handover);
                }
                OrderEnd::Gone => _ = self.book.borrow_mut().gone.insert(life.clone()),
                end if !is_logged => {
                    is_logged = true;
                    info!(self.log, "release-failed"; "server" => %life.server, "token" => token,
                        "end" => ?end);
                }
                _ => (),
            }
            sleep(ORDER_PAUSE).await;
        }
    }
}
