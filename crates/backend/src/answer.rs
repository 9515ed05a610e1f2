//! Reads answers, and checks that each is complete and belongs to its request.

use model::{CallOutcome, NotRunReason, RequestId, UnknownReason};
use reqwest::{
    Response, StatusCode,
    header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING},
};

use crate::{
    CallError, LOAD_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER, ReportedLoad, ServerAnswer,
};

/// Reads the complete answer to the request `id`.
///
/// # Errors
/// When the answer does not echo the id, reports that the request did not run, has no valid status, or is
/// incomplete.
pub(crate) async fn read_answer(
    response: Response,
    id: &RequestId,
    method: &str,
) -> Result<ServerAnswer, CallError> {
    let status = response.status();
    let load = reported_load(response.headers());
    let fail = |outcome| CallError { outcome, is_connection_refused: false, load };
    if header(response.headers(), REQUEST_ID_HEADER) != Some(id.as_str()) {
        return Err(fail(CallOutcome::Unknown(UnknownReason::AnswerCrossed)));
    }
    if let Some(reason) = not_run_reason(status, response.headers()) {
        return Err(fail(CallOutcome::NotRun(reason)));
    }
    if !is_final_status(status) || !has_declared_end(status, method, response.headers()) {
        return Err(fail(CallOutcome::Unknown(UnknownReason::AnswerCut)));
    }
    let headers = end_to_end_headers(response.headers());
    match response.bytes().await {
        Ok(body) => Ok(ServerAnswer { status: status.as_u16(), headers, body, load }),
        Err(_) => Err(fail(CallOutcome::Unknown(UnknownReason::AnswerCut))),
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}

fn not_run_reason(status: StatusCode, headers: &HeaderMap) -> Option<NotRunReason> {
    let reason = header(headers, NOT_RUN_HEADER).filter(|_| status.is_server_error())?;
    match reason {
        "fenced" => Some(NotRunReason::Fenced),
        "cold" => Some(NotRunReason::ColdServer),
        "deadline" => Some(NotRunReason::DeadlinePassed),
        _ => Some(NotRunReason::Shed),
    }
}

/// Whether an answer may have this status; others are bytes that are no answer.
fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Whether the end of the answer can be recognised. Without a declared length or chunked encoding,
/// a truncated answer looks like a complete one.
fn has_declared_end(status: StatusCode, method: &str, headers: &HeaderMap) -> bool {
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let is_chunked = header(headers, TRANSFER_ENCODING.as_str())
        .is_some_and(|it| it.to_ascii_lowercase().ends_with("chunked"));
    method == "HEAD" || has_no_body || is_chunked || headers.contains_key(CONTENT_LENGTH)
}

fn reported_load(headers: &HeaderMap) -> Option<ReportedLoad> {
    let (running, waiting) = header(headers, LOAD_HEADER)?.split_once('/')?;
    Some(ReportedLoad { running: running.parse().ok()?, waiting: waiting.parse().ok()? })
}

/// Returns the headers to pass back to the caller, without those of this protocol and of the
/// connection.
fn end_to_end_headers(headers: &HeaderMap) -> Vec<(String, String)> {
    headers
        .iter()
        .filter(|(name, _)| {
            let is_internal =
                matches!(name.as_str(), LOAD_HEADER | NOT_RUN_HEADER | REQUEST_ID_HEADER);
            !is_internal && **name != CONNECTION && **name != TRANSFER_ENCODING
        })
        .filter(|(name, _)| **name != CONTENT_LENGTH && name.as_str() != "date")
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}
