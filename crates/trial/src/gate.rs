//! A gate in front of a listener: it forwards connections, and delays, cuts or silences them.

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

/// Pairs of places between which nothing passes; the platform is place 255.
#[derive(Debug, Default)]
pub(crate) struct CutBook {
    cuts: Mutex<BTreeSet<(u8, u8)>>,
}

/// Place of the platform in a [`CutBook`].
pub(crate) const PLATFORM: u8 = 255;

impl CutBook {
    pub(crate) fn set(&self, a: u8, b: u8, is_cut: CutState) {
        let mut cuts = self.cuts.lock().unwrap_or_else(|it| it.into_inner());
        let pair = (a.min(b), a.max(b));
        match is_cut {
            CutState::Cut => cuts.insert(pair),
            CutState::Joined => cuts.remove(&pair),
        };
    }

    fn is_cut(&self, a: u8, b: u8) -> bool {
        let cuts = self.cuts.lock().unwrap_or_else(|it| it.into_inner());
        cuts.contains(&(a.min(b), a.max(b)))
    }
}

/// Whether two places are cut off from each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CutState {
    Cut,
    Joined,
}

/// Faults of one gate.
#[derive(Debug, Default)]
pub(crate) struct GateFaults {
    /// Connections older than this many milliseconds since the gate opened pass nothing.
    silent_before: AtomicU64,
    /// Answers still to be cut in the middle.
    pub(crate) n_cut: AtomicI64,
    is_down: AtomicBool,
}

/// One gate.
pub(crate) struct Gate {
    pub(crate) faults: Arc<GateFaults>,
    outer: SocketAddr,
    inner: SocketAddr,
    place: u8,
    net: Arc<Deployment>,
    cuts: Arc<CutBook>,
    delay: Duration,
    started: Instant,
    task: Mutex<Option<JoinHandle<()>>>,
    generation: watch::Sender<u64>,
}

impl Gate {
    /// Opens a gate from `outer` to `inner`, standing at `place`.
    pub(crate) async fn open(
        outer: SocketAddr,
        inner: SocketAddr,
        place: u8,
        net: Arc<Deployment>,
        cuts: Arc<CutBook>,
        delay: Duration,
    ) -> eyre::Result<Arc<Self>> {
        let gate = Arc::new(Self {
            faults: Arc::default(),
            outer,
            inner,
            place,
            net,
            cuts,
            delay,
            started: Instant::now(),
            task: Mutex::new(None),
            generation: watch::Sender::new(0),
        });
        gate.clone().raise().await?;
        Ok(gate)
    }

    /// Listens again after [`Gate::close`].
    pub(crate) async fn raise(self: Arc<Self>) -> eyre::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.outer)?;
        let listener = socket.listen(1_024)?;
        self.faults.is_down.store(false, Ordering::Relaxed);
        let gate = self.clone();
        let task = tokio::spawn(async move { gate.accept(listener).await });
        *self.task.lock().unwrap_or_else(|it| it.into_inner()) = Some(task);
        Ok(())
    }

    /// Refuses new connections and breaks open ones, as a host does whose process has died.
    pub(crate) fn close(&self) {
        self.faults.is_down.store(true, Ordering::Relaxed);
        if let Some(task) = self.task.lock().unwrap_or_else(|it| it.into_inner()).take() {
            task.abort();
        }
        self.generation.send_modify(|it| *it += 1);
    }

    /// Lets nothing pass on connections that are open now.
    pub(crate) fn silence(&self) {
        let age = self.started.elapsed().as_millis() as u64;
        self.faults.silent_before.store(age, Ordering::Relaxed);
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((socket, from)) = listener.accept().await {
            tokio::spawn(self.clone().forward(socket, from.ip()));
        }
    }

    async fn forward(self: Arc<Self>, outer: TcpStream, from: IpAddr) {
        let Ok(inner) = TcpStream::connect(self.inner).await else { return };
        let _ = (outer.set_nodelay(true), inner.set_nodelay(true));
        let opened_at = self.started.elapsed().as_millis() as u64;
        let from = self.net.domain_of(from).unwrap_or(PLATFORM);
        let (outer_read, outer_write) = outer.into_split();
        let (inner_read, inner_write) = inner.into_split();
        let link = Link { gate: self.clone(), from, opened_at };
        let mut generation = self.generation.subscribe();
        let forth = link.clone().pump(outer_read, inner_write, Direction::Forth);
        let back = link.pump(inner_read, outer_write, Direction::Back);
        tokio::select! {
            _ = forth => (),
            _ = back => (),
            _ = generation.changed() => (),
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Forth,
    Back,
}

/// One forwarded connection.
#[derive(Clone)]
struct Link {
    gate: Arc<Gate>,
    from: u8,
    opened_at: u64,
}

/// Time between looks at whether a held-up link passes again.
const HOLD_STEP: Duration = Duration::from_millis(5);

impl Link {
    fn is_silent(&self) -> bool {
        self.opened_at < self.gate.faults.silent_before.load(Ordering::Relaxed)
    }

    fn is_held(&self) -> bool {
        self.is_silent() || self.gate.cuts.is_cut(self.from, self.gate.place)
    }

    async fn pump(
        self,
        mut read: tokio::net::tcp::OwnedReadHalf,
        mut write: tokio::net::tcp::OwnedWriteHalf,
        direction: Direction,
    ) {
        let delay = if self.from == self.gate.place { Duration::ZERO } else { self.gate.delay };
        let (chunks, mut due) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
        let reader = async move {
            let mut buffer = vec![0; 64 * 1_024];
            while let Ok(n_read @ 1..) = read.read(&mut buffer).await {
                if chunks.send((Instant::now() + delay, buffer[..n_read].to_vec())).is_err() {
                    return;
                }
            }
        };
        let writer = async move {
            while let Some((at, mut chunk)) = due.recv().await {
                if !delay.is_zero() {
                    tokio::time::sleep_until(at).await;
                }
                while self.is_held() {
                    tokio::time::sleep(HOLD_STEP).await;
                }
                if direction == Direction::Back && self.takes_cut(&chunk) {
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
            // The writer ends after the reader's last chunk has been passed on.
            ((), ()) = async { tokio::join!(reader, writer) } => (),
        }
    }

    /// Whether this answer is to be cut in the middle.
    fn takes_cut(&self, chunk: &[u8]) -> bool {
        let is_answer = chunk.starts_with(b"HTTP/1.1 200") && chunk.ends_with(b"whole\n");
        is_answer
            && self
                .gate
                .faults
                .n_cut
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| (n > 0).then(|| n - 1))
                .is_ok()
    }
}
