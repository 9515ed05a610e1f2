//! Assigns keys to servers; one process of all does this at a time, by a lease of the store.
//!
//! A record is changed only by the holder of the lease, in one change that names the revisions of
//! both. Orders are sent only while the lease is surely held. A process that takes over gives every
//! settled holder a larger token first, so that servers refuse its predecessor, and moves keys only
//! after the predecessor's lease has ended by any clock, as the store may drop a lease early.

mod campaign;
mod order_book;
mod order_run;
mod planning;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use model::{MonoTime, ServerName, ServiceName};
use ownership::{
    KeyLoad, KeyRange, ServerInstance, ServerPhase, ShardDelta, ShardEntry, ShardHolder,
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
    AssignerRecord, EntrySettings, LeaseId, RecordChange, ServerFormat, SnapshotChannel,
    StateSnapshot, StateStore, StoreError, StoredAssigner, StoredShards,
    datagrams::{OpenedRange, PeerDatagram, ShardUpdate, bind_socket, encode_datagram},
    feed::{ASSIGNER_RECORD, SHARDS_PREFIX, StateCache, encode_record},
    orders::{GrantKind, OrderEnd, OrderSender, hold_end},
};

/// Longest wait for the store's answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time between renewals of a holder's grants.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long grants hold while the store answers.
const USUAL_HOLD: Duration = Duration::from_millis(5_000);

/// Age of the last renewal of the lease beyond which grants are made as long as may be.
const STALE_STORE: Duration = Duration::from_millis(1_100);

/// Least time between attempts at grants that fail.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

use order_book::{HeldLease, OrderBook};
use order_run::OrderRun;

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

/// What a finished order task tells the round.
#[derive(Debug)]
enum OrderNews {
    /// The keys are with their new holder.
    Granted { service: ServiceName, range: KeyRange, token: u64 },
    /// The life needs a larger token.
    NeedsToken { service: ServiceName, instance: ServerInstance },
    /// The task has ended.
    Ended { task: TaskKey },
}

/// One order task at a time for each of these.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum TaskKey {
    Lease,
    Renewal(ServiceName, ServerInstance),
    Move(ServiceName, KeyRange, u64),
}

/// The task of assigning keys on one VM.
pub struct KeyAssigner<S, F> {
    store: S,
    orders: OrderSender<F>,
    settings: EntrySettings,
    incarnation: u64,
    clock: ProcessClock,
    channel: SnapshotChannel,
    beliefs: Rc<RefCell<StateCache>>,
    loads: SharedLoads,
    book: Rc<RefCell<OrderBook>>,
    tasks: BTreeMap<TaskKey, MonoTime>,
    news: (mpsc::UnboundedSender<OrderNews>, mpsc::UnboundedReceiver<OrderNews>),
    granted: Vec<(ServiceName, KeyRange, u64)>,
    needs_token: Vec<(ServiceName, ServerInstance)>,
    renewed_at: BTreeMap<(ServiceName, ServerInstance), MonoTime>,
    balanced_at: BTreeMap<ServiceName, MonoTime>,
    vacant_since: Option<MonoTime>,
    /// When a renewal of the lease was last tried.
    keeping_tried_at: MonoTime,
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
    pub channel: SnapshotChannel,
    /// Beliefs as kept.
    pub beliefs: Rc<RefCell<StateCache>>,
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
            channel: parts.channel,
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
            keeping_tried_at: MonoTime::default(),
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
        let beliefs = self.channel.current();
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
        let beliefs = self.channel.current();
        self.send_orders(&beliefs, lease, now);
    }

    async fn take_order_news(&mut self, news: OrderNews) {
        match news {
            OrderNews::Granted { service, range, token } => {
                let revision = self.revisions.get(&service).copied().unwrap_or_default();
                self.granted.push((service.clone(), range, token));
                let note = OpenedRange { service, revision, range, token };
                {
                    let mut beliefs = self.beliefs.borrow_mut();
                    beliefs.apply_opened_note(note.clone());
                    self.channel.publish(&mut beliefs);
                }
                self.tell_routers(PeerDatagram::Opened(note)).await;
            }
            OrderNews::NeedsToken { service, instance } => {
                self.needs_token.push((service, instance))
            }
            OrderNews::Ended { task } => {
                self.tasks.remove(&task);
            }
        }
    }

    /// Starts the orders that are due and not under way.
    fn send_orders(&mut self, beliefs: &StateSnapshot, lease: HeldLease, now: MonoTime) {
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
            let mut settled: BTreeMap<ServerInstance, Vec<ShardEntry>> = BTreeMap::new();
            for entry in &stored.record.entries {
                match entry.is_settled() {
                    true => settled
                        .entry(entry.holder.instance.clone())
                        .or_default()
                        .push(entry.clone()),
                    false if now >= lease.may_move_at => {
                        self.start_move(service, entry, beliefs, hold, now);
                    }
                    false => (),
                }
            }
            for (instance, entries) in settled {
                self.start_renewal(service, instance, entries, hold, now);
            }
        }
    }

    fn start_renewal(
        &mut self,
        service: &ServiceName,
        instance: ServerInstance,
        entries: Vec<ShardEntry>,
        hold: Duration,
        now: MonoTime,
    ) {
        let task = TaskKey::Renewal(service.clone(), instance.clone());
        let key = (service.clone(), instance.clone());
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
        let run = self.order_run(service, hold);
        let sender = self.news.0.clone();
        tokio::task::spawn_local(async move {
            run.renew(&instance, entries).await;
            let _ = sender.send(OrderNews::Ended { task });
        });
    }

    fn start_move(
        &mut self,
        service: &ServiceName,
        entry: &ShardEntry,
        beliefs: &StateSnapshot,
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
            book.free_at.entry(holder.instance.clone()).or_insert(unknown);
        }
        self.tasks.insert(task.clone(), now);
        let run = self.order_run(service, hold);
        let entry = entry.clone();
        let dead: Vec<ServerInstance> = entry
            .leaving
            .iter()
            .map(|it| it.instance.clone())
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

    fn order_run(&self, service: &ServiceName, hold: Duration) -> OrderRun<F> {
        OrderRun {
            orders: self.orders.clone(),
            book: self.book.clone(),
            clock: self.clock,
            sender: self.news.0.clone(),
            service: service.clone(),
            hold,
            log: self.log.clone(),
        }
    }
}
