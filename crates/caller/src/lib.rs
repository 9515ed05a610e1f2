//! The HTTP edge towards callers.
//!
//! A caller's request is `METHOD /{service}/{key}` and any rest. The outcome is told by the status
//! and by two headers, as `docs/callers.md` sets out.

mod http_server;
mod outcome;

use std::{future::Future, time::Duration};

use bytes::Bytes;
use model::{CallOutcome, RequestId};

pub use http_server::{CallerLimits, serve_callers};
pub use outcome::{OUTCOME_HEADER, REASON_HEADER};

/// A caller's request as it came.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The caller's id for it, or one made here.
    pub id: RequestId,
    /// HTTP method.
    pub method: String,
    /// The service, first segment of the path.
    pub service: String,
    /// The key, second segment of the path.
    pub key: String,
    /// Path and query, to be passed on as they came.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Bytes,
    /// The deadline that the caller asked for, from arrival.
    pub deadline: Option<Duration>,
}

/// The whole answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// What serves callers.
pub trait CallerService: Clone + Send + Sync + 'static {
    /// Serves one request to its outcome.
    fn serve(
        &self,
        request: CallerRequest,
    ) -> impl Future<Output = Result<CallerAnswer, CallOutcome>> + Send;

    /// A fresh id for a request that came without one.
    fn next_id(&self) -> RequestId;
}
