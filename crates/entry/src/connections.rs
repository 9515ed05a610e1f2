//! HTTP/1 client connections to servers and to the store.
//!
//! Each carries one request at a time and is closed as soon as its state is in doubt.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header, response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use model::{MonoTime, StepError};
use settings::ProcessClock;
use smallvec::SmallVec;
use socket2::SockRef;
use tokio::{net::TcpStream, sync::mpsc, task::JoinHandle, time::timeout};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    body_buffer::BodyBuffer,
    observed_stream::ObservedStream,
    read_meter::{AnswerBounds, ReadMeter},
};

/// Longest wait for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which unacknowledged data ends a connection (`TCP_USER_TIMEOUT`).
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Longest idle time of a connection whose peer does not advertise a keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Time before the peer's keep-alive timeout at which a connection is no longer reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);

/// Number of refusals on a connection after which it is closed.
const MAX_REFUSED_IDS: usize = 64;

/// Largest head of an answer in bytes; interim answers count by themselves.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// An HTTP answer with its complete body.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Headers, hop-by-hop ones included.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// When the head had arrived; a long body takes longer.
    pub head_at: MonoTime,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct BegunAnswer {
    response: Response<Incoming>,
    head_at: MonoTime,
}

/// Why an exchange brought no answer.
#[derive(Debug, Clone)]
pub enum ExchangeError {
    /// The connection was refused, as nothing listens at the address; nothing was sent.
    Refused(StepError),
    /// No connection could be opened, or it had been closed before; nothing was sent.
    NotConnected(StepError),
    /// The peer ended the connection after the request may have been written, so that it may have run.
    Closed(StepError),
    /// The exchange failed otherwise after the request may have been written, so that it may have run.
    Broken(StepError),
    /// The peer sent more bytes than an answer may have, or than there is memory for; the request may have
    /// run.
    TooLong(StepError),
    /// The answer began, but its rest did not arrive; the request may have run.
    Stalled(StepError),
}

impl ExchangeError {
    /// The underlying error with the step that failed.
    pub fn error(&self) -> &StepError {
        match self {
            Self::Refused(err)
            | Self::NotConnected(err)
            | Self::Closed(err)
            | Self::Broken(err)
            | Self::TooLong(err)
            | Self::Stalled(err) => err,
        }
    }
}

/// Is told when a peer ends a kept connection before the time until which it may be reused.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionObserver {
    /// Clock by which connections are kept.
    pub(crate) clock: ProcessClock,
    /// Gets the address of the peer.
    pub(crate) closed: mpsc::UnboundedSender<SocketAddr>,
}

/// Until when a kept connection may be reused, in microseconds of the process's clock; 0 while it is in
/// use. Shared with the task that drives the connection.
#[derive(Debug, Clone, Default)]
struct KeptUntil(Arc<AtomicU64>);

impl KeptUntil {
    fn set(&self, time: Option<MonoTime>) {
        self.0.store(time.map_or(0, MonoTime::as_micros), Ordering::Relaxed);
    }

    fn is_after(&self, now: MonoTime) -> bool {
        self.0.load(Ordering::Relaxed) > now.as_micros()
    }
}

/// Number of a connection, unique within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionNumber(u64);

impl ConnectionNumber {
    fn next() -> Self {
        static N_OPENED: AtomicU64 = AtomicU64::new(0);
        Self(N_OPENED.fetch_add(1, Ordering::Relaxed))
    }
}

/// An open connection; dropping it resets the socket.
#[derive(Debug)]
pub struct HttpConnection {
    number: ConnectionNumber,
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    meter: ReadMeter,
    kept_until: KeptUntil,
    /// Time until which the connection may be reused; unknown before the first answer.
    usable_until: Option<MonoTime>,
    /// When the last answer had arrived; `None` before the first.
    answered_at: Option<MonoTime>,
    /// Hashes of the ids of requests that were refused on it, of which a second copy of the refusal may
    /// still arrive.
    refused_ids: SmallVec<[u64; 4]>,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpConnection {
    /// Connects to `peer`, whose answers have these bounds.
    ///
    /// # Errors
    /// `Refused` if nothing listens there, `NotConnected` for every other failure.
    pub async fn open(peer: SocketAddr, bounds: AnswerBounds) -> Result<Self, ExchangeError> {
        Self::open_observed(peer, bounds, None).await
    }

    /// Connects like [`Self::open`]; the observer is told if the peer ends the connection while it is kept.
    pub(crate) async fn open_observed(
        peer: SocketAddr,
        bounds: AnswerBounds,
        observer: Option<ConnectionObserver>,
    ) -> Result<Self, ExchangeError> {
        let connect_error = |err: io::Error| match err.kind() {
            io::ErrorKind::ConnectionRefused => {
                ExchangeError::Refused(StepError::new("connect", peer, err))
            }
            _ => ExchangeError::NotConnected(StepError::new("connect", peer, err)),
        };
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await {
            Ok(res) => res.map_err(connect_error)?,
            Err(_) => return Err(connect_error(io::ErrorKind::TimedOut.into())),
        };
        let socket = SockRef::from(&stream);
        // Failures are ignored: without these options, requests are sent slightly later and a
        // silent peer is noticed later.
        let _ = socket.set_tcp_nodelay(true);
        let _ = socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
        // With zero linger, closing resets the connection, so that data delayed by a partition is
        // never delivered after it.
        socket.set_linger(Some(Duration::ZERO)).map_err(connect_error)?;
        let meter = ReadMeter::new(bounds);
        let stream = TokioIo::new(ObservedStream::new(stream, meter.clone()));
        let (sender, connection) =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream).await.map_err(
                |err| ExchangeError::NotConnected(StepError::new("handshake", peer, err)),
            )?;
        let kept_until = KeptUntil::default();
        let driver_kept_until = kept_until.clone();
        let driver = tokio::task::spawn_local(async move {
            // The pending request gets the error too and logs it.
            let _ = connection.await;
            if let Some(observer) = observer
                && driver_kept_until.is_after(observer.clock.now())
            {
                // Without a receiver, the process is stopping.
                let _ = observer.closed.send(peer);
            }
        });
        let number = ConnectionNumber::next();
        Ok(Self {
            number,
            peer,
            sender,
            driver,
            meter,
            kept_until,
            usable_until: None,
            answered_at: None,
            refused_ids: SmallVec::new(),
        })
    }

    /// The connection's number.
    pub fn number(&self) -> ConnectionNumber {
        self.number
    }

    /// Whether another request may be sent on this connection.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        self.sender.is_ready() && self.usable_until.is_none_or(|it| now < it)
    }

    /// Records that the server refused the request `id` on this connection.
    pub fn note_refusal(&mut self, id: &HeaderValue) {
        self.refused_ids.push(xxh3_64(id.as_bytes()));
    }

    /// Whether an answer on this connection could be a second copy of a refusal of the request `id`.
    pub fn has_refused(&self, id: &HeaderValue) -> bool {
        self.refused_ids.contains(&xxh3_64(id.as_bytes()))
    }

    /// Sends one request and reads the complete answer; `now` is called when its head and when all
    /// of it has arrived.
    ///
    /// # Errors
    /// `NotConnected` if the connection had been closed before the request was written, `Broken` if
    /// it fails later or the answer is incomplete, `TooLong` if the answer exceeds its limit.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        now: impl Fn() -> MonoTime,
    ) -> Result<HttpAnswer, ExchangeError> {
        let begun = self.begin_exchange(request, &now).await?;
        self.read_rest(begun, Duration::MAX, now).await
    }

    /// Sends one request and waits for the head of the answer.
    ///
    /// # Errors
    /// Those of [`Self::exchange`].
    pub async fn begin_exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        now: impl Fn() -> MonoTime,
    ) -> Result<BegunAnswer, ExchangeError> {
        self.meter.restart();
        match self.sender.try_send_request(request).await {
            Ok(response) if is_final_status(response.status()) => {
                self.meter.note_head();
                Ok(BegunAnswer { response, head_at: now() })
            }
            Ok(response) => {
                let cause = format!("status {} is no final one", response.status().as_u16());
                Err(ExchangeError::Broken(StepError::new("read-head", self.peer, cause)))
            }
            // `hyper` returns the request only if none of it was written.
            Err(err) if err.message().is_some() => {
                let err = StepError::new("send", self.peer, err.into_error());
                Err(ExchangeError::NotConnected(err))
            }
            Err(err) => Err(self.answer_error("exchange", err.into_error())),
        }
    }

    /// Reads the rest of an answer of this connection, which may take `max_stall` between two parts.
    ///
    /// # Errors
    /// Those of [`Self::exchange`], but for `NotConnected`; `Stalled` if the next part does not arrive
    /// in time.
    pub async fn read_rest(
        &mut self,
        begun: BegunAnswer,
        max_stall: Duration,
        now: impl Fn() -> MonoTime,
    ) -> Result<HttpAnswer, ExchangeError> {
        let BegunAnswer { response, head_at } = begun;
        let (head, mut body) = response.into_parts();
        let declared = body.size_hint().exact().map(|it| usize::try_from(it).unwrap_or(usize::MAX));
        if let Some(n_bytes) = declared.filter(|it| *it > self.meter.max_bytes()) {
            let n_read = self.meter.n_read();
            let cause = format!("answer is too long: {n_read} bytes received, {n_bytes} declared");
            return Err(ExchangeError::TooLong(StepError::new("read-answer", self.peer, cause)));
        }
        let mut received = BodyBuffer::new(declared);
        loop {
            match timeout(max_stall, body.frame()).await {
                Ok(Some(Ok(frame))) => frame.into_data().iter().for_each(|it| received.push(it)),
                Ok(Some(Err(err))) => return Err(self.answer_error("read-answer", err)),
                Ok(None) => break,
                Err(_) => {
                    let cause = format!("stalled after {} bytes", received.len());
                    return Err(ExchangeError::Stalled(StepError::new(
                        "read-answer",
                        self.peer,
                        cause,
                    )));
                }
            }
        }
        let body = received.into_bytes(self.meter.take_reservation()).ok_or_else(|| {
            let cause = "no memory for the answer";
            ExchangeError::TooLong(StepError::new("read-answer", self.peer, cause))
        })?;
        Ok(self.complete_answer(head, body, head_at, now()))
    }

    /// Notes until when the connection may be reused after an answer.
    fn complete_answer(
        &mut self,
        head: response::Parts,
        body: Bytes,
        head_at: MonoTime,
        now: MonoTime,
    ) -> HttpAnswer {
        self.answered_at = Some(now);
        self.usable_until = Some(now + keep_alive_time(&head.headers));
        HttpAnswer { status: head.status, headers: head.headers, body, head_at }
    }

    fn answer_error(&self, step: &'static str, err: hyper::Error) -> ExchangeError {
        let cause = match self.meter.cut() {
            Some(cause) => cause,
            None if err.is_parse_too_large() => "answer's head is too long".to_owned(),
            None => {
                let is_closed = is_ended_by_peer(&err);
                let err = StepError::new(step, self.peer, err);
                return match is_closed {
                    true => ExchangeError::Closed(err),
                    false => ExchangeError::Broken(err),
                };
            }
        };
        ExchangeError::TooLong(StepError::new(step, self.peer, cause))
    }
}

/// Whether an answer may have this status. `hyper` refuses what is not a number from 100 to 999; it passes on
/// the end of HTTP on the connection (101), and numbers without a meaning.
fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Whether the error is that the peer has closed or reset the connection.
fn is_ended_by_peer(err: &hyper::Error) -> bool {
    let cause = std::error::Error::source(err).and_then(|it| it.downcast_ref::<io::Error>());
    let is_ended = |it: &io::Error| {
        matches!(
            it.kind(),
            io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::UnexpectedEof
        )
    };
    err.is_incomplete_message() || err.is_closed() || cause.is_some_and(is_ended)
}

/// How long a connection may be idle and still be reused after an answer with these headers.
fn keep_alive_time(headers: &HeaderMap) -> Duration {
    let advertised = headers.get("keep-alive").and_then(|it| it.to_str().ok()).and_then(|text| {
        let mut fields = text.split(',').map(str::trim);
        fields.find_map(|it| it.strip_prefix("timeout=")).and_then(|it| it.parse().ok())
    });
    let is_closing = headers.get(header::CONNECTION).is_some_and(|it| it == "close");
    match advertised {
        _ if is_closing => Duration::ZERO,
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN),
        None => DEFAULT_KEEP_ALIVE,
    }
}

/// Idle connections by the address of their peer.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<HttpConnection>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection to `peer` that is still usable and not excluded.
    pub fn take(
        &mut self,
        peer: SocketAddr,
        is_excluded: impl Fn(&HttpConnection) -> bool,
        now: MonoTime,
    ) -> Option<HttpConnection> {
        let idle = self.idle.get_mut(&peer)?;
        idle.retain(|it| it.is_usable(now));
        let idx = idle.iter().rposition(|it| !is_excluded(it))?;
        let connection = idle.remove(idx);
        connection.kept_until.set(None);
        Some(connection)
    }

    /// Returns a connection to the pool, unless its peer is about to close it or too many refusals are to
    /// be remembered for it.
    pub fn put(&mut self, connection: HttpConnection, now: MonoTime) {
        let is_open = connection.usable_until.is_some_and(|it| now < it);
        if is_open && connection.refused_ids.len() < MAX_REFUSED_IDS {
            connection.kept_until.set(connection.usable_until);
            self.idle.entry(connection.peer).or_default().push(connection);
        }
    }

    /// Closes connections that are no longer usable.
    pub fn sweep(&mut self, now: MonoTime) {
        for idle in self.idle.values_mut() {
            idle.retain(|it| !it.sender.is_closed() && it.usable_until.is_none_or(|end| now < end));
        }
        self.idle.retain(|_, it| !it.is_empty());
    }

    /// Closes the idle connections to `peer` that have brought no answer since `since`, when a call
    /// was sent that got none: whatever made its connection silent may have affected them as well.
    pub fn close_silent(&mut self, peer: SocketAddr, since: MonoTime) {
        if let Some(idle) = self.idle.get_mut(&peer) {
            idle.retain(|it| it.answered_at.is_some_and(|at| at >= since));
        }
    }

    /// Closes all idle connections to `peer`.
    pub fn close(&mut self, peer: SocketAddr) {
        self.idle.remove(&peer);
    }
}
