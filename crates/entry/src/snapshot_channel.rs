//! Publishes the cached state to the threads of the process and to the VMs that it relays to.

use std::{sync::Arc, time::Duration};

use model::VmName;
use tokio::{
    sync::{Notify, watch},
    time::sleep,
};

use crate::{RelayLog, StateSnapshot, state_cache::StateCache};

/// Minimum time between calls when a refresh has been requested.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Channel that publishes snapshots to all threads and carries refresh requests back.
#[derive(Debug, Clone)]
pub struct SnapshotChannel {
    sender: Arc<watch::Sender<Arc<StateSnapshot>>>,
    refresh: Arc<Notify>,
    relay_log: Option<RelayLog>,
}

impl Default for SnapshotChannel {
    fn default() -> Self {
        let (sender, _) = watch::channel(Arc::default());
        Self { sender: Arc::new(sender), refresh: Arc::default(), relay_log: None }
    }
}

impl SnapshotChannel {
    /// Creates a channel that also adds published changes to a relay log.
    pub fn with_relay(relay_log: RelayLog) -> Self {
        Self { relay_log: Some(relay_log), ..Self::default() }
    }

    /// The last published snapshot.
    pub fn current(&self) -> Arc<StateSnapshot> {
        self.sender.borrow().clone()
    }

    /// Returns a receiver that is notified of each publication.
    pub fn subscribe(&self) -> watch::Receiver<Arc<StateSnapshot>> {
        self.sender.subscribe()
    }

    /// Requests a call to the source as soon as `REFRESH_INTERVAL` allows.
    pub fn request_refresh(&self) {
        self.refresh.notify_one();
    }

    /// Publishes the state to this process's threads, and adds the changes to the relay log.
    pub fn publish(&self, cache: &mut StateCache) {
        let changes = cache.take_changes();
        if let Some(relay_log) = &self.relay_log {
            relay_log.add(changes, cache.snapshot());
        }
        self.sender.send_replace(Arc::new(cache.snapshot().clone()));
    }

    /// Tells the relay log through which VMs this VM gets its changes, the nearest first.
    pub(crate) fn set_relay_path(&self, path: Vec<VmName>) {
        if let Some(relay_log) = &self.relay_log {
            relay_log.set_path(path);
        }
    }

    /// Waits for `length`; a requested refresh ends the wait once `REFRESH_INTERVAL` has passed.
    pub(crate) async fn pause(&self, length: Duration) {
        sleep(length.min(REFRESH_INTERVAL)).await;
        let rest = length.saturating_sub(REFRESH_INTERVAL);
        tokio::select! {
            () = sleep(rest) => (),
            () = self.refresh.notified() => (),
        }
    }
}
