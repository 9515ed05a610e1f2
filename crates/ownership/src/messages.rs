//! Messages between planners, witnesses, routers and servers.

use std::{sync::Arc, time::Duration};

use model::{DomainName, FencingToken, Incarnation, MapVersion, ServerName, SliceKey, Term};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{DomainMap, MapStamp, VmId};

/// A planner's heartbeat, by which it asks a witness to accept a map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptRequest {
    /// The planner's failure domain.
    pub domain: DomainName,
    /// The witness to which the request is addressed.
    pub witness: VmId,
    /// The planner that sends the heartbeat.
    pub planner: VmId,
    /// Stamp of the map to accept.
    pub stamp: MapStamp,
    /// The map itself, if the witness may not hold it yet.
    pub map: Option<Arc<DomainMap>>,
}

/// A witness's reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptReply {
    /// The witness accepts the planner and holds the map.
    Accepted,
    /// The witness does not hold the map; the request must be repeated with it.
    NeedMap,
    /// The witness has promised a later term, or the same term to another VM.
    Refused {
        /// The term that the witness has promised.
        promised: Term,
    },
    /// The VM has restarted; the addressed incarnation no longer exists.
    Restarted {
        /// The current incarnation.
        current: Incarnation,
    },
}

/// A candidate's request for a promise to accept no earlier term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrepareRequest {
    /// The candidate's failure domain.
    pub domain: DomainName,
    /// The witness to which the request is addressed.
    pub witness: VmId,
    /// The VM that wants to become planner.
    pub candidate: VmId,
    /// The term in which the candidate wants to act.
    pub term: Term,
}

/// A witness's reply to a candidate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PrepareReply {
    /// The witness will accept no term before the requested one.
    Promised {
        /// The newest map that the witness accepted.
        accepted: Option<Arc<DomainMap>>,
    },
    /// The witness has promised a later term, or the same term to another VM.
    Refused {
        /// The term that the witness has promised.
        promised: Term,
    },
    /// The witness still gets heartbeats from another planner.
    PlannerAlive,
    /// The VM has restarted; the addressed incarnation no longer exists.
    Restarted {
        /// The current incarnation.
        current: Incarnation,
    },
}

/// A router's request to renew its lease on the map that it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The router that asks.
    pub router: VmId,
    /// Stamp of the map that the router holds and routes by.
    pub held: MapStamp,
    /// Number of open slices in that map.
    pub held_open: u32,
    /// Version such that every request sent under an older assignment has ended.
    pub drained: MapVersion,
    /// Servers that refused a connection since the last lease request.
    pub suspects: SmallVec<[ServerName; 2]>,
}

/// A planner's reply to a lease request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseReply {
    /// The router may use the map that it holds; the lease counts from when the request was made.
    Leased {
        /// Stamp of the map that the lease is for.
        stamp: MapStamp,
        /// Length of the lease.
        lease: Duration,
    },
    /// The router holds an older map, or the current one with fewer open slices, and must adopt this
    /// one before it gets a lease.
    NewerMap {
        /// The map in force.
        map: Arc<DomainMap>,
    },
    /// The planner that was asked is not the acting planner of the domain.
    NotActing {
        /// The acting planner, if known.
        planner: Option<VmId>,
    },
}

/// A planner's request to a server to renew its grants and, if `entries` is set, to replace them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The planner's term.
    pub term: Term,
    /// Version of the set of grants within the term.
    pub set_version: u64,
    /// Receipt from the server's last reply; the lease counts from when the server issued it.
    pub basis: Option<String>,
    /// Length of the lease.
    pub lease: Duration,
    /// The whole set of grants, or `None` if the server is known to hold it.
    pub entries: Option<Vec<(SliceKey, FencingToken)>>,
}

/// Result of a grant request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// The server holds exactly the set that was granted.
    Acked {
        /// The term of the set that the server holds.
        term: Term,
        /// Version of the set that the server holds.
        set_version: u64,
        /// Receipt to send with the next request.
        basis: String,
    },
    /// The server does not hold the current set; the request must be repeated with all entries.
    NeedSet {
        /// Receipt to send with the next request.
        basis: String,
    },
    /// The server has taken grants of a later term.
    Rejected {
        /// The later term.
        term: Term,
    },
    /// The server's host refused or reset the connection, so the server process is gone.
    Refused,
    /// No reply arrived in time.
    Silent,
}
