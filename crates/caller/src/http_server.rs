//! The HTTP server that callers reach through the platform's load balancer.

use std::{convert::Infallible, future::Future, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use http::{HeaderMap, Method, Response};
use model::{CallOutcome, NotRunReason, RequestId};
use tokio::net::TcpListener;
use warp::{Filter, Rejection, filters::path::FullPath};

use crate::{CallerRequest, CallerService, outcome};

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Size limit of a request body, in bytes.
    pub max_body_bytes: usize,
}

/// Headers that are not passed on: those of the connection, and those that a router sets itself.
const DROPPED_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-deadline-ms",
    "x-fencing-token",
    "x-request-id",
];

/// Serves callers until `stop` completes, and then until all accepted requests are answered.
pub async fn serve_callers<S: CallerService>(
    listener: TcpListener,
    service: S,
    limits: CallerLimits,
    stop: impl Future<Output = ()> + Send + 'static,
) {
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    let routes = warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path, query, headers, body| {
            let service = service.clone();
            async move { handle_request(service, limits, method, path, query, headers, body).await }
        })
        .recover(|_: Rejection| async { Ok::<_, Infallible>(bad_request()) });
    warp::serve(routes).incoming(listener).graceful(stop).run().await;
}

async fn handle_request<S, B>(
    service: S,
    limits: CallerLimits,
    method: Method,
    path: FullPath,
    query: String,
    headers: HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>> + Send,
) -> Response<Bytes>
where
    S: CallerService,
    B: Buf,
{
    let id = match request_id(&headers) {
        Some(Ok(id)) => id,
        Some(Err(())) => return bad_request(),
        None => service.next_id(),
    };
    let reject =
        |id: &RequestId| outcome::failed(id, CallOutcome::NotRun(NotRunReason::BadRequest));
    let Ok(body) = read_body(body, limits.max_body_bytes).await else {
        return reject(&id);
    };
    let Some(request) = build_request(&id, &method, path.as_str(), &query, &headers, body) else {
        return reject(&id);
    };
    match service.serve(request).await {
        Ok(answer) => outcome::answered(&id, answer),
        Err(outcome) => outcome::failed(&id, outcome),
    }
}

/// The response to a request that has no valid request id to report back.
fn bad_request() -> Response<Bytes> {
    let mut response = Response::new(Bytes::from_static(b"{\"outcome\":\"not-run\"}\n"));
    *response.status_mut() = http::StatusCode::BAD_REQUEST;
    let headers = response.headers_mut();
    headers.insert(outcome::OUTCOME_HEADER, http::HeaderValue::from_static("not-run"));
    headers.insert(outcome::REASON_HEADER, http::HeaderValue::from_static("bad-request"));
    response
}

/// Returns the caller's request id, if there is one; `Err` if it is not allowed.
fn request_id(headers: &HeaderMap) -> Option<Result<RequestId, ()>> {
    let text = headers.get("x-request-id")?.to_str().map_err(|_| ());
    Some(text.and_then(|it| RequestId::try_from(it.to_owned()).map_err(|_| ())))
}

async fn read_body<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>> + Send,
    max_bytes: usize,
) -> Result<Bytes, ()> {
    let mut body = std::pin::pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|_| ())?;
        if bytes.len() + chunk.remaining() > max_bytes {
            return Err(());
        }
        bytes.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok(bytes.freeze())
}

/// Returns `None` unless the path names a service and a key and the deadline, if given, is a
/// number.
fn build_request(
    id: &RequestId,
    method: &Method,
    path: &str,
    query: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Option<CallerRequest> {
    let mut segments = path.strip_prefix('/')?.splitn(3, '/');
    let service = segments.next().filter(|it| !it.is_empty())?.to_owned();
    let key = segments.next().filter(|it| !it.is_empty())?.to_owned();
    let deadline = match headers.get("x-deadline-ms") {
        Some(value) => Some(Duration::from_millis(value.to_str().ok()?.parse().ok()?)),
        None => None,
    };
    let path = match query {
        "" => path.to_owned(),
        query => format!("{path}?{query}"),
    };
    let headers = headers
        .iter()
        .filter(|(name, _)| !DROPPED_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    let (id, method) = (id.clone(), method.to_string());
    Some(CallerRequest { id, method, service, key, path, headers, body, deadline })
}
