//! What the processes say to each other.

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

/// A request with the type of its reply.
pub trait TypedRequest: Serialize + DeserializeOwned + Send + Sync + 'static {
    /// What the peer answers.
    type Reply: Serialize + DeserializeOwned + Send + Sync + 'static;
}

impl TypedRequest for PeerRequest {
    type Reply = PeerReply;
}

/// A request from one process to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A planner's heartbeat to a witness.
    Accept(AcceptRequest),
    /// A candidate's request to a witness.
    Prepare(PrepareRequest),
    /// Asks for the planner's incarnation.
    Hello,
    /// A router's request for a lease.
    Lease(LeaseRequest),
    /// Waits for news of the sheet, the homes or the map.
    Watch(WatchRequest),
    /// Counts of requests for each slice, in requests per second.
    Loads {
        /// The router's VM.
        from: VmName,
        /// Load of each slice that had any.
        loads: Vec<(SliceKey, f64)>,
    },
    /// A server was found cold; the planner tells the other routers.
    Cold(ColdNotice),
    /// A caller's request for a key whose home is the receiver's domain.
    Forward(ForwardRequest),
}

/// The answer to a [`PeerRequest`] of the same name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answer to a heartbeat.
    Accept(AcceptReply),
    /// Answer to a candidate.
    Prepare(PrepareReply),
    /// The planner's incarnation.
    Hello(Incarnation),
    /// Answer to a router.
    Lease(LeaseReply),
    /// News, or none when the wait ran out.
    Watch(WatchReply),
    /// What became of a forwarded request.
    Forward(ForwardReply),
    /// Taken in.
    Ack,
    /// The receiver does not serve this request.
    Unsupported,
}

/// A sheet as text; each process checks it into its own rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetText {
    /// Its revision.
    pub revision: SheetRevision,
    /// Its text.
    pub text: Arc<str>,
}

/// What the asker already holds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Revision of its sheet.
    pub sheet: SheetRevision,
    /// Revision of its homes.
    pub homes: u64,
    /// Its map, unless maps are not of interest.
    pub map: Option<MapStamp>,
    /// Open slices in its map.
    pub n_open: u32,
    /// Digest of its map; news comes as changes to it where that is possible.
    pub map_digest: u64,
    /// Notices of cold servers that it has seen lately.
    pub known_cold: Vec<u64>,
    /// Longest wait for news.
    pub wait: Duration,
}

/// Whatever is newer than what the asker holds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct WatchReply {
    /// Whether the answering planner acts for its domain.
    pub is_acting: bool,
    /// A newer sheet.
    pub sheet: Option<SheetText>,
    /// Newer homes.
    pub homes: Option<HomesUpdate>,
    /// A newer map.
    pub map: Option<MapUpdate>,
    /// Servers found cold lately.
    pub cold: Vec<ColdNotice>,
}

/// A router was refused by a server because the server is cold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNotice {
    /// Identity of the notice.
    pub id: u64,
    /// The server's service.
    pub service: ServiceName,
    /// The server.
    pub server: ServerName,
}

/// A caller's request on its way to the home domain.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// Its id.
    pub id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// Time left until its deadline when it was sent.
    pub deadline_left: Duration,
    /// Revision of the homes by which it was forwarded.
    pub homes: u64,
    /// Why it was forwarded.
    pub cause: ForwardCause,
}

/// Why a request is forwarded; each cause applies once, so that no request goes in circles.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardCause {
    /// The receiver's domain is home to the key.
    Home,
    /// The owner is cold, and the receiver may send to it first.
    ColdOwner,
}

/// What became of a forwarded request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The whole answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers to pass back.
        headers: Vec<(String, String)>,
        /// The body.
        body: Bytes,
    },
    /// No answer, and what is known of it.
    Failed {
        /// The outcome.
        outcome: CallOutcome,
        /// Homes revision of the receiver.
        homes: u64,
    },
}
