//! Acquires, renews and resigns the assigner's lease.

use super::{order_state::EarlierLeases, *};

/// Duration of the assigner's lease in the store.
pub(super) const LEASE_LENGTH: Duration = Duration::from_millis(2_000);

/// Interval between lease renewals.
const LEASE_INTERVAL: Duration = Duration::from_millis(600);

/// Timeout of a lease renewal, after which it is tried again.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum time between attempts at a failing lease renewal.
const LEASE_RETRY: Duration = Duration::from_millis(200);

/// Additional delay per rank before a VM campaigns; VMs are ranked by capacity.
const CAMPAIGN_STAGGER: Duration = Duration::from_millis(120);

/// Rank at which the delay stops growing; a smaller cap lets many VMs of a large fleet campaign at
/// the same moment.
const MAX_STAGGERS: u32 = 40;

/// Interval at which a process that resigns looks whether its grants have been answered, which takes
/// no longer than the timeout of a grant.
const AWAIT_INTERVAL: Duration = Duration::from_millis(10);

/// Time after a change of the store's era in which only its last assigner campaigns, which knows the records
/// that the store has lost.
const HEIR_TIME: Duration = Duration::from_millis(1_500);

/// More tokens than are used in the longest time that a store may lose.
const LOST_TOKENS: u64 = 1 << 20;

impl<S: StateStore, F: ServerFormat> KeyAssigner<S, F> {
    /// Notes whether this process is the assigner, and gives the lease up when the store has come back from
    /// an older copy.
    pub(super) fn note_era(&mut self, snapshot: &StateSnapshot, now: MonoTime) {
        let era = snapshot.era();
        let is_new = self.era.current.is_none_or(|it| it.0 != era);
        if is_new {
            let is_first = self.era.current.replace((era, now)).is_none();
            if !is_first {
                info!(self.log, "assigner-era-changed"; "era" => era, "is_own" => self.era.is_own);
                self.step_down("era-changed");
            }
            return;
        }
        let is_own = |it: &StoredAssigner| {
            it.record.vm == self.settings.vm && it.record.incarnation == self.incarnation
        };
        // Until somebody has made sure who holds which keys, the last one of the era before knows most.
        if snapshot.recorded_era == era || snapshot.shards.is_empty() {
            self.era.is_own = snapshot.assigner.as_ref().is_some_and(is_own);
        }
    }

    /// Whether the last assigner of the era before may campaign first.
    fn is_heir_expected(&self, now: MonoTime) -> bool {
        self.era.current.is_none_or(|(_, since)| now.since(since) < HEIR_TIME)
    }

    pub(super) fn step_down(&mut self, cause: &'static str) {
        if self.term.state.borrow_mut().lease.take().is_some() {
            warn!(self.log, "assigner-lost"; "cause" => cause);
        }
        self.vacant_since = None;
    }

    /// Tries to acquire the lease when no other process holds it.
    pub(super) async fn campaign(&mut self, snapshot: &StateSnapshot, now: MonoTime) {
        let predecessor = snapshot.assigner.as_ref();
        let is_own_earlier_run = predecessor.is_some_and(|it| {
            it.record.vm == self.settings.vm && it.record.incarnation != self.incarnation
        });
        let has_resigned = predecessor.is_some_and(|it| it.record.has_resigned);
        if predecessor.is_some() && !is_own_earlier_run && !has_resigned {
            self.vacant_since = None;
            return;
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        let is_recovery = !snapshot.shards.is_empty() && snapshot.recorded_era != snapshot.era();
        let vms = snapshot.vms_by_capacity(|_| true);
        let rank = vms.iter().position(|it| **it == self.settings.vm);
        let wait = match rank {
            _ if is_own_earlier_run || is_recovery && self.era.is_own => Duration::ZERO,
            _ if is_recovery && self.is_heir_expected(now) => return,
            Some(rank) => CAMPAIGN_STAGGER * (rank as u32).min(MAX_STAGGERS),
            None => CAMPAIGN_STAGGER * MAX_STAGGERS,
        };
        if now.since(vacant_since) < wait {
            return;
        }
        self.vacant_since = Some(now);
        match self.acquire(snapshot).await {
            Ok((lease, revision, requested_at)) => {
                let (now, max_hold) = (self.clock.now(), self.settings.max_hold);
                let resigned = predecessor.filter(|it| it.record.has_resigned && !is_recovery);
                let earlier = match resigned {
                    Some(it) => {
                        let orders_end_at =
                            now + Duration::from_millis(it.record.earlier_orders_ms);
                        EarlierLeases::resigned(orders_end_at, max_hold)
                    }
                    None => EarlierLeases::lost(now, max_hold),
                };
                let silent_until = match is_recovery && !self.era.is_own {
                    true => earlier.grants_end_at(),
                    false => MonoTime::default(),
                };
                info!(self.log, "assigner-acquired"; "revision" => revision,
                    "own-earlier-run" => is_own_earlier_run, "resigned" => has_resigned,
                    "records_lost" => is_recovery,
                    "silent_ms" => silent_until.since(now).as_millis() as u64);
                let renewed_at = requested_at;
                self.term = AssignerTerm::new(OrderState {
                    lease: Some(HeldLease { lease, revision, renewed_at }),
                    earlier,
                    ..OrderState::default()
                });
                self.term.silent_until = silent_until;
                self.term.token_gap = if is_recovery { LOST_TOKENS } else { 0 };
                self.publish_own_record(revision);
            }
            Err(StoreError::Conflict) => self.channel.request_refresh(),
            Err(err) => warn!(self.log, "campaign-failed"; "cause" => %err),
        }
    }

    /// Publishes this process as the assigner before the change arrives from the store.
    pub(super) fn publish_own_record(&self, revision: u64) {
        let mut cache = self.cache.borrow_mut();
        cache.set_assigner(StoredAssigner { revision, record: self.own_record() });
        self.channel.publish(&mut cache);
    }

    pub(super) fn own_record(&self) -> AssignerRecord {
        AssignerRecord {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            reports: self.settings.reports,
            has_resigned: false,
            earlier_orders_ms: 0,
        }
    }

    pub(super) async fn acquire(
        &self,
        snapshot: &StateSnapshot,
    ) -> Result<(LeaseId, u64, MonoTime), StoreError> {
        let requested_at = self.clock.now();
        let lease = self.store.open_lease(LEASE_LENGTH, STORE_TIMEOUT).await?;
        let record = self.own_record();
        let predecessor = snapshot.assigner.as_ref().map_or(0, |it| it.revision);
        let change = RecordChange {
            expected: vec![(ASSIGNER_RECORD.to_owned(), predecessor)],
            writes: vec![(ASSIGNER_RECORD.to_owned(), encode_record(&record), Some(lease))],
            removals: Vec::new(),
        };
        match self.store.change(change, STORE_TIMEOUT).await {
            Ok(revision) => Ok((lease, revision, requested_at)),
            Err(err) => {
                // The write may be carried out late, which does no harm once its lease has ended.
                if let Err(cause) = self.store.end_lease(lease, STORE_TIMEOUT).await {
                    warn!(self.log, "lease-not-ended"; "cause" => %cause);
                }
                Err(err)
            }
        }
    }

    /// Spawns a lease renewal if one is due and none is in progress.
    pub(super) fn start_lease_renewal(&mut self, lease: HeldLease, now: MonoTime) {
        let is_due = now.since(lease.renewed_at) >= LEASE_INTERVAL
            && now.since(self.renewal_tried_at) >= LEASE_RETRY;
        if !is_due || self.term.tasks.contains_key(&TaskKey::Lease) {
            return;
        }
        self.renewal_tried_at = now;
        self.term.tasks.insert(TaskKey::Lease, now);
        let (store, state, log) = (self.store.clone(), self.term.state.clone(), self.log.clone());
        let sender = self.term.events.0.clone();
        tokio::task::spawn_local(async move {
            let res = store.renew_lease(lease.lease, RENEWAL_TIMEOUT).await;
            let mut state = state.borrow_mut();
            let held = state.lease.as_mut().filter(|it| it.lease == lease.lease);
            match (res, held) {
                (Ok(()), Some(held)) => held.renewed_at = now,
                (Err(StoreError::LeaseEnded), Some(_)) => {
                    warn!(log, "assigner-lost"; "cause" => "lease-ended");
                    state.lease = None;
                }
                // The lease stays valid until `LEASE_VALIDITY` after its last renewal.
                (Err(err), Some(_)) => warn!(log, "lease-renewal-failed"; "cause" => %err),
                (_, None) => (),
            }
            let _ = sender.send(OrderEvent::Ended { task: TaskKey::Lease });
        });
    }

    pub(super) async fn resign(&mut self) {
        let Some(lease) = self.term.state.borrow_mut().lease.take() else {
            return;
        };
        // Without the lease no order is sent any more.
        while self.term.state.borrow().is_answer_awaited() {
            sleep(AWAIT_INTERVAL).await;
        }
        let orders_left = self.term.state.borrow().earlier.orders_left(self.clock.now());
        let record = AssignerRecord {
            has_resigned: true,
            earlier_orders_ms: orders_left.as_millis() as u64 + 1,
            ..self.own_record()
        };
        let change = RecordChange {
            expected: vec![(ASSIGNER_RECORD.to_owned(), lease.revision)],
            writes: vec![(ASSIGNER_RECORD.to_owned(), encode_record(&record), None)],
            removals: Vec::new(),
        };
        let res = self.store.change(change, STORE_TIMEOUT).await;
        info!(self.log, "assigner-resigned"; "written" => res.is_ok());
    }
}
