//! The actor that runs the planner, a state machine without I/O: feeds it events, executes its
//! actions and publishes its state.

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

use crate::{PlannerSettings, execute::execute, published_state::PublishedState};

/// State shared by the actor and the tasks around it.
pub(crate) struct PlannerState {
    pub(crate) settings: PlannerSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: ProcessClock,
    pub(crate) log: Logger,
    pub(crate) metrics: PlannerMetrics,
    pub(crate) store: HttpStore,
    pub(crate) backend: backend::HttpBackend,
    pub(crate) peers: PeerPool,
    /// What routers and other planners watch.
    pub(crate) published: watch::Sender<PublishedState>,
}

/// Owns the planner of this domain and the witnesses for the planners of other domains.
#[derive(xtra::Actor)]
pub(crate) struct PlannerActor {
    state: Arc<PlannerState>,
    planner: DomainPlanner,
    /// Witness state that this VM keeps for the planners of each other domain.
    foreign_witnesses: HashMap<DomainName, WitnessState>,
    /// Text of the newest valid sheet.
    sheet_text: Option<SheetText>,
    /// Last load report of each router, in requests per second, with its time of arrival.
    loads: HashMap<RouterName, (MonoTime, Vec<(SliceKey, f64)>)>,
    /// When the reports in `loads` were last summed and passed to the planner.
    loads_summed_at: MonoTime,
}

/// Name of the VM whose router sent a load report.
type RouterName = String;

/// Age after which a router's load report is discarded.
const LOAD_REPORT_LIFETIME: std::time::Duration = std::time::Duration::from_secs(3);

/// Shortest time between two sums of the routers' load reports.
const LOAD_SUM_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// Has the planner handle an event.
pub(crate) struct HandleEvent(pub(crate) PlannerEvent);

/// Applies a sheet if it is newer and valid.
pub(crate) struct ApplySheet(pub(crate) SheetText);

/// Answers a planner's heartbeat.
pub(crate) struct AnswerAccept(pub(crate) AcceptRequest);

/// Answers a candidate's request for a promise.
pub(crate) struct AnswerPrepare(pub(crate) PrepareRequest);

/// Answers a router's lease request.
pub(crate) struct AnswerLease(pub(crate) LeaseRequest);

/// Records the load of each slice that a router reports.
pub(crate) struct RecordLoads {
    pub(crate) from: RouterName,
    pub(crate) loads: Vec<(SliceKey, f64)>,
}

/// Records a notice of a cold server, to be passed on to the routers.
pub(crate) struct RecordCold(pub(crate) ColdNotice);

/// Returns the state that operators read.
pub(crate) struct ReadDump;

impl PlannerActor {
    pub(crate) fn new(state: Arc<PlannerState>) -> Self {
        let config = PlannerConfig {
            id: own_id(&state),
            domain: state.settings.identity.domain.clone(),
            timing: state.settings.timing,
        };
        let planner = DomainPlanner::new(config, state.clock.now());
        Self {
            state,
            planner,
            foreign_witnesses: HashMap::new(),
            sheet_text: None,
            loads: HashMap::new(),
            loads_summed_at: MonoTime::default(),
        }
    }

    /// Has the planner handle an event, executes the actions that follow and publishes its state.
    fn handle_event(&mut self, event: PlannerEvent, ctx: &Context<Self>) {
        let Some(actor) = ctx.mailbox().address().try_upgrade() else {
            return;
        };
        let (now, wall) = (self.state.clock.now(), self.state.clock.wall());
        let actions = self.planner.handle(event, now, wall);
        for action in actions {
            self.execute_action(action, &actor);
        }
        self.publish();
    }

    fn execute_action(&mut self, action: PlannerAction, actor: &Address<Self>) {
        match action {
            PlannerAction::Publish(map) => {
                self.state.published.send_modify(|it| it.set_map(Some(map)));
            }
            PlannerAction::ServerRestarted(server) => self.publish_cold_notice(server),
            PlannerAction::RoleChanged { role, term } => {
                info!(self.state.log, "role-changed"; "role" => role, "term" => term.0);
                self.state.metrics.is_acting.set(i64::from(self.planner.is_acting()));
            }
            action => execute(&self.state, self.planner.sheet(), action, actor),
        }
    }

    /// Publishes a notice to all routers that a server has restarted and is cold.
    fn publish_cold_notice(&self, server: ServerName) {
        let row = self.planner.sheet().and_then(|it| it.sheet.servers.get(&server));
        let Some(service) = row.map(|it| it.service.clone()) else {
            return;
        };
        let notice = ColdNotice { id: rand::random(), service, server };
        let now = self.state.clock.now();
        self.state.published.send_if_modified(|it| it.add_cold_notice(notice, now));
    }

    /// Publishes the homes, the sheet and whether this planner acts if any of them has changed, and
    /// withdraws the map while this planner does not act.
    fn publish(&mut self) {
        let is_acting = self.planner.is_acting();
        let homes = self.planner.homes();
        let revision = self.sheet_text.as_ref().map(|it| it.revision);
        self.state.published.send_if_modified(|it| {
            let is_changed = it.is_acting != is_acting
                || it.homes.revision != homes.revision
                || it.sheet_text.as_ref().map(|text| text.revision) != revision;
            if is_changed {
                it.is_acting = is_acting;
                it.sheet_text = self.sheet_text.clone();
                it.parsed_sheet = self.planner.sheet().map(|doc| doc.sheet.clone());
                if it.homes.revision != homes.revision {
                    it.set_homes(HomesTable::clone(homes));
                }
            }
            if !is_acting {
                it.set_map(None);
            }
            is_changed
        });
    }

    /// The witness for another domain's planners, created at its first use.
    fn foreign_witness(&mut self, domain: &DomainName) -> &mut WitnessState {
        let now = self.state.clock.now();
        let id = own_id(&self.state);
        self.foreign_witnesses.entry(domain.clone()).or_insert_with(|| WitnessState::new(id, now))
    }

    fn is_own_domain(&self, domain: &DomainName) -> bool {
        *domain == self.state.settings.identity.domain
    }
}

fn own_id(state: &PlannerState) -> VmId {
    VmId { name: state.settings.identity.vm.clone(), incarnation: state.incarnation }
}

impl Handler<HandleEvent> for PlannerActor {
    type Return = ();

    async fn handle(&mut self, message: HandleEvent, ctx: &mut Context<Self>) {
        self.handle_event(message.0, ctx);
    }
}

impl Handler<ApplySheet> for PlannerActor {
    type Return = ();

    async fn handle(&mut self, message: ApplySheet, ctx: &mut Context<Self>) {
        let text = message.0;
        let held_revision =
            self.sheet_text.as_ref().map_or_else(SheetRevision::default, |it| it.revision);
        if text.revision <= held_revision {
            return;
        }
        match PlanSheet::try_from(&*text.text) {
            Ok(sheet) => {
                let revision = text.revision;
                info!(self.state.log, "sheet-in-force"; "revision" => revision.0);
                self.state.metrics.sheet_revision.set(revision.0 as i64);
                self.sheet_text = Some(text);
                let doc = SheetDoc { revision, sheet: Arc::new(sheet) };
                self.handle_event(PlannerEvent::SheetLearned(doc), ctx);
            }
            Err(err) => {
                warn!(self.state.log, "sheet-unreadable"; "revision" => text.revision.0,
                      "cause" => %err);
            }
        }
    }
}

impl Handler<AnswerAccept> for PlannerActor {
    type Return = AcceptReply;

    async fn handle(&mut self, message: AnswerAccept, _ctx: &mut Context<Self>) -> AcceptReply {
        let now = self.state.clock.now();
        match self.is_own_domain(&message.0.domain) {
            true => self.planner.answer_accept(&message.0, now),
            false => self.foreign_witness(&message.0.domain).answer_accept(&message.0, now),
        }
    }
}

impl Handler<AnswerPrepare> for PlannerActor {
    type Return = PrepareReply;

    async fn handle(&mut self, message: AnswerPrepare, _ctx: &mut Context<Self>) -> PrepareReply {
        let now = self.state.clock.now();
        let timing = self.state.settings.timing;
        match self.is_own_domain(&message.0.domain) {
            true => self.planner.answer_prepare(&message.0, now),
            false => {
                self.foreign_witness(&message.0.domain).answer_prepare(&message.0, &timing, now)
            }
        }
    }
}

impl Handler<AnswerLease> for PlannerActor {
    type Return = LeaseReply;

    async fn handle(&mut self, message: AnswerLease, _ctx: &mut Context<Self>) -> LeaseReply {
        self.planner.answer_lease(&message.0, self.state.clock.now())
    }
}

impl Handler<RecordLoads> for PlannerActor {
    type Return = ();

    async fn handle(&mut self, message: RecordLoads, ctx: &mut Context<Self>) {
        let now = self.state.clock.now();
        self.loads.insert(message.from, (now, message.loads));
        if now.since(self.loads_summed_at) < LOAD_SUM_INTERVAL {
            return;
        }
        self.loads_summed_at = now;
        self.loads.retain(|_, (at, _)| now.since(*at) < LOAD_REPORT_LIFETIME);
        let mut sums: BTreeMap<SliceKey, f64> = BTreeMap::new();
        for (key, load) in self.loads.values().flat_map(|(_, loads)| loads) {
            *sums.entry(key.clone()).or_default() += load;
        }
        self.handle_event(PlannerEvent::LoadsReported(sums), ctx);
    }
}

impl Handler<RecordCold> for PlannerActor {
    type Return = ();

    async fn handle(&mut self, message: RecordCold, _ctx: &mut Context<Self>) {
        let now = self.state.clock.now();
        self.state.published.send_if_modified(|it| it.add_cold_notice(message.0, now));
    }
}

impl Handler<ReadDump> for PlannerActor {
    type Return = PlannerDump;

    async fn handle(&mut self, _: ReadDump, _ctx: &mut Context<Self>) -> PlannerDump {
        self.planner.dump(self.state.clock.now())
    }
}
