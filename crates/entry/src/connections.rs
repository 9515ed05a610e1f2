//! Connections to servers and to the store: one request at a time, each closed when in doubt.

use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use model::{MonoTime, StepError};
use socket2::SockRef;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which sent bytes that are not acknowledged end a connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which a connection is kept when the peer does not say.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);

/// Time before the peer's own limit at which a connection is no longer used.
const KEEP_MARGIN: Duration = Duration::from_millis(1_500);

/// A whole answer.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, Clone)]
pub enum ExchangeError {
    /// Nothing listens at the address.
    Refused(StepError),
    /// There was no connection, or it had ended before; nothing was sent.
    NotConnected(StepError),
    /// The connection failed after the request was sent.
    Broken(StepError),
}

impl ExchangeError {
    /// The error.
    pub fn error(&self) -> &StepError {
        match self {
            Self::Refused(err) | Self::NotConnected(err) | Self::Broken(err) => err,
        }
    }
}

/// One open connection; dropping it closes the socket.
#[derive(Debug)]
pub struct HttpConnection {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
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
    /// `Refused` when nothing listens there, `NotConnected` otherwise.
    pub async fn open(peer: SocketAddr) -> Result<Self, ExchangeError> {
        let failed = |err: io::Error| match err.kind() {
            io::ErrorKind::ConnectionRefused => {
                ExchangeError::Refused(StepError::new("connect", peer, err))
            }
            _ => ExchangeError::NotConnected(StepError::new("connect", peer, err)),
        };
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await {
            Ok(res) => res.map_err(failed)?,
            Err(_) => return Err(failed(io::ErrorKind::TimedOut.into())),
        };
        let socket = SockRef::from(&stream);
        // Both only sharpen how soon a silent peer is noticed.
        let _ = socket.set_tcp_nodelay(true);
        let _ = socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
        // Closing resets, so that bytes held up by a partition never arrive after it.
        socket.set_linger(Some(Duration::ZERO)).map_err(failed)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|err| ExchangeError::NotConnected(StepError::new("handshake", peer, err)))?;
        let driver = tokio::task::spawn_local(async move {
            // The error also reaches the request that waits, which logs it.
            let _ = connection.await;
        });
        Ok(Self { peer, sender, driver, usable_until: None })
    }

    /// Whether another request may be sent.
    pub fn is_usable(&self, now: MonoTime) -> bool {
        self.sender.is_ready() && self.usable_until.is_none_or(|it| now < it)
    }

    /// Sends one request and reads the whole answer.
    ///
    /// # Errors
    /// `Broken` when the connection fails or the answer is not whole.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        now: impl Fn() -> MonoTime,
    ) -> Result<HttpAnswer, ExchangeError> {
        let peer = self.peer;
        let broken =
            |step| move |err: hyper::Error| ExchangeError::Broken(StepError::new(step, peer, err));
        let response = match self.sender.try_send_request(request).await {
            Ok(it) => it,
            // A request that comes back was not written: the connection had ended before.
            Err(err) if err.message().is_some() => {
                let err = StepError::new("send", peer, err.into_error());
                return Err(ExchangeError::NotConnected(err));
            }
            Err(err) => return Err(broken("exchange")(err.into_error())),
        };
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(broken("read-answer"))?.to_bytes();
        self.usable_until = Some(now() + keep_time(&head.headers));
        Ok(HttpAnswer { status: head.status, headers: head.headers, body })
    }
}

/// How long a connection may stay idle after an answer with these headers.
fn keep_time(headers: &HeaderMap) -> Duration {
    let told = headers.get("keep-alive").and_then(|it| it.to_str().ok()).and_then(|text| {
        let mut fields = text.split(',').map(str::trim);
        fields.find_map(|it| it.strip_prefix("timeout=")).and_then(|it| it.parse().ok())
    });
    let closes = headers.get(header::CONNECTION).is_some_and(|it| it == "close");
    match told {
        _ if closes => Duration::ZERO,
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(KEEP_MARGIN),
        None => DEFAULT_KEEP,
    }
}

/// Idle connections by peer.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<HttpConnection>>,
}

impl ConnectionPool {
    /// Takes the connection that was used last, if one can be used.
    pub fn take(&mut self, peer: SocketAddr, now: MonoTime) -> Option<HttpConnection> {
        let idle = self.idle.get_mut(&peer)?;
        while let Some(connection) = idle.pop() {
            if connection.is_usable(now) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for later.
    pub fn put(&mut self, connection: HttpConnection, now: MonoTime) {
        if connection.usable_until.is_some_and(|it| now < it) {
            self.idle.entry(connection.peer).or_default().push(connection);
        }
    }

    /// Closes connections that can no longer be used.
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
