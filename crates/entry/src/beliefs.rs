//! Keeps one process's beliefs up to date: one waiting call to the store at a time.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use settings::ProcessClock;
use slog::{Logger, info, warn};
use tokio::{
    sync::{Notify, watch},
    time::sleep,
};

use crate::{BeliefSnapshot, FeedNews, StateStore, StoreFault, feed::BeliefState};

/// Longest wait of one watch; silence beyond it and the answer's time is a fault.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Time for the store's answer itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Least time between calls while news keeps coming.
const CALL_INTERVAL: Duration = Duration::from_millis(450);

/// Least time between calls when somebody waits for news.
const URGENT_INTERVAL: Duration = Duration::from_millis(60);

/// Pause after a fault.
const FAULT_PAUSE: Duration = Duration::from_millis(250);

/// Where beliefs are published and where news is asked for.
#[derive(Debug, Clone)]
pub struct BeliefBoard {
    sender: Arc<watch::Sender<Arc<BeliefSnapshot>>>,
    urgency: Arc<Notify>,
}

impl Default for BeliefBoard {
    fn default() -> Self {
        let (sender, _) = watch::channel(Arc::default());
        Self { sender: Arc::new(sender), urgency: Arc::default() }
    }
}

impl BeliefBoard {
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

    /// Publishes beliefs.
    pub fn publish(&self, snapshot: BeliefSnapshot) {
        self.sender.send_replace(Arc::new(snapshot));
    }
}

/// Follows the store until the process ends.
pub async fn follow_store<S: StateStore>(
    store: S,
    state: Rc<RefCell<BeliefState>>,
    board: BeliefBoard,
    clock: ProcessClock,
    log: Logger,
) {
    let mut revision: Option<u64> = None;
    let mut is_lost = false;
    loop {
        let called_at = clock.now();
        let res = match revision {
            None => store.read_all(ANSWER_TIMEOUT * 2).await.map(|it| (it, true)),
            Some(after) => {
                let timeout = WATCH_WAIT + ANSWER_TIMEOUT;
                store.watch(after, WATCH_WAIT, timeout).await.map(|it| (it, false))
            }
        };
        let now = clock.now();
        match res {
            Ok((news, is_complete)) => {
                if is_lost {
                    info!(log, "store-regained"; "revision" => news.revision);
                    is_lost = false;
                }
                revision = Some(news.revision);
                take_news(&state, &board, news, is_complete, now);
                if state.borrow_mut().needs_rereading(now) {
                    revision = None;
                }
                pause(&board, CALL_INTERVAL.saturating_sub(now.since(called_at))).await;
            }
            Err(StoreFault::Compacted) => {
                warn!(log, "store-history-gone"; "after" => revision);
                revision = None;
            }
            Err(fault) => {
                if !is_lost {
                    warn!(log, "store-lost"; "cause" => %fault);
                    is_lost = true;
                }
                state.borrow_mut().note_fault(now);
                sleep(FAULT_PAUSE).await;
            }
        }
    }
}

fn take_news(
    state: &Rc<RefCell<BeliefState>>,
    board: &BeliefBoard,
    news: FeedNews,
    is_complete: bool,
    now: model::MonoTime,
) {
    let mut state = state.borrow_mut();
    let is_changed = match is_complete {
        true => state.apply_all(news, now),
        false => state.apply_news(news, now),
    };
    if is_changed || is_complete {
        board.publish(state.snapshot().clone());
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
