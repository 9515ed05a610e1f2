//! The planner of one failure domain, as it runs on every entry VM of the domain.
//!
//! One planner acts in each term; the others follow it as witnesses and take over when it falls
//! silent.

mod acting;
mod witness_set;
mod election;
mod following;
mod bootstrap;
mod grants;
mod handover;
mod leases;
mod proposal;
mod record;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use model::{
    DomainName, Incarnation, MonoTime, ServerName, SheetRevision, SliceKey, Term, VmName, WallTime,
};
use serde::Serialize;
use sheet::PlanSheet;

use crate::{
    AcceptReply, AcceptRequest, DomainMap, GrantOutcome, GrantRequest, HomesTable, LeaseReply,
    LeaseRequest, LeaseTiming, MapStamp, PrepareReply, PrepareRequest, VmId, WitnessState,
};

use self::{
    acting::ActingState, election::ElectionState, following::FollowingState, record::RecordView,
    witness_set::VmLiveness,
};

/// A checked sheet with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetDoc {
    /// Revision in the store; the highest wins.
    pub revision: SheetRevision,
    /// The sheet.
    pub sheet: Arc<PlanSheet>,
}

/// Who a planner is and how it keeps time.
#[derive(Debug, Clone)]
pub struct PlannerConfig {
    /// This run of this VM's planner.
    pub id: VmId,
    /// The domain it plans for.
    pub domain: DomainName,
    /// Lease and heartbeat lengths.
    pub timing: LeaseTiming,
}

/// What came of a write to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and has this store revision.
    Written(u64),
    /// Another write came first.
    Conflict,
    /// No answer; the write may have taken effect.
    Unknown,
}

/// Something that happened to a planner.
#[derive(Debug, Clone)]
pub enum PlannerEvent {
    /// Time has passed.
    Tick,
    /// A sheet was learned from the store or a peer.
    SheetLearned(SheetDoc),
    /// Homes were learned from the store or a peer.
    HomesLearned(HomesTable),
    /// A witness answered a heartbeat sent at `asked_at`, or did not.
    AcceptAnswered {
        /// The witness.
        from: VmId,
        /// When the heartbeat was sent.
        asked_at: MonoTime,
        /// The map it was for.
        stamp: MapStamp,
        /// The answer, unless the witness could not be reached.
        answer: Option<AcceptReply>,
    },
    /// A witness answered a candidate, or did not.
    PrepareAnswered {
        /// The witness.
        from: VmId,
        /// The term that was asked for.
        term: Term,
        /// The answer, unless the witness could not be reached.
        answer: Option<PrepareReply>,
    },
    /// A VM's planner told its incarnation.
    HelloAnswered {
        /// The VM.
        vm: VmName,
        /// Its present run.
        incarnation: Incarnation,
    },
    /// A VM that is no witness was told by the acting planner that it acts.
    PlannerHeard,
    /// The platform's list no longer has a VM that it had before.
    VmRemoved(VmName),
    /// The domain's record was read, or the store did not answer.
    RecordRead(Option<StoredRecord>),
    /// A write of the domain's record ended.
    RecordWritten {
        /// The map that was written.
        stamp: MapStamp,
        /// What came of it.
        outcome: WriteOutcome,
    },
    /// A write of the homes ended; the table in the store, when it is known.
    HomesWritten(Option<HomesTable>),
    /// A server answered an order or a probe, or did not.
    ServerAnswered {
        /// The server.
        server: ServerName,
        /// When the order was sent.
        sent_at: MonoTime,
        /// What came of it.
        answer: GrantOutcome,
    },
    /// Routers' count of requests per second for each slice.
    LoadsReported(BTreeMap<SliceKey, f64>),
}

/// The domain's record as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// The map, or none when the record does not exist.
    pub map: Option<Arc<DomainMap>>,
    /// Store revision to name when the record is replaced.
    pub revision: u64,
}

/// Something that a planner wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerAction {
    /// Send a heartbeat.
    Accept {
        /// The heartbeat.
        request: AcceptRequest,
        /// To be returned with the answer.
        asked_at: MonoTime,
    },
    /// Ask for a promise.
    Prepare(PrepareRequest),
    /// Ask a VM's planner for its incarnation.
    Hello(VmName),
    /// Read the domain's record.
    ReadRecord,
    /// Replace the domain's record if it still has revision `expected` (none: if it is absent).
    WriteRecord {
        /// The new map.
        map: Arc<DomainMap>,
        /// Store revision to replace.
        expected: Option<u64>,
    },
    /// Replace the homes if the store still has the revision before this one.
    WriteHomes(HomesTable),
    /// Send grants to a server that checks tokens.
    Grant {
        /// The server.
        server: ServerName,
        /// Its address.
        address: SocketAddr,
        /// The order.
        request: GrantRequest,
        /// To be returned with the answer.
        sent_at: MonoTime,
    },
    /// Ask a server that does not check tokens whether it lives.
    Probe {
        /// The server.
        server: ServerName,
        /// Its address.
        address: SocketAddr,
        /// To be returned with the answer.
        sent_at: MonoTime,
    },
    /// A server whose process had ended answers again; routers must treat it as cold.
    ServerRestarted(ServerName),
    /// Routers may learn this map.
    Publish(Arc<DomainMap>),
    /// The role changed; for the log.
    RoleChanged {
        /// Name of the new role.
        role: &'static str,
        /// Term of the new role.
        term: Term,
    },
}

/// Planner of one domain on one VM.
#[derive(Debug)]
pub struct DomainPlanner {
    config: PlannerConfig,
    witness: WitnessState,
    sheet: Option<SheetDoc>,
    homes: HomesTable,
    record: RecordView,
    liveness: VmLiveness,
    role: PlannerRole,
}

#[derive(Debug)]
enum PlannerRole {
    Following(FollowingState),
    Electing(ElectionState),
    Acting(Box<ActingState>),
}

/// What the role's functions may read and change beside the role itself.
struct PlannerContext<'a> {
    config: &'a PlannerConfig,
    witness: &'a mut WitnessState,
    sheet: Option<&'a SheetDoc>,
    homes: &'a HomesTable,
    record: &'a mut RecordView,
    liveness: &'a mut VmLiveness,
    now: MonoTime,
    wall: WallTime,
}

/// The next role, when a function ends the present one.
type NextRole = Option<PlannerRole>;

impl DomainPlanner {
    /// A planner that follows until it has heard or read who acts.
    pub fn new(config: PlannerConfig, now: MonoTime) -> Self {
        Self {
            witness: WitnessState::new(config.id.clone(), now),
            sheet: None,
            homes: HomesTable::default(),
            record: RecordView::default(),
            liveness: VmLiveness::default(),
            role: PlannerRole::Following(FollowingState::new(now)),
            config,
        }
    }

    /// Takes in one event and returns what must be done.
    pub fn handle(
        &mut self,
        event: PlannerEvent,
        now: MonoTime,
        wall: WallTime,
    ) -> Vec<PlannerAction> {
        let mut actions = Vec::new();
        let event = self.update_inputs(event, now);
        let mut ctx = PlannerContext {
            config: &self.config,
            witness: &mut self.witness,
            sheet: self.sheet.as_ref(),
            homes: &self.homes,
            record: &mut self.record,
            liveness: &mut self.liveness,
            now,
            wall,
        };
        let next = match &mut self.role {
            PlannerRole::Following(state) => {
                following::handle(state, &event, &mut ctx, &mut actions)
            }
            PlannerRole::Electing(state) => election::handle(state, &event, &mut ctx, &mut actions),
            PlannerRole::Acting(state) => acting::handle(state, &event, &mut ctx, &mut actions),
        };
        if let Some(role) = next {
            self.enter_role(role, &mut actions);
        }
        actions
    }

    /// Answers a router's lease request.
    pub fn answer_lease(&mut self, request: &LeaseRequest, now: MonoTime) -> LeaseReply {
        match &mut self.role {
            PlannerRole::Acting(state) => {
                leases::answer_lease(state, request, &self.config.timing, now)
            }
            _ => LeaseReply::NotActing {
                planner: self.witness.accepted().map(|it| it.planner.clone()),
            },
        }
    }

    /// Answers a heartbeat of the domain's planner.
    pub fn answer_accept(&mut self, request: &AcceptRequest, now: MonoTime) -> AcceptReply {
        self.witness.answer_accept(request, now)
    }

    /// Answers a candidate of the domain.
    pub fn answer_prepare(&mut self, request: &PrepareRequest, now: MonoTime) -> PrepareReply {
        self.witness.answer_prepare(request, &self.config.timing, now)
    }

    /// The sheet in force.
    pub fn sheet(&self) -> Option<&SheetDoc> {
        self.sheet.as_ref()
    }

    /// The homes in force.
    pub fn homes(&self) -> &HomesTable {
        &self.homes
    }

    /// Whether this planner acts for its domain.
    pub fn is_acting(&self) -> bool {
        matches!(self.role, PlannerRole::Acting(_))
    }

    /// The state that operators see.
    pub fn dump(&self, now: MonoTime) -> PlannerDump {
        let mut dump = PlannerDump {
            vm: self.config.id.to_string(),
            domain: self.config.domain.to_string(),
            role: role_name(&self.role),
            promised_term: self.witness.promised(),
            sheet_revision: self.sheet.as_ref().map(|it| it.revision),
            homes_revision: self.homes.revision,
            acting: None,
        };
        if let PlannerRole::Acting(state) = &self.role {
            dump.acting = Some(state.dump(&self.config.timing, now));
        }
        dump
    }

    /// Keeps the newest sheet and homes, whatever the role.
    fn update_inputs(&mut self, event: PlannerEvent, now: MonoTime) -> PlannerEvent {
        let held = self.sheet.as_ref().map(|it| it.revision).unwrap_or_default();
        match &event {
            PlannerEvent::SheetLearned(doc) if doc.revision > held => {
                self.sheet = Some(doc.clone());
            }
            PlannerEvent::HomesLearned(table) | PlannerEvent::HomesWritten(Some(table))
                if table.revision > self.homes.revision =>
            {
                self.homes = table.clone();
            }
            PlannerEvent::HelloAnswered { vm, incarnation } => {
                self.liveness.note_hello(vm, *incarnation, now);
            }
            PlannerEvent::PlannerHeard => self.witness.note_heard(now),
            PlannerEvent::VmRemoved(vm) => self.liveness.note_removed(vm),
            _ => (),
        }
        event
    }

    fn enter_role(&mut self, role: PlannerRole, actions: &mut Vec<PlannerAction>) {
        let term = match &role {
            PlannerRole::Following(_) => self.witness.promised(),
            PlannerRole::Electing(state) => state.term(),
            PlannerRole::Acting(state) => state.term(),
        };
        actions.push(PlannerAction::RoleChanged { role: role_name(&role), term });
        self.role = role;
    }
}

fn role_name(role: &PlannerRole) -> &'static str {
    match role {
        PlannerRole::Following(_) => "following",
        PlannerRole::Electing(_) => "electing",
        PlannerRole::Acting(_) => "acting",
    }
}

/// A planner's state for operators.
#[derive(Debug, Clone, Serialize)]
pub struct PlannerDump {
    /// The VM and its run.
    pub vm: String,
    /// Its domain.
    pub domain: String,
    /// following, electing or acting.
    pub role: &'static str,
    /// Latest term promised to anyone.
    pub promised_term: Term,
    /// Revision of the sheet in force.
    pub sheet_revision: Option<SheetRevision>,
    /// Revision of the homes in force.
    pub homes_revision: u64,
    /// What only the acting planner knows.
    pub acting: Option<ActingDump>,
}

/// The acting planner's state for operators.
#[derive(Debug, Clone, Serialize)]
pub struct ActingDump {
    /// Order of the newest map.
    pub stamp: String,
    /// Time left to act without further answers from witnesses.
    pub authority_left_ms: u64,
    /// Whether the newest map is in the store.
    pub is_saved: bool,
    /// Witnesses of the newest map.
    pub witnesses: Vec<String>,
    /// Routers, the map each holds and the time left of its lease.
    pub routers: BTreeMap<String, String>,
    /// Servers and their state.
    pub servers: BTreeMap<String, String>,
    /// Slices that are being handed over, by step.
    pub handovers: BTreeMap<String, String>,
    /// Owner of each slice.
    pub owners: BTreeMap<String, String>,
}
