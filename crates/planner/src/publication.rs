//! What routers and other planners may learn from this planner, and waiting for news of it.

use std::{sync::Arc, time::Duration};

use model::{MonoTime, SheetRevision};
use ownership::{DomainMap, HomesTable};
use peer::{ColdNotice, SheetText, WatchAsk, WatchNews};
use tokio::sync::watch;

/// The newest of everything that is published.
#[derive(Debug, Clone, Default)]
pub(crate) struct Publication {
    pub(crate) is_acting: bool,
    pub(crate) sheet: Option<SheetText>,
    pub(crate) homes: Arc<HomesTable>,
    /// The committed map, while this planner acts.
    pub(crate) map: Option<Arc<DomainMap>>,
    /// Servers found cold lately, with the time of each notice.
    cold: Vec<(ColdNotice, MonoTime)>,
}

/// Time for which a notice of a cold server is passed on.
const COLD_NOTICE_LIFETIME: Duration = Duration::from_secs(2);

impl Publication {
    fn sheet_revision(&self) -> SheetRevision {
        self.sheet.as_ref().map_or_else(SheetRevision::default, |it| it.revision)
    }

    /// Notes that a server was found cold. Returns false for a notice that is known.
    pub(crate) fn note_cold(&mut self, notice: ColdNotice, now: MonoTime) -> bool {
        self.cold.retain(|(_, at)| now.since(*at) < COLD_NOTICE_LIFETIME);
        let is_new = self.cold.iter().all(|(it, _)| it.id != notice.id);
        if is_new {
            self.cold.push((notice, now));
        }
        is_new
    }

    /// Identities of the notices that are passed on.
    pub(crate) fn known_cold(&self) -> Vec<u64> {
        self.cold.iter().map(|(it, _)| it.id).collect()
    }

    /// What is newer here than what the asker holds, if anything.
    fn news_for(&self, ask: &WatchAsk) -> Option<WatchNews> {
        let is_newer_map = |map: &&Arc<DomainMap>| {
            ask.map.is_some_and(|held| {
                let has_opened = held == map.stamp && (ask.n_open as usize) < map.open_count();
                held < map.stamp || has_opened
            })
        };
        let news = WatchNews {
            is_acting: self.is_acting,
            sheet: self.sheet.clone().filter(|_| ask.sheet < self.sheet_revision()),
            homes: (ask.homes < self.homes.revision).then(|| HomesTable::clone(&self.homes)),
            map: self.map.as_ref().filter(is_newer_map).cloned(),
            cold: self
                .cold
                .iter()
                .filter(|(it, _)| !ask.known_cold.contains(&it.id))
                .map(|(it, _)| it.clone())
                .collect(),
        };
        let is_news = news.sheet.is_some()
            || news.homes.is_some()
            || news.map.is_some()
            || !news.cold.is_empty();
        is_news.then_some(news)
    }
}

/// Answers at the first news, or with none when the wait is over.
pub(crate) async fn await_news(
    mut published: watch::Receiver<Publication>,
    ask: WatchAsk,
) -> WatchNews {
    let wait = ask.wait.min(MAX_WAIT);
    let was_acting = published.borrow().is_acting;
    let mut news = None;
    let is_over = |it: &Publication| {
        news = it.news_for(&ask);
        news.is_some() || it.is_acting != was_acting
    };
    let _ = tokio::time::timeout(wait, published.wait_for(is_over)).await;
    news.unwrap_or_else(|| WatchNews {
        is_acting: published.borrow().is_acting,
        ..WatchNews::default()
    })
}

/// Longest wait that an asker may name.
const MAX_WAIT: Duration = Duration::from_secs(10);
