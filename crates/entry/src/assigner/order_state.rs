//! Shared state of order tasks: acknowledged and unanswered grants, and when grants expire.

use super::*;

/// Time for which the lease is certainly held, counted from when its last renewal was sent.
const LEASE_VALIDITY: Duration = Duration::from_millis(1_750);

const _: () = assert!(LEASE_VALIDITY.as_millis() < campaign::LEASE_LENGTH.as_millis());

/// Time after the lease is acquired by which a predecessor has certainly stopped sending orders.
const PREDECESSOR_WAIT: Duration = Duration::from_millis(2_200);

const _: () = assert!(LEASE_VALIDITY.as_millis() < PREDECESSOR_WAIT.as_millis());

/// Number of acknowledged grants from which outdated entries are pruned.
const MAX_KEPT_GRANTS: usize = 2_048;

/// The assigner's lease while this process holds it.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldLease {
    pub(super) lease: LeaseId,
    /// Revision of the assigner's record that was written under the lease.
    pub(super) revision: u64,
    /// When the last successful renewal was sent; before the first, when the lease was requested.
    pub(super) renewed_at: MonoTime,
}

impl HeldLease {
    pub(super) fn is_valid(&self, now: MonoTime) -> bool {
        now.since(self.renewed_at) < LEASE_VALIDITY
    }

    /// Whether the state shows the record that was written under the lease. The store may drop a lease
    /// early; another process may then have written the record.
    pub(super) fn is_recorded_in(&self, snapshot: &StateSnapshot) -> bool {
        snapshot.assigner.as_ref().is_some_and(|it| it.revision == self.revision)
    }
}

/// Bounds on what holders of earlier leases may still do.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EarlierLeases {
    /// When they have certainly stopped sending orders, so that keys may be moved.
    pub(super) may_move_at: MonoTime,
    /// Time by which all their grants have arrived, or never will.
    grants_arrive_by: MonoTime,
    /// Time by which all their grants have certainly expired.
    grants_end_at: MonoTime,
}

impl EarlierLeases {
    /// After the holder of the last one has resigned; orders of those before it may arrive until
    /// `orders_end_at`.
    pub(super) fn resigned(orders_end_at: MonoTime, max_hold: Duration) -> Self {
        Self::new(orders_end_at, orders_end_at + TRANSIT_MARGIN, max_hold)
    }

    /// After the store has dropped the last one, which its holder may not know yet.
    pub(super) fn lost(now: MonoTime, max_hold: Duration) -> Self {
        let arrive_by = latest_arrival(now + LEASE_VALIDITY);
        Self::new(now + PREDECESSOR_WAIT, arrive_by, max_hold)
    }

    fn new(may_move_at: MonoTime, grants_arrive_by: MonoTime, max_hold: Duration) -> Self {
        // Without the store, a holder gives the longest holds.
        let grants_end_at = hold_end(grants_arrive_by, max_hold);
        Self { may_move_at, grants_arrive_by, grants_end_at }
    }

    /// Time by which all grants of earlier leases have certainly expired.
    pub(super) fn grants_end_at(&self) -> MonoTime {
        self.grants_end_at
    }

    /// Time left in which orders of earlier leases may arrive.
    pub(super) fn orders_left(&self, now: MonoTime) -> Duration {
        self.may_move_at.max(self.grants_arrive_by).since(now)
    }
}

/// State that the assigner shares with its order tasks.
#[derive(Debug, Default)]
pub(super) struct OrderState {
    pub(super) lease: Option<HeldLease>,
    /// Time by which the grants to a server have certainly expired whose answers have arrived under
    /// this lease, or are no longer awaited.
    pub(super) grants_end_at: BTreeMap<ServerInstance, MonoTime>,
    /// The same for the grant to a server whose answer is awaited.
    pub(super) awaited_grants_end_at: BTreeMap<ServerInstance, MonoTime>,
    /// Bounds on what holders of earlier leases may still do.
    pub(super) earlier: EarlierLeases,
    /// Grants that their holders have acknowledged: service, keys and token.
    pub(super) acked: BTreeSet<(ServiceName, KeyRange, u64)>,
    /// Tokens that must not be granted for the first time again. A run of the server that has ended
    /// since may have accepted one without an answer, or an earlier holder had it for fencing.
    pub(super) spent_tokens: BTreeSet<(ServiceName, u64)>,
    /// Current shard records; an order that none of their entries requires is not sent.
    pub(super) records: BTreeMap<ServiceName, Arc<ShardRecord>>,
    /// Server instances that have ended: another server answers at their address.
    pub(super) ended: BTreeSet<ServerInstance>,
    /// Grants without an answer, which may still take effect.
    pub(super) unanswered: BTreeMap<ServerInstance, Vec<UnansweredGrant>>,
    /// Locks held while a grant to a server is in flight, so that no release overtakes it.
    pub(super) grant_locks: BTreeMap<ServerInstance, Rc<Mutex<()>>>,
}

/// A grant without an answer, which the server may still receive.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnansweredGrant {
    pub(super) range: KeyRange,
    pub(super) token: u64,
    /// Time by which it has certainly expired. Its hold time counts from when it arrives.
    pub(super) until: MonoTime,
}

impl OrderState {
    pub(super) fn record_unanswered(&mut self, instance: &ServerInstance, grant: UnansweredGrant) {
        self.unanswered.entry(instance.clone()).or_default().push(grant);
    }

    /// Drops the unanswered grants that an acknowledged one supersedes: from then on the server
    /// rejects smaller tokens on its keys.
    pub(super) fn record_ack(&mut self, instance: &ServerInstance, range: KeyRange, token: u64) {
        if let Some(grants) = self.unanswered.get_mut(instance) {
            grants.retain(|it| !(range.covers(it.range) && it.token < token));
        }
    }

    /// Time until which an unanswered grant to `instance` may cover part of `range`.
    pub(super) fn unanswered_until(
        &mut self,
        instance: &ServerInstance,
        range: KeyRange,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let grants = self.unanswered.get_mut(instance)?;
        grants.retain(|it| it.until > now);
        grants.iter().filter(|it| it.range.overlaps(range)).map(|it| it.until).max()
    }

    /// Whether the answer to any grant is awaited.
    pub(super) fn is_answer_awaited(&self) -> bool {
        !self.awaited_grants_end_at.is_empty()
    }

    /// Time by which `holder` has certainly lost `range`, unless it releases it before.
    ///
    /// An acknowledged grant replaces those of earlier leases, which had smaller tokens. One without
    /// an answer may not have reached the server.
    pub(super) fn hold_end(
        &self,
        service: &ServiceName,
        range: KeyRange,
        holder: &ShardHolder,
    ) -> MonoTime {
        let end_in = |grants: &BTreeMap<ServerInstance, MonoTime>| {
            grants.get(&holder.instance).copied().unwrap_or_default()
        };
        let own_end = end_in(&self.grants_end_at).max(end_in(&self.awaited_grants_end_at));
        match self.has_acked(service, range, holder) {
            true => own_end,
            false => own_end.max(self.earlier.grants_end_at),
        }
    }

    fn has_acked(&self, service: &ServiceName, range: KeyRange, holder: &ShardHolder) -> bool {
        self.acked.iter().any(|(acked_service, acked_range, token)| {
            acked_service == service && *token == holder.token && acked_range.covers(range)
        })
    }

    /// Time by which no grant of an earlier lease can arrive any more that covers part of `range`, and
    /// that `holder` does not reject; `None` if that is so at `now`.
    pub(super) fn earlier_arrival(
        &self,
        service: &ServiceName,
        range: KeyRange,
        holder: &ShardHolder,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let arrive_by = self.earlier.grants_arrive_by;
        (now < arrive_by && !self.has_acked(service, range, holder)).then_some(arrive_by)
    }

    fn is_lease_held(&self, now: MonoTime) -> bool {
        self.lease.is_some_and(|it| it.is_valid(now))
    }

    /// Whether orders that `entry` requires may be sent: the lease is certainly still held, and the
    /// current record has the entry.
    pub(super) fn may_order(
        &self,
        service: &ServiceName,
        entry: &ShardEntry,
        now: MonoTime,
    ) -> bool {
        self.is_lease_held(now) && self.is_current(service, entry)
    }

    /// Records that a grant to `instance` is sent.
    pub(super) fn record_sent(&mut self, instance: &ServerInstance, hold: Duration, now: MonoTime) {
        let ends_at = hold_end(latest_arrival(now), hold);
        self.awaited_grants_end_at.insert(instance.clone(), ends_at);
    }

    /// Records that the answer to the grant to `instance` is no longer awaited, and that the grant has
    /// arrived by `arrived_at`, if it was sent at all.
    pub(super) fn record_ended(
        &mut self,
        instance: &ServerInstance,
        hold: Duration,
        arrived_at: Option<MonoTime>,
    ) {
        self.awaited_grants_end_at.remove(instance);
        if let Some(arrived_at) = arrived_at {
            let ends_at = self.grants_end_at.entry(instance.clone()).or_default();
            *ends_at = (*ends_at).max(hold_end(arrived_at, hold));
        }
    }

    /// Whether the current record assigns the entry's keys to its holder under the same token.
    fn is_current(&self, service: &ServiceName, entry: &ShardEntry) -> bool {
        let Some(record) = self.records.get(service) else {
            return false;
        };
        record.entries.iter().any(|it| {
            it.holder == entry.holder
                && it.range.first <= entry.range.first
                && it.range.last >= entry.range.last
        })
    }

    /// Once there are [`MAX_KEPT_GRANTS`] acknowledged grants or spent tokens, drops those whose token
    /// no record contains any more, expired unanswered grants and unused locks.
    pub(super) fn prune(&mut self, now: MonoTime) {
        if self.acked.len().max(self.spent_tokens.len()) < MAX_KEPT_GRANTS {
            return;
        }
        let records = &self.records;
        let is_in_record = |service: &ServiceName, token: u64| {
            let mut entries = records.get(service).into_iter().flat_map(|it| &it.entries);
            entries.any(|it| it.holder.token == token)
        };
        self.acked.retain(|(service, _, token)| is_in_record(service, *token));
        // The token below that of a move is for fencing.
        self.spent_tokens.retain(|(service, token)| {
            is_in_record(service, *token) || is_in_record(service, token + 1)
        });
        self.unanswered.retain(|_, grants| grants.iter().any(|it| it.until > now));
        self.grant_locks.retain(|_, lock| Rc::strong_count(lock) > 1);
    }

    pub(super) fn grant_lock(&mut self, instance: &ServerInstance) -> Rc<Mutex<()>> {
        self.grant_locks.entry(instance.clone()).or_default().clone()
    }
}
