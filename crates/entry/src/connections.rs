//! HTTP/1 client connections to servers and to the store.
//!
//! Each carries one request at a time and is closed as soon as its state is in doubt.

use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use model::{MonoTime, StepError};
use socket2::SockRef;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Longest wait for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which unacknowledged data ends a connection (`TCP_USER_TIMEOUT`).
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Longest idle time of a connection whose peer does not advertise a keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Time before the peer's keep-alive timeout at which a connection is no longer reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);

/// An HTTP answer with its complete body.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Headers, hop-by-hop ones included.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Why an exchange brought no answer.
#[derive(Debug, Clone)]
pub enum ExchangeError {
    /// The connection was refused, as nothing listens at the address; nothing was sent.
    Refused(StepError),
    /// No connection could be opened, or it had been closed before; nothing was sent.
    NotConnected(StepError),
    /// The connection failed after the request may have been written, so that it may have run.
    Broken(StepError),
}

impl ExchangeError {
    /// The underlying error with the step that failed.
    pub fn error(&self) -> &StepError {
        match self {
            Self::Refused(err) | Self::NotConnected(err) | Self::Broken(err) => err,
        }
    }
}

/// An open connection; dropping it resets the socket.
#[derive(Debug)]
pub struct HttpConnection {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// Time until which the connection may be reused; unknown before the first answer.
    usable_until: Option<MonoTime>,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpConnection {
    /// Connects to `peer`.
    ///
    /// # Errors
    /// `Refused` if nothing listens there, `NotConnected` for every other failure.
    pub async fn open(peer: SocketAddr) -> Result<Self, ExchangeError> {
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
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|err| ExchangeError::NotConnected(StepError::new("handshake", peer, err)))?;
        let driver = tokio::task::spawn_local(async move {
            // The pending request gets the error too and logs it.
            let _ = connection.await;
        });
        Ok(Self { peer, sender, driver, usable_until: None })
    }

    /// Whether another request may be sent on this connection.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        self.sender.is_ready() && self.usable_until.is_none_or(|it| now < it)
    }

    /// Sends one request and reads the complete answer; `now` is called once that has arrived.
    ///
    /// # Errors
    /// `NotConnected` if the connection had been closed before the request was written, `Broken` if
    /// it fails later or the answer is incomplete.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        now: impl Fn() -> MonoTime,
    ) -> Result<HttpAnswer, ExchangeError> {
        let peer = self.peer;
        let broken_error =
            |step| move |err: hyper::Error| ExchangeError::Broken(StepError::new(step, peer, err));
        let response = match self.sender.try_send_request(request).await {
            Ok(it) => it,
            // `hyper` returns the request only if none of it was written.
            Err(err) if err.message().is_some() => {
                let err = StepError::new("send", peer, err.into_error());
                return Err(ExchangeError::NotConnected(err));
            }
            Err(err) => return Err(broken_error("exchange")(err.into_error())),
        };
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(broken_error("read-answer"))?.to_bytes();
        self.usable_until = Some(now() + keep_alive_time(&head.headers));
        Ok(HttpAnswer { status: head.status, headers: head.headers, body })
    }
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
    /// Takes the most recently used connection to `peer` that is still usable.
    pub fn take(&mut self, peer: SocketAddr, now: MonoTime) -> Option<HttpConnection> {
        let idle = self.idle.get_mut(&peer)?;
        while let Some(connection) = idle.pop() {
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool, unless its peer is about to close it.
    pub fn put(&mut self, connection: HttpConnection, now: MonoTime) {
        if connection.usable_until.is_some_and(|it| now < it) {
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

    /// Closes all idle connections to `peer`.
    pub fn close(&mut self, peer: SocketAddr) {
        self.idle.remove(&peer);
    }
}
