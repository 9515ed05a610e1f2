//! Converts outcomes to HTTP responses.

use bytes::Bytes;
use http::{Response, StatusCode};
use model::{CallOutcome, NotRunReason, RequestId, UnknownReason};

use crate::CallerAnswer;

/// Header with the outcome: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-jackdaw-outcome";

/// Header with the reason for an outcome other than `answered`.
pub const REASON_HEADER: &str = "x-jackdaw-reason";

const REQUEST_ID_HEADER: &str = "x-request-id";

pub(crate) fn answered(id: &RequestId, answer: CallerAnswer) -> Response<Bytes> {
    let mut builder = Response::builder().status(answer.status);
    for (name, value) in &answer.headers {
        builder = builder.header(name, value);
    }
    let res = builder
        .header(REQUEST_ID_HEADER, id.as_str())
        .header(OUTCOME_HEADER, "answered")
        .body(answer.body);
    res.unwrap_or_else(|_| failed(id, CallOutcome::Unknown(UnknownReason::AnswerCut)))
}

pub(crate) fn failed(id: &RequestId, outcome: CallOutcome) -> Response<Bytes> {
    let (status, name, reason) = match outcome {
        CallOutcome::NotRun(reason) => (not_run_status(reason), "not-run", reason.to_string()),
        CallOutcome::Unknown(reason) => (unknown_status(reason), "unknown", reason.to_string()),
    };
    let body = format!("{{\"outcome\":\"{name}\",\"reason\":\"{reason}\"}}\n");
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    let headers = [
        (REQUEST_ID_HEADER, id.as_str()),
        (OUTCOME_HEADER, name),
        (REASON_HEADER, reason.as_str()),
        ("content-type", "application/json"),
    ];
    for (name, value) in headers {
        if let Ok(value) = http::HeaderValue::from_str(value) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

fn not_run_status(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::UnknownService => StatusCode::NOT_FOUND,
        NotRunReason::BadRequest => StatusCode::BAD_REQUEST,
        NotRunReason::Overloaded | NotRunReason::Shed | NotRunReason::ColdServer => {
            StatusCode::TOO_MANY_REQUESTS
        }
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn unknown_status(reason: UnknownReason) -> StatusCode {
    match reason {
        UnknownReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
