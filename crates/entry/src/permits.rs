//! Calls for permits to other VMs: to send to servers that have named a rate (see
//! [`policy::PermitKeeper`]), and for requests of teams that have a quota (see [`policy::QuotaPool`]).
//!
//! They are datagrams: a lost one is sent again, and one that arrives twice only takes a permit that
//! nobody uses.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use policy::{KeeperRank, PermitDecision, PermitKeeper};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, sync::oneshot, time::timeout};

use crate::{
    ServerBackpressure,
    datagrams::{
        DATAGRAM_BUFFER_BYTES, PeerDatagram, bind_socket, decode_datagram, encode_datagrams,
    },
};

/// Time without an answer after which a call is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(80);

/// Number of times that a call is sent before it is given up.
const MAX_SENDS: u32 = 3;

/// A router's call for a permit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number of the call, unique among those of its sender's socket.
    pub id: u64,
    /// The server, and the rate that it has named as far as the router knows.
    pub server: ServerBackpressure,
    /// Which keeper the router takes the receiver for.
    pub rank: KeeperRank,
    /// Milliseconds for which the request can wait.
    pub max_wait_ms: u32,
}

/// Answer to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Number of the call.
    pub id: u64,
    /// The keeper's decision.
    pub decision: PermitDecision,
}

/// Schedules that this process keeps for all VMs, shared by its threads.
#[derive(Debug, Clone, Default)]
pub struct SharedKeeper(Arc<Mutex<PermitKeeper>>);

impl SharedKeeper {
    /// Locks the schedules.
    pub fn lock(&self) -> MutexGuard<'_, PermitKeeper> {
        self.0.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// Calls that have no answer yet.
type PendingCalls = Rc<RefCell<HashMap<u64, oneshot::Sender<PeerDatagram>>>>;

/// Calls the keepers on other VMs, from one thread.
#[derive(Debug, Default)]
pub struct PermitClient {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    pending: PendingCalls,
    n_calls: Cell<u64>,
}

impl PermitRequest {
    /// A call that can wait for `max_wait`.
    pub fn new(id: u64, server: ServerBackpressure, rank: KeeperRank, max_wait: Duration) -> Self {
        let max_wait_ms = max_wait.as_millis().min(u32::MAX.into()) as u32;
        Self { id, server, rank, max_wait_ms }
    }
}

impl PermitClient {
    /// Calls a keeper with the datagram that `make` creates from the number of the call, and returns its
    /// answer; `None` if it does not answer.
    pub async fn call(
        &self,
        keeper: SocketAddr,
        own: SocketAddr,
        make: impl FnOnce(u64) -> PeerDatagram,
    ) -> Option<PeerDatagram> {
        let socket = self.socket(own).await?;
        let id = self.n_calls.get();
        self.n_calls.set(id + 1);
        let datagrams = encode_datagrams(make(id)).ok()?;
        let (sender, mut reply) = oneshot::channel();
        self.pending.borrow_mut().insert(id, sender);
        let _guard = PendingGuard { pending: self.pending.clone(), id };
        for _ in 0..MAX_SENDS {
            for bytes in &datagrams {
                // One that can't be sent counts as lost.
                let _ = socket.send_to(bytes, keeper).await;
            }
            if let Ok(res) = timeout(RESEND_INTERVAL, &mut reply).await {
                return res.ok();
            }
        }
        None
    }

    /// The socket for calls, which is opened for the first one.
    async fn socket(&self, own: SocketAddr) -> Option<Rc<UdpSocket>> {
        if let Some(socket) = &*self.socket.borrow() {
            return Some(socket.clone());
        }
        let socket = Rc::new(bind_socket(SocketAddr::new(own.ip(), 0)).await.ok()?);
        tokio::task::spawn_local(receive_replies(socket.clone(), self.pending.clone()));
        self.socket.borrow_mut().replace(socket.clone());
        Some(socket)
    }
}

/// Delivers replies to the calls that wait for them.
async fn receive_replies(socket: Rc<UdpSocket>, pending: PendingCalls) {
    let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buffer).await else {
            // Such as a keeper's port that is closed; the call times out.
            tokio::task::yield_now().await;
            continue;
        };
        let Some(reply) = decode_datagram(&buffer[..len]) else {
            continue;
        };
        let id = match &reply {
            PeerDatagram::PermitReply(reply) => reply.id,
            PeerDatagram::QuotaReply(reply) => reply.id,
            _ => continue,
        };
        if let Some(sender) = pending.borrow_mut().remove(&id) {
            // The call may have been given up.
            let _ = sender.send(reply);
        }
    }
}

/// Forgets a call when it ends, also when its caller disconnects.
struct PendingGuard {
    pending: PendingCalls,
    id: u64,
}

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.pending.borrow_mut().remove(&self.id);
    }
}
