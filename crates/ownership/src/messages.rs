//! Messages between planners, witnesses, routers and servers.

use std::{sync::Arc, time::Duration};

use model::{DomainName, FencingToken, Incarnation, MapVersion, ServerName, SliceKey, Term};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{DomainMap, MapStamp, VmId};

/// A planner's heartbeat, which asks a witness to stand behind a map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptRequest {
    /// The planner's domain.
    pub domain: DomainName,
    /// The run of the witness that is meant.
    pub witness: VmId,
    /// The planner.
    pub planner: VmId,
    /// The map to stand behind.
    pub stamp: MapStamp,
    /// The map itself, when the witness may not hold it.
    pub map: Option<Arc<DomainMap>>,
}

/// A witness's answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptReply {
    /// The witness has promised nothing newer.
    Accepted,
    /// The witness needs the map itself.
    NeedMap,
    /// The witness has promised a later term.
    Refused {
        /// The promised term.
        promised: Term,
    },
    /// The VM has been restarted; the named run is gone for good.
    Restarted {
        /// The run that answers now.
        current: Incarnation,
    },
}

/// A candidate's request to stop standing behind earlier terms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareRequest {
    /// The candidate's domain.
    pub domain: DomainName,
    /// The run of the witness that is meant.
    pub witness: VmId,
    /// The candidate.
    pub candidate: VmId,
    /// The term that the candidate wants.
    pub term: Term,
}

/// A witness's answer to a candidate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PrepareReply {
    /// The witness stands behind nothing older than the asked term.
    Promised {
        /// The newest map that the witness stood behind.
        accepted: Option<Arc<DomainMap>>,
    },
    /// The witness has promised this or a later term to another.
    Refused {
        /// The promised term.
        promised: Term,
    },
    /// The witness still hears its planner.
    PlannerAlive,
    /// The VM has been restarted; the named run is gone for good.
    Restarted {
        /// The run that answers now.
        current: Incarnation,
    },
}

/// A router's request for a longer lease on the map it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The router's run.
    pub router: VmId,
    /// The map that the router holds and obeys.
    pub held: MapStamp,
    /// Number of slices that are open in it.
    pub held_open: u32,
    /// Every request sent under an assignment older than this version has ended.
    pub drained: MapVersion,
    /// Servers that refused a connection since the last request.
    pub suspects: SmallVec<[ServerName; 2]>,
}

/// A planner's answer to a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseReply {
    /// The router may use the map it holds for `lease`, counted from its request.
    Leased {
        /// The map that the lease is for.
        stamp: MapStamp,
        /// Length of the lease.
        lease: Duration,
    },
    /// The router must take this map first.
    NewerMap {
        /// The map in force.
        map: Arc<DomainMap>,
    },
    /// The VM's planner does not act for the domain.
    NotActing {
        /// The planner that does, as far as is known.
        planner: Option<VmId>,
    },
}

/// A planner's order to a server: renew, and replace the set of grants when it is given.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The planner's term.
    pub term: Term,
    /// Version of the set of grants within the term.
    pub set_version: u64,
    /// Receipt from the server's last answer; the lease counts from when the server issued it.
    pub basis: Option<String>,
    /// Length of the lease.
    pub lease: Duration,
    /// The whole set of grants, unless the server is known to hold it.
    pub entries: Option<Vec<(SliceKey, FencingToken)>>,
}

/// What came of a grant order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// The server holds exactly this set.
    Acked {
        /// The term that the server obeys.
        term: Term,
        /// The set that the server holds.
        set_version: u64,
        /// Receipt to quote in the next order.
        basis: String,
    },
    /// The server holds no current set; the order must be repeated in full.
    NeedSet {
        /// Receipt to quote in the next order.
        basis: String,
    },
    /// The server obeys a later term.
    Rejected {
        /// That term.
        term: Term,
    },
    /// The server's host refused or reset the connection: the server process is gone.
    Refused,
    /// No answer came in time.
    Silent,
}
