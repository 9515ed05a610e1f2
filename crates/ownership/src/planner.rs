//! The planner of one failure domain; an instance runs on every entry VM of the domain.
//!
//! At most one planner acts in each term. The others follow it as witnesses and elect a new one
//! when its heartbeats stop.

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

/// A validated sheet and its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetDoc {
    /// Revision in the store; a planner keeps the sheet with the highest one.
    pub revision: SheetRevision,
    /// The parsed and validated contents.
    pub sheet: Arc<PlanSheet>,
}

/// Identity and timing of a planner.
#[derive(Debug, Clone)]
pub struct PlannerConfig {
    /// Name of this VM and incarnation of its planner process.
    pub id: VmId,
    /// The failure domain whose slices it assigns.
    pub domain: DomainName,
    /// Lengths of leases and intervals of heartbeats.
    pub timing: LeaseTiming,
}

/// Outcome of a conditional write to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and has this store revision.
    Written(u64),
    /// The expected revision did not match, and nothing was written.
    Conflict,
    /// No answer arrived; the write may have taken effect.
    Unknown,
}

/// An input of the planner's state machine.
#[derive(Debug, Clone)]
pub enum PlannerEvent {
    /// The periodic timer fired.
    Tick,
    /// A sheet arrived from the store or a peer; an older revision is ignored.
    SheetLearned(SheetDoc),
    /// A homes table arrived from the store or a peer; an older revision is ignored.
    HomesLearned(HomesTable),
    /// A witness answered a heartbeat, or the call failed.
    AcceptAnswered {
        /// The witness that was asked.
        from: VmId,
        /// When the heartbeat was sent.
        sent_at: MonoTime,
        /// Stamp of the map that the heartbeat named.
        stamp: MapStamp,
        /// The answer, unless the witness could not be reached.
        answer: Option<AcceptReply>,
    },
    /// A witness answered a request for a promise, or the call failed.
    PrepareAnswered {
        /// The witness that was asked.
        from: VmId,
        /// The term that the promise was requested for.
        term: Term,
        /// The answer, unless the witness could not be reached.
        answer: Option<PrepareReply>,
    },
    /// A VM's planner reported its incarnation.
    HelloAnswered {
        /// The VM that answered.
        vm: VmName,
        /// When the hello was sent.
        sent_at: MonoTime,
        /// Incarnation of the planner process that runs there now.
        incarnation: Incarnation,
    },
    /// The acting planner told this VM that it is still acting, which counts only while this VM has
    /// accepted no map as a witness.
    PlannerHeard,
    /// The platform no longer lists a VM that it listed before.
    VmRemoved(VmName),
    /// A read of the domain's record ended; `None` if the store did not answer.
    RecordRead(Option<StoredRecord>),
    /// A write of the domain's record ended.
    RecordWritten {
        /// Stamp of the map in the write.
        stamp: MapStamp,
        /// Whether the write took effect.
        outcome: WriteOutcome,
    },
    /// A write of the homes table ended; holds the stored table if it is known.
    HomesWritten(Option<HomesTable>),
    /// A grant request to a backend server, or a probe of it, ended.
    ServerAnswered {
        /// The server that was called.
        server: ServerName,
        /// When the request or probe was sent.
        sent_at: MonoTime,
        /// What the server answered, or how the call failed.
        answer: GrantOutcome,
    },
    /// Requests per second that the routers counted for each slice.
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

/// An output of the planner's state machine, for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerAction {
    /// Send a heartbeat to a witness.
    Accept {
        /// The message to send.
        request: AcceptRequest,
        /// Send time, returned with the answer to match the two.
        sent_at: MonoTime,
    },
    /// Ask a witness to promise not to accept earlier terms.
    Prepare(PrepareRequest),
    /// Ask a VM's planner for its incarnation.
    Hello {
        /// The VM to ask.
        vm: VmName,
        /// Send time, returned with the answer.
        sent_at: MonoTime,
    },
    /// Read the domain's record.
    ReadRecord,
    /// Replace the domain's record if it still has revision `expected`, or create it for `None`.
    WriteRecord {
        /// Contents of the new record.
        map: Arc<DomainMap>,
        /// Store revision that is replaced.
        expected: Option<u64>,
    },
    /// Replace the homes table if the store still holds the preceding revision.
    WriteHomes(HomesTable),
    /// Send grants to a server that checks tokens.
    Grant {
        /// Receiver of the request.
        server: ServerName,
        /// Address from the sheet.
        address: SocketAddr,
        /// Lease and grants to send.
        request: GrantRequest,
        /// Send time, returned with the answer to match the two.
        sent_at: MonoTime,
    },
    /// Check the health of a server that does not check tokens.
    Probe {
        /// The server to call.
        server: ServerName,
        /// Address from the sheet.
        address: SocketAddr,
        /// Send time, returned with the answer to match the two.
        sent_at: MonoTime,
    },
    /// A server answers again after its process ended; routers must treat it as cold.
    ServerRestarted(ServerName),
    /// Make this committed map available to routers.
    Publish(Arc<DomainMap>),
    /// The planner's role changed; reported for the log.
    RoleChanged {
        /// The new role: `following`, `electing` or `acting`.
        role: &'static str,
        /// The term in which the planner has that role.
        term: Term,
    },
}

/// State machine of one failure domain's planner on one VM.
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

/// State shared by all roles, and the time of the current event.
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

/// The role to switch to, if the current one ends.
type NextRole = Option<PlannerRole>;

impl DomainPlanner {
    /// Creates a planner in the following role, in which it waits to learn which planner
    /// acts, from that planner or from the store.
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

    /// Handles one event and returns the actions to carry out.
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

    /// Answers the acting planner's heartbeat, as a witness.
    pub fn answer_accept(&mut self, request: &AcceptRequest, now: MonoTime) -> AcceptReply {
        self.witness.answer_accept(request, now)
    }

    /// Answers a candidate's request for a promise, as a witness.
    pub fn answer_prepare(&mut self, request: &PrepareRequest, now: MonoTime) -> PrepareReply {
        self.witness.answer_prepare(request, &self.config.timing, now)
    }

    /// The newest sheet received, if any.
    pub fn sheet(&self) -> Option<&SheetDoc> {
        self.sheet.as_ref()
    }

    /// The newest homes table received.
    pub fn homes(&self) -> &HomesTable {
        &self.homes
    }

    /// Whether this is the acting planner of its failure domain.
    pub fn is_acting(&self) -> bool {
        matches!(self.role, PlannerRole::Acting(_))
    }

    /// Snapshot of the state for the operators' dump.
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

    /// Stores inputs that matter in every role: the newest sheet and homes, and liveness of VMs.
    fn update_inputs(&mut self, event: PlannerEvent, now: MonoTime) -> PlannerEvent {
        let held_revision = self.sheet.as_ref().map(|it| it.revision).unwrap_or_default();
        match &event {
            PlannerEvent::SheetLearned(doc) if doc.revision > held_revision => {
                self.sheet = Some(doc.clone());
            }
            PlannerEvent::HomesLearned(table) | PlannerEvent::HomesWritten(Some(table))
                if table.revision > self.homes.revision =>
            {
                self.homes = table.clone();
            }
            PlannerEvent::HelloAnswered { vm, sent_at, incarnation } => {
                self.liveness.note_incarnation(vm, *incarnation, *sent_at, now);
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

/// A planner's state, written as JSON for operators.
#[derive(Debug, Clone, Serialize)]
pub struct PlannerDump {
    /// Name and incarnation of the VM.
    pub vm: String,
    /// Failure domain that the planner serves.
    pub domain: String,
    /// `following`, `electing` or `acting`.
    pub role: &'static str,
    /// Highest term that this VM promised, accepted or learned of as a witness.
    pub promised_term: Term,
    /// Revision of the newest sheet received.
    pub sheet_revision: Option<SheetRevision>,
    /// Revision of the newest homes table received.
    pub homes_revision: u64,
    /// State of the acting role; absent in the other roles.
    pub acting: Option<ActingDump>,
}

/// State of the acting role, written as JSON for operators.
#[derive(Debug, Clone, Serialize)]
pub struct ActingDump {
    /// Term and version of the newest map.
    pub stamp: String,
    /// Milliseconds for which this planner may act without further answers from witnesses.
    pub authority_left_ms: u64,
    /// Whether the newest map is known to be in the store.
    pub is_saved: bool,
    /// Witnesses of the newest map.
    pub witnesses: Vec<String>,
    /// Each router's map, drained version and remaining lease.
    pub routers: BTreeMap<String, String>,
    /// Each server's state, grant set version and number of grants.
    pub servers: BTreeMap<String, String>,
    /// Handover step of each slice that is changing owners.
    pub handovers: BTreeMap<String, String>,
    /// Owner, token and phase of each slice.
    pub owners: BTreeMap<String, String>,
}
