//! Keeps the cached state in sync with the store or a relay, with one long-polling call at a time.

use std::{cell::RefCell, net::IpAddr, rc::Rc, sync::Arc, time::Duration};

use model::{MonoTime, StepError};
use peer::{ByteCounter, PeerClient, PeerPool};
use settings::ProcessClock;
use slog::{Logger, info, warn};
use tokio::{
    sync::{Notify, watch},
    time::sleep,
};

use crate::{
    ChangeBatch, EntryMetrics, StateSnapshot, StateStore, StoreError,
    change_relay::{
        ChangeSource, MAX_RELAY_AGE, RELAY_WAIT, RelayLog, RelayRequest, SourceSelector,
    },
    state_cache::{StateCache, VM_PREFIX},
};

/// Wait time of one watch; no answer within this plus `ANSWER_TIMEOUT` is a failure.
const WATCH_WAIT: Duration = Duration::from_millis(700);

/// Time allowed for the store's answer itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Minimum time between calls to the store.
const CALL_INTERVAL: Duration = Duration::from_millis(450);

/// Minimum time between calls when a refresh has been requested.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between calls to a relay; short, because a relay sends only relevant changes.
const RELAY_INTERVAL: Duration = Duration::from_millis(30);

/// Time allowed for a relay's answer itself.
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);

/// Time allowed for a relay's answer with the complete state, which it may send to all VMs of its
/// domain at once.
const COMPLETE_RELAY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Duration beyond which an answered call is logged: the longest wait for a change and a little more.
const SLOW_CALL: Duration = Duration::from_millis(900);

/// Time after the start of the process for which it waits for its relay rather than reading the
/// complete state from the store: a relay that started at the same moment has to read it first.
const RELAY_START_TIME: Duration = Duration::from_millis(1_500);

/// Longest wait for this VM's own presence record before the complete state is read.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(300);

/// Channel that publishes snapshots to all threads and carries refresh requests back.
#[derive(Debug, Clone)]
pub struct SnapshotChannel {
    sender: Arc<watch::Sender<Arc<StateSnapshot>>>,
    refresh: Arc<Notify>,
    relay_log: Option<RelayLog>,
}

impl Default for SnapshotChannel {
    fn default() -> Self {
        let (sender, _) = watch::channel(Arc::default());
        Self { sender: Arc::new(sender), refresh: Arc::default(), relay_log: None }
    }
}

impl SnapshotChannel {
    /// Creates a channel that also adds published changes to a relay log.
    pub fn with_relay(relay_log: RelayLog) -> Self {
        Self { relay_log: Some(relay_log), ..Self::default() }
    }

    /// The last published snapshot.
    pub fn current(&self) -> Arc<StateSnapshot> {
        self.sender.borrow().clone()
    }

    /// Returns a receiver that is notified of each publication.
    pub fn subscribe(&self) -> watch::Receiver<Arc<StateSnapshot>> {
        self.sender.subscribe()
    }

    /// Requests a call to the source as soon as `REFRESH_INTERVAL` allows.
    pub fn request_refresh(&self) {
        self.refresh.notify_one();
    }

    /// Publishes the state to this process's threads, and adds the changes to the relay log.
    pub fn publish(&self, cache: &mut StateCache) {
        let changes = cache.take_changes();
        if let Some(relay_log) = &self.relay_log {
            relay_log.add(changes, cache.snapshot());
        }
        self.sender.send_replace(Arc::new(cache.snapshot().clone()));
    }
}

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
    /// Monotonic clock that all threads of the process share.
    pub clock: ProcessClock,
    /// Metrics that the calls are counted in.
    pub metrics: EntryMetrics,
    /// Receives events about the source.
    pub log: Logger,
}

/// Position up to which the current source has been read; dropped when the source changes.
#[derive(Debug, Clone, Copy, Default)]
struct ReadPosition {
    /// Store revision that the state reflects; `None` if a complete read is due.
    revision: Option<u64>,
    /// Incarnation of the relay and number of its last event; `None` before its first reply.
    relay: Option<(u64, u64)>,
}

/// Result of one call to a source.
struct SourceBatch {
    batch: ChangeBatch,
    is_complete: bool,
    age: Duration,
}

impl<S: StateStore> ChangeFollower<S> {
    /// Runs until the process ends.
    pub async fn run(mut self) {
        let peers = PeerPool::new(self.local, ByteCounter::default());
        let mut source = ChangeSource::Store;
        let mut position = ReadPosition::default();
        let mut is_lost = false;
        let relay_due_at = self.clock.now() + RELAY_START_TIME;
        self.read_vms().await;
        loop {
            let called_at = self.clock.now();
            let selected = self.selector.select(self.cache.borrow().snapshot(), called_at);
            let Some(selected) = selected else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            if selected != source {
                info!(self.log, "change-source-selected"; "from" => ?selected, "before" => ?source);
                position = ReadPosition::default();
                source = selected;
            }
            let res = match &source {
                ChangeSource::Store => self.read_store(&mut position).await,
                ChangeSource::Relay(_, address) => {
                    let known_revision = self.cache.borrow().snapshot().revision;
                    let client = peers.client(*address, "changes");
                    read_relay(&client, &mut position, known_revision).await
                }
            };
            let now = self.clock.now();
            match res {
                Ok(batch) => {
                    if std::mem::replace(&mut is_lost, false) {
                        info!(self.log, "change-source-recovered"; "source" => ?source);
                    }
                    self.note_call(&source, &batch, now.since(called_at));
                    self.apply_batch(batch, &mut position, now);
                    let interval = match source {
                        ChangeSource::Store => CALL_INTERVAL,
                        ChangeSource::Relay(..) => RELAY_INTERVAL,
                    };
                    pause(&self.channel, interval.saturating_sub(now.since(called_at))).await;
                }
                Err(StoreError::Compacted) => {
                    warn!(self.log, "store-history-compacted"; "after" => position.revision);
                    position = ReadPosition::default();
                }
                Err(_) if self.is_relay_starting(&source, now, relay_due_at) => {
                    sleep(RETRY_DELAY).await;
                }
                Err(err) => {
                    is_lost = true;
                    self.note_failed_call(&source, &err, now.since(called_at), now);
                    if source == ChangeSource::Store {
                        self.cache.borrow_mut().note_store_failure(now);
                    }
                    self.selector.record_failure(&source, now);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Counts an answered call; logs it if it took long.
    fn note_call(&self, source: &ChangeSource, answer: &SourceBatch, took: Duration) {
        let SourceBatch { batch, is_complete, .. } = answer;
        let end = match () {
            () if batch.has_gap => "gap",
            () if *is_complete => "complete",
            () => "changes",
        };
        self.metrics.change_calls.with_label_values(&[source.kind(), end]).inc();
        if took > SLOW_CALL {
            info!(self.log, "change-call-slow"; "source" => ?source, "end" => end,
                "took_ms" => took.as_millis() as u64, "events" => batch.events.len(),
                "bytes" => batch.n_bytes, "to_revision" => batch.revision,
                "from_revision" => self.cache.borrow().snapshot().revision);
        }
    }

    fn note_failed_call(
        &self,
        source: &ChangeSource,
        err: &StoreError,
        took: Duration,
        now: MonoTime,
    ) {
        self.metrics.change_calls.with_label_values(&[source.kind(), "failed"]).inc();
        let age = now.since(self.cache.borrow().snapshot().synced_at);
        warn!(self.log, "change-source-lost"; "source" => ?source, "cause" => %err,
            "took_ms" => took.as_millis() as u64, "belief_age_ms" => age.as_millis() as u64);
    }

    /// Reads which VMs there are, so that the complete state can be taken from this VM's relay.
    ///
    /// Load pattern: all VMs start at the same moment, and the complete state for each of them would
    /// exceed what the store can send before the calls time out.
    async fn read_vms(&self) {
        let give_up_at = self.clock.now() + ANNOUNCEMENT_TIME;
        loop {
            let res = self.store.read_records(VM_PREFIX, ANSWER_TIMEOUT).await;
            let now = self.clock.now();
            match res {
                // The records alone are no state that another source could be compared with.
                Ok(batch) => {
                    let batch = ChangeBatch { revision: 0, ..batch };
                    self.cache.borrow_mut().apply_changes(batch, now);
                }
                Err(err) => warn!(self.log, "vms-not-read"; "cause" => %err),
            }
            let is_listed = self.selector.is_listed(self.cache.borrow().snapshot());
            if is_listed || now >= give_up_at {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Whether this process has just started and its relay may have as well.
    fn is_relay_starting(
        &self,
        source: &ChangeSource,
        now: MonoTime,
        relay_due_at: MonoTime,
    ) -> bool {
        let is_relay = matches!(source, ChangeSource::Relay(..));
        is_relay && now < relay_due_at && self.channel.current().plan.is_none()
    }

    async fn read_store(&self, position: &mut ReadPosition) -> Result<SourceBatch, StoreError> {
        let (batch, is_complete) = match position.revision {
            None => (self.store.read_all(ANSWER_TIMEOUT * 2).await?, true),
            Some(after) => {
                let timeout = WATCH_WAIT + ANSWER_TIMEOUT;
                (self.store.watch(after, WATCH_WAIT, timeout).await?, false)
            }
        };
        position.revision = Some(batch.revision);
        Ok(SourceBatch { batch, is_complete, age: Duration::ZERO })
    }

    fn apply_batch(&self, batch: SourceBatch, position: &mut ReadPosition, now: MonoTime) {
        let SourceBatch { batch, is_complete, age } = batch;
        let has_gap = batch.has_gap;
        if has_gap {
            warn!(self.log, "change-stream-gap"; "revision" => batch.revision);
        }
        let mut cache = self.cache.borrow_mut();
        let is_contiguous = match is_complete {
            true => {
                cache.apply_complete(batch, now);
                true
            }
            false => cache.apply_changes(batch, now),
        };
        cache.set_synced_at(age, now);
        if cache.take_complete_read_due(now) || !is_contiguous || has_gap {
            *position = ReadPosition::default();
        }
        self.channel.publish(&mut cache);
    }
}

/// Calls a relay. Until the relay has reached `known_revision`, its changes are not used, and a
/// complete state is refused.
async fn read_relay(
    client: &PeerClient,
    position: &mut ReadPosition,
    known_revision: u64,
) -> Result<SourceBatch, StoreError> {
    let (incarnation, after) = position.relay.unwrap_or_default();
    let timeout = match position.revision {
        None => COMPLETE_RELAY_TIMEOUT,
        Some(_) => RELAY_WAIT + RELAY_TIMEOUT,
    };
    let request = RelayRequest { incarnation, after, revision: position.revision.unwrap_or(0) };
    let reply = client.call(&request, timeout).await.map_err(StoreError::Unknown)?;
    let refused = |cause: &str| StoreError::Refused(StepError::new("ask-relay", "relay", cause));
    let age = Duration::from_millis(reply.age_ms);
    match () {
        () if age > MAX_RELAY_AGE => return Err(refused("its state is stale")),
        () if position.relay.is_some() || reply.revision >= known_revision => (),
        () if reply.is_complete => return Err(refused("its state is older than this VM's")),
        // This VM has come from a source that was ahead; the relay catches up or becomes stale.
        () => {
            sleep(RETRY_DELAY).await;
            return Ok(SourceBatch { batch: ChangeBatch::default(), is_complete: false, age });
        }
    }
    position.relay = Some((reply.incarnation, reply.last));
    position.revision = Some(reply.revision.max(known_revision));
    Ok(SourceBatch {
        batch: ChangeBatch {
            revision: reply.revision,
            events: Arc::unwrap_or_clone(reply.events),
            ..ChangeBatch::default()
        },
        is_complete: reply.is_complete,
        age,
    })
}

/// Waits for `length`; a requested refresh ends the wait once `REFRESH_INTERVAL` has passed.
async fn pause(channel: &SnapshotChannel, length: Duration) {
    sleep(length.min(REFRESH_INTERVAL)).await;
    let rest = length.saturating_sub(REFRESH_INTERVAL);
    tokio::select! {
        () = sleep(rest) => (),
        () = channel.refresh.notified() => (),
    }
}
