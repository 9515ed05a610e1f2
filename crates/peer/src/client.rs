//! Client side of the calls between processes.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use h2::client::SendRequest;
use model::StepError;
use tokio::net::TcpSocket;

use crate::{TypedRequest, codec, server::WINDOW_BYTES};

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Estimated HTTP/2 framing and header bytes of each message, besides its body.
const OVERHEAD_BYTES: usize = 40;

/// Shared counter of the bytes sent to and received from peers, protocol overhead included.
#[derive(Debug, Clone, Default)]
pub struct ByteCounter(Arc<AtomicU64>);

impl ByteCounter {
    pub(crate) fn add(&self, n_body: usize) {
        self.0.fetch_add((n_body + OVERHEAD_BYTES) as u64, Ordering::Relaxed);
    }

    /// Bytes counted so far.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Client of one peer with one connection. It connects on demand, and reconnects after any failed
/// or timed-out call.
#[derive(Debug, Clone)]
pub struct PeerClient {
    inner: Arc<ClientInner>,
}

#[derive(Debug)]
struct ClientInner {
    address: SocketAddr,
    local: IpAddr,
    bytes: ByteCounter,
    /// The open connection and its generation.
    connection: tokio::sync::Mutex<Option<(u64, SendRequest<Bytes>)>>,
    /// Number of the latest connection, counted from 1.
    generation: AtomicU64,
}

impl PeerClient {
    /// Creates a client that connects to `address` from the local address `local`.
    pub fn new(address: SocketAddr, local: IpAddr, bytes: ByteCounter) -> Self {
        let inner = ClientInner {
            address,
            local,
            bytes,
            connection: tokio::sync::Mutex::new(None),
            generation: AtomicU64::new(0),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Waits until a call can be sent, connecting first if there is no connection.
    ///
    /// # Errors
    /// When no connection can be made or no stream opened. No part of a request has been sent then.
    pub async fn ready(&self) -> Result<PeerCall, StepError> {
        let (generation, request) = self.get_or_connect().await?;
        match request.ready().await {
            Ok(request) => Ok(PeerCall { client: self.clone(), generation, request }),
            Err(err) => {
                self.drop_connection(generation).await;
                Err(StepError::new("open-stream", self.inner.address, err))
            }
        }
    }

    /// Sends one request and waits for the complete reply.
    ///
    /// # Errors
    /// When the call fails or has no complete reply within `timeout`; the peer may have handled it.
    pub async fn call<R: TypedRequest>(
        &self,
        request: &R,
        timeout: Duration,
    ) -> Result<R::Reply, StepError> {
        let exchange = async { self.ready().await?.send(request).await };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(res) => res,
            Err(_) => {
                let generation = self.inner.generation.load(Ordering::Relaxed);
                self.drop_connection(generation).await;
                Err(StepError::new("await-reply", self.inner.address, "timeout"))
            }
        }
    }

    /// Drops the connection, so that the next call opens a new one.
    pub async fn reset_connection(&self) {
        self.inner.connection.lock().await.take();
    }

    /// Returns the open connection, or opens one.
    async fn get_or_connect(&self) -> Result<(u64, SendRequest<Bytes>), StepError> {
        let mut slot = self.inner.connection.lock().await;
        if let Some((generation, request)) = &*slot {
            return Ok((*generation, request.clone()));
        }
        let connect = connect(self.inner.address, self.inner.local);
        let request = match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(res) => res?,
            Err(_) => return Err(StepError::new("connect", self.inner.address, "timeout")),
        };
        let generation = self.inner.generation.fetch_add(1, Ordering::Relaxed) + 1;
        *slot = Some((generation, request.clone()));
        Ok((generation, request))
    }

    /// Drops the connection of that generation; a newer one stays.
    async fn drop_connection(&self, generation: u64) {
        let mut slot = self.inner.connection.lock().await;
        slot.take_if(|(current, _)| *current == generation);
    }
}

/// A connection that is ready to send one request.
#[derive(Debug)]
pub struct PeerCall {
    client: PeerClient,
    generation: u64,
    request: SendRequest<Bytes>,
}

impl PeerCall {
    /// Sends the request and waits for the complete reply.
    ///
    /// # Errors
    /// When the connection or a message is broken; the peer may have handled the request.
    pub async fn send<R: TypedRequest>(mut self, request: &R) -> Result<R::Reply, StepError> {
        let res = self.exchange(request).await;
        if res.is_err() {
            self.client.drop_connection(self.generation).await;
        }
        res
    }

    async fn exchange<R: TypedRequest>(&mut self, request: &R) -> Result<R::Reply, StepError> {
        let address = self.client.inner.address;
        let body = codec::encode(request)?;
        self.client.inner.bytes.add(body.len());
        let head = http::Request::builder()
            .method("POST")
            .uri(format!("http://{address}/"))
            .header(codec::ENCODING_HEADER, codec::ENCODING)
            .body(())
            .map_err(|err| StepError::new("build-request", address, err))?;
        let (response, stream) = self
            .request
            .send_request(head, false)
            .map_err(|err| StepError::new("send-request", address, err))?;
        codec::write_body(stream, body).await?;
        let response = response.await.map_err(|err| StepError::new("await-reply", address, err))?;
        codec::check_encoding(response.headers())?;
        let body = codec::read_body(response.into_body()).await?;
        self.client.inner.bytes.add(body.len());
        codec::decode(&body)
    }
}

async fn connect(address: SocketAddr, local: IpAddr) -> Result<SendRequest<Bytes>, StepError> {
    let failed = |err: std::io::Error| StepError::new("connect", address, err);
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.map_err(failed)?;
    socket.bind(SocketAddr::new(local, 0)).map_err(failed)?;
    let stream = socket.connect(address).await.map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    let (request, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(stream)
        .await
        .map_err(|err| StepError::new("handshake", address, err))?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(request)
}

/// Clients of many peers, one for each pair of address and usage.
#[derive(Debug, Clone)]
pub struct PeerPool {
    local: IpAddr,
    bytes: ByteCounter,
    clients: Arc<Mutex<HashMap<(SocketAddr, &'static str), PeerClient>>>,
}

impl PeerPool {
    /// Creates an empty pool whose clients connect from the local address `local`.
    pub fn new(local: IpAddr, bytes: ByteCounter) -> Self {
        Self { local, bytes, clients: Arc::default() }
    }

    /// Returns the client for `address`, creating it on first use. Each usage has a connection of
    /// its own, so that long waits and large bodies do not delay the calls of other usages.
    pub fn client(&self, address: SocketAddr, usage: &'static str) -> PeerClient {
        let mut clients = self.clients.lock().unwrap_or_else(|it| it.into_inner());
        clients
            .entry((address, usage))
            .or_insert_with(|| PeerClient::new(address, self.local, self.bytes.clone()))
            .clone()
    }
}
