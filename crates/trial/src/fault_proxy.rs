//! TCP proxy that forwards connections to a listener and injects network faults: delay, partition,
//! stalled connections, closed connections and truncated answers.

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{mpsc, watch},
    task::JoinHandle,
    time::Instant,
};

use crate::deployment::Deployment;

/// Pairs of sites between which no data passes. A site is the index of a failure domain, or
/// [`PLATFORM_SITE`].
#[derive(Debug, Default)]
pub(crate) struct PartitionTable {
    partitions: Mutex<BTreeSet<(u8, u8)>>,
}

/// Site of the platform and the callers, outside every failure domain.
pub(crate) const PLATFORM_SITE: u8 = 255;

impl PartitionTable {
    pub(crate) fn set(&self, first: u8, second: u8, state: LinkState) {
        let mut partitions = self.partitions.lock().unwrap_or_else(|it| it.into_inner());
        let pair = (first.min(second), first.max(second));
        match state {
            LinkState::Cut => partitions.insert(pair),
            LinkState::Connected => partitions.remove(&pair),
        };
    }

    fn is_partitioned(&self, first: u8, second: u8) -> bool {
        let partitions = self.partitions.lock().unwrap_or_else(|it| it.into_inner());
        partitions.contains(&(first.min(second), first.max(second)))
    }
}

/// Whether data passes between two sites.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkState {
    Cut,
    Connected,
}

/// Faults that one proxy injects.
#[derive(Debug, Default)]
pub(crate) struct ProxyFaults {
    /// Connections that were opened before this time, in milliseconds since the proxy was made,
    /// are stalled.
    stalled_before_ms: AtomicU64,
    /// Number of answers still to be truncated.
    pub(crate) n_truncated_answers: AtomicI64,
    is_down: AtomicBool,
}

/// A proxy in front of one listener of the trial.
pub(crate) struct FaultProxy {
    pub(crate) faults: Arc<ProxyFaults>,
    listen_address: SocketAddr,
    target_address: SocketAddr,
    /// Site of the listener.
    site: u8,
    deployment: Arc<Deployment>,
    partitions: Arc<PartitionTable>,
    /// One-way delay of connections from another site.
    delay: Duration,
    started: Instant,
    accept_task: Mutex<Option<JoinHandle<()>>>,
    /// Raised to break every open connection.
    generation: watch::Sender<u64>,
}

impl FaultProxy {
    /// Listens at `listen_address` and forwards to `target_address`, which is at `site`.
    pub(crate) async fn open(
        listen_address: SocketAddr,
        target_address: SocketAddr,
        site: u8,
        deployment: Arc<Deployment>,
        partitions: Arc<PartitionTable>,
        delay: Duration,
    ) -> eyre::Result<Arc<Self>> {
        let proxy = Arc::new(Self {
            faults: Arc::default(),
            listen_address,
            target_address,
            site,
            deployment,
            partitions,
            delay,
            started: Instant::now(),
            accept_task: Mutex::new(None),
            generation: watch::Sender::new(0),
        });
        proxy.clone().listen().await?;
        Ok(proxy)
    }

    /// Starts to accept connections, also again after [`FaultProxy::close`].
    pub(crate) async fn listen(self: Arc<Self>) -> eyre::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.listen_address)?;
        let listener = socket.listen(1_024)?;
        self.faults.is_down.store(false, Ordering::Relaxed);
        let proxy = self.clone();
        let task = tokio::spawn(async move { proxy.accept(listener).await });
        *self.accept_task.lock().unwrap_or_else(|it| it.into_inner()) = Some(task);
        Ok(())
    }

    /// Refuses new connections and breaks open ones, as a host does after its process has died.
    pub(crate) fn close(&self) {
        self.faults.is_down.store(true, Ordering::Relaxed);
        if let Some(task) = self.accept_task.lock().unwrap_or_else(|it| it.into_inner()).take() {
            task.abort();
        }
        self.generation.send_modify(|it| *it += 1);
    }

    /// Stalls the connections that are open now: they stay open, but no data passes.
    pub(crate) fn stall_connections(&self) {
        let elapsed_ms = self.started.elapsed().as_millis() as u64;
        self.faults.stalled_before_ms.store(elapsed_ms, Ordering::Relaxed);
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((socket, client_address)) = listener.accept().await {
            tokio::spawn(self.clone().forward(socket, client_address.ip()));
        }
    }

    async fn forward(self: Arc<Self>, client: TcpStream, client_ip: IpAddr) {
        let Ok(server) = TcpStream::connect(self.target_address).await else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let opened_at_ms = self.started.elapsed().as_millis() as u64;
        let client_site = self.deployment.domain_of(client_ip).unwrap_or(PLATFORM_SITE);
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let connection = ProxyConnection { proxy: self.clone(), client_site, opened_at_ms };
        let mut generation = self.generation.subscribe();
        let upstream = connection.clone().relay(client_read, server_write, FlowDirection::Upstream);
        let downstream = connection.relay(server_read, client_write, FlowDirection::Downstream);
        tokio::select! {
            _ = upstream => (),
            _ = downstream => (),
            _ = generation.changed() => (),
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum FlowDirection {
    /// From the client to the listener.
    Upstream,
    /// From the listener to the client.
    Downstream,
}

/// What both directions of a forwarded connection need.
#[derive(Clone)]
struct ProxyConnection {
    proxy: Arc<FaultProxy>,
    client_site: u8,
    opened_at_ms: u64,
}

/// Time between checks whether a stalled or partitioned connection may pass data again.
const BLOCKED_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl ProxyConnection {
    fn is_stalled(&self) -> bool {
        self.opened_at_ms < self.proxy.faults.stalled_before_ms.load(Ordering::Relaxed)
    }

    fn is_blocked(&self) -> bool {
        self.is_stalled() || self.proxy.partitions.is_partitioned(self.client_site, self.proxy.site)
    }

    async fn relay(
        self,
        mut read: tokio::net::tcp::OwnedReadHalf,
        mut write: tokio::net::tcp::OwnedWriteHalf,
        direction: FlowDirection,
    ) {
        let delay =
            if self.client_site == self.proxy.site { Duration::ZERO } else { self.proxy.delay };
        let (chunks, mut due_chunks) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
        let reader = async move {
            let mut buffer = vec![0; 64 * 1_024];
            while let Ok(n_bytes @ 1..) = read.read(&mut buffer).await {
                if chunks.send((Instant::now() + delay, buffer[..n_bytes].to_vec())).is_err() {
                    return;
                }
            }
        };
        let writer = async move {
            while let Some((due_at, mut chunk)) = due_chunks.recv().await {
                if !delay.is_zero() {
                    tokio::time::sleep_until(due_at).await;
                }
                while self.is_blocked() {
                    tokio::time::sleep(BLOCKED_POLL_INTERVAL).await;
                }
                if direction == FlowDirection::Downstream && self.consume_truncation(&chunk) {
                    chunk.truncate(chunk.len() - 5);
                    let _ = write.write_all(&chunk).await;
                    return;
                }
                if write.write_all(&chunk).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            // Waits for both: the writer ends only once it has passed on the reader's last chunk.
            ((), ()) = async { tokio::join!(reader, writer) } => (),
        }
    }

    /// Whether to truncate this chunk: it holds a whole successful answer, and the fault has
    /// answers left to truncate. Counts the answer against them.
    fn consume_truncation(&self, chunk: &[u8]) -> bool {
        let is_answer = chunk.starts_with(b"HTTP/1.1 200") && chunk.ends_with(b"whole\n");
        is_answer
            && self
                .proxy
                .faults
                .n_truncated_answers
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| (n > 0).then(|| n - 1))
                .is_ok()
    }
}
