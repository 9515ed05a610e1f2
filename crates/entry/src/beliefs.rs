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
    BeliefSnapshot, FeedNews, StateStore, StoreFault,
    feed::BeliefState,
    news::{NEWS_WAIT, NewsAsk, NewsLog, NewsReply, NewsSource, STALE_RELAY, SourceChoice},
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
pub struct BeliefBoard {
    sender: Arc<watch::Sender<Arc<BeliefSnapshot>>>,
    urgency: Arc<Notify>,
    relayed: Option<NewsLog>,
}

impl Default for BeliefBoard {
    fn default() -> Self {
        let (sender, _) = watch::channel(Arc::default());
        Self { sender: Arc::new(sender), urgency: Arc::default(), relayed: None }
    }
}

impl BeliefBoard {
    /// A board that also passes changes on to other VMs.
    pub fn relaying(relayed: NewsLog) -> Self {
        Self { relayed: Some(relayed), ..Self::default() }
    }

    /// The present beliefs.
    pub fn current(&self) -> Arc<BeliefSnapshot> {
        self.sender.borrow().clone()
    }

    /// Hears of each change.
    pub fn subscribe(&self) -> watch::Receiver<Arc<BeliefSnapshot>> {
        self.sender.subscribe()
    }

    /// Asks for news as soon as may be.
    pub fn ask_for_news(&self) {
        self.urgency.notify_one();
    }

    /// Publishes beliefs to this process's threads, and what has changed to VMs that follow it.
    pub fn publish(&self, state: &mut BeliefState) {
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
    pub state: Rc<RefCell<BeliefState>>,
    /// Beliefs as published.
    pub board: BeliefBoard,
    /// News for other VMs.
    pub relayed: NewsLog,
    /// Where to get news from.
    pub choice: SourceChoice,
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
    news: FeedNews,
    is_complete: bool,
    age: Duration,
}

impl<S: StateStore> NewsFollower<S> {
    /// Follows the news until the process ends.
    pub async fn run(mut self) {
        let peers = PeerBook::new(self.local, ByteCount::default());
        let mut source = NewsSource::Store;
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
                info!(self.log, "news-source"; "from" => ?wanted, "before" => ?source);
                mark = ReadMark::default();
                source = wanted;
            }
            self.relayed.set_following(source == NewsSource::Store);
            let res = match &source {
                NewsSource::Store => self.ask_store(&mut mark).await,
                NewsSource::Relay(_, address) => {
                    let known = self.state.borrow().snapshot().revision;
                    ask_relay(&peers.client(*address, "news"), &mut mark, known).await
                }
            };
            let now = self.clock.now();
            match res {
                Ok(told) => {
                    if std::mem::replace(&mut is_lost, false) {
                        info!(self.log, "news-regained"; "source" => ?source);
                    }
                    self.take_in(told, &mut mark, now);
                    let interval = match source {
                        NewsSource::Store => CALL_INTERVAL,
                        NewsSource::Relay(..) => RELAY_INTERVAL,
                    };
                    pause(&self.board, interval.saturating_sub(now.since(called_at))).await;
                }
                Err(StoreFault::Compacted) => {
                    warn!(self.log, "store-history-gone"; "after" => mark.revision);
                    mark.revision = None;
                }
                Err(fault) => {
                    if !std::mem::replace(&mut is_lost, true) {
                        warn!(self.log, "news-lost"; "source" => ?source, "cause" => %fault);
                    }
                    if source == NewsSource::Store {
                        self.state.borrow_mut().note_fault(now);
                    }
                    self.choice.note_fault(&source, now);
                    sleep(FAULT_PAUSE).await;
                }
            }
        }
    }

    async fn ask_store(&self, mark: &mut ReadMark) -> Result<SourceNews, StoreFault> {
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
            warn!(self.log, "news-have-a-gap"; "revision" => news.revision);
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
        self.board.publish(&mut state);
    }
}

/// Asks a relay; one that knows less than revision `known` is not believed as a whole.
async fn ask_relay(
    client: &PeerClient,
    mark: &mut ReadMark,
    known: u64,
) -> Result<SourceNews, StoreFault> {
    let (run, after) = mark.relayed;
    let reply = client.call(&NewsAsk { run, after }, NEWS_WAIT + RELAY_TIMEOUT).await;
    let refused = |cause: &str| StoreFault::Refused(StepError::new("ask-relay", "relay", cause));
    match reply.map_err(StoreFault::Unknown)? {
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
                news: FeedNews { revision, events, ..FeedNews::default() },
                is_complete,
                age,
            })
        }
    }
}

/// Waits before the next call, less when somebody waits for news.
async fn pause(board: &BeliefBoard, length: Duration) {
    sleep(length.min(URGENT_INTERVAL)).await;
    let rest = length.saturating_sub(URGENT_INTERVAL);
    tokio::select! {
        () = sleep(rest) => (),
        () = board.urgency.notified() => (),
    }
}
