//! Calls, grants and probes to backend servers.
//!
//! [`BackendClient`] is the interface, [`HttpBackend`] its implementation over HTTP/1.1. Dropping a
//! call closes its connection, which cancels the request at the server.

mod answer;
mod grants;
mod http_backend;
mod pools;

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use model::{CallOutcome, FencingToken, RequestId, ServerName, ServiceName, SliceId};
use ownership::{GrantOutcome, GrantRequest};

pub use grants::{GrantBody, GrantEntry, GrantReply};
pub use http_backend::HttpBackend;

/// Header with the request id, which the server echoes in its answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the milliseconds left until the deadline.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the fencing token, in the form `epoch.term.version`.
pub const TOKEN_HEADER: &str = "x-fencing-token";
/// Header with the slice of the key, in the form `prefix/bits`.
pub const SLICE_HEADER: &str = "x-slice";
/// Header by which a server reports that it did not run the request; the value is the reason.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Header with the server's load report, in the form `running/waiting`.
pub const LOAD_HEADER: &str = "x-server-load";

/// Name and address of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEndpoint {
    /// Name of the server in the sheet.
    pub name: ServerName,
    /// Address to which connections are made.
    pub address: SocketAddr,
}

/// A request to a backend server.
#[derive(Debug, Clone)]
pub struct ServerRequest {
    /// Request id, which the answer must echo.
    pub id: RequestId,
    /// Service to which the request is addressed.
    pub service: ServiceName,
    /// HTTP method of the request.
    pub method: String,
    /// Path and query of the URL.
    pub path: String,
    /// Headers of the caller to pass on.
    pub headers: Vec<(String, String)>,
    /// Complete request body.
    pub body: Bytes,
    /// Slice and fencing token; `None` unless the service is keyed.
    pub slice: Option<(SliceId, FencingToken)>,
    /// Time left until the deadline.
    pub deadline_left: Duration,
}

/// A server's complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers to pass back to the caller.
    pub headers: Vec<(String, String)>,
    /// Complete body of the answer.
    pub body: Bytes,
    /// The server's load report, if the answer has one.
    pub load: Option<ReportedLoad>,
}

/// A load report that a server attaches to its answer. It may be stale or wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of requests that the server is running.
    pub running: u32,
    /// Number of requests that wait in the server's queue.
    pub waiting: u32,
}

/// Error of a call that got no complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallError {
    /// Whether the request certainly did not run, and why there is no answer.
    pub outcome: CallOutcome,
    /// Whether the connection was refused: nothing listens at the address.
    pub is_connection_refused: bool,
    /// The server's load report, if an answer with one arrived.
    pub load: Option<ReportedLoad>,
}

impl CallError {
    pub(crate) fn new(outcome: CallOutcome) -> Self {
        Self { outcome, is_connection_refused: false, load: None }
    }
}

/// Interface to backend servers.
pub trait BackendClient: Clone + Send + Sync + 'static {
    /// Sends a request and waits for its complete answer. Dropping the future cancels the request.
    fn call(
        &self,
        server: &ServerEndpoint,
        request: ServerRequest,
    ) -> impl Future<Output = Result<ServerAnswer, CallError>> + Send;

    /// Sends grants to a server that checks fencing tokens.
    fn grant(
        &self,
        server: &ServerEndpoint,
        request: GrantRequest,
    ) -> impl Future<Output = GrantOutcome> + Send;

    /// Checks on a new connection whether the server is alive.
    fn probe(&self, server: &ServerEndpoint) -> impl Future<Output = GrantOutcome> + Send;

    /// Drops the idle connections to the server; later requests open new ones.
    fn reset_connections(&self, server: &ServerEndpoint);
}
