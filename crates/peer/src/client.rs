//! Calling other processes.

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

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Bytes of HTTP/2 framing and header blocks that each message costs beside its body.
const FRAMING_BYTES: usize = 40;

/// Count of bytes exchanged with peers.
#[derive(Debug, Clone, Default)]
pub struct ByteCounter(Arc<AtomicU64>);

impl ByteCounter {
    pub(crate) fn add(&self, n_body: usize) {
        self.0.fetch_add((n_body + FRAMING_BYTES) as u64, Ordering::Relaxed);
    }

    /// Bytes counted so far.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Client of one peer. Connects when needed, and anew after any failure or timeout.
#[derive(Debug, Clone)]
pub struct PeerClient {
    inner: Arc<ClientInner>,
}

#[derive(Debug)]
struct ClientInner {
    address: SocketAddr,
    local: IpAddr,
    bytes: ByteCounter,
    connection: tokio::sync::Mutex<Option<(u64, SendRequest<Bytes>)>>,
    generation: AtomicU64,
}

impl PeerClient {
    /// A client that calls `address` from `local`.
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

    /// Opens a stream for one call, connecting first when there is no connection.
    ///
    /// # Errors
    /// When no connection can be made. Nothing of any request has been sent then.
    pub async fn ready(&self) -> Result<PeerCall, StepError> {
        let (generation, request) = self.connected().await?;
        match request.ready().await {
            Ok(request) => Ok(PeerCall { client: self.clone(), generation, request }),
            Err(err) => {
                self.forget(generation).await;
                Err(StepError::new("open-stream", self.inner.address, err))
            }
        }
    }

    /// Sends one request and waits up to `timeout` for the whole reply.
    ///
    /// # Errors
    /// When there is no whole reply in time.
    pub async fn call<A: TypedRequest>(
        &self,
        request: &A,
        timeout: Duration,
    ) -> Result<A::Reply, StepError> {
        let exchange = async { self.ready().await?.send(request).await };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(res) => res,
            Err(_) => {
                let generation = self.inner.generation.load(Ordering::Relaxed);
                self.forget(generation).await;
                Err(StepError::new("await-reply", self.inner.address, "timeout"))
            }
        }
    }

    /// Makes later calls use a fresh connection.
    pub async fn reset_connection(&self) {
        self.inner.connection.lock().await.take();
    }

    async fn connected(&self) -> Result<(u64, SendRequest<Bytes>), StepError> {
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

    /// Drops the connection unless it has been replaced already.
    async fn forget(&self, generation: u64) {
        let mut slot = self.inner.connection.lock().await;
        slot.take_if(|(current, _)| *current == generation);
    }
}

/// An open stream on which one request can be sent.
#[derive(Debug)]
pub struct PeerCall {
    client: PeerClient,
    generation: u64,
    request: SendRequest<Bytes>,
}

impl PeerCall {
    /// Sends the request and waits for the whole reply.
    ///
    /// # Errors
    /// When the connection breaks; the peer may have acted on the request.
    pub async fn send<A: TypedRequest>(mut self, request: &A) -> Result<A::Reply, StepError> {
        let res = self.exchange(request).await;
        if res.is_err() {
            self.client.forget(self.generation).await;
        }
        res
    }

    async fn exchange<A: TypedRequest>(&mut self, request: &A) -> Result<A::Reply, StepError> {
        let address = self.client.inner.address;
        let body = codec::encode(request)?;
        self.client.inner.bytes.add(body.len());
        let head = http::Request::builder()
            .method("POST")
            .uri(format!("http://{address}/"))
            .body(())
            .map_err(|err| StepError::new("build-request", address, err))?;
        let (response, stream) = self
            .request
            .send_request(head, false)
            .map_err(|err| StepError::new("send-request", address, err))?;
        codec::write_body(stream, body).await?;
        let response = response.await.map_err(|err| StepError::new("await-reply", address, err))?;
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

/// Clients of many peers, one for each address and use.
#[derive(Debug, Clone)]
pub struct PeerPool {
    local: IpAddr,
    bytes: ByteCounter,
    clients: Arc<Mutex<HashMap<(SocketAddr, &'static str), PeerClient>>>,
}

impl PeerPool {
    /// An empty book whose clients call from `local`.
    pub fn new(local: IpAddr, bytes: ByteCounter) -> Self {
        Self { local, bytes, clients: Arc::default() }
    }

    /// The client for `address`. Different uses have connections of their own, so that waiting
    /// calls and large bodies hold up nothing else.
    pub fn client(&self, address: SocketAddr, usage: &'static str) -> PeerClient {
        let mut clients = self.clients.lock().unwrap_or_else(|it| it.into_inner());
        clients
            .entry((address, usage))
            .or_insert_with(|| PeerClient::new(address, self.local, self.bytes.clone()))
            .clone()
    }
}
