//! What routers and other planners may learn from this planner, and waiting for news of it.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use model::{MonoTime, SheetRevision};
use ownership::{DomainMap, HomesTable, HomesUpdate, MapUpdate, map_digest};
use peer::{ColdNotice, SheetText, WatchReply, WatchRequest};
use sheet::PlanSheet;
use tokio::sync::watch;

/// The newest of everything that is published.
#[derive(Debug, Clone, Default)]
pub(crate) struct Publication {
    pub(crate) is_acting: bool,
    pub(crate) sheet: Option<SheetText>,
    /// The same sheet, checked.
    pub(crate) plan: Option<Arc<PlanSheet>>,
    pub(crate) homes: Arc<HomesTable>,
    /// Tables that came before, newest last.
    past_homes: VecDeque<Arc<HomesTable>>,
    /// The committed map, while this planner acts.
    map: Option<Arc<DomainMap>>,
    /// Maps that came before, newest last, each with its digest.
    past_maps: VecDeque<(u64, Arc<DomainMap>)>,
    /// Servers found cold lately, with the time of each notice.
    cold: Vec<(ColdNotice, MonoTime)>,
}

/// Earlier maps and tables from which news can be given as changes.
const MAX_PAST: usize = 8;

/// Time for which a notice of a cold server is passed on.
const COLD_NOTICE_LIFETIME: Duration = Duration::from_secs(2);

impl Publication {
    fn sheet_revision(&self) -> SheetRevision {
        self.sheet.as_ref().map_or_else(SheetRevision::default, |it| it.revision)
    }

    /// Publishes a map, or none once this planner acts no more.
    pub(crate) fn set_map(&mut self, map: Option<Arc<DomainMap>>) {
        if let Some(old) = std::mem::replace(&mut self.map, map) {
            remember(&mut self.past_maps, (map_digest(&old), old));
        }
        if self.map.is_none() {
            self.past_maps.clear();
        }
    }

    /// Publishes newer homes.
    pub(crate) fn set_homes(&mut self, homes: HomesTable) {
        let old = std::mem::replace(&mut self.homes, Arc::new(homes));
        remember(&mut self.past_homes, old);
    }

    /// The map, as changes to the asker's when that is remembered.
    fn map_news(&self, map: &Arc<DomainMap>, ask: &WatchRequest) -> MapUpdate {
        let base = self.past_maps.iter().find(|(digest, _)| *digest == ask.map_digest);
        match base {
            Some((_, base)) => MapUpdate::between(base, map),
            None => MapUpdate::Full(map.clone()),
        }
    }

    /// The homes, as changes to the asker's when they are remembered.
    fn homes_news(&self, ask: &WatchRequest) -> HomesUpdate {
        match self.past_homes.iter().find(|it| it.revision == ask.homes) {
            Some(base) => HomesUpdate::between(base, &self.homes),
            None => HomesUpdate::Full(HomesTable::clone(&self.homes)),
        }
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
    fn news_for(&self, ask: &WatchRequest) -> Option<WatchReply> {
        let is_newer_map = |map: &&Arc<DomainMap>| {
            ask.map.is_some_and(|held| {
                let has_opened = held == map.stamp && (ask.n_open as usize) < map.open_count();
                held < map.stamp || has_opened
            })
        };
        let news = WatchReply {
            is_acting: self.is_acting,
            sheet: self.sheet.clone().filter(|_| ask.sheet < self.sheet_revision()),
            homes: (ask.homes < self.homes.revision).then(|| self.homes_news(ask)),
            map: self.map.as_ref().filter(is_newer_map).map(|it| self.map_news(it, ask)),
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

fn remember<T>(past: &mut VecDeque<T>, item: T) {
    past.push_back(item);
    if past.len() > MAX_PAST {
        past.pop_front();
    }
}

/// Answers at the first news, or with none when the wait is over.
pub(crate) async fn await_news(
    mut published: watch::Receiver<Publication>,
    ask: WatchRequest,
) -> WatchReply {
    let wait = ask.wait.min(MAX_WAIT);
    let was_acting = published.borrow().is_acting;
    let mut news = None;
    let is_over = |it: &Publication| {
        news = it.news_for(&ask);
        news.is_some() || it.is_acting != was_acting
    };
    let _ = tokio::time::timeout(wait, published.wait_for(is_over)).await;
    news.unwrap_or_else(|| WatchReply {
        is_acting: published.borrow().is_acting,
        ..WatchReply::default()
    })
}

/// Longest wait that an asker may name.
const MAX_WAIT: Duration = Duration::from_secs(10);
