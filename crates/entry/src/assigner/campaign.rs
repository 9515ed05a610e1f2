//! Getting, keeping and handing on the lease under which keys are assigned.

use super::*;

/// Length of the assigner's lease.
const LEASE_LENGTH: Duration = Duration::from_millis(3_000);

/// Time between renewals.
const LEASE_INTERVAL: Duration = Duration::from_millis(700);

/// Time between attempts at a renewal that fails.
const LEASE_RETRY: Duration = Duration::from_millis(250);

/// Time after which a predecessor surely sends no more orders.
const PREDECESSOR_WAIT: Duration = Duration::from_millis(3_200);

/// Wait of each further VM before it tries to become the assigner.
const CAMPAIGN_STAGGER: Duration = Duration::from_millis(120);

/// Most steps that a VM waits; fewer would let many VMs of a large fleet try at the same moment.
const MAX_STAGGERS: u32 = 40;

impl<S: StateStore, F: ServerFormat> KeyAssigner<S, F> {
    pub(super) fn step_down(&mut self, cause: &'static str) {
        if self.book.borrow_mut().lease.take().is_some() {
            warn!(self.log, "assigner-lost"; "cause" => cause);
        }
        self.vacant_since = None;
        self.founded.clear();
    }

    /// Tries to become the assigner when nobody is.
    pub(super) async fn campaign(&mut self, beliefs: &StateSnapshot, now: MonoTime) {
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
            Err(StoreError::Conflict) => self.channel.request_refresh(),
            Err(fault) => warn!(self.log, "campaign-failed"; "cause" => %fault),
        }
    }

    /// Publishes that this process assigns keys, before the store's news says so.
    pub(super) fn publish_own(&self, revision: u64) {
        let mut beliefs = self.beliefs.borrow_mut();
        beliefs.note_assigner(StoredAssigner { revision, record: self.own_record(false) });
        self.channel.publish(&mut beliefs);
    }

    pub(super) fn own_record(&self, has_resigned: bool) -> AssignerRecord {
        AssignerRecord {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            reports: self.settings.reports,
            has_resigned,
        }
    }

    pub(super) async fn acquire(
        &self,
        beliefs: &StateSnapshot,
    ) -> Result<(LeaseId, u64, MonoTime), StoreError> {
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
    pub(super) fn start_keeping(&mut self, lease: HeldLease, now: MonoTime) {
        let is_due = now.since(lease.kept_at) >= LEASE_INTERVAL
            && now.since(self.keeping_tried_at) >= LEASE_RETRY;
        if !is_due || self.tasks.contains_key(&TaskKey::Lease) {
            return;
        }
        self.keeping_tried_at = now;
        self.tasks.insert(TaskKey::Lease, now);
        let (store, book, log) = (self.store.clone(), self.book.clone(), self.log.clone());
        let sender = self.news.0.clone();
        tokio::task::spawn_local(async move {
            let res = store.renew_lease(lease.lease, STORE_TIMEOUT).await;
            let mut book = book.borrow_mut();
            let held = book.lease.as_mut().filter(|it| it.lease == lease.lease);
            match (res, held) {
                (Ok(()), Some(held)) => held.kept_at = now,
                (Err(StoreError::LeaseEnded), Some(_)) => {
                    warn!(log, "assigner-lost"; "cause" => "lease-ended");
                    book.lease = None;
                }
                // The lease is trusted for a while yet.
                (Err(fault), Some(_)) => warn!(log, "lease-renewal-failed"; "cause" => %fault),
                (_, None) => (),
            }
            let _ = sender.send(OrderNews::Ended { task: TaskKey::Lease });
        });
    }

    pub(super) async fn resign(&mut self) {
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
}
