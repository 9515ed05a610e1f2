//! HTTP servers for callers, readiness checks and metrics.
//!
//! They use `hyper` connections directly, as `warp` does not show when a connection ends.

use std::{cell::RefCell, convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

use crate::{CallerRequest, ServerFormat, TrafficServer};

/// Time by which an idle connection outlives the configured idle timeout.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// Pause before the next accept after a failed one.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Stage of an orderly shutdown, as connections of callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Normal operation: connections are kept alive.
    Serving,
    /// Each answer closes its connection; new connections are still accepted.
    Draining,
    /// New connections are no longer accepted, and open ones close once their request is answered.
    Closing,
}

/// Accepts callers' connections until the closing phase; then the listener is dropped, so that new
/// connections are refused and callers go to another VM. `n_connections` counts the open ones.
pub async fn serve_callers<F: ServerFormat>(
    listener: TcpListener,
    traffic: Rc<TrafficServer<F>>,
    mut phase: watch::Receiver<ShutdownPhase>,
    n_connections: Rc<RefCell<usize>>,
    log: Logger,
) {
    loop {
        let accepted = tokio::select! {
            it = listener.accept() => it,
            _ = phase.wait_for(|it| *it == ShutdownPhase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (traffic, phase, n_connections) =
                    (traffic.clone(), phase.clone(), n_connections.clone());
                tokio::task::spawn_local(async move {
                    *n_connections.borrow_mut() += 1;
                    serve_connection(stream, traffic, phase).await;
                    *n_connections.borrow_mut() -= 1;
                });
            }
            Err(err) => {
                warn!(log, "accept-failed"; "cause" => %err);
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves one caller's connection until it ends; the closing phase shuts it down gracefully.
async fn serve_connection<F: ServerFormat>(
    stream: TcpStream,
    traffic: Rc<TrafficServer<F>>,
    mut phase: watch::Receiver<ShutdownPhase>,
) {
    // A failure only makes answers slightly later.
    let _ = stream.set_nodelay(true);
    let limits = traffic.limits();
    let handler_phase = phase.clone();
    let service = service_fn(move |request| {
        let (traffic, phase) = (traffic.clone(), handler_phase.clone());
        async move { Ok::<_, Infallible>(handle_request(request, traffic, phase).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .auto_date_header(false);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // Disconnects aren't logged here: each request logs its own outcome.
        _ = connection.as_mut() => return,
        _ = phase.wait_for(|it| *it == ShutdownPhase::Closing) => (),
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Smallest buffer size that `hyper` accepts; it panics on less.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Reads the body, routes the request, and closes the connection after the answer during shutdown.
async fn handle_request<F: ServerFormat>(
    request: Request<Incoming>,
    traffic: Rc<TrafficServer<F>>,
    phase: watch::Receiver<ShutdownPhase>,
) -> Response<Full<Bytes>> {
    let arrived = traffic.clock().now();
    let limits = traffic.limits();
    let (head, body) = request.into_parts();
    let body = Limited::new(body, limits.max_body_bytes).collect();
    let mut response = match tokio::time::timeout(limits.head_timeout * 2, body).await {
        Ok(Ok(body)) => {
            let request = CallerRequest {
                method: head.method,
                uri: head.uri,
                headers: head.headers,
                body: body.to_bytes(),
                arrived,
            };
            traffic.serve(request).await
        }
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            local_answer(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => local_answer(StatusCode::BAD_REQUEST),
        Err(_) => local_answer(StatusCode::REQUEST_TIMEOUT),
    };
    if *phase.borrow() != ShutdownPhase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// An empty answer after which the connection is closed.
fn local_answer(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Returns the status and the text for a path.
pub type TextHandler = Rc<dyn Fn(&str) -> (StatusCode, String)>;

/// Serves plain text by path: the readiness check of the load balancer, metrics and dumps.
pub async fn serve_texts(listener: TcpListener, text: TextHandler, log: Logger) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!(log, "accept-failed"; "cause" => %err);
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let text = text.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, body) = text(request.uri().path());
                let mut response = Response::new(Full::new(Bytes::from(body)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Clients of these texts may disconnect at any time.
            let _ = connection.await;
        });
    }
}
