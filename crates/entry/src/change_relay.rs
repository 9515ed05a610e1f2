//! Relays the store's change stream: one VM per failure domain watches the store, and the others
//! long-poll it or, if it fails, the next, so that the number of calls to the store does not grow
//! with the fleet.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use model::{DomainName, MonoTime, VmName};
use peer::{PeerService, TypedRequest};
use serde::{Deserialize, Serialize};
use settings::ProcessClock;
use tokio::{sync::watch, time::timeout};

use crate::{ChangeEvent, StateSnapshot};

/// Number of VMs of a failure domain that the others use as relays, one after the other. Each of
/// them follows those before it, and watches the store itself once they have failed.
const RELAYS_PER_DOMAIN: usize = 3;

/// Number of recent events kept for VMs that were briefly disconnected.
const MAX_KEPT_EVENTS: usize = 512;

/// Longest time for which a relay holds a request until there is a change.
pub const RELAY_WAIT: Duration = Duration::from_millis(300);

/// Age of a relay's state beyond which VMs use another source.
pub const MAX_RELAY_AGE: Duration = Duration::from_millis(1_100);

/// Backoff after a failed call to a relay.
const RELAY_BACKOFF: Duration = Duration::from_millis(3_000);

/// Requests the events after number `after`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayRequest {
    /// Incarnation of the relay that sent the last events; 0 before the first reply.
    pub incarnation: u64,
    /// Number of the last event received.
    pub after: u64,
    /// Store revision that the caller's state reflects; 0 if it needs the complete state. With it, a
    /// relay that the caller has not used before can send the changes alone.
    pub revision: u64,
}

/// Reply of a relay to a [`RelayRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayReply {
    /// Incarnation of the relay's process.
    pub incarnation: u64,
    /// Number of the last event.
    pub last: u64,
    /// Whether the events are the complete state rather than changes.
    pub is_complete: bool,
    /// Events in the order in which they were applied; empty if none came within the wait time.
    pub events: Arc<Vec<ChangeEvent>>,
    /// Milliseconds since the store last answered the relay, or the relay that it uses itself.
    pub age_ms: u64,
    /// Newest store revision in the relay's state.
    pub revision: u64,
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
    last: u64,
    /// Recent events, each with the store revision from which on a state contains it.
    changes: VecDeque<(u64, ChangeEvent)>,
    /// Newest revision of the events that are no longer kept.
    dropped_revision: u64,
    snapshot: Arc<StateSnapshot>,
    complete: Option<CompleteState>,
}

/// The complete state as events. A relay that starts sends it to all VMs of its domain at once.
#[derive(Debug, Clone)]
struct CompleteState {
    /// Number of the last event that it contains.
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
}

impl RelayLog {
    /// Creates an empty log for the process `incarnation`.
    pub fn new(incarnation: u64, clock: ProcessClock) -> Self {
        Self { incarnation, clock, state: Arc::default(), last: Arc::new(watch::channel(0).0) }
    }

    fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Appends changes, with the state after them.
    pub fn add(&self, changes: Vec<ChangeEvent>, snapshot: &StateSnapshot) {
        let mut state = self.lock();
        state.synced_at = snapshot.synced_at;
        state.revision = snapshot.revision;
        if changes.is_empty() {
            return;
        }
        state.last += changes.len() as u64;
        state.changes.extend(changes.into_iter().map(|event| {
            // Some events are applied ahead of the store's change stream.
            let revision = event.revision().unwrap_or_default().max(snapshot.revision);
            (revision, event)
        }));
        while state.changes.len() > MAX_KEPT_EVENTS
            && let Some((revision, _)) = state.changes.pop_front()
        {
            state.dropped_revision = state.dropped_revision.max(revision);
        }
        state.snapshot = Arc::new(snapshot.clone());
        let last = state.last;
        drop(state);
        self.last.send_replace(last);
    }

    /// Builds the reply without waiting.
    fn reply(&self, request: &RelayRequest) -> RelayReply {
        let now = self.clock.now();
        let mut state = self.lock();
        // Before it has read the store, this VM has no state, whatever its clock shows.
        let age = match state.revision {
            0 => UNSYNCED_AGE,
            _ => now.since(state.synced_at),
        };
        let n_new = state.last.saturating_sub(request.after);
        let is_followed = request.incarnation == self.incarnation
            && request.after <= state.last
            && n_new <= state.changes.len() as u64;
        let is_kept = request.revision > 0 && request.revision >= state.dropped_revision;
        let (is_complete, events) = match () {
            // The caller refuses it for its age.
            () if age > MAX_RELAY_AGE => (false, Arc::default()),
            () if is_followed => {
                let n_old = state.changes.len() - n_new as usize;
                let new = state.changes.iter().skip(n_old).map(|(_, it)| it.clone());
                (false, Arc::new(new.collect()))
            }
            () if is_kept => {
                let newer = state.changes.iter().filter(|(it, _)| *it > request.revision);
                (false, Arc::new(newer.map(|(_, it)| it.clone()).collect()))
            }
            () => (true, state.complete_events(now)),
        };
        RelayReply {
            incarnation: self.incarnation,
            last: state.last,
            is_complete,
            events,
            age_ms: age.as_millis() as u64,
            revision: state.revision,
        }
    }
}

impl PeerService for RelayLog {
    type Request = RelayRequest;

    async fn answer(&self, request: RelayRequest) -> RelayReply {
        let mut last = self.last.subscribe();
        if request.incarnation == self.incarnation {
            // An empty reply after the wait still shows the caller that this VM is alive.
            let _ = timeout(RELAY_WAIT, last.wait_for(|it| *it > request.after)).await;
        }
        self.reply(&request)
    }
}

/// Source of a VM's changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeSource {
    /// The store itself.
    Store,
    /// Another VM, which watches the store, and its relay address.
    Relay(VmName, SocketAddr),
}

impl ChangeSource {
    /// Whether it is the `store` or a `relay`, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Relay(..) => "relay",
        }
    }
}

/// Selects the source of changes and backs off from sources that failed.
#[derive(Debug)]
pub struct SourceSelector {
    vm: VmName,
    domain: DomainName,
    retry_at: BTreeMap<VmName, MonoTime>,
    store_retry_at: MonoTime,
    /// Whether this VM watches the store on behalf of its domain, or its own presence record is not
    /// known yet.
    is_watcher: bool,
}

impl SourceSelector {
    /// Creates a selector for `vm` in `domain`, without any backoff.
    pub fn new(vm: VmName, domain: DomainName) -> Self {
        let store_retry_at = MonoTime::default();
        Self { vm, domain, retry_at: BTreeMap::new(), store_retry_at, is_watcher: true }
    }

    /// Whether the snapshot lists this VM.
    pub fn is_listed(&self, snapshot: &StateSnapshot) -> bool {
        snapshot.vms.contains_key(&self.vm)
    }

    /// Selects the source to use now; `None` while all sources are backed off.
    ///
    /// Load pattern: a relay fails for some or all VMs of its domain for a moment. If they turned to
    /// the store for the time of their backoff, it would get a watch from each of them.
    pub fn select(&mut self, snapshot: &StateSnapshot, now: MonoTime) -> Option<ChangeSource> {
        let is_known = self.is_listed(snapshot);
        let own_relay = self.first_relay(snapshot, &self.domain, now).filter(|_| is_known);
        let is_first = snapshot.relays(&self.domain).first() == Some(&&self.vm);
        self.is_watcher = is_first || !is_known;
        let is_store_usable = now >= self.store_retry_at;
        match own_relay {
            Some(vm) if *vm != self.vm => self.source_at(snapshot, vm),
            _ if is_store_usable => Some(ChangeSource::Store),
            _ => {
                let domains: BTreeSet<&DomainName> = snapshot
                    .vms
                    .values()
                    .map(|it| &it.domain)
                    .filter(|it| !is_known || **it != self.domain)
                    .collect();
                let relays = domains.iter().map(|it| self.first_relay(snapshot, it, now));
                let vm = relays.flatten().find(|it| **it != self.vm)?;
                self.source_at(snapshot, vm)
            }
        }
    }

    /// The first relay of `domain` that this VM has not backed off from; may be this VM itself.
    fn first_relay<'a>(
        &self,
        snapshot: &'a StateSnapshot,
        domain: &DomainName,
        now: MonoTime,
    ) -> Option<&'a VmName> {
        let relays = snapshot.relays(domain).into_iter().take(RELAYS_PER_DOMAIN);
        let is_usable = |it: &&VmName| self.retry_at.get(*it).is_none_or(|until| now >= *until);
        relays.into_iter().find(is_usable)
    }

    fn source_at(&self, snapshot: &StateSnapshot, vm: &VmName) -> Option<ChangeSource> {
        Some(ChangeSource::Relay(vm.clone(), snapshot.vms.get(vm)?.relay))
    }

    /// Backs off from a source that failed.
    pub fn record_failure(&mut self, source: &ChangeSource, now: MonoTime) {
        match source {
            ChangeSource::Store => {
                let backoff = if self.is_watcher { WATCHER_BACKOFF } else { NON_WATCHER_BACKOFF };
                self.store_retry_at = now + backoff;
            }
            ChangeSource::Relay(vm, _) => {
                self.retry_at.insert(vm.clone(), now + RELAY_BACKOFF);
            }
        }
    }
}

/// Backoff of a store watcher after a failed call to the store; meanwhile it uses the relay of
/// another domain, if there is one.
const WATCHER_BACKOFF: Duration = Duration::from_millis(1_000);

/// Backoff of other VMs, which no VM depends on. It is longer so that mainly the watchers call the
/// store during an outage.
const NON_WATCHER_BACKOFF: Duration = Duration::from_millis(2_500);
