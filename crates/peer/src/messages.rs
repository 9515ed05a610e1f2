//! Messages between processes. Bincode encodes fields and variants by position, so their order is
//! part of the protocol.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use model::{
    CallOutcome, Incarnation, RequestId, ServerName, ServiceName, SheetRevision, SliceKey, VmName,
};
use ownership::{
    AcceptReply, AcceptRequest, HomesUpdate, LeaseReply, LeaseRequest, MapStamp, MapUpdate,
    PrepareReply, PrepareRequest,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// A request type, which determines the type of its reply.
pub trait TypedRequest: Serialize + DeserializeOwned + Send + Sync + 'static {
    /// Type of the reply.
    type Reply: Serialize + DeserializeOwned + Send + Sync + 'static;
}

impl TypedRequest for PeerRequest {
    type Reply = PeerReply;
}

/// A request from one process to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A planner's heartbeat to a witness, which may carry a newer map.
    Accept(AcceptRequest),
    /// A candidate's request for a witness's promise.
    Prepare(PrepareRequest),
    /// Asks for the planner's incarnation.
    Hello,
    /// A router's request to grant or renew its lease.
    Lease(LeaseRequest),
    /// Long poll for a newer sheet, homes table or map.
    Watch(WatchRequest),
    /// A router's report of the request rate of each slice.
    Loads {
        /// VM of the reporting router.
        from: VmName,
        /// Requests per second of each slice that had any.
        loads: Vec<(SliceKey, f64)>,
    },
    /// Reports a cold server to the planner, which informs the other routers.
    Cold(ColdNotice),
    /// A caller's request that another router forwards to the receiver.
    Forward(ForwardRequest),
}

/// Reply to a [`PeerRequest`]; where the names match, to the request of that name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerReply {
    /// A witness's reply to a heartbeat.
    Accept(AcceptReply),
    /// A witness's reply to a candidate.
    Prepare(PrepareReply),
    /// Incarnation of the answering planner.
    Hello(Incarnation),
    /// A planner's reply to a lease request.
    Lease(LeaseReply),
    /// State newer than the requester's; empty when the wait timed out.
    Watch(WatchReply),
    /// Outcome of a forwarded request.
    Forward(ForwardReply),
    /// Acknowledges a request that has no other reply.
    Ack,
    /// The receiver does not handle this kind of request.
    Unsupported,
}

/// A sheet as text, which each process parses for itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetText {
    /// Revision under which the sheet was accepted.
    pub revision: SheetRevision,
    /// CSV text of the sheet.
    pub text: Arc<str>,
}

/// A long poll: the state that the requester holds already, and how long it waits for newer state.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Revision of the requester's sheet.
    pub sheet: SheetRevision,
    /// Revision of the requester's homes table.
    pub homes: u64,
    /// Stamp of the requester's map, or `None` if it does not need maps.
    pub map: Option<MapStamp>,
    /// Number of open slices in the requester's map.
    pub n_open: u32,
    /// Digest of the requester's map; the reply is a delta to that map where possible.
    pub map_digest: u64,
    /// Ids of the recent cold notices that the requester has seen.
    pub known_cold: Vec<u64>,
    /// Longest time to wait for newer state.
    pub wait: Duration,
}

/// Reply to a [`WatchRequest`]: the parts of the state that are newer than the requester's.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WatchReply {
    /// Whether the answering planner is the acting planner of its domain.
    pub is_acting: bool,
    /// The sheet, if newer.
    pub sheet: Option<SheetText>,
    /// Homes table or changes to it, if newer.
    pub homes: Option<HomesUpdate>,
    /// Map or changes to it, if newer.
    pub map: Option<MapUpdate>,
    /// Recent cold notices that the requester has not seen.
    pub cold: Vec<ColdNotice>,
}

/// Notice that a server is cold: it rejected a router's request for that reason, or the planner saw
/// it restart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNotice {
    /// Id by which receivers recognise a notice that they have seen.
    pub id: u64,
    /// Service that the server runs.
    pub service: ServiceName,
    /// Name of the cold server.
    pub server: ServerName,
}

/// A caller's request that one router forwards to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// Request id, which stays the same on the way.
    pub id: RequestId,
    /// Service to which the request is addressed.
    pub service: ServiceName,
    /// Key within the service.
    pub key: String,
    /// HTTP method of the caller's request.
    pub method: String,
    /// Path and query, as the caller sent them.
    pub path: String,
    /// Headers to pass on to the server.
    pub headers: Vec<(String, String)>,
    /// Complete body of the caller's request.
    pub body: Bytes,
    /// Time left until the deadline at the moment of forwarding, less the sender's margin for the
    /// answer's way back.
    pub deadline_left: Duration,
    /// Revision of the homes table by which the sender chose the receiver.
    pub homes: u64,
    /// Why it was forwarded.
    pub cause: ForwardCause,
}

/// Why a request is forwarded. Each cause applies at most once to a request, which rules out loops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardCause {
    /// The receiver's domain is the home domain of the key.
    Home,
    /// The owner is cold, and the receiver is the router that may send to it first.
    ColdOwner,
}

/// Outcome of a forwarded request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The server's complete answer.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Headers to pass back to the caller.
        headers: Vec<(String, String)>,
        /// Complete body of the answer.
        body: Bytes,
    },
    /// There is no answer.
    Failed {
        /// Whether the request certainly did not run, and why there is no answer.
        outcome: CallOutcome,
        /// Revision of the receiver's homes table.
        homes: u64,
    },
}
