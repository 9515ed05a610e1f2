//! The callers' HTTP edge, on `hyper` connections: `warp` hides when a connection ends.

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

/// Time beyond the callers' idle limit for which a connection is kept.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How the process's end is told to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Connections stay open.
    Serving,
    /// Answers close their connections; new connections are still taken.
    Draining,
    /// Idle connections are closed.
    Closing,
}

/// Accepts callers until connections are closed; later ones are refused, so that they go elsewhere.
pub async fn serve_callers<F: ServerFormat>(
    listener: TcpListener,
    traffic: Rc<TrafficServer<F>>,
    mut phase: watch::Receiver<ShutdownPhase>,
    open: Rc<RefCell<usize>>,
    log: Logger,
) {
    loop {
        let accepted = tokio::select! {
            it = listener.accept() => it,
            _ = phase.wait_for(|it| *it == ShutdownPhase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let (traffic, phase, open) = (traffic.clone(), phase.clone(), open.clone());
                tokio::task::spawn_local(async move {
                    *open.borrow_mut() += 1;
                    serve_connection(stream, traffic, phase).await;
                    *open.borrow_mut() -= 1;
                });
            }
            Err(err) => {
                warn!(log, "accept-failed"; "cause" => %err);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<F: ServerFormat>(
    stream: TcpStream,
    traffic: Rc<TrafficServer<F>>,
    mut phase: watch::Receiver<ShutdownPhase>,
) {
    // Without it answers only wait a little longer.
    let _ = stream.set_nodelay(true);
    let limits = traffic.limits();
    let own_phase = phase.clone();
    let service = service_fn(move |request| {
        let (traffic, phase) = (traffic.clone(), own_phase.clone());
        async move { Ok::<_, Infallible>(answer(request, traffic, phase).await) }
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
        // A caller that breaks off is nothing to report; its request logs its own end.
        _ = connection.as_mut() => return,
        _ = phase.wait_for(|it| *it == ShutdownPhase::Closing) => (),
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Smallest buffer that `hyper` accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

async fn answer<F: ServerFormat>(
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
            own_answer(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => own_answer(StatusCode::BAD_REQUEST),
        Err(_) => own_answer(StatusCode::REQUEST_TIMEOUT),
    };
    if *phase.borrow() != ShutdownPhase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn own_answer(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Finds the status and the text for a path.
pub type TextSource = Rc<dyn Fn(&str) -> (StatusCode, String)>;

/// Answers the balancer's question whether this VM takes callers, and serves texts such as metrics.
pub async fn serve_texts(listener: TcpListener, text: TextSource, log: Logger) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!(log, "accept-failed"; "cause" => %err);
                sleep(ACCEPT_PAUSE).await;
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
            // The asker may break off as it likes.
            let _ = connection.await;
        });
    }
}
