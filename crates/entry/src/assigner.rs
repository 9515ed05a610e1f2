//! Assigns key ranges to servers. One process at a time does this, elected by a lease in the store.
//!
//! Only the lease holder changes a shard record, in a transaction that checks the revisions of both
//! the assigner's record and the shard record. Orders are sent only while the lease is certainly
//! held. A new assigner first gives every settled holder a larger fencing token, so that servers
//! reject its predecessor's orders. It moves keys only after the predecessor has resigned, or its
//! lease has expired by any clock, because the store may drop a lease early.

mod campaign;
mod order_executor;
mod order_state;
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
use policy::SmoothedWeights;
use settings::ProcessClock;
use slog::{Logger, info, warn};
use tokio::{
    net::UdpSocket,
    sync::{Mutex, mpsc},
    time::sleep,
};

use crate::{
    AssignerRecord, BackpressureCache, CachedRanks, EntrySettings, FleetRecord, LeaseId,
    RecordChange, ServerFormat, SnapshotChannel, StateSnapshot, StateStore, StoreError,
    StoredAssigner, StoredShards,
    datagrams::{AckedRange, PeerDatagram, ShardUpdate, bind_socket, encode_datagrams},
    era_of,
    orders::{
        GrantKind, GrantOrder, OrderOutcome, OrderSender, TRANSIT_MARGIN, hold_end, latest_arrival,
    },
    state_cache::{ASSIGNER_RECORD, FLEET_RECORD, SHARDS_PREFIX, StateCache, encode_record},
};

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Interval between rounds of planning and sending.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between renewals of a holder's grants.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);

/// Hold time of grants, for which a server may process requests for the keys without a renewal,
/// while the store answers.
const NORMAL_HOLD: Duration = Duration::from_millis(4_200);

/// Time from the end of a lost assigner's lease until its successor's grants arrive.
const TAKEOVER_TIME: Duration = Duration::from_millis(700);

const _: () = assert!(
    NORMAL_HOLD.as_millis()
        >= RENEW_INTERVAL.as_millis()
            + campaign::LEASE_LENGTH.as_millis()
            + TAKEOVER_TIME.as_millis(),
    "keys stay held while the assigner is replaced"
);

/// Age of the last lease renewal beyond which grants get the longest allowed hold time.
const MAX_RENEWAL_AGE: Duration = Duration::from_millis(1_050);

/// Minimum time between writes of the number of VMs.
const FLEET_INTERVAL: Duration = Duration::from_millis(1_000);

/// Minimum time between attempts to send a grant that has not been acknowledged.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

use order_executor::OrderExecutor;
use order_state::{HeldLease, OrderState};

/// Load reports that the datagram receiver adds up and the assigner reads, on one thread.
pub type SharedLoads = Rc<RefCell<KeyedLoads>>;

/// Load of keyed services as aggregated from the routers' reports.
#[derive(Debug, Default)]
pub struct KeyedLoads {
    /// Request count per key; decays over time.
    pub keys: BTreeMap<ServiceName, KeyLoad>,
    /// Moving average of the seconds of work per request, by server.
    pub work: HashMap<ServerName, f64>,
}

/// Event that an order task sends to the assigner's loop.
#[derive(Debug)]
enum OrderEvent {
    /// The new holder has acknowledged its grant.
    Granted { service: ServiceName, range: KeyRange, token: u64 },
    /// Keys can only be granted under a larger token.
    NeedsToken { service: ServiceName, keys: TokenRequest },
    /// The task has ended, whether or not it succeeded.
    Ended { task: TaskKey },
}

/// The keys that need a larger token.
#[derive(Debug, Clone, PartialEq, Eq)]
enum TokenRequest {
    /// All settled keys of an instance.
    Settled(ServerInstance),
    /// The keys that move to the holder with this token.
    Moving(u64),
}

/// Identifies an order task; at most one runs at a time for each key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum TaskKey {
    Lease,
    Renewal(ServiceName, ServerInstance),
    Move(ServiceName, KeyRange, u64),
}

/// Assigner of one VM: campaigns for the lease, and plans and sends orders while holding it.
pub struct KeyAssigner<S, F> {
    store: S,
    orders: OrderSender<F>,
    settings: EntrySettings,
    incarnation: u64,
    clock: ProcessClock,
    channel: SnapshotChannel,
    cache: Rc<RefCell<StateCache>>,
    loads: SharedLoads,
    backpressure: BackpressureCache,
    term: AssignerTerm,
    /// When keys of a service could last move to balance load.
    balanced_at: BTreeMap<ServiceName, MonoTime>,
    /// Since when the lease has been free to acquire, or when it was last tried.
    vacant_since: Option<MonoTime>,
    /// When a renewal of the lease was last attempted.
    renewal_tried_at: MonoTime,
    /// Whether the last lease renewal is older than `MAX_RENEWAL_AGE`.
    is_store_stale: bool,
    /// Sends datagrams to other VMs; bound for the first one.
    socket: Option<UdpSocket>,
    /// Revision of each shard record as this process last wrote or read it.
    revisions: BTreeMap<ServiceName, u64>,
    /// When a shard record was last written.
    written_at: MonoTime,
    /// When the number of VMs was last written.
    fleet_recorded_at: MonoTime,
    ranks: CachedRanks,
    /// Weights by which each service's keys are divided.
    weights: BTreeMap<ServiceName, SmoothedWeights>,
    /// The store's era as it was last seen.
    era: EraView,
    log: Logger,
}

/// What an assigner knows and does under one lease. The next lease starts with a new one, so that
/// tasks of the earlier lease find it lost, and their events reach nobody.
#[derive(Debug)]
struct AssignerTerm {
    state: Rc<RefCell<OrderState>>,
    /// Tasks in progress, with the time at which each was started.
    tasks: BTreeMap<TaskKey, MonoTime>,
    events: (mpsc::UnboundedSender<OrderEvent>, mpsc::UnboundedReceiver<OrderEvent>),
    /// Grants acknowledged since the service's record was last written: service, keys and token.
    granted: Vec<(ServiceName, KeyRange, u64)>,
    /// Keys that can only be granted under a larger token, until the record is written.
    token_requests: Vec<(ServiceName, TokenRequest)>,
    /// When the last renewal of an instance's grants was started.
    grants_renewed_at: BTreeMap<(ServiceName, ServerInstance), MonoTime>,
    /// Until when no order is sent, as it is not known who holds which keys.
    silent_until: MonoTime,
    /// Whether the store may have lost records, so that tokens up to this many above the known ones may
    /// have been used.
    token_gap: u64,
    /// Services whose settled holders have tokens issued under this lease, with its revision.
    fenced_services: BTreeMap<ServiceName, u64>,
    /// Revision of the record that was last written under this lease, by service.
    written_revisions: BTreeMap<ServiceName, u64>,
}

impl AssignerTerm {
    /// Begins a term that knows no more than `state`.
    fn new(state: OrderState) -> Self {
        Self {
            state: Rc::new(RefCell::new(state)),
            tasks: BTreeMap::new(),
            events: mpsc::unbounded_channel(),
            granted: Vec::new(),
            token_requests: Vec::new(),
            grants_renewed_at: BTreeMap::new(),
            silent_until: MonoTime::default(),
            token_gap: 0,
            fenced_services: BTreeMap::new(),
            written_revisions: BTreeMap::new(),
        }
    }
}

/// What an assigner knows of the store's era.
#[derive(Debug, Default)]
struct EraView {
    /// Era and time at which it was first seen; `None` before the first state.
    current: Option<(u64, MonoTime)>,
    /// Whether the last state of the present era, or that of the one before if this process has not held
    /// the lease in this one, showed this process as the assigner: nobody knows newer records.
    is_own: bool,
}

/// Dependencies of a [`KeyAssigner`].
pub struct AssignerParts<S, F> {
    /// Holds the lease and the shard records.
    pub store: S,
    /// Encodes orders to servers.
    pub format: F,
    /// Settings as read at the start; reloaded settings do not reach the assigner.
    pub settings: EntrySettings,
    /// Incarnation of this process; differs from that of an earlier run on the same VM.
    pub incarnation: u64,
    /// Monotonic clock that all threads of the process share.
    pub clock: ProcessClock,
    /// Publishes snapshots to the process's threads.
    pub channel: SnapshotChannel,
    /// Cached state that snapshots are taken from.
    pub cache: Rc<RefCell<StateCache>>,
    /// Load that routers have reported.
    pub loads: SharedLoads,
    /// What servers ask of their callers, as this VM and others have learned.
    pub backpressure: BackpressureCache,
    /// Receives the assigner's events.
    pub log: Logger,
}

impl<S: StateStore, F: ServerFormat> KeyAssigner<S, F> {
    /// Creates an assigner that does not hold the lease.
    pub fn new(parts: AssignerParts<S, F>) -> Self {
        Self {
            orders: OrderSender::new(parts.format, parts.clock, parts.settings.order_bounds()),
            store: parts.store,
            settings: parts.settings,
            incarnation: parts.incarnation,
            clock: parts.clock,
            channel: parts.channel,
            cache: parts.cache,
            loads: parts.loads,
            backpressure: parts.backpressure,
            term: AssignerTerm::new(OrderState::default()),
            balanced_at: BTreeMap::new(),
            vacant_since: None,
            renewal_tried_at: MonoTime::default(),
            is_store_stale: false,
            socket: None,
            revisions: BTreeMap::new(),
            written_at: MonoTime::default(),
            fleet_recorded_at: MonoTime::default(),
            ranks: CachedRanks::default(),
            weights: BTreeMap::new(),
            era: EraView::default(),
            log: parts.log,
        }
    }

    /// Runs rounds until `stop` becomes true, then resigns the lease.
    pub async fn run(mut self, mut stop: tokio::sync::watch::Receiver<bool>) {
        while !*stop.borrow() {
            self.round().await;
            tokio::select! {
                () = sleep(ROUND_INTERVAL) => (),
                Some(event) = self.term.events.1.recv() => self.handle_order_event(event).await,
                // The process ends when the sender is gone.
                res = stop.changed() => if res.is_err() { break },
            }
        }
        self.resign().await;
    }

    fn lease(&self) -> Option<HeldLease> {
        self.term.state.borrow().lease
    }

    /// Campaigns if this process does not hold the lease; otherwise renews it, plans each keyed
    /// service and sends the orders that are due.
    async fn round(&mut self) {
        let now = self.clock.now();
        let snapshot = self.channel.current();
        if snapshot.plan.is_none() {
            return;
        }
        self.note_era(&snapshot, now);
        let Some(lease) = self.lease() else {
            return self.campaign(&snapshot, now).await;
        };
        self.start_lease_renewal(lease, now);
        let Some(lease) = self.lease().filter(|it| it.is_valid(now)) else {
            return;
        };
        if !lease.is_recorded_in(&snapshot) {
            return self.step_down("replaced");
        }
        if now < self.term.silent_until {
            return;
        }
        while let Ok(event) = self.term.events.1.try_recv() {
            self.handle_order_event(event).await;
        }
        // While the store does not answer, a new plan could not be written.
        let is_store_stale = now.since(lease.renewed_at) > MAX_RENEWAL_AGE;
        if !is_store_stale {
            for service in snapshot.keyed_services() {
                self.plan_service(&service, &snapshot, lease, now).await;
            }
        }
        if !is_store_stale {
            self.record_fleet(&snapshot, lease).await;
        }
        if std::mem::replace(&mut self.is_store_stale, is_store_stale) != is_store_stale {
            info!(self.log, "hold-length-changed"; "is_longest" => is_store_stale);
            // Makes all renewals due, so that servers get the new hold time at once.
            self.term.grants_renewed_at.clear();
        }
        // Planning takes as long as the store takes to answer; by then, the state may be a successor's.
        let snapshot = self.channel.current();
        if !lease.is_recorded_in(&snapshot) {
            return self.step_down("replaced");
        }
        self.send_orders(&snapshot, self.clock.now());
    }

    /// Records the number of VMs if it has changed, while the plan has quotas that are divided by it, and
    /// the store's era once all keys have been granted by records of this era.
    async fn record_fleet(&mut self, snapshot: &StateSnapshot, lease: HeldLease) {
        let (n_vms, era) = (snapshot.n_sharing_vms(), era_of(lease.revision));
        let has_quotas = snapshot.plan.as_ref().is_some_and(|it| it.has_quotas());
        let is_fenced = |it: &ServiceName| self.term.fenced_services.contains_key(it);
        let is_era_new = snapshot.recorded_era != era;
        let is_changed = is_era_new || has_quotas && n_vms != snapshot.recorded_vms;
        let now = self.clock.now();
        let is_due = now.since(self.fleet_recorded_at) >= FLEET_INTERVAL;
        if !is_changed || !is_due || !snapshot.keyed_services().iter().all(is_fenced) {
            return;
        }
        self.fleet_recorded_at = now;
        let change = RecordChange {
            expected: vec![(ASSIGNER_RECORD.to_owned(), lease.revision)],
            writes: vec![(
                FLEET_RECORD.to_owned(),
                encode_record(&FleetRecord { n_vms, era }),
                None,
            )],
            removals: Vec::new(),
        };
        match self.store.change(change, STORE_TIMEOUT).await {
            Ok(_) => info!(self.log, "fleet-recorded"; "vms" => n_vms, "era" => era),
            Err(err) => warn!(self.log, "fleet-not-recorded"; "cause" => %err),
        }
    }

    async fn handle_order_event(&mut self, event: OrderEvent) {
        match event {
            OrderEvent::Granted { service, range, token } => {
                let revision = self.revisions.get(&service).copied().unwrap_or_default();
                self.term.granted.push((service.clone(), range, token));
                let acked = AckedRange { service, revision, range, token };
                {
                    let mut cache = self.cache.borrow_mut();
                    cache.apply_acked_range(acked.clone());
                    self.channel.publish(&mut cache);
                }
                self.send_to_routers(PeerDatagram::Acked(acked)).await;
            }
            OrderEvent::NeedsToken { service, keys } => {
                let request = (service, keys);
                if !self.term.token_requests.contains(&request) {
                    self.term.token_requests.push(request);
                }
            }
            OrderEvent::Ended { task } => {
                self.term.tasks.remove(&task);
            }
        }
    }

    /// Starts a task for each order that is due and not already in progress.
    fn send_orders(&mut self, snapshot: &StateSnapshot, now: MonoTime) {
        let hold = if self.is_store_stale {
            self.settings.max_hold
        } else {
            self.settings.max_hold.min(NORMAL_HOLD)
        };
        self.term.state.borrow_mut().prune(now);
        let may_move_at = self.term.state.borrow().earlier.may_move_at;
        for (service, stored) in &snapshot.shards {
            // Ahead of the change stream, the state shows no lease under which the record was written.
            let is_ahead = stored.revision > snapshot.revision;
            if is_ahead && self.term.written_revisions.get(service) != Some(&stored.revision) {
                continue;
            }
            self.term.state.borrow_mut().records.insert(service.clone(), stored.record.clone());
            self.revisions.insert(service.clone(), stored.revision);
            // No orders until the record has tokens that fence off the predecessor.
            if !self.term.fenced_services.contains_key(service) {
                continue;
            }
            let mut settled: BTreeMap<ServerInstance, Vec<ShardEntry>> = BTreeMap::new();
            for entry in &stored.record.entries {
                let is_listed = snapshot.servers.contains_key(&entry.holder.instance.server);
                match entry.is_settled() {
                    // Its keys move as soon as they may.
                    true if !is_listed && now < may_move_at => (),
                    true => settled
                        .entry(entry.holder.instance.clone())
                        .or_default()
                        .push(entry.clone()),
                    false if now >= may_move_at => {
                        self.start_move(service, entry, hold, now);
                    }
                    false => (),
                }
            }
            for (instance, entries) in settled {
                self.start_grant_renewal(service, instance, entries, hold, now);
            }
        }
    }

    /// Starts a task that renews the grants of an instance, if it is due: soon after the last one
    /// if any of them has not been acknowledged.
    fn start_grant_renewal(
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
            let state = self.term.state.borrow();
            let is_acked = |it: &ShardEntry| {
                state.acked.contains(&(service.clone(), it.range, it.holder.token))
            };
            !entries.iter().all(is_acked)
        };
        let interval = if is_new { RETRY_INTERVAL } else { RENEW_INTERVAL };
        let is_due =
            self.term.grants_renewed_at.get(&key).is_none_or(|it| now.since(*it) >= interval);
        if !is_due || self.term.tasks.contains_key(&task) {
            return;
        }
        self.term.tasks.insert(task.clone(), now);
        self.term.grants_renewed_at.insert(key, now);
        let executor = self.order_executor(service, hold);
        let sender = self.term.events.0.clone();
        tokio::task::spawn_local(async move {
            executor.renew(&instance, entries).await;
            let _ = sender.send(OrderEvent::Ended { task });
        });
    }

    /// Starts a task that revokes the keys of `entry` from the leaving holders and grants them to
    /// the new one, unless one runs or the new holder has acknowledged.
    fn start_move(
        &mut self,
        service: &ServiceName,
        entry: &ShardEntry,
        hold: Duration,
        now: MonoTime,
    ) {
        let task = TaskKey::Move(service.clone(), entry.range, entry.holder.token);
        let is_acked =
            self.term.granted.iter().any(|it| it.2 == entry.holder.token && it.0 == *service);
        if is_acked || self.term.tasks.contains_key(&task) {
            return;
        }
        self.term.tasks.insert(task.clone(), now);
        let executor = self.order_executor(service, hold);
        let entry = entry.clone();
        let sender = self.term.events.0.clone();
        tokio::task::spawn_local(async move {
            executor.hand_over(&entry).await;
            let _ = sender.send(OrderEvent::Ended { task });
        });
    }

    fn order_executor(&self, service: &ServiceName, hold: Duration) -> OrderExecutor<F> {
        OrderExecutor {
            orders: self.orders.clone(),
            state: self.term.state.clone(),
            clock: self.clock,
            sender: self.term.events.0.clone(),
            service: service.clone(),
            hold,
            log: self.log.clone(),
        }
    }
}
