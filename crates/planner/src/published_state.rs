//! The state that routers and other planners watch, and the answers to their watches.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use model::{MonoTime, SheetRevision};
use ownership::{DomainMap, HomesTable, HomesUpdate, MapUpdate, map_digest};
use peer::{ColdNotice, SheetText, WatchReply, WatchRequest};
use sheet::PlanSheet;
use tokio::sync::watch;

/// The newest published state, with the earlier maps and homes that updates can build on.
#[derive(Debug, Clone, Default)]
pub(crate) struct PublishedState {
    /// Whether this planner acts for its domain.
    pub(crate) is_acting: bool,
    pub(crate) sheet_text: Option<SheetText>,
    /// The same sheet, parsed and checked.
    pub(crate) parsed_sheet: Option<Arc<PlanSheet>>,
    pub(crate) homes: Arc<HomesTable>,
    /// Earlier homes, newest last.
    previous_homes: VecDeque<Arc<HomesTable>>,
    /// The committed map, while this planner acts.
    map: Option<Arc<DomainMap>>,
    /// Earlier maps, newest last, each with its digest.
    previous_maps: VecDeque<(u64, Arc<DomainMap>)>,
    /// Recent notices of cold servers, each with its time of arrival.
    cold_notices: Vec<(ColdNotice, MonoTime)>,
}

/// Maximum number of earlier maps, and of earlier homes, that updates can build on.
const MAX_PREVIOUS: usize = 8;

/// Age from which on a notice of a cold server is dropped when a further one arrives.
const COLD_NOTICE_LIFETIME: Duration = Duration::from_secs(2);

impl PublishedState {
    fn sheet_revision(&self) -> SheetRevision {
        self.sheet_text.as_ref().map_or_else(SheetRevision::default, |it| it.revision)
    }

    /// Publishes a map, or none when this planner no longer acts.
    pub(crate) fn set_map(&mut self, map: Option<Arc<DomainMap>>) {
        if let Some(old) = std::mem::replace(&mut self.map, map) {
            push_bounded(&mut self.previous_maps, (map_digest(&old), old));
        }
        if self.map.is_none() {
            self.previous_maps.clear();
        }
    }

    /// Publishes newer homes.
    pub(crate) fn set_homes(&mut self, homes: HomesTable) {
        let old = std::mem::replace(&mut self.homes, Arc::new(homes));
        push_bounded(&mut self.previous_homes, old);
    }

    /// The changes from the watcher's map to `map` if the former is kept here, else all of `map`.
    fn map_update(&self, map: &Arc<DomainMap>, request: &WatchRequest) -> MapUpdate {
        let base = self.previous_maps.iter().find(|(digest, _)| *digest == request.map_digest);
        match base {
            Some((_, base)) => MapUpdate::between(base, map),
            None => MapUpdate::Full(map.clone()),
        }
    }

    /// The changes from the watcher's homes if those are kept here, else all homes.
    fn homes_update(&self, request: &WatchRequest) -> HomesUpdate {
        match self.previous_homes.iter().find(|it| it.revision == request.homes) {
            Some(base) => HomesUpdate::between(base, &self.homes),
            None => HomesUpdate::Full(HomesTable::clone(&self.homes)),
        }
    }

    /// Adds a notice of a cold server; returns false if it is known already.
    pub(crate) fn add_cold_notice(&mut self, notice: ColdNotice, now: MonoTime) -> bool {
        self.cold_notices.retain(|(_, at)| now.since(*at) < COLD_NOTICE_LIFETIME);
        let is_new = self.cold_notices.iter().all(|(it, _)| it.id != notice.id);
        if is_new {
            self.cold_notices.push((notice, now));
        }
        is_new
    }

    /// Identities of the notices that are kept.
    pub(crate) fn cold_notice_ids(&self) -> Vec<u64> {
        self.cold_notices.iter().map(|(it, _)| it.id).collect()
    }

    /// Everything that is newer here than what the watcher holds, or `None` if nothing is.
    fn changes_since(&self, request: &WatchRequest) -> Option<WatchReply> {
        let is_newer_map = |map: &&Arc<DomainMap>| {
            request.map.is_some_and(|held| {
                let has_opened = held == map.stamp && (request.n_open as usize) < map.open_count();
                held < map.stamp || has_opened
            })
        };
        let reply = WatchReply {
            is_acting: self.is_acting,
            sheet: self.sheet_text.clone().filter(|_| request.sheet < self.sheet_revision()),
            homes: (request.homes < self.homes.revision).then(|| self.homes_update(request)),
            map: self.map.as_ref().filter(is_newer_map).map(|it| self.map_update(it, request)),
            cold: self
                .cold_notices
                .iter()
                .filter(|(it, _)| !request.known_cold.contains(&it.id))
                .map(|(it, _)| it.clone())
                .collect(),
        };
        let has_changes = reply.sheet.is_some()
            || reply.homes.is_some()
            || reply.map.is_some()
            || !reply.cold.is_empty();
        has_changes.then_some(reply)
    }
}

/// Adds `item` and drops the oldest one beyond [`MAX_PREVIOUS`].
fn push_bounded<T>(previous: &mut VecDeque<T>, item: T) {
    previous.push_back(item);
    if previous.len() > MAX_PREVIOUS {
        previous.pop_front();
    }
}

/// Answers a watch when something newer is published, or without changes when the wait ends or this
/// planner starts or stops acting.
pub(crate) async fn await_changes(
    mut published: watch::Receiver<PublishedState>,
    request: WatchRequest,
) -> WatchReply {
    let wait = request.wait.min(MAX_WATCH_WAIT);
    let was_acting = published.borrow().is_acting;
    let mut reply = None;
    let has_ended = |it: &PublishedState| {
        reply = it.changes_since(&request);
        reply.is_some() || it.is_acting != was_acting
    };
    let _ = tokio::time::timeout(wait, published.wait_for(has_ended)).await;
    reply.unwrap_or_else(|| WatchReply {
        is_acting: published.borrow().is_acting,
        ..WatchReply::default()
    })
}

/// Longest time for which a watch is held, whatever wait it names.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);
