//! Routers of other domains that do not answer.
//!
//! A slow answer starts a probe on a connection of its own. While the probe fails, nothing is
//! forwarded to that router, so that later requests are refused as not run at once instead of
//! ending with an unknown outcome.

use std::{
    collections::{HashMap, hash_map::Entry},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use peer::{ByteCounter, PeerClient, PeerRequest};
use slog::info;

use crate::state::{RouterState, lock};

/// Longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Pause between failed probes.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// What is known of a router that answered late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerState {
    /// The first probe is under way.
    Probed,
    /// A probe failed.
    Lost,
}

/// Routers that are being probed.
#[derive(Debug, Default)]
pub(crate) struct PeerHealth {
    doubtful: Mutex<HashMap<SocketAddr, PeerState>>,
}

impl PeerHealth {
    /// Whether the router's last probe failed.
    pub(crate) fn is_lost(&self, peer: SocketAddr) -> bool {
        lock(&self.doubtful).get(&peer) == Some(&PeerState::Lost)
    }

    /// Starts to probe a router unless that is under way.
    pub(crate) fn doubt(state: &Arc<RouterState>, peer: SocketAddr) {
        if let Entry::Vacant(free) = lock(&state.peer_health.doubtful).entry(peer) {
            free.insert(PeerState::Probed);
            tokio::spawn(probe_until_alive(state.clone(), peer));
        }
    }
}

async fn probe_until_alive(state: Arc<RouterState>, peer: SocketAddr) {
    let local = state.settings.identity.local;
    loop {
        let fresh = PeerClient::new(peer, local, ByteCounter::default());
        if fresh.call(&PeerRequest::Hello, PROBE_TIMEOUT).await.is_ok() {
            break;
        }
        let was = lock(&state.peer_health.doubtful).insert(peer, PeerState::Lost);
        if was != Some(PeerState::Lost) {
            info!(state.log, "peer-lost"; "peer" => %peer);
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
    // The router lives; the connection on which it did not answer may be dead.
    state.peers.client(peer, "forward").reset_connection().await;
    if lock(&state.peer_health.doubtful).remove(&peer) == Some(PeerState::Lost) {
        info!(state.log, "peer-found"; "peer" => %peer);
    }
}
