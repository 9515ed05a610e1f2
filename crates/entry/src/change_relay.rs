//! Relays the store's change stream: one VM per failure domain watches the store, and the others
//! long-poll it or, if it fails, the next, so that the number of calls to the store does not grow
//! with the fleet.
//!
//! The store's revision is the position of every VM in the stream, whatever its source: a VM whose
//! state is complete up to a revision can go on with any other relay, or with the store.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use model::{MonoTime, VmName};
use peer::{PeerService, TypedRequest};
use serde::{Deserialize, Serialize};
use settings::ProcessClock;
use tokio::{sync::watch, time::timeout};

use crate::{ChangeEvent, StateSnapshot};

/// Number of recent events kept for VMs that were briefly disconnected.
const MAX_KEPT_EVENTS: usize = 512;

/// Encoded bytes of recent events kept; a plan or shard record may have hundreds of kilobytes.
const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;

/// Longest time for which a relay holds a request until there is a change.
const MAX_RELAY_WAIT: Duration = Duration::from_millis(5_000);

/// Requests the changes that the caller's state does not contain.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayRequest {
    /// Incarnation of the relay that sent the last batches; 0 before the first reply.
    pub incarnation: u64,
    /// Number of the last batch received.
    pub after: u64,
    /// Store revision up to which the caller's state is complete; 0 if it needs the complete state.
    pub revision: u64,
    /// Milliseconds for which the relay may hold the request until there is a change.
    pub wait_ms: u64,
    /// Age in milliseconds beyond which the caller can't use the relay's state.
    pub max_age_ms: u64,
}

impl RelayRequest {
    fn max_age(&self) -> Duration {
        Duration::from_millis(self.max_age_ms)
    }
}

/// Changes that took a relay's state from one store revision to another.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RelayBatch {
    /// Revision of the state before the changes.
    pub from: u64,
    /// Revision of the state after them.
    pub to: u64,
    /// Whether the events are the difference between two states, without what was changed in between
    /// and changed back.
    pub is_difference: bool,
    /// Events in the order in which they were applied.
    pub events: Vec<ChangeEvent>,
}

/// What a relay sends to a caller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RelayedChanges {
    /// The complete state.
    Complete(Arc<Vec<ChangeEvent>>),
    /// The changes since the caller's revision; empty if none came within the wait time.
    Since(Vec<RelayBatch>),
}

/// Reply of a relay to a [`RelayRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayReply {
    /// Incarnation of the relay's process.
    pub incarnation: u64,
    /// Number of the last batch.
    pub last: u64,
    /// What the caller's state does not contain.
    pub changes: RelayedChanges,
    /// Milliseconds since the store last confirmed the relay's state.
    pub age_ms: u64,
    /// Milliseconds for which the relay held the request.
    pub held_ms: u64,
    /// Store revision up to which the relay's state is complete.
    pub revision: u64,
    /// VMs through which the relay gets its own changes, the nearest first; empty if it calls the
    /// store.
    pub path: Vec<VmName>,
}

impl RelayReply {
    /// Whether it has the complete state.
    pub fn is_complete(&self) -> bool {
        matches!(self.changes, RelayedChanges::Complete(_))
    }

    /// All events, in order.
    pub fn events(&self) -> Vec<&ChangeEvent> {
        match &self.changes {
            RelayedChanges::Complete(events) => events.iter().collect(),
            RelayedChanges::Since(batches) => batches.iter().flat_map(|it| &it.events).collect(),
        }
    }
}

impl TypedRequest for RelayRequest {
    type Reply = RelayReply;
}

/// Log of recent changes that this VM serves to others as their relay.
#[derive(Debug, Clone)]
pub struct RelayLog {
    incarnation: u64,
    clock: ProcessClock,
    state: Arc<Mutex<RelayState>>,
    last: Arc<watch::Sender<u64>>,
}

#[derive(Debug, Default)]
struct RelayState {
    synced_at: MonoTime,
    revision: u64,
    path: Vec<VmName>,
    /// Number of the last batch.
    last: u64,
    batches: VecDeque<KeptBatch>,
    /// Events of all kept batches.
    n_events: usize,
    /// Encoded bytes of all kept batches.
    n_bytes: usize,
    /// Revision of the newest batch that is no longer kept.
    dropped_revision: u64,
    snapshot: Arc<StateSnapshot>,
    complete: Option<CompleteState>,
}

/// A batch in the log.
#[derive(Debug)]
struct KeptBatch {
    batch: RelayBatch,
    /// Its encoded length.
    n_bytes: usize,
}

/// The complete state as events. A relay that starts sends it to all VMs of its domain at once.
#[derive(Debug, Clone)]
struct CompleteState {
    /// Number of the last batch that it contains.
    last: u64,
    built_at: MonoTime,
    events: Arc<Vec<ChangeEvent>>,
}

/// Age that a relay without any state reports.
const UNSYNCED_AGE: Duration = Duration::from_secs(3_600);

/// Time for which the events of the complete state are reused; the remaining times of cold servers
/// are longer in them by up to as much.
const COMPLETE_STATE_LIFETIME: Duration = Duration::from_millis(500);

impl RelayState {
    /// Time since the store last confirmed the state.
    fn age(&self, now: MonoTime) -> Duration {
        match self.revision {
            // Before it has read the store, this VM has no state, whatever its clock shows.
            0 => UNSYNCED_AGE,
            _ => now.since(self.synced_at),
        }
    }

    /// The complete state at `now`.
    fn complete_events(&mut self, now: MonoTime) -> Arc<Vec<ChangeEvent>> {
        let last = self.last;
        let is_usable = |it: &CompleteState| {
            it.last == last && now.since(it.built_at) < COMPLETE_STATE_LIFETIME
        };
        if let Some(complete) = self.complete.as_ref().filter(|it| is_usable(it)) {
            return complete.events.clone();
        }
        let events = Arc::new(self.snapshot.to_events(now));
        self.complete = Some(CompleteState { last, built_at: now, events: events.clone() });
        events
    }

    /// Appends a batch, and drops the oldest ones beyond the limit.
    fn push(&mut self, batch: RelayBatch) {
        let n_bytes = peer::encoded_len(&batch);
        self.last += 1;
        self.n_events += batch.events.len();
        self.n_bytes += n_bytes;
        self.batches.push_back(KeptBatch { batch, n_bytes });
        let is_too_long = |it: &Self| {
            it.n_events > MAX_KEPT_EVENTS
                || it.batches.len() > MAX_KEPT_EVENTS
                || it.n_bytes > MAX_KEPT_BYTES
        };
        while is_too_long(self)
            && let Some(KeptBatch { batch, n_bytes }) = self.batches.pop_front()
        {
            self.n_events -= batch.events.len();
            self.n_bytes -= n_bytes;
            self.dropped_revision = self.dropped_revision.max(batch.to);
        }
    }

    /// The kept batches that the caller's state does not contain; `None` if they don't lead from its
    /// revision to the current one, so that it needs the complete state.
    fn batches_for(&self, request: &RelayRequest, is_followed: bool) -> Option<Vec<RelayBatch>> {
        let revision = request.revision;
        if revision == 0 || revision < self.dropped_revision {
            return None;
        }
        let n_received = match is_followed {
            true => self.batches.len() - self.last.saturating_sub(request.after) as usize,
            false => 0,
        };
        let batches = self.batches.iter().skip(n_received).map(|it| &it.batch);
        let missing = batches.filter(|it| it.to > revision);
        let missing: Vec<&RelayBatch> = missing.collect();
        match missing.iter().any(|it| it.is_difference && it.from < revision) {
            true => None,
            false => Some(missing.into_iter().cloned().collect()),
        }
    }
}

impl RelayLog {
    /// Creates an empty log for the process `incarnation`.
    pub fn new(incarnation: u64, clock: ProcessClock) -> Self {
        Self { incarnation, clock, state: Arc::default(), last: Arc::new(watch::channel(0).0) }
    }

    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Sets the VMs through which this VM gets its changes, the nearest first.
    pub fn set_path(&self, path: Vec<VmName>) {
        self.lock().path = path;
    }

    /// Appends changes, with the state after them.
    ///
    /// Events whose own revision is newer than that state were applied ahead of the store's change
    /// stream. They become batches of their own, as the state lacks other changes up to there.
    pub fn add(&self, batch: RelayBatch, snapshot: &StateSnapshot) {
        let mut state = self.lock();
        state.synced_at = snapshot.synced_at;
        state.revision = snapshot.revision;
        let is_ahead = |it: &ChangeEvent| it.revision().is_some_and(|it| it > batch.to);
        let (ahead, events): (Vec<_>, Vec<_>) = batch.events.into_iter().partition(is_ahead);
        let has_events = !ahead.is_empty() || !events.is_empty();
        let is_jump = batch.is_difference && batch.from < batch.to;
        if !events.is_empty() || is_jump {
            state.push(RelayBatch { events, ..batch });
        }
        for event in ahead {
            let to = event.revision().unwrap_or(batch.to);
            state.push(RelayBatch { from: to, to, is_difference: false, events: vec![event] });
        }
        if has_events || is_jump {
            state.snapshot = Arc::new(snapshot.clone());
        }
        let last = state.last;
        drop(state);
        self.last.send_if_modified(|it| std::mem::replace(it, last) != last);
    }

    /// Builds the reply without waiting.
    fn reply(&self, request: &RelayRequest, held: Duration) -> RelayReply {
        let now = self.clock.now();
        let mut state = self.lock();
        let age = state.age(now);
        let is_followed = request.incarnation == self.incarnation
            && request.after <= state.last
            && state.last - request.after <= state.batches.len() as u64;
        let changes = match state.batches_for(request, is_followed) {
            _ if age > request.max_age() => RelayedChanges::Since(Vec::new()),
            Some(batches) => RelayedChanges::Since(batches),
            None => RelayedChanges::Complete(state.complete_events(now)),
        };
        RelayReply {
            incarnation: self.incarnation,
            last: state.last,
            changes,
            age_ms: age.as_millis() as u64,
            held_ms: held.as_millis() as u64,
            revision: state.revision,
            path: state.path.clone(),
        }
    }
}

impl PeerService for RelayLog {
    type Request = RelayRequest;

    async fn answer(&self, request: RelayRequest) -> RelayReply {
        let arrived = self.clock.now();
        let mut last = self.last.subscribe();
        if request.incarnation == self.incarnation {
            let wait = Duration::from_millis(request.wait_ms).min(MAX_RELAY_WAIT);
            // The caller has to learn at once that it can't use this state any more.
            let wait = wait.min(request.max_age().saturating_sub(self.lock().age(arrived)));
            // An empty reply after the wait still shows the caller that this VM is alive.
            let _ = timeout(wait, last.wait_for(|it| *it > request.after)).await;
        }
        self.reply(&request, self.clock.now().since(arrived))
    }
}
