//! The control thread's actor: renews the lease, and keeps the newest sheet, homes and map.

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

/// Longest wait for a planner's reply to a lease request, a load report or a cold notice.
const PLANNER_CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time for which a planner may hold a watch that has nothing newer to report.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Maximum number of the sheet's planners that are asked at once while the acting one is unknown or
/// has granted no lease for `planner_silence`.
const MAX_PLANNERS_ASKED: usize = 8;

/// Time between reports of each slice's load to the planner.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the control state and publishes the routing table from it.
#[derive(xtra::Actor)]
pub(crate) struct ControlActor {
    state: Arc<RouterState>,
    /// The own domain's map and the lease on it.
    view: RouterView,
    sheet_revision: SheetRevision,
    sheet: Arc<PlanSheet>,
    homes: Arc<HomesTable>,
    /// Address of the planner that acts for this domain, if known.
    acting_planner: Option<SocketAddr>,
    /// When a planner last granted a lease.
    leased_at: MonoTime,
    /// Wall time for which the published table's candidates were computed.
    candidates_computed_at: Option<WallTime>,
    /// When slice loads were last reported.
    loads_sent_at: MonoTime,
    /// Ids of the cold notices that were sent or received last, the newest at the end.
    known_cold: VecDeque<u64>,
    /// Since when the sheet gives this VM no new work.
    draining_since: Option<MonoTime>,
}

/// Maximum number of cold notices whose ids are remembered.
const MAX_KNOWN_NOTICES: usize = 32;

/// Requests a new lease, sends load reports and cold notices that are due, and publishes a new
/// table when the wall time has changed, as stops in the sheet begin and end at wall times.
pub(crate) struct RenewLease;

/// Applies a planner's reply to a lease request.
struct ApplyLease {
    /// Number of the lease request.
    renewal: u64,
    /// The planner that replied.
    from: SocketAddr,
    reply: LeaseReply,
}

/// Applies a planner's reply to a watch.
pub(crate) struct ApplyWatch {
    /// The planner that replied.
    pub(crate) from: SocketAddr,
    pub(crate) reply: WatchReply,
}

/// Returns the next watch, with the planner to send it to.
pub(crate) struct NextWatch {
    /// Planner whose reply to the last watch is missing or says that it is not acting.
    pub(crate) failed: Option<SocketAddr>,
}

impl ControlActor {
    pub(crate) fn new(state: Arc<RouterState>) -> Self {
        Self {
            state,
            view: RouterView::default(),
            sheet_revision: SheetRevision::default(),
            sheet: Arc::default(),
            homes: Arc::default(),
            acting_planner: None,
            leased_at: MonoTime::default(),
            candidates_computed_at: None,
            loads_sent_at: MonoTime::default(),
            known_cold: VecDeque::new(),
            draining_since: None,
        }
    }

    /// Planners of this VM's domain, or those of the settings while the sheet lists none.
    fn planners(&self) -> Vec<SocketAddr> {
        let domain = &self.state.settings.identity.domain;
        let listed: Vec<SocketAddr> =
            self.sheet.vms_of(domain).map(|it| it.planner).take(MAX_PLANNERS_ASKED).collect();
        match listed.is_empty() {
            true => self.state.settings.planners.clone(),
            false => listed,
        }
    }

    /// Publishes a new table, with the candidates recomputed for the present wall time.
    fn publish(&mut self) {
        let wall = self.state.clock.wall();
        let domain = &self.state.settings.identity.domain;
        self.candidates_computed_at = Some(wall);
        let table = RoutingTable {
            sheet_revision: self.sheet_revision,
            sheet: self.sheet.clone(),
            homes: self.homes.clone(),
            view: self.view.clone(),
            candidates: Arc::new(candidates(&self.sheet, domain, wall)),
        };
        self.state.publish(table);
    }

    /// Publishes the lease's new end without recomputing the rest of the table.
    fn publish_lease(&self) {
        let mut table = RoutingTable::clone(&self.state.table());
        table.view = self.view.clone();
        self.state.publish(table);
    }

    /// Applies a sheet if it is newer and valid; returns whether it did.
    fn apply_sheet(&mut self, text: &SheetText) -> bool {
        if text.revision <= self.sheet_revision {
            return false;
        }
        match PlanSheet::try_from(&*text.text) {
            Ok(sheet) => {
                self.sheet_revision = text.revision;
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

    /// Applies homes if they are newer; returns whether it did.
    fn apply_homes(&mut self, homes: HomesTable) -> bool {
        let is_newer = homes.revision > self.homes.revision;
        if is_newer {
            self.homes = Arc::new(homes);
        }
        is_newer
    }

    /// Applies a map of this domain unless it is older than the one in use; returns whether
    /// anything changed. A map with the same stamp may have more open slices.
    fn apply_map(&mut self, map: &Arc<DomainMap>) -> bool {
        let is_own = map.domain == self.state.settings.identity.domain;
        is_own && self.view.apply_map(map)
    }

    fn renew_lease(&mut self, target: SocketAddr, actor: Address<Self>) {
        let now = self.state.now();
        let renewal = self.view.begin_renewal(now);
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
            let reply = client.call(&PeerRequest::Lease(request), PLANNER_CALL_TIMEOUT).await;
            if let Ok(PeerReply::Lease(reply)) = reply {
                let _ = actor.send(ApplyLease { renewal, from: target, reply }).detach().await;
            }
        });
    }

    /// Refuses callers once the sheet has given this VM no new work for the grace period, in which
    /// the platform's balancer notices and sends callers elsewhere.
    fn close_when_draining(&mut self, now: MonoTime) {
        let vm = &self.state.settings.identity.vm;
        let is_listed = self.sheet.vms.contains_key(vm);
        let work_state = self.sheet.vm_work_state(vm, self.state.clock.wall());
        self.draining_since = match work_state {
            WorkState::Draining if is_listed => self.draining_since.or(Some(now)),
            _ => None,
        };
        // A shutdown closes the router by itself, once its own grace period has passed.
        if !self.state.is_leaving.load(Ordering::Relaxed) {
            let grace = self.state.settings.leave_grace;
            let is_closed = self.draining_since.is_some_and(|it| now.since(it) >= grace);
            self.state.is_closed.store(is_closed, Ordering::Relaxed);
        }
    }

    /// Sends the collected notices of cold servers to the acting planner.
    fn send_cold_notices(&mut self) {
        let Some(target) = self.acting_planner else { return };
        for notice in self.state.take_cold_notices() {
            self.record_cold_notice(notice.id);
            let client = self.state.peers.client(target, "lease");
            tokio::spawn(async move {
                let _ = client.call(&PeerRequest::Cold(notice), PLANNER_CALL_TIMEOUT).await;
            });
        }
    }

    fn record_cold_notice(&mut self, id: u64) {
        self.known_cold.push_back(id);
        if self.known_cold.len() > MAX_KNOWN_NOTICES {
            self.known_cold.pop_front();
        }
    }

    fn send_loads(&mut self, now: MonoTime) {
        let elapsed = now.since(self.loads_sent_at);
        let Some(target) = self.acting_planner.filter(|_| elapsed >= LOAD_REPORT_INTERVAL) else {
            return;
        };
        self.loads_sent_at = now;
        let per_second = |n: u64| n as f64 / elapsed.as_secs_f64();
        let counts = self.state.take_slice_counts();
        let loads = counts.into_iter().map(|(key, n)| (key, per_second(n))).collect();
        let client = self.state.peers.client(target, "lease");
        let from = self.state.settings.identity.vm.clone();
        tokio::spawn(async move {
            let _ = client.call(&PeerRequest::Loads { from, loads }, PLANNER_CALL_TIMEOUT).await;
        });
    }
}

impl Handler<RenewLease> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: RenewLease, ctx: &mut Context<Self>) {
        let Ok(actor) = ctx.mailbox().address().try_upgrade().ok_or(()) else {
            return;
        };
        let now = self.state.now();
        let is_recently_leased =
            now.since(self.leased_at) < self.state.settings.timing.planner_silence;
        match self.acting_planner.filter(|_| is_recently_leased) {
            Some(target) => self.renew_lease(target, actor),
            None => {
                for target in self.planners() {
                    self.renew_lease(target, actor.clone());
                }
            }
        }
        self.send_loads(now);
        self.send_cold_notices();
        self.close_when_draining(now);
        if self.candidates_computed_at.is_some_and(|it| it != self.state.clock.wall()) {
            self.publish();
        }
    }
}

impl Handler<ApplyLease> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ApplyLease, _ctx: &mut Context<Self>) {
        match message.reply {
            LeaseReply::Leased { stamp, lease } => {
                self.acting_planner = Some(message.from);
                self.leased_at = self.state.now();
                self.view.apply_lease(message.renewal, stamp, lease);
                self.publish_lease();
            }
            LeaseReply::NewerMap { map } => {
                self.acting_planner = Some(message.from);
                if self.apply_map(&map) {
                    self.publish();
                }
                // The planner grants a lease only on its newest map.
                self.state.renew_lease_now.notify_one();
            }
            LeaseReply::NotActing { .. } => {
                if self.acting_planner == Some(message.from) {
                    self.acting_planner = None;
                }
            }
        }
    }
}

impl Handler<ApplyWatch> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ApplyWatch, _ctx: &mut Context<Self>) {
        let ApplyWatch { from, reply } = message;
        let has_new_sheet = reply.sheet.as_ref().is_some_and(|it| self.apply_sheet(it));
        let homes = reply.homes.and_then(|it| it.resolve(&self.homes));
        let has_new_homes = homes.is_some_and(|it| self.apply_homes(it));
        let held = self.view.map().cloned();
        let map = reply.map.as_ref().and_then(|it| it.resolve(held.as_deref()));
        let has_new_map = map.is_some_and(|it| self.apply_map(&it));
        for notice in &reply.cold {
            self.record_cold_notice(notice.id);
            self.state.note_cold(notice);
        }
        if reply.is_acting {
            self.acting_planner = Some(from);
        }
        if has_new_sheet || has_new_homes || has_new_map {
            self.publish();
        }
        if has_new_sheet {
            self.state.update_balancers(&self.state.table());
        }
        if has_new_map {
            self.state.renew_lease_now.notify_one();
        }
    }
}

impl Handler<NextWatch> for ControlActor {
    type Return = Option<(SocketAddr, WatchRequest)>;

    async fn handle(&mut self, message: NextWatch, _ctx: &mut Context<Self>) -> Self::Return {
        let planners = self.planners();
        let next_idx =
            |it: SocketAddr| planners.iter().position(|p| *p == it).map_or(0, |idx| idx + 1);
        let planner_at = |idx: usize| planners.get(idx % planners.len().max(1)).copied();
        let target = match (self.acting_planner, message.failed) {
            (Some(acting), failed) if failed != Some(acting) => Some(acting),
            // The next planner in the list, after the last one the first again.
            (_, Some(failed)) => planner_at(next_idx(failed)),
            (_, None) => planner_at(0),
        };
        let map = self.view.map();
        let watch = WatchRequest {
            sheet: self.sheet_revision,
            homes: self.homes.revision,
            map: Some(self.view.stamp()),
            n_open: map.map_or(0, |it| it.open_count() as u32),
            map_digest: map.map_or(0, |it| map_digest(it)),
            known_cold: self.known_cold.iter().copied().collect(),
            wait: WATCH_WAIT,
        };
        target.map(|it| (it, watch))
    }
}
