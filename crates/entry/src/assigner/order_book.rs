//! What the assigner knows of orders on their way and of their effects.

use super::*;

/// Time after a renewal was sent for which the lease is surely held.
const LEASE_TRUST: Duration = Duration::from_millis(2_700);

/// Acknowledged grants beyond which old ones are forgotten.
const MAX_KEPT_GRANTS: usize = 2_048;

/// The lease as this process holds it.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldLease {
    pub(super) lease: LeaseId,
    pub(super) revision: u64,
    pub(super) kept_at: MonoTime,
    pub(super) may_move_at: MonoTime,
}

impl HeldLease {
    pub(super) fn is_sure(&self, now: MonoTime) -> bool {
        now.since(self.kept_at) < LEASE_TRUST
    }
}

/// State shared with order tasks.
#[derive(Debug, Default)]
pub(super) struct OrderBook {
    pub(super) lease: Option<HeldLease>,
    /// When each life's grants have surely ended.
    pub(super) free_at: BTreeMap<ServerInstance, MonoTime>,
    /// Grants that their holders have acknowledged.
    pub(super) acked: BTreeSet<(ServiceName, KeyRange, u64)>,
    /// The records in force; an order that they do not call for is not sent.
    pub(super) records: BTreeMap<ServiceName, Arc<ShardRecord>>,
    /// Lives that have ended, as other servers answer at their addresses.
    pub(super) gone: BTreeSet<ServerInstance>,
    /// Grants that may still be carried out.
    pub(super) unanswered: BTreeMap<ServerInstance, Vec<UnansweredGrant>>,
    /// Held while a grant to a life is on its way, so that no release overtakes it.
    pub(super) grant_locks: BTreeMap<ServerInstance, Rc<Mutex<()>>>,
}

/// A grant that may be carried out later than it was sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnansweredGrant {
    pub(super) range: KeyRange,
    pub(super) token: u64,
    /// When it has surely no effect any more, as its time counts from its arrival.
    pub(super) until: MonoTime,
}

impl OrderBook {
    /// Notes a grant that was sent and not answered.
    pub(super) fn note_unanswered(&mut self, instance: &ServerInstance, grant: UnansweredGrant) {
        self.unanswered.entry(instance.clone()).or_default().push(grant);
    }

    /// Notes an acknowledged grant; the server refuses smaller tokens on its keys from then on.
    pub(super) fn note_acked(&mut self, instance: &ServerInstance, range: KeyRange, token: u64) {
        if let Some(grants) = self.unanswered.get_mut(instance) {
            grants.retain(|it| !(range.covers(it.range) && it.token < token));
        }
    }

    /// Until when a grant to `instance` may take some of `range` belatedly.
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

    /// Whether the records call for this grant.
    pub(super) fn calls_for(&self, service: &ServiceName, entry: &ShardEntry) -> bool {
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
    pub(super) fn forget_old(&mut self, now: MonoTime) {
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

    pub(super) fn grant_lock(&mut self, instance: &ServerInstance) -> Rc<Mutex<()>> {
        self.grant_locks.entry(instance.clone()).or_default().clone()
    }
}
