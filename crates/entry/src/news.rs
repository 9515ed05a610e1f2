//! Passing news of the store on: few VMs of each failure domain follow the store, the others follow
//! them by waiting calls, so that calls to the store don't grow with the fleet.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use model::{DomainName, MonoTime, VmName};
use peer::{PeerAsk, PeerService};
use serde::{Deserialize, Serialize};
use settings::ProcessClock;
use tokio::{sync::watch, time::timeout};

use crate::{ChangeEvent, StateSnapshot};

/// VMs of a failure domain that follow the store themselves.
const FOLLOWERS_PER_DOMAIN: usize = 1;

/// Events that are kept for those that were briefly away.
const KEPT_EVENTS: usize = 512;

/// Longest wait for the first news.
pub const NEWS_WAIT: Duration = Duration::from_millis(300);

/// Age of a relay's last word from the store beyond which others look elsewhere.
pub const STALE_RELAY: Duration = Duration::from_millis(1_100);

/// Time for which a relay that failed is left alone.
const RELAY_PAUSE: Duration = Duration::from_millis(3_000);

/// Asks for news after `after` of the relay's run `run`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NewsAsk {
    /// Which run of the relay told the last news; 0 when nothing was told yet.
    pub run: u64,
    /// Number of the last news.
    pub after: u64,
}

/// What a relay answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum NewsReply {
    /// News, or none when the wait ran out.
    News {
        /// The relay's run.
        run: u64,
        /// Number of the last news.
        last: u64,
        /// Whether these are all beliefs rather than changes.
        is_complete: bool,
        /// What has changed.
        events: Vec<ChangeEvent>,
        /// Milliseconds since the store last answered.
        age_ms: u64,
        /// Newest store revision that the relay knows.
        revision: u64,
    },
    /// This VM does not follow the store itself.
    NotFollowing,
}

impl PeerAsk for NewsAsk {
    type Reply = NewsReply;
}

/// News that a relay passes on.
#[derive(Debug, Clone)]
pub struct NewsLog {
    run: u64,
    clock: ProcessClock,
    kept: Arc<Mutex<KeptNews>>,
    last: Arc<watch::Sender<u64>>,
}

#[derive(Debug, Default)]
struct KeptNews {
    is_following: bool,
    synced_at: MonoTime,
    revision: u64,
    last: u64,
    changes: VecDeque<ChangeEvent>,
    beliefs: Arc<StateSnapshot>,
}

impl NewsLog {
    /// An empty log of the run `run`.
    pub fn new(run: u64, clock: ProcessClock) -> Self {
        Self { run, clock, kept: Arc::default(), last: Arc::new(watch::channel(0).0) }
    }

    fn lock(&self) -> MutexGuard<'_, KeptNews> {
        self.kept.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Notes what has changed, and the beliefs after it.
    pub fn add(&self, changes: Vec<ChangeEvent>, beliefs: &StateSnapshot) {
        let mut kept = self.lock();
        kept.synced_at = beliefs.synced_at;
        kept.revision = beliefs.revision;
        if changes.is_empty() {
            return;
        }
        kept.last += changes.len() as u64;
        kept.changes.extend(changes);
        while kept.changes.len() > KEPT_EVENTS {
            kept.changes.pop_front();
        }
        kept.beliefs = Arc::new(beliefs.clone());
        let last = kept.last;
        drop(kept);
        self.last.send_replace(last);
    }

    /// Notes whether this VM follows the store itself.
    pub fn set_following(&self, is_following: bool) {
        self.lock().is_following = is_following;
    }

    /// What there is after `after`, at once.
    fn reply(&self, ask: &NewsAsk) -> NewsReply {
        let now = self.clock.now();
        let kept = self.lock();
        if !kept.is_following {
            return NewsReply::NotFollowing;
        }
        let n_new = kept.last.saturating_sub(ask.after);
        let is_known = ask.run == self.run && ask.after <= kept.last;
        let is_complete = !is_known || n_new > kept.changes.len() as u64;
        let events = match is_complete {
            true => kept.beliefs.to_events(now),
            false => {
                let n_old = kept.changes.len() - n_new as usize;
                kept.changes.iter().skip(n_old).cloned().collect()
            }
        };
        let age_ms = now.since(kept.synced_at).as_millis() as u64;
        let revision = kept.revision;
        NewsReply::News { run: self.run, last: kept.last, is_complete, events, age_ms, revision }
    }
}

impl PeerService for NewsLog {
    type Ask = NewsAsk;

    async fn answer(&self, ask: NewsAsk) -> NewsReply {
        let mut last = self.last.subscribe();
        if ask.run == self.run {
            // Running out of time is an answer too: it tells the asker that this VM is there.
            let _ = timeout(NEWS_WAIT, last.wait_for(|it| *it > ask.after)).await;
        }
        self.reply(&ask)
    }
}

/// Where a VM gets its news from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeSource {
    /// The store.
    Store,
    /// Another VM.
    Relay(VmName, SocketAddr),
}

/// Chooses where to get news from.
#[derive(Debug)]
pub struct SourceSelector {
    vm: VmName,
    domain: DomainName,
    paused: BTreeMap<VmName, MonoTime>,
    store_paused_until: MonoTime,
    /// Whether it is this VM's part to follow the store for its domain.
    is_follower: bool,
}

impl SourceSelector {
    /// The choice of the VM `vm` in `domain`.
    pub fn new(vm: VmName, domain: DomainName) -> Self {
        let store_paused_until = MonoTime::default();
        Self { vm, domain, paused: BTreeMap::new(), store_paused_until, is_follower: true }
    }

    /// The source to use now; nothing while all that there are have failed a moment ago.
    pub fn source(&mut self, beliefs: &StateSnapshot, now: MonoTime) -> Option<ChangeSource> {
        let own_turn = followers(beliefs, &self.domain).any(|it| *it == self.vm);
        let is_known = beliefs.vms.contains_key(&self.vm);
        self.is_follower = own_turn || !is_known;
        let own_domain = self.relay(beliefs, &[&self.domain], now);
        let is_store_usable = now >= self.store_paused_until;
        match own_domain {
            Some(relay) if is_known && !own_turn => Some(relay),
            _ if is_store_usable => Some(ChangeSource::Store),
            Some(relay) => Some(relay),
            None => {
                let others: Vec<&DomainName> = beliefs
                    .vms
                    .values()
                    .map(|it| &it.domain)
                    .filter(|it| **it != self.domain)
                    .collect();
                self.relay(beliefs, &others, now)
            }
        }
    }

    fn relay(
        &self,
        beliefs: &StateSnapshot,
        domains: &[&DomainName],
        now: MonoTime,
    ) -> Option<ChangeSource> {
        let is_usable = |it: &&VmName| {
            **it != self.vm && self.paused.get(*it).is_none_or(|until| now >= *until)
        };
        let name = domains.iter().find_map(|it| followers(beliefs, it).find(is_usable))?;
        Some(ChangeSource::Relay(name.clone(), beliefs.vms.get(name)?.news))
    }

    /// Notes that a source failed.
    pub fn note_fault(&mut self, source: &ChangeSource, now: MonoTime) {
        match source {
            ChangeSource::Store => {
                let pause = if self.is_follower { STORE_PAUSE } else { OUTSIDER_PAUSE };
                self.store_paused_until = now + pause;
            }
            ChangeSource::Relay(vm, _) => {
                self.paused.insert(vm.clone(), now + RELAY_PAUSE);
            }
        }
    }
}

/// Time for which the store is left alone after a fault, while another VM can tell its news.
const STORE_PAUSE: Duration = Duration::from_millis(1_000);

/// The same for a VM that others don't wait for: a store in an outage is asked by the few that have to.
const OUTSIDER_PAUSE: Duration = Duration::from_millis(2_500);

/// The VMs of a domain that follow the store themselves.
fn followers<'a>(
    beliefs: &'a StateSnapshot,
    domain: &DomainName,
) -> impl Iterator<Item = &'a VmName> {
    let names = beliefs.vms_by_strength(|it| it.domain == *domain);
    names.into_iter().take(FOLLOWERS_PER_DOMAIN)
}
