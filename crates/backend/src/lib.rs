//! Backend servers: calls, grants and probes.
//!
//! [`BackendClient`] is what the product needs of a server; [`HttpBackend`] speaks to it over
//! HTTP/1.1. Dropping a call closes its connection, which cancels the request at the server.

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

/// Header with the request's id, which the server repeats in its answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the milliseconds left until the deadline.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the fencing token, `epoch.term.version`.
pub const TOKEN_HEADER: &str = "x-fencing-token";
/// Header with the slice, `prefix/bits`.
pub const SLICE_HEADER: &str = "x-slice";
/// Header by which a server says that it did not run the request, and why.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Header with the server's own count of requests running and waiting, `running/waiting`.
pub const LOAD_HEADER: &str = "x-server-load";

/// Where a server is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEndpoint {
    /// Its name.
    pub name: ServerName,
    /// Its address.
    pub address: SocketAddr,
}

/// A request to a server.
#[derive(Debug, Clone)]
pub struct ServerRequest {
    /// The request's id.
    pub id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// The slice and its token, for a keyed service.
    pub slice: Option<(SliceId, FencingToken)>,
    /// Time left until the deadline.
    pub deadline_left: Duration,
}

/// A server's whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to pass back.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// What the server says of its load.
    pub load: Option<ReportedLoad>,
}

/// A server's report of its load, which may be late or wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
}

/// A call without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallError {
    /// What is known of the request.
    pub outcome: CallOutcome,
    /// Whether the server's host refused the connection.
    pub is_refused: bool,
    /// What the server says of its load.
    pub load: Option<ReportedLoad>,
}

impl CallError {
    pub(crate) fn of(outcome: CallOutcome) -> Self {
        Self { outcome, is_refused: false, load: None }
    }
}

/// Backend servers as the product uses them.
pub trait BackendClient: Clone + Send + Sync + 'static {
    /// Sends a request and waits for its whole answer. Dropping the future cancels the request.
    fn call(
        &self,
        server: &ServerEndpoint,
        request: ServerRequest,
    ) -> impl Future<Output = Result<ServerAnswer, CallError>> + Send;

    /// Gives grants to a server that checks tokens.
    fn grant(
        &self,
        server: &ServerEndpoint,
        order: GrantRequest,
    ) -> impl Future<Output = GrantOutcome> + Send;

    /// Asks whether the server lives, on a fresh connection.
    fn probe(&self, server: &ServerEndpoint) -> impl Future<Output = GrantOutcome> + Send;

    /// Sends later requests to the server on fresh connections.
    fn reset_connections(&self, server: &ServerEndpoint);
}
