//! HTTP servers for callers, readiness checks and metrics.
//!
//! They use `hyper` connections directly, as `warp` does not show when a connection ends.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    io,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, Semaphore, watch},
    time::sleep,
};

use crate::{
    ByteBudget, ByteReservation, CallerRequest, ServerFormat, TrafficServer,
    body_buffer::BodyBuffer,
    observed_stream::{ObservedStream, ReadObserver},
};

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
/// connections are refused and callers go to another VM. Connections that were established by then
/// are still served. `n_connections` counts the open ones.
pub async fn serve_callers<F: ServerFormat>(
    listener: TcpListener,
    traffic: Rc<TrafficServer<F>>,
    mut phase: watch::Receiver<ShutdownPhase>,
    n_connections: Rc<RefCell<usize>>,
    log: Logger,
) {
    let spawn_connection = {
        let phase = phase.clone();
        move |stream| {
            let (traffic, phase, n_connections) =
                (traffic.clone(), phase.clone(), n_connections.clone());
            *n_connections.borrow_mut() += 1;
            tokio::task::spawn_local(async move {
                serve_connection(stream, traffic, phase).await;
                *n_connections.borrow_mut() -= 1;
            });
        }
    };
    loop {
        let accepted = tokio::select! {
            it = listener.accept() => it,
            _ = phase.wait_for(|it| *it == ShutdownPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream),
            Err(err) => {
                warn!(log, "accept-failed"; "cause" => %err);
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    match accept_queued(listener) {
        Ok(streams) => streams.into_iter().for_each(spawn_connection),
        Err(err) => warn!(log, "accept-failed"; "cause" => %err),
    }
}

/// Closes the listener after accepting the connections in its queue, which closing it would reset.
fn accept_queued(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    let mut streams = Vec::new();
    // The listener does not block; an error ends the queue as well.
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        streams.push(TcpStream::from_std(stream)?);
    }
    Ok(streams)
}

/// Serves one caller's connection until it ends, or until a head takes longer than the limit; the
/// closing phase shuts it down gracefully.
async fn serve_connection<F: ServerFormat>(
    stream: TcpStream,
    traffic: Rc<TrafficServer<F>>,
    mut phase: watch::Receiver<ShutdownPhase>,
) {
    // A failure only makes answers slightly later.
    let _ = stream.set_nodelay(true);
    let limits = traffic.limits();
    let progress = Rc::new(HeadProgress::new(traffic.budget()));
    let service = {
        let (phase, progress) = (phase.clone(), progress.clone());
        service_fn(move |request| {
            let (traffic, phase, progress) = (traffic.clone(), phase.clone(), progress.clone());
            progress.note_head_complete();
            async move {
                let response = handle_request(request, traffic, phase).await;
                progress.note_answered();
                Ok::<_, Infallible>(response)
            }
        })
    };
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .auto_date_header(false);
    let stream = TokioIo::new(ObservedStream::new(stream, progress.clone()));
    let mut connection = std::pin::pin!(builder.serve_connection(stream, service));
    let mut head_timeout = std::pin::pin!(progress.head_timeout(limits.head_timeout));
    // Polls the connection first, so that a request that has arrived is read before it is closed.
    // Disconnects aren't logged here: each request logs its own outcome.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = head_timeout.as_mut() => return,
        _ = phase.wait_for(|it| *it == ShutdownPhase::Closing) => (),
    }
    // `graceful_shutdown` closes a connection that has read nothing yet.
    if !progress.has_read() {
        tokio::select! {
            biased;
            _ = connection.as_mut() => return,
            () = progress.first_read.notified() => (),
            () = sleep(FIRST_REQUEST_WAIT) => (),
        }
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        _ = connection => (),
        () = head_timeout => (),
    }
}

/// Longest wait during shutdown for the first request on a new connection.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Whether a connection is waiting for a request, receiving its head or answering it.
#[derive(Debug)]
struct HeadProgress {
    /// Bytes of the head that is being received or answered.
    head_bytes: RefCell<ByteReservation>,
    has_read: Cell<bool>,
    is_answering: Cell<bool>,
    /// When the first byte of a head arrived that is not complete yet.
    head_started: Cell<Option<Instant>>,
    first_read: Notify,
    changed: Notify,
}

impl HeadProgress {
    fn new(budget: &ByteBudget) -> Self {
        Self {
            head_bytes: RefCell::new(budget.reservation()),
            has_read: Cell::default(),
            is_answering: Cell::default(),
            head_started: Cell::default(),
            first_read: Notify::default(),
            changed: Notify::default(),
        }
    }

    fn has_read(&self) -> bool {
        self.has_read.get()
    }

    fn note_head_complete(&self) {
        self.is_answering.set(true);
        self.head_started.set(None);
    }

    fn note_answered(&self) {
        self.is_answering.set(false);
        drop(self.head_bytes.borrow_mut().take());
    }

    /// Returns once a head has been incomplete for `limit`.
    async fn head_timeout(&self, limit: Duration) {
        loop {
            match self.head_started.get() {
                None => self.changed.notified().await,
                Some(started) if started.elapsed() >= limit => return,
                Some(started) => sleep(limit.saturating_sub(started.elapsed())).await,
            }
        }
    }
}

impl ReadObserver for Rc<HeadProgress> {
    fn note_read(&mut self, n_bytes: usize) -> io::Result<()> {
        if !self.has_read.replace(true) {
            self.first_read.notify_one();
        }
        if self.is_answering.get() {
            return Ok(());
        }
        if self.head_started.get().is_none() {
            self.head_started.set(Some(Instant::now()));
            self.changed.notify_one();
        }
        match self.head_bytes.borrow_mut().grow(n_bytes) {
            true => Ok(()),
            // The request has not been read, so its caller may send it again elsewhere.
            false => Err(io::Error::new(io::ErrorKind::OutOfMemory, "no memory for a head")),
        }
    }
}

/// Smallest buffer size that `hyper` accepts; it panics on less.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Time for a body, as a multiple of the time for a head: the operators set no limit for it. It ends
/// with the request's own time.
const BODY_TIMEOUT_HEADS: u32 = 2;

/// Answers the request, and closes the connection after the answer during shutdown.
async fn handle_request<F: ServerFormat>(
    request: Request<Incoming>,
    traffic: Rc<TrafficServer<F>>,
    phase: watch::Receiver<ShutdownPhase>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let mut response = match traffic.refuse_head(&head) {
        Some(refusal) => refusal,
        None => answer_request(head, body, traffic).await,
    };
    if *phase.borrow() != ShutdownPhase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn answer_request<F: ServerFormat>(
    head: http::request::Parts,
    body: Incoming,
    traffic: Rc<TrafficServer<F>>,
) -> Response<Full<Bytes>> {
    let arrived = traffic.clock().now();
    let limits = traffic.limits();
    let body = read_body(body, limits.max_body_bytes, traffic.budget());
    let body_limit = limits.head_timeout * BODY_TIMEOUT_HEADS;
    let body_limit = body_limit.min(traffic.time_limit(&head).unwrap_or(body_limit));
    match tokio::time::timeout(body_limit, body).await {
        Ok(Ok(body)) => {
            let http::request::Parts { method, uri, headers, .. } = head;
            traffic.serve(CallerRequest { method, uri, headers, body, arrived }).await
        }
        Ok(Err(BodyError::TooLong)) => local_answer(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(BodyError::NoMemory)) => traffic.refuse_body(&head),
        Ok(Err(BodyError::Broken)) => local_answer(StatusCode::BAD_REQUEST),
        Err(_) => local_answer(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Why there is no whole body of a request.
enum BodyError {
    /// It exceeds the operators' limit.
    TooLong,
    /// The process holds too much already. It has been read to its end all the same, as an answer to a
    /// caller that still sends could be lost with its connection.
    NoMemory,
    /// It ended early or is malformed.
    Broken,
}

/// Reads a body of at most `max_bytes`; what is kept of it comes out of the budget.
async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    budget: &ByteBudget,
) -> Result<Bytes, BodyError> {
    let declared = body.size_hint().exact().map(|it| usize::try_from(it).unwrap_or(usize::MAX));
    if declared.is_some_and(|it| it > max_bytes) {
        return Err(BodyError::TooLong);
    }
    let mut reservation = Some(budget.reservation());
    let grow = |reservation: &mut Option<ByteReservation>, n_bytes| {
        reservation.take_if(|it| !it.grow(n_bytes));
    };
    // A declared length is known to fit, or not, before any of it is kept.
    grow(&mut reservation, declared.unwrap_or_default());
    let mut received = BodyBuffer::new(declared.filter(|_| reservation.is_some()));
    let mut n_read = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
            continue;
        };
        n_read += data.len();
        if n_read > max_bytes {
            return Err(BodyError::TooLong);
        }
        if declared.is_none() {
            grow(&mut reservation, data.len());
        }
        match reservation {
            Some(_) => received.push(&data),
            None => received = BodyBuffer::default(),
        }
    }
    reservation.and_then(|it| received.into_bytes(it)).ok_or(BodyError::NoMemory)
}

/// An empty answer after which the connection is closed.
fn local_answer(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Returns the status and the text for a path and query.
pub type TextHandler = Rc<dyn Fn(&Uri) -> (StatusCode, String)>;

/// Most connections at a time to one of the addresses that serve texts.
const MAX_TEXT_CONNECTIONS: usize = 64;

/// Bytes of texts that slow readers may leave unread, for each of these addresses. A dump of a large
/// fleet has a few megabytes.
const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

/// Time within which a client of texts must send its next request.
const TEXT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves plain text by path: the readiness check of the load balancer, metrics and dumps.
pub async fn serve_texts(listener: TcpListener, text: TextHandler, log: Logger) {
    let budget = ByteBudget::new(MAX_TEXT_BYTES);
    let slots = Arc::new(Semaphore::new(MAX_TEXT_CONNECTIONS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!(log, "accept-failed"; "cause" => %err);
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            warn!(log, "text-connection-refused"; "connections" => MAX_TEXT_CONNECTIONS);
            continue;
        };
        let (text, budget) = (text.clone(), budget.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, body) = text(request.uri());
                let mut reservation = budget.reservation();
                let (status, body) = match reservation.grow(body.len()) {
                    true => (status, reservation.attach(body)),
                    false => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
                };
                let mut response = Response::new(Full::new(body));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(TEXT_IDLE_TIMEOUT);
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            // Clients of these texts may disconnect at any time.
            let _ = connection.await;
            drop(slot);
        });
    }
}
