//! Health of the routers to which requests are forwarded.
//!
//! A late reply or a failed connection starts a probe on a connection of its own. While the probe
//! fails, nothing is forwarded to that router, so that later requests are refused at once as not
//! run instead of ending with an unknown outcome.

use std::{
    collections::{HashMap, hash_map::Entry},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use peer::{ByteCounter, PeerClient, PeerRequest};
use slog::info;

use crate::state::{RouterState, lock};

/// Longest wait for the reply to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay before the next probe after one that failed.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// State of a router that is being probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeState {
    /// No probe has failed yet.
    Probing,
    /// A probe has failed.
    Lost,
}

/// Routers that replied late or could not be reached, with the state of their probes.
#[derive(Debug, Default)]
pub(crate) struct PeerHealth {
    probes: Mutex<HashMap<SocketAddr, ProbeState>>,
}

impl PeerHealth {
    /// Whether a probe of the router has failed and none has succeeded since.
    pub(crate) fn is_lost(&self, peer: SocketAddr) -> bool {
        lock(&self.probes).get(&peer) == Some(&ProbeState::Lost)
    }

    /// Starts to probe a router unless it is being probed already.
    pub(crate) fn start_probe(state: &Arc<RouterState>, peer: SocketAddr) {
        if let Entry::Vacant(entry) = lock(&state.peer_health.probes).entry(peer) {
            entry.insert(ProbeState::Probing);
            tokio::spawn(probe_until_reachable(state.clone(), peer));
        }
    }
}

async fn probe_until_reachable(state: Arc<RouterState>, peer: SocketAddr) {
    let local = state.settings.identity.local;
    loop {
        let client = PeerClient::new(peer, local, ByteCounter::default());
        if client.call(&PeerRequest::Hello, PROBE_TIMEOUT).await.is_ok() {
            break;
        }
        let previous = lock(&state.peer_health.probes).insert(peer, ProbeState::Lost);
        if previous != Some(ProbeState::Lost) {
            info!(state.log, "peer-lost"; "peer" => %peer);
        }
        tokio::time::sleep(PROBE_RETRY_DELAY).await;
    }
    // The router is up, but the connection on which it did not reply in time may be dead.
    state.peers.client(peer, "forward").reset_connection().await;
    if lock(&state.peer_health.probes).remove(&peer) == Some(ProbeState::Lost) {
        info!(state.log, "peer-recovered"; "peer" => %peer);
    }
}
