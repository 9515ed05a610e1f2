//! Selects where a VM gets its changes from: the store, or the relay of a failure domain.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use model::{DomainName, MonoTime, VmName};
use smallvec::SmallVec;

use crate::StateSnapshot;

/// Number of VMs of a failure domain that the others use as relays, one after the other. Each of
/// them follows those before it, and watches the store itself once they have failed.
const RELAYS_PER_DOMAIN: usize = 3;

/// Backoff after a call to a relay that got no answer.
const SILENT_RELAY_BACKOFF: Duration = Duration::from_millis(3_000);

/// Backoff after an answer of a relay that can't be used, for example because the relay is itself
/// looking for another source.
const REFUSED_RELAY_BACKOFF: Duration = Duration::from_millis(400);

/// Backoff of a store watcher after a failed call to the store; meanwhile it uses the relay of
/// another domain, if there is one.
const WATCHER_BACKOFF: Duration = Duration::from_millis(1_000);

/// Backoff of other VMs, which no VM depends on. It is longer so that mainly the watchers call the
/// store during an outage.
const NON_WATCHER_BACKOFF: Duration = Duration::from_millis(2_500);

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

/// How a source failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceFailure {
    /// It gave no answer.
    Silent,
    /// It gave an answer that can't be used.
    Refused,
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

    /// The VM that the sources are selected for.
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Whether the snapshot lists this VM.
    pub fn is_listed(&self, snapshot: &StateSnapshot) -> bool {
        snapshot.vms.contains_key(&self.vm)
    }

    /// Whether this VM is one of its domain's relays, which watches the store once those before it
    /// have failed.
    pub fn is_relay(&self, snapshot: &StateSnapshot) -> bool {
        relays_of(snapshot, &self.domain).contains(&&self.vm)
    }

    /// Whether the store may be called, because the last call to it did not just fail.
    pub fn is_store_usable(&self, now: MonoTime) -> bool {
        now >= self.store_retry_at
    }

    /// Selects the source to use now; `None` if none is usable, or if this VM has to wait until a
    /// relay of its domain is usable again.
    ///
    /// Load pattern: a relay fails for some or all VMs of its domain for a moment. If they turned to
    /// the store for the time of their backoff, it would get a watch from each of them.
    pub fn select(&mut self, snapshot: &StateSnapshot, now: MonoTime) -> Option<ChangeSource> {
        let is_known = self.is_listed(snapshot);
        let relays = relays_of(snapshot, &self.domain);
        self.is_watcher = !is_known || relays.first() == Some(&&self.vm);
        let first_usable = relays.iter().find(|it| self.is_usable(it, now)).filter(|_| is_known);
        match first_usable {
            Some(vm) if **vm != self.vm => self.source_at(snapshot, vm),
            _ if self.is_store_usable(now) => {
                let may_watch = !is_known || relays.contains(&&self.vm);
                may_watch.then_some(ChangeSource::Store)
            }
            _ => self.other_relay(snapshot, now),
        }
    }

    /// A usable relay while the store is not: of another domain, or one that comes after this VM in
    /// its own.
    fn other_relay(&self, snapshot: &StateSnapshot, now: MonoTime) -> Option<ChangeSource> {
        let vms = snapshot.vms.values();
        let others: BTreeSet<&DomainName> =
            vms.map(|it| &it.domain).filter(|it| **it != self.domain).collect();
        let domains = others.into_iter().chain([&self.domain]);
        let mut relays = domains.flat_map(|it| relays_of(snapshot, it));
        let vm = relays.find(|it| **it != self.vm && self.is_usable(it, now))?;
        self.source_at(snapshot, vm)
    }

    /// Whether this VM has not backed off from a relay.
    fn is_usable(&self, relay: &VmName, now: MonoTime) -> bool {
        self.retry_at.get(relay).is_none_or(|until| now >= *until)
    }

    fn source_at(&self, snapshot: &StateSnapshot, vm: &VmName) -> Option<ChangeSource> {
        Some(ChangeSource::Relay(vm.clone(), snapshot.vms.get(vm)?.relay))
    }

    /// Backs off from a source that failed.
    pub fn record_failure(&mut self, source: &ChangeSource, failure: SourceFailure, now: MonoTime) {
        match source {
            ChangeSource::Store => {
                let backoff = if self.is_watcher { WATCHER_BACKOFF } else { NON_WATCHER_BACKOFF };
                self.store_retry_at = now + backoff;
            }
            ChangeSource::Relay(vm, _) => {
                let backoff = match failure {
                    SourceFailure::Silent => SILENT_RELAY_BACKOFF,
                    SourceFailure::Refused => REFUSED_RELAY_BACKOFF,
                };
                self.retry_at.insert(vm.clone(), now + backoff);
            }
        }
    }
}

/// The VMs that relay changes to a domain, in the order in which the others are to use them.
fn relays_of<'a>(
    snapshot: &'a StateSnapshot,
    domain: &DomainName,
) -> SmallVec<[&'a VmName; RELAYS_PER_DOMAIN]> {
    snapshot.relays(domain).into_iter().take(RELAYS_PER_DOMAIN).collect()
}
