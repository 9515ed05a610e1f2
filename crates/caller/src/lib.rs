//! HTTP server for callers.
//!
//! A caller's request is `METHOD /{service}/{key}`, optionally with further path segments and a
//! query. The status and two headers report the outcome; `docs/callers.md` describes them.

mod http_server;
mod outcome;

use std::{future::Future, time::Duration};

use bytes::Bytes;
use model::{CallOutcome, RequestId};

pub use http_server::{CallerLimits, serve_callers};
pub use outcome::{OUTCOME_HEADER, REASON_HEADER};

/// A caller's request as it was received.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Request id from the caller, or a generated one.
    pub id: RequestId,
    /// HTTP method of the request.
    pub method: String,
    /// Name of the service: the first segment of the path.
    pub service: String,
    /// Key within the service: the second segment of the path.
    pub key: String,
    /// Path and query, to pass on unchanged.
    pub path: String,
    /// Headers to pass on to the server.
    pub headers: Vec<(String, String)>,
    /// Complete request body.
    pub body: Bytes,
    /// Deadline that the caller asked for, measured from the request's arrival.
    pub deadline: Option<Duration>,
}

/// The complete answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers in addition to those that report the outcome.
    pub headers: Vec<(String, String)>,
    /// Complete body of the answer.
    pub body: Bytes,
}

/// Handler of callers' requests.
pub trait CallerService: Clone + Send + Sync + 'static {
    /// Handles one request and returns the answer, or the outcome when there is none.
    fn serve(
        &self,
        request: CallerRequest,
    ) -> impl Future<Output = Result<CallerAnswer, CallOutcome>> + Send;

    /// Generates an id for a request that has none.
    fn next_id(&self) -> RequestId;
}
