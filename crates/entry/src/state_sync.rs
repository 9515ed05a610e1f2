//! Keeps the cached state in sync with the store or a relay, with one long-polling call at a time,
//! and asks the store itself as soon as the state is too old.

use std::{
    cell::{Cell, RefCell},
    net::IpAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use model::{MonoTime, StepError, VmName};
use peer::{ByteCounter, PeerClient, PeerPool};
use settings::ProcessClock;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use crate::{
    BatchScope, ChangeBatch, ChangeSource, ChangeTiming, EntryMetrics, RelayRequest,
    RelayedChanges, SnapshotChannel, SourceFailure, SourceSelector, StateStore, StoreError,
    state_cache::{StateCache, VM_PREFIX},
};

/// Time allowed for the store to begin with each page of a complete read.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time allowed for the records of the VMs.
const RECORDS_TIMEOUT: Duration = Duration::from_millis(600);

/// Minimum time between calls to a relay; short, because a relay sends only relevant changes.
const RELAY_INTERVAL: Duration = Duration::from_millis(30);

/// Time allowed for a relay's answer with the complete state, which it may send to all VMs of its
/// domain at once.
const COMPLETE_RELAY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Duration beyond which an answered call is logged: the longest wait for a change and a little more.
const SLOW_CALL: Duration = Duration::from_millis(900);

/// Time after the start of the process for which it waits for its relay rather than reading the
/// complete state from the store: a relay that started at the same moment has to read it first.
const RELAY_START_TIME: Duration = Duration::from_millis(1_500);

/// Time after the start of the process at which it reads the store itself if it has no state yet. All
/// VMs of a domain that start at once have it from their relay by then.
const MAX_STATELESS_TIME: Duration = Duration::from_millis(2_000);

/// Longest wait for this VM's own presence record before the complete state is read.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(300);

/// Follows the change stream and applies it to the cached state.
pub struct ChangeFollower<S> {
    /// Read directly when it is the selected source.
    pub store: S,
    /// Local address of calls to relays.
    pub local: IpAddr,
    /// State that the changes are applied to.
    pub cache: Rc<RefCell<StateCache>>,
    /// Publishes the state after each batch.
    pub channel: SnapshotChannel,
    /// Selects the source of each call.
    pub selector: SourceSelector,
    /// Time limits of calls and of the state's age.
    pub timing: ChangeTiming,
    /// Monotonic clock that all threads of the process share.
    pub clock: ProcessClock,
    /// Metrics that the calls are counted in.
    pub metrics: EntryMetrics,
    /// Receives events about the source.
    pub log: Logger,
}

/// Result of one call to a source.
struct SourceBatch {
    batch: ChangeBatch,
    is_complete: bool,
}

/// Position in the batches of the relay that was called last.
#[derive(Debug, Clone, Copy, Default)]
struct RelayPosition {
    /// Incarnation of the relay's process; 0 before its first reply.
    incarnation: u64,
    /// Number of its last batch.
    last: u64,
}

/// A running follower: one task follows the selected source, another asks the store when that does
/// not keep the state young enough.
struct FollowerTasks<S> {
    store: S,
    peers: PeerPool,
    cache: Rc<RefCell<StateCache>>,
    channel: SnapshotChannel,
    selector: RefCell<SourceSelector>,
    timing: ChangeTiming,
    clock: ProcessClock,
    metrics: EntryMetrics,
    log: Logger,
    /// Whether the selected source is the store.
    is_watching: Cell<bool>,
    /// Whether the last call to the store got no answer, on a new connection either.
    is_store_silent: Cell<bool>,
    /// Whether the next read must be a complete one although no change is known to be missing.
    is_complete_read_due: Cell<bool>,
    /// Until when a failing relay may not have started yet.
    relay_due_at: MonoTime,
    /// When the store is read if there is no state yet.
    state_due_at: MonoTime,
}

impl<S: StateStore> ChangeFollower<S> {
    /// Runs until the process ends.
    pub async fn run(self) {
        let tasks = FollowerTasks {
            store: self.store,
            peers: PeerPool::new(self.local, ByteCounter::default()),
            cache: self.cache,
            channel: self.channel,
            selector: RefCell::new(self.selector),
            timing: self.timing,
            clock: self.clock,
            metrics: self.metrics,
            log: self.log,
            is_watching: Cell::new(true),
            is_store_silent: Cell::new(false),
            is_complete_read_due: Cell::new(false),
            relay_due_at: self.clock.now() + RELAY_START_TIME,
            state_due_at: self.clock.now() + MAX_STATELESS_TIME,
        };
        tasks.read_vms().await;
        tokio::join!(tasks.follow_source(), tasks.catch_up_when_stale());
    }
}

impl<S: StateStore> FollowerTasks<S> {
    /// Calls the selected source again and again.
    async fn follow_source(&self) {
        let mut source = ChangeSource::Store;
        let mut position = RelayPosition::default();
        let mut is_lost = false;
        loop {
            let called_at = self.clock.now();
            let selected =
                self.selector.borrow_mut().select(self.cache.borrow().snapshot(), called_at);
            self.is_watching.set(selected == Some(ChangeSource::Store));
            let Some(selected) = selected else {
                sleep(self.timing.retry_delay).await;
                continue;
            };
            let is_new = selected != source;
            if is_new {
                info!(self.log, "change-source-selected"; "from" => ?selected, "before" => ?source);
                position = RelayPosition::default();
                source = selected;
            }
            let res = match &source {
                // The store may still refuse this VM, which leaves a relay that works for it.
                ChangeSource::Store if is_new => self.ask_store(Duration::ZERO).await,
                ChangeSource::Store => self.watch_store().await,
                ChangeSource::Relay(vm, address) => {
                    let client = self.peers.client(*address, "changes");
                    self.call_relay(vm, &client, &mut position).await
                }
            };
            let now = self.clock.now();
            match res {
                Ok(answer) => {
                    if std::mem::replace(&mut is_lost, false) {
                        info!(self.log, "change-source-recovered"; "source" => ?source);
                    }
                    let interval = match source {
                        _ if answer.batch.needs_another_read() => Duration::ZERO,
                        ChangeSource::Store => self.timing.call_interval,
                        ChangeSource::Relay(..) => RELAY_INTERVAL,
                    };
                    self.note_call(&source, &answer, now.since(called_at));
                    self.apply_batch(answer, now);
                    let rest = interval.saturating_sub(now.since(called_at));
                    self.channel.pause(rest).await;
                }
                Err(StoreError::Compacted) => {
                    warn!(self.log, "store-history-compacted"; "after" => self.revision());
                    self.is_complete_read_due.set(true);
                }
                Err(_) if self.is_relay_starting(&source, now) => {
                    sleep(self.timing.retry_delay).await;
                }
                Err(err) => {
                    is_lost = true;
                    self.note_failed_call(&source, &err, now.since(called_at), now);
                    sleep(self.timing.retry_delay).await;
                }
            }
        }
    }

    /// Asks the store for changes whenever the state is too old, whatever the selected source.
    ///
    /// Load pattern: a relay is frozen, cut off or slow, and so are those after it, or the connections
    /// to all of them. How long it takes to find one that works is then not bounded.
    async fn catch_up_when_stale(&self) {
        let ChangeTiming { catch_up_age, retry_delay, .. } = self.timing;
        loop {
            let now = self.clock.now();
            let age = self.state_age(now);
            let is_stale = match self.revision() {
                0 => now >= self.state_due_at,
                _ => age >= catch_up_age,
            };
            let may_ask = !self.is_watching.get() && self.selector.borrow().is_store_usable(now);
            if !is_stale || !may_ask {
                sleep(catch_up_age.saturating_sub(age).max(retry_delay)).await;
                continue;
            }
            let called_at = now;
            let res = self.ask_store(Duration::ZERO).await;
            let now = self.clock.now();
            let took = now.since(called_at);
            let source = ChangeSource::Store;
            match res {
                Ok(answer) => {
                    self.note_call(&source, &answer, took);
                    self.apply_batch(answer, now);
                }
                Err(StoreError::Compacted) => self.is_complete_read_due.set(true),
                Err(err) => self.note_failed_call(&source, &err, took, now),
            }
        }
    }

    /// Reads which VMs there are, so that the complete state can be taken from this VM's relay.
    ///
    /// Load pattern: all VMs start at the same moment, and the complete state for each of them would
    /// exceed what the store can send before the calls time out.
    async fn read_vms(&self) {
        let give_up_at = self.clock.now() + ANNOUNCEMENT_TIME;
        loop {
            let res = self.store.read_records(VM_PREFIX, RECORDS_TIMEOUT).await;
            let now = self.clock.now();
            match res {
                // The records alone are no state that another source could be compared with.
                Ok(batch) => {
                    let batch = ChangeBatch { revision: 0, ..batch };
                    self.cache.borrow_mut().apply_changes(batch, now);
                }
                Err(err) => warn!(self.log, "vms-not-read"; "cause" => %err),
            }
            let is_listed = self.selector.borrow().is_listed(self.cache.borrow().snapshot());
            if is_listed || now >= give_up_at {
                return;
            }
            sleep(self.timing.retry_delay).await;
        }
    }

    /// Whether this process has just started and its relay may have as well.
    fn is_relay_starting(&self, source: &ChangeSource, now: MonoTime) -> bool {
        let is_relay = matches!(source, ChangeSource::Relay(..));
        is_relay && now < self.relay_due_at && self.channel.current().plan.is_none()
    }

    fn revision(&self) -> u64 {
        self.cache.borrow().snapshot().revision
    }

    fn state_age(&self, now: MonoTime) -> Duration {
        now.since(self.cache.borrow().snapshot().synced_at)
    }

    /// Whether only a complete read brings the state up to date.
    fn needs_complete_state(&self) -> bool {
        self.is_complete_read_due.get() || self.cache.borrow().is_incomplete()
    }

    /// Watches the store until the state is as old as it may become, or reads it completely.
    async fn watch_store(&self) -> Result<SourceBatch, StoreError> {
        let age = self.state_age(self.clock.now());
        self.ask_store(self.timing.watch_cycle.saturating_sub(age)).await
    }

    /// Reads changes. If the store does not answer for the first time, its connection may have gone
    /// silent, and a second call opens another.
    ///
    /// Load pattern: in an outage of the store, each VM goes on asking it; a second call each time
    /// would double the number of calls.
    async fn ask_store(&self, wait: Duration) -> Result<SourceBatch, StoreError> {
        let res = match self.read_changes(wait).await {
            Err(StoreError::Unknown(_)) if !self.is_store_silent.get() => {
                self.read_changes(Duration::ZERO).await
            }
            res => res,
        };
        self.is_store_silent.set(matches!(res, Err(StoreError::Unknown(_))));
        res
    }

    /// Reads the changes since the state's revision, waiting up to `wait` for one, or the complete
    /// state if it is needed.
    async fn read_changes(&self, wait: Duration) -> Result<SourceBatch, StoreError> {
        let revision = self.revision();
        if revision == 0 || self.needs_complete_state() {
            let batch = self.store.read_all(PAGE_TIMEOUT).await?;
            self.channel.set_relay_path(Vec::new());
            // Another source may have been ahead.
            return Ok(match batch.revision < self.revision() {
                true => SourceBatch { batch: batch.without_events(), is_complete: false },
                false => SourceBatch { batch, is_complete: true },
            });
        }
        let timeout = match wait {
            Duration::ZERO => self.timing.catch_up_timeout,
            wait => wait + self.timing.answer_timeout,
        };
        let batch = self.store.watch(revision, wait, timeout).await?;
        self.channel.set_relay_path(Vec::new());
        // Another source may have been ahead, which only leaves what the answer says of the age.
        let batch = match batch.revision <= self.revision() {
            true => batch.without_events(),
            false => batch,
        };
        Ok(SourceBatch { batch, is_complete: false })
    }

    /// Calls a relay for the changes since the state's revision, or for the complete state.
    async fn call_relay(
        &self,
        relay: &VmName,
        client: &PeerClient,
        position: &mut RelayPosition,
    ) -> Result<SourceBatch, StoreError> {
        let timing = &self.timing;
        let (max_age, wait) = match self.selector.borrow().is_relay(self.cache.borrow().snapshot())
        {
            true => (timing.relay_limit, timing.successor_wait),
            false => (timing.follower_limit, timing.relay_wait),
        };
        let revision = if self.needs_complete_state() { 0 } else { self.revision() };
        let timeout = match revision {
            0 => COMPLETE_RELAY_TIMEOUT,
            _ => wait + timing.relay_timeout,
        };
        let request = RelayRequest {
            incarnation: position.incarnation,
            after: position.last,
            revision,
            wait_ms: wait.as_millis() as u64,
            max_age_ms: max_age.as_millis() as u64,
        };
        let called_at = self.clock.now();
        let reply = client.call(&request, timeout).await.map_err(StoreError::Unknown)?;
        let took = self.clock.now().since(called_at);
        // The time that the reply took counts as if all of it had passed after the relay sent it.
        let age = Duration::from_millis(reply.age_ms)
            + took.saturating_sub(Duration::from_millis(reply.held_ms));
        let refused =
            |cause: &str| StoreError::Refused(StepError::new("ask-relay", "relay", cause));
        if age > max_age {
            return Err(refused("its state is stale"));
        }
        if reply.path.contains(self.selector.borrow().vm()) {
            return Err(refused("it follows this VM"));
        }
        *position = RelayPosition { incarnation: reply.incarnation, last: reply.last };
        self.channel.set_relay_path([relay.clone()].into_iter().chain(reply.path).collect());
        let known = self.revision();
        let (events, scope, is_complete) = match reply.changes {
            RelayedChanges::Complete(_) if reply.revision < known => {
                return Err(refused("its state is older than this VM's"));
            }
            RelayedChanges::Complete(events) => {
                (Arc::unwrap_or_clone(events), BatchScope::Current, true)
            }
            RelayedChanges::Since(batches) => {
                // The store may have been asked in the meantime.
                let missing: Vec<_> = batches.into_iter().filter(|it| it.to > known).collect();
                let is_difference = missing.iter().any(|it| it.is_difference);
                if missing.iter().any(|it| it.is_difference && it.from < known) {
                    *position = RelayPosition::default();
                    return Err(refused("its changes don't continue this VM's state"));
                }
                let scope = match is_difference {
                    true => BatchScope::Difference,
                    false => BatchScope::Current,
                };
                (missing.into_iter().flat_map(|it| it.events).collect(), scope, false)
            }
        };
        let batch = ChangeBatch { revision: reply.revision, scope, age, events, n_bytes: 0 };
        Ok(SourceBatch { batch, is_complete })
    }

    fn apply_batch(&self, answer: SourceBatch, now: MonoTime) {
        let SourceBatch { batch, is_complete } = answer;
        if batch.scope == BatchScope::Gap {
            warn!(self.log, "change-stream-gap"; "revision" => batch.revision);
        }
        let mut cache = self.cache.borrow_mut();
        match is_complete {
            true => {
                cache.apply_complete(batch, now);
                self.is_complete_read_due.set(false);
            }
            false => _ = cache.apply_changes(batch, now),
        }
        if cache.take_complete_read_due(now) {
            self.is_complete_read_due.set(true);
        }
        self.channel.publish(&mut cache);
    }

    /// Counts an answered call; logs it if it took long.
    fn note_call(&self, source: &ChangeSource, answer: &SourceBatch, took: Duration) {
        let SourceBatch { batch, is_complete } = answer;
        let end = match batch.scope {
            _ if *is_complete => "complete",
            BatchScope::Gap => "gap",
            BatchScope::Current | BatchScope::Partial | BatchScope::Difference => "changes",
        };
        self.metrics.change_calls.with_label_values(&[source.kind(), end]).inc();
        if took > SLOW_CALL {
            info!(self.log, "change-call-slow"; "source" => ?source, "end" => end,
                "took_ms" => took.as_millis() as u64, "events" => batch.events.len(),
                "bytes" => batch.n_bytes, "to_revision" => batch.revision,
                "from_revision" => self.revision());
        }
    }

    /// Backs off from a source that failed.
    fn note_failed_call(
        &self,
        source: &ChangeSource,
        err: &StoreError,
        took: Duration,
        now: MonoTime,
    ) {
        self.metrics.change_calls.with_label_values(&[source.kind(), "failed"]).inc();
        warn!(self.log, "change-source-lost"; "source" => ?source, "cause" => %err,
            "took_ms" => took.as_millis() as u64,
            "belief_age_ms" => self.state_age(now).as_millis() as u64);
        if *source == ChangeSource::Store {
            self.cache.borrow_mut().note_store_failure(now);
        }
        let failure = match err {
            StoreError::Refused(_) => SourceFailure::Refused,
            _ => SourceFailure::Silent,
        };
        self.selector.borrow_mut().record_failure(source, failure, now);
    }
}
