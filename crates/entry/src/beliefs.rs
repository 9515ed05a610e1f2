//! Keeps one process's beliefs up to date: one waiting call to the store at a time.

use std::{cell::RefCell, net::IpAddr, rc::Rc, sync::Arc, time::Duration};

use model::{MonoTime, StepError};
use peer::{ByteCount, PeerBook, PeerClient};
use settings::ProcessClock;
use slog::{Logger, info, warn};
use tokio::{
    sync::{Notify, watch},
    time::sleep,
};

use crate::{
    ChangeBatch, StateSnapshot, StateStore, StoreError,
    feed::StateCache,
    news::{ChangeSource, NEWS_WAIT, NewsAsk, NewsLog, NewsReply, STALE_RELAY, SourceSelector},
};

/// Longest wait of one watch; silence beyond it and the answer's time is a fault.
const WATCH_WAIT: Duration = Duration::from_millis(700);

/// Time for the store's answer itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Least time between calls while news keeps coming.
const CALL_INTERVAL: Duration = Duration::from_millis(450);

/// Least time between calls when somebody waits for news.
const URGENT_INTERVAL: Duration = Duration::from_millis(200);

/// Least time between calls to a relay, which tells only what matters.
const RELAY_INTERVAL: Duration = Duration::from_millis(30);

/// Time for a relay's answer itself.
const RELAY_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause after a fault.
const FAULT_PAUSE: Duration = Duration::from_millis(100);

/// Where beliefs are published and where news is asked for.
#[derive(Debug, Clone)]
pub struct SnapshotChannel {
    sender: Arc<watch::Sender<Arc<StateSnapshot>>>,
    urgency: Arc<Notify>,
    relayed: Option<NewsLog>,
}

impl Default for SnapshotChannel {
    fn default() -> Self {
        let (sender, _) = watch::channel(Arc::default());
        Self { sender: Arc::new(sender), urgency: Arc::default(), relayed: None }
    }
}

impl SnapshotChannel {
    /// A board that also passes changes on to other VMs.
    pub fn relaying(relayed: NewsLog) -> Self {
        Self { relayed: Some(relayed), ..Self::default() }
    }

    /// The present beliefs.
    pub fn current(&self) -> Arc<StateSnapshot> {
        self.sender.borrow().clone()
    }

    /// Hears of each change.
    pub fn subscribe(&self) -> watch::Receiver<Arc<StateSnapshot>> {
        self.sender.subscribe()
    }

    /// Asks for news as soon as may be.
    pub fn request_refresh(&self) {
        self.urgency.notify_one();
    }

    /// Publishes beliefs to this process's threads, and what has changed to VMs that follow it.
    pub fn publish(&self, state: &mut StateCache) {
        let changes = state.take_changes();
        if let Some(relayed) = &self.relayed {
            relayed.add(changes, state.snapshot());
        }
        self.sender.send_replace(Arc::new(state.snapshot().clone()));
    }
}

/// What following the news needs.
pub struct NewsFollower<S> {
    /// The store.
    pub store: S,
    /// This VM's address.
    pub local: IpAddr,
    /// Beliefs as kept.
    pub state: Rc<RefCell<StateCache>>,
    /// Beliefs as published.
    pub channel: SnapshotChannel,
    /// News for other VMs.
    pub relayed: NewsLog,
    /// Where to get news from.
    pub choice: SourceSelector,
    /// The clock.
    pub clock: ProcessClock,
    /// The log.
    pub log: Logger,
}

/// How far a source has been read.
#[derive(Debug, Clone, Copy, Default)]
struct ReadMark {
    /// Store revision, when the store is the source.
    revision: Option<u64>,
    /// Run and number of a relay's last news.
    relayed: (u64, u64),
}

/// What one call to a source brought.
struct SourceNews {
    news: ChangeBatch,
    is_complete: bool,
    age: Duration,
}

impl<S: StateStore> NewsFollower<S> {
    /// Follows the news until the process ends.
    pub async fn run(mut self) {
        let peers = PeerBook::new(self.local, ByteCount::default());
        let mut source = ChangeSource::Store;
        let mut mark = ReadMark::default();
        let mut is_lost = false;
        loop {
            let called_at = self.clock.now();
            let wanted = self.choice.source(self.state.borrow().snapshot(), called_at);
            let Some(wanted) = wanted else {
                sleep(FAULT_PAUSE).await;
                continue;
            };
            if wanted != source {
                info!(self.log, "change-source-selected"; "from" => ?wanted, "before" => ?source);
                mark = ReadMark::default();
                source = wanted;
            }
            self.relayed.set_following(source == ChangeSource::Store);
            let res = match &source {
                ChangeSource::Store => self.ask_store(&mut mark).await,
                ChangeSource::Relay(_, address) => {
                    let known = self.state.borrow().snapshot().revision;
                    ask_relay(&peers.client(*address, "news"), &mut mark, known).await
                }
            };
            let now = self.clock.now();
            match res {
                Ok(told) => {
                    if std::mem::replace(&mut is_lost, false) {
                        info!(self.log, "change-source-recovered"; "source" => ?source);
                    }
                    self.take_in(told, &mut mark, now);
                    let interval = match source {
                        ChangeSource::Store => CALL_INTERVAL,
                        ChangeSource::Relay(..) => RELAY_INTERVAL,
                    };
                    pause(&self.channel, interval.saturating_sub(now.since(called_at))).await;
                }
                Err(StoreError::Compacted) => {
                    warn!(self.log, "store-history-compacted"; "after" => mark.revision);
                    mark.revision = None;
                }
                Err(fault) => {
                    if !std::mem::replace(&mut is_lost, true) {
                        warn!(self.log, "change-source-lost"; "source" => ?source, "cause" => %fault);
                    }
                    if source == ChangeSource::Store {
                        self.state.borrow_mut().note_fault(now);
                    }
                    self.choice.note_fault(&source, now);
                    sleep(FAULT_PAUSE).await;
                }
            }
        }
    }

    async fn ask_store(&self, mark: &mut ReadMark) -> Result<SourceNews, StoreError> {
        let (news, is_complete) = match mark.revision {
            None => (self.store.read_all(ANSWER_TIMEOUT * 2).await?, true),
            Some(after) => {
                let timeout = WATCH_WAIT + ANSWER_TIMEOUT;
                (self.store.watch(after, WATCH_WAIT, timeout).await?, false)
            }
        };
        mark.revision = Some(news.revision);
        Ok(SourceNews { news, is_complete, age: Duration::ZERO })
    }

    fn take_in(&self, told: SourceNews, mark: &mut ReadMark, now: MonoTime) {
        let SourceNews { news, is_complete, age } = told;
        let has_gap = news.has_gap;
        if has_gap {
            warn!(self.log, "change-stream-gap"; "revision" => news.revision);
        }
        let mut state = self.state.borrow_mut();
        let follows = match is_complete {
            true => {
                state.apply_all(news, now);
                true
            }
            false => state.apply_news(news, now),
        };
        state.note_age(age, now);
        if state.needs_rereading(now) || !follows || has_gap {
            *mark = ReadMark::default();
        }
        self.channel.publish(&mut state);
    }
}

/// Asks a relay; one that knows less than revision `known` is not believed as a whole.
async fn ask_relay(
    client: &PeerClient,
    mark: &mut ReadMark,
    known: u64,
) -> Result<SourceNews, StoreError> {
    let (run, after) = mark.relayed;
    let reply = client.call(&NewsAsk { run, after }, NEWS_WAIT + RELAY_TIMEOUT).await;
    let refused = |cause: &str| StoreError::Refused(StepError::new("ask-relay", "relay", cause));
    match reply.map_err(StoreError::Unknown)? {
        NewsReply::NotFollowing => Err(refused("does not follow the store")),
        NewsReply::News { age_ms, .. } if Duration::from_millis(age_ms) > STALE_RELAY => {
            Err(refused("heard nothing of the store"))
        }
        NewsReply::News { is_complete: true, revision, .. } if revision < known => {
            Err(refused("knows less than this VM"))
        }
        NewsReply::News { run, last, is_complete, events, age_ms, revision } => {
            mark.relayed = (run, last);
            let age = Duration::from_millis(age_ms);
            Ok(SourceNews {
                news: ChangeBatch { revision, events, ..ChangeBatch::default() },
                is_complete,
                age,
            })
        }
    }
}

/// Waits before the next call, less when somebody waits for news.
async fn pause(channel: &SnapshotChannel, length: Duration) {
    sleep(length.min(URGENT_INTERVAL)).await;
    let rest = length.saturating_sub(URGENT_INTERVAL);
    tokio::select! {
        () = sleep(rest) => (),
        () = channel.urgency.notified() => (),
    }
}
