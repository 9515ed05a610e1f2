//! The control thread's actor around the pure planner.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use model::{DomainName, Incarnation, MonoTime, ServerName, SheetRevision, SliceKey};
use ownership::{
    AcceptReply, AcceptRequest, DomainPlanner, HomesTable, LeaseReply, LeaseRequest, PlannerAction,
    PlannerConfig, PlannerDump, PlannerEvent, PrepareReply, PrepareRequest, SheetDoc, VmId,
    WitnessState,
};
use peer::{ColdNotice, PeerPool, SheetText};
use settings::ProcessClock;
use sheet::PlanSheet;
use slog::{Logger, info, warn};
use store::HttpStore;
use telemetry::PlannerMetrics;
use tokio::sync::watch;
use xtra::prelude::*;

use crate::{PlannerSettings, execute::execute, publication::Publication};

/// What the actor and its adapters share.
pub(crate) struct PlannerState {
    pub(crate) settings: PlannerSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: ProcessClock,
    pub(crate) log: Logger,
    pub(crate) metrics: PlannerMetrics,
    pub(crate) store: HttpStore,
    pub(crate) backend: backend::HttpBackend,
    pub(crate) peers: PeerPool,
    pub(crate) published: watch::Sender<Publication>,
}

/// The actor.
#[derive(xtra::Actor)]
pub(crate) struct PlannerActor {
    state: Arc<PlannerState>,
    planner: DomainPlanner,
    /// What this VM has promised to planners of other domains.
    outside: HashMap<DomainName, WitnessState>,
    sheet: Option<SheetText>,
    loads: HashMap<VmKey, (MonoTime, Vec<(SliceKey, f64)>)>,
    loads_fed_at: MonoTime,
}

/// Where a load report came from.
type VmKey = String;

/// Age after which a router's load report no longer counts.
const LOAD_LIFETIME: std::time::Duration = std::time::Duration::from_secs(3);

/// Time between sums of the routers' reports.
const LOAD_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// Something happened to the planner.
pub(crate) struct Happened(pub(crate) PlannerEvent);

/// A sheet arrived as text.
pub(crate) struct SheetArrived(pub(crate) SheetText);

/// A heartbeat arrived.
pub(crate) struct AcceptArrived(pub(crate) AcceptRequest);

/// A candidate's request arrived.
pub(crate) struct PrepareArrived(pub(crate) PrepareRequest);

/// A router's request arrived.
pub(crate) struct LeaseArrived(pub(crate) LeaseRequest);

/// A router reported its load.
pub(crate) struct LoadsArrived {
    pub(crate) from: VmKey,
    pub(crate) loads: Vec<(SliceKey, f64)>,
}

/// A server was found cold.
pub(crate) struct ColdArrived(pub(crate) ColdNotice);

/// Asks for the state that operators see.
pub(crate) struct DumpAsked;

impl PlannerActor {
    pub(crate) fn new(state: Arc<PlannerState>) -> Self {
        let identity = PlannerConfig {
            id: own_id(&state),
            domain: state.settings.identity.domain.clone(),
            timing: state.settings.timing,
        };
        let planner = DomainPlanner::new(identity, state.clock.now());
        Self {
            state,
            planner,
            outside: HashMap::new(),
            sheet: None,
            loads: HashMap::new(),
            loads_fed_at: MonoTime::default(),
        }
    }

    fn feed(&mut self, event: PlannerEvent, ctx: &Context<Self>) {
        let Some(actor) = ctx.mailbox().address().try_upgrade() else {
            return;
        };
        let (now, wall) = (self.state.clock.now(), self.state.clock.wall());
        let actions = self.planner.handle(event, now, wall);
        for action in actions {
            self.carry_out(action, &actor);
        }
        self.publish();
    }

    fn carry_out(&mut self, action: PlannerAction, actor: &Address<Self>) {
        match action {
            PlannerAction::Publish(map) => {
                self.state.published.send_modify(|it| it.set_map(Some(map)));
            }
            PlannerAction::ServerRestarted(server) => self.tell_cold(server),
            PlannerAction::RoleChanged { role, term } => {
                info!(self.state.log, "role-changed"; "role" => role, "term" => term.0);
                self.state.metrics.is_acting.set(i64::from(self.planner.is_acting()));
            }
            action => execute(&self.state, self.planner.sheet(), action, actor),
        }
    }

    /// Tells all routers that a server starts cold.
    fn tell_cold(&self, server: ServerName) {
        let row = self.planner.sheet().and_then(|it| it.sheet.servers.get(&server));
        let Some(service) = row.map(|it| it.service.clone()) else {
            return;
        };
        let notice = ColdNotice { id: rand::random(), service, server };
        let now = self.state.clock.now();
        self.state.published.send_if_modified(|it| it.note_cold(notice, now));
    }

    /// Publishes the homes, the sheet and the role when they have changed.
    fn publish(&mut self) {
        let is_acting = self.planner.is_acting();
        let homes = self.planner.homes();
        let revision = self.sheet.as_ref().map(|it| it.revision);
        self.state.published.send_if_modified(|it| {
            let is_news = it.is_acting != is_acting
                || it.homes.revision != homes.revision
                || it.sheet.as_ref().map(|s| s.revision) != revision;
            if is_news {
                it.is_acting = is_acting;
                it.sheet = self.sheet.clone();
                it.plan = self.planner.sheet().map(|doc| doc.sheet.clone());
                if it.homes.revision != homes.revision {
                    it.set_homes(HomesTable::clone(homes));
                }
            }
            if !is_acting {
                it.set_map(None);
            }
            is_news
        });
    }

    /// The witness for another domain's planners; made when first needed.
    fn outside_witness(&mut self, domain: &DomainName) -> &mut WitnessState {
        let now = self.state.clock.now();
        let id = own_id(&self.state);
        self.outside.entry(domain.clone()).or_insert_with(|| WitnessState::new(id, now))
    }

    fn is_own(&self, domain: &DomainName) -> bool {
        *domain == self.state.settings.identity.domain
    }
}

fn own_id(state: &PlannerState) -> VmId {
    VmId { name: state.settings.identity.vm.clone(), incarnation: state.incarnation }
}

impl Handler<Happened> for PlannerActor {
    type Return = ();

    async fn handle(&mut self, happened: Happened, ctx: &mut Context<Self>) {
        self.feed(happened.0, ctx);
    }
}

impl Handler<SheetArrived> for PlannerActor {
    type Return = ();

    async fn handle(&mut self, arrived: SheetArrived, ctx: &mut Context<Self>) {
        let text = arrived.0;
        let held = self.sheet.as_ref().map_or_else(SheetRevision::default, |it| it.revision);
        if text.revision <= held {
            return;
        }
        match PlanSheet::try_from(&*text.text) {
            Ok(sheet) => {
                let revision = text.revision;
                info!(self.state.log, "sheet-in-force"; "revision" => revision.0);
                self.state.metrics.sheet_revision.set(revision.0 as i64);
                self.sheet = Some(text);
                let doc = SheetDoc { revision, sheet: Arc::new(sheet) };
                self.feed(PlannerEvent::SheetLearned(doc), ctx);
            }
            Err(err) => {
                warn!(self.state.log, "sheet-unreadable"; "revision" => text.revision.0,
                      "cause" => %err);
            }
        }
    }
}

impl Handler<AcceptArrived> for PlannerActor {
    type Return = AcceptReply;

    async fn handle(&mut self, arrived: AcceptArrived, _ctx: &mut Context<Self>) -> AcceptReply {
        let now = self.state.clock.now();
        match self.is_own(&arrived.0.domain) {
            true => self.planner.answer_accept(&arrived.0, now),
            false => self.outside_witness(&arrived.0.domain).answer_accept(&arrived.0, now),
        }
    }
}

impl Handler<PrepareArrived> for PlannerActor {
    type Return = PrepareReply;

    async fn handle(&mut self, arrived: PrepareArrived, _ctx: &mut Context<Self>) -> PrepareReply {
        let now = self.state.clock.now();
        let timing = self.state.settings.timing;
        match self.is_own(&arrived.0.domain) {
            true => self.planner.answer_prepare(&arrived.0, now),
            false => {
                self.outside_witness(&arrived.0.domain).answer_prepare(&arrived.0, &timing, now)
            }
        }
    }
}

impl Handler<LeaseArrived> for PlannerActor {
    type Return = LeaseReply;

    async fn handle(&mut self, arrived: LeaseArrived, _ctx: &mut Context<Self>) -> LeaseReply {
        self.planner.answer_lease(&arrived.0, self.state.clock.now())
    }
}

impl Handler<LoadsArrived> for PlannerActor {
    type Return = ();

    async fn handle(&mut self, arrived: LoadsArrived, ctx: &mut Context<Self>) {
        let now = self.state.clock.now();
        self.loads.insert(arrived.from, (now, arrived.loads));
        if now.since(self.loads_fed_at) < LOAD_INTERVAL {
            return;
        }
        self.loads_fed_at = now;
        self.loads.retain(|_, (at, _)| now.since(*at) < LOAD_LIFETIME);
        let mut sums: BTreeMap<SliceKey, f64> = BTreeMap::new();
        for (key, load) in self.loads.values().flat_map(|(_, loads)| loads) {
            *sums.entry(key.clone()).or_default() += load;
        }
        self.feed(PlannerEvent::LoadsReported(sums), ctx);
    }
}

impl Handler<ColdArrived> for PlannerActor {
    type Return = ();

    async fn handle(&mut self, arrived: ColdArrived, _ctx: &mut Context<Self>) {
        let now = self.state.clock.now();
        self.state.published.send_if_modified(|it| it.note_cold(arrived.0, now));
    }
}

impl Handler<DumpAsked> for PlannerActor {
    type Return = PlannerDump;

    async fn handle(&mut self, _: DumpAsked, _ctx: &mut Context<Self>) -> PlannerDump {
        self.planner.dump(self.state.clock.now())
    }
}
