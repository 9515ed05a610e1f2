//! The control thread's actor: keeps the lease and the newest sheet, homes and map.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use model::{MonoTime, SheetRevision, WallTime};
use ownership::{DomainMap, HomesTable, LeaseReply, LeaseRequest, RouterView, VmId, map_digest};
use peer::{PeerReply, PeerRequest, SheetText, WatchReply, WatchRequest};
use sheet::{PlanSheet, WorkState};
use slog::{info, warn};
use xtra::prelude::*;

use crate::{
    state::RouterState,
    table::{RoutingTable, candidates},
};

/// Longest wait for a lease.
const LEASE_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest wait of a watch for news.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Most planners that are asked at once while it is not known which one acts.
const MAX_ASKED: usize = 8;

/// Time between reports of each slice's load.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// The actor.
#[derive(xtra::Actor)]
pub(crate) struct ControlActor {
    state: Arc<RouterState>,
    view: RouterView,
    revision: SheetRevision,
    sheet: Arc<PlanSheet>,
    homes: Arc<HomesTable>,
    acting: Option<SocketAddr>,
    /// When the acting planner last gave a lease.
    leased_at: MonoTime,
    candidates_at: Option<WallTime>,
    loads_at: MonoTime,
    known_cold: VecDeque<u64>,
    /// Since when the sheet gives this VM no new work.
    out_since: Option<MonoTime>,
}

/// Notices of cold servers that are remembered.
const MAX_KNOWN_COLD: usize = 32;

/// Time to renew the lease.
pub(crate) struct Renew;

/// A planner answered lease request `ask`.
struct LeaseArrived {
    ask: u64,
    from: SocketAddr,
    answer: LeaseReply,
}

/// A planner answered a watch.
pub(crate) struct NewsArrived {
    pub(crate) from: SocketAddr,
    pub(crate) news: WatchReply,
}

/// Asks what to watch for, and where.
pub(crate) struct WatchPlan {
    /// Planner that did not answer the last watch.
    pub(crate) failed: Option<SocketAddr>,
}

impl ControlActor {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self {
            state,
            view: RouterView::default(),
            revision: SheetRevision::default(),
            sheet: Arc::default(),
            homes: Arc::default(),
            acting: None,
            leased_at: MonoTime::default(),
            candidates_at: None,
            loads_at: MonoTime::default(),
            known_cold: VecDeque::new(),
            out_since: None,
        }
    }

    /// Planners of the own domain, or those of the settings while no sheet is known.
    fn planners(&self) -> Vec<SocketAddr> {
        let domain = &self.state.settings.identity.domain;
        let listed: Vec<SocketAddr> =
            self.sheet.vms_of(domain).map(|it| it.planner).take(MAX_ASKED).collect();
        match listed.is_empty() {
            true => self.state.settings.planners.clone(),
            false => listed,
        }
    }

    fn publish(&mut self) {
        let wall = self.state.clock.wall();
        let domain = &self.state.settings.identity.domain;
        self.candidates_at = Some(wall);
        let table = RoutingTable {
            revision: self.revision,
            sheet: self.sheet.clone(),
            homes: self.homes.clone(),
            view: self.view.clone(),
            candidates: Arc::new(candidates(&self.sheet, domain, wall)),
        };
        self.state.publish(table);
    }

    /// Publishes the lease's new end without computing the rest again.
    fn publish_lease(&self) {
        let mut table = RoutingTable::clone(&self.state.table());
        table.view = self.view.clone();
        self.state.publish(table);
    }

    fn take_sheet(&mut self, text: &SheetText) -> bool {
        if text.revision <= self.revision {
            return false;
        }
        match PlanSheet::try_from(&*text.text) {
            Ok(sheet) => {
                self.revision = text.revision;
                self.sheet = Arc::new(sheet);
                self.state.metrics.sheet_revision.set(text.revision.0 as i64);
                info!(self.state.log, "sheet-in-force"; "revision" => text.revision.0);
                true
            }
            Err(err) => {
                warn!(self.state.log, "sheet-unreadable"; "revision" => text.revision.0,
                      "cause" => %err);
                false
            }
        }
    }

    fn take_homes(&mut self, homes: HomesTable) -> bool {
        let is_newer = homes.revision > self.homes.revision;
        if is_newer {
            self.homes = Arc::new(homes);
        }
        is_newer
    }

    fn apply_map(&mut self, map: &Arc<DomainMap>) -> bool {
        let is_own = map.domain == self.state.settings.identity.domain;
        is_own && self.view.apply_map(map)
    }

    fn ask(&mut self, target: SocketAddr, control: Address<Self>) {
        let now = self.state.now();
        let ask = self.view.begin_renewal(now);
        let map = self.view.map();
        let request = LeaseRequest {
            router: VmId {
                name: self.state.settings.identity.vm.clone(),
                incarnation: self.state.incarnation,
            },
            held: self.view.stamp(),
            held_open: map.map_or(0, |it| it.open_count() as u32),
            drained: map.map_or_else(Default::default, |it| self.state.inflight.drained(it)),
            suspects: self.state.take_suspects().into(),
        };
        let client = self.state.peers.client(target, "lease");
        tokio::spawn(async move {
            let reply = client.call(&PeerRequest::Lease(request), LEASE_TIMEOUT).await;
            if let Ok(PeerReply::Lease(answer)) = reply {
                let _ = control.send(LeaseArrived { ask, from: target, answer }).detach().await;
            }
        });
    }

    /// Refuses callers once the sheet has taken this VM out and the balancer has had its time.
    fn close_when_out(&mut self, now: MonoTime) {
        let vm = &self.state.settings.identity.vm;
        let is_listed = self.sheet.vms.contains_key(vm);
        let work = self.sheet.vm_work_state(vm, self.state.clock.wall());
        self.out_since = match work {
            WorkState::Draining if is_listed => self.out_since.or(Some(now)),
            _ => None,
        };
        if !self.state.is_leaving.load(Ordering::Relaxed) {
            let grace = self.state.settings.leave_grace;
            let is_closed = self.out_since.is_some_and(|it| now.since(it) >= grace);
            self.state.is_closed.store(is_closed, Ordering::Relaxed);
        }
    }

    /// Passes notices of cold servers to the acting planner.
    fn report_cold(&mut self) {
        let Some(target) = self.acting else { return };
        for notice in self.state.take_cold_reports() {
            self.remember_cold(notice.id);
            let client = self.state.peers.client(target, "lease");
            tokio::spawn(async move {
                let _ = client.call(&PeerRequest::Cold(notice), LEASE_TIMEOUT).await;
            });
        }
    }

    fn remember_cold(&mut self, id: u64) {
        self.known_cold.push_back(id);
        if self.known_cold.len() > MAX_KNOWN_COLD {
            self.known_cold.pop_front();
        }
    }

    fn report_loads(&mut self, now: MonoTime) {
        let elapsed = now.since(self.loads_at);
        let Some(target) = self.acting.filter(|_| elapsed >= LOAD_INTERVAL) else {
            return;
        };
        self.loads_at = now;
        let per_second = |n: u64| n as f64 / elapsed.as_secs_f64();
        let counts = self.state.take_slice_counts();
        let loads = counts.into_iter().map(|(key, n)| (key, per_second(n))).collect();
        let client = self.state.peers.client(target, "lease");
        let from = self.state.settings.identity.vm.clone();
        tokio::spawn(async move {
            let _ = client.call(&PeerRequest::Loads { from, loads }, LEASE_TIMEOUT).await;
        });
    }
}

impl Handler<Renew> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: Renew, ctx: &mut Context<Self>) {
        let Ok(control) = ctx.mailbox().address().try_upgrade().ok_or(()) else {
            return;
        };
        let now = self.state.now();
        let is_fresh = now.since(self.leased_at) < self.state.settings.timing.planner_silence;
        match self.acting.filter(|_| is_fresh) {
            Some(target) => self.ask(target, control),
            None => {
                for target in self.planners() {
                    self.ask(target, control.clone());
                }
            }
        }
        self.report_loads(now);
        self.report_cold();
        self.close_when_out(now);
        if self.candidates_at.is_some_and(|it| it != self.state.clock.wall()) {
            self.publish();
        }
    }
}

impl Handler<LeaseArrived> for ControlActor {
    type Return = ();

    async fn handle(&mut self, arrived: LeaseArrived, _ctx: &mut Context<Self>) {
        match arrived.answer {
            LeaseReply::Leased { stamp, lease } => {
                self.acting = Some(arrived.from);
                self.leased_at = self.state.now();
                self.view.apply_lease(arrived.ask, stamp, lease);
                self.publish_lease();
            }
            LeaseReply::NewerMap { map } => {
                self.acting = Some(arrived.from);
                if self.apply_map(&map) {
                    self.publish();
                }
                self.state.ask_now.notify_one();
            }
            LeaseReply::NotActing { .. } => {
                if self.acting == Some(arrived.from) {
                    self.acting = None;
                }
            }
        }
    }
}

impl Handler<NewsArrived> for ControlActor {
    type Return = ();

    async fn handle(&mut self, arrived: NewsArrived, _ctx: &mut Context<Self>) {
        let NewsArrived { from, news } = arrived;
        let has_sheet = news.sheet.as_ref().is_some_and(|it| self.take_sheet(it));
        let homes = news.homes.and_then(|it| it.resolve(&self.homes));
        let has_homes = homes.is_some_and(|it| self.take_homes(it));
        let held = self.view.map().cloned();
        let map = news.map.as_ref().and_then(|it| it.resolve(held.as_deref()));
        let has_map = map.is_some_and(|it| self.apply_map(&it));
        for notice in &news.cold {
            self.remember_cold(notice.id);
            self.state.note_cold(notice);
        }
        if news.is_acting {
            self.acting = Some(from);
        }
        if has_sheet || has_homes || has_map {
            self.publish();
        }
        if has_sheet {
            self.state.update_balancers(&self.state.table());
        }
        if has_map {
            self.state.ask_now.notify_one();
        }
    }
}

impl Handler<WatchPlan> for ControlActor {
    type Return = Option<(SocketAddr, WatchRequest)>;

    async fn handle(&mut self, plan: WatchPlan, _ctx: &mut Context<Self>) -> Self::Return {
        let planners = self.planners();
        let after = |it: SocketAddr| planners.iter().position(|p| *p == it).map_or(0, |i| i + 1);
        let next = |idx: usize| planners.get(idx % planners.len().max(1)).copied();
        let target = match (self.acting, plan.failed) {
            (Some(acting), failed) if failed != Some(acting) => Some(acting),
            (_, Some(failed)) => next(after(failed)),
            (_, None) => next(0),
        };
        let map = self.view.map();
        let ask = WatchRequest {
            sheet: self.revision,
            homes: self.homes.revision,
            map: Some(self.view.stamp()),
            n_open: map.map_or(0, |it| it.open_count() as u32),
            map_digest: map.map_or(0, |it| map_digest(it)),
            known_cold: self.known_cold.iter().copied().collect(),
            wait: WATCH_WAIT,
        };
        target.map(|it| (it, ask))
    }
}
