//! Tells the other VMs that this one is there, by a record under a lease.

use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::{sync::watch, time::sleep};

use crate::{
    LeaseId, RecordChange, StateStore, StoreError, VmPresence,
    feed::{VM_PREFIX, encode_record},
};

/// Length of the lease; a VM that is gone is missed after it.
const PRESENCE_LENGTH: Duration = Duration::from_millis(9_000);

/// Time between renewals.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(2_500);

/// Pause after a failed attempt.
const FAULT_PAUSE: Duration = Duration::from_millis(2_000);

/// Longest wait for the store's answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);

/// Keeps the record until `stop` says so.
pub async fn keep_presence<S: StateStore>(
    store: S,
    vm: model::VmName,
    presence: VmPresence,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let mut lease: Option<LeaseId> = None;
    while !*stop.borrow() {
        let res = match lease {
            Some(it) => store.renew_lease(it, STORE_TIMEOUT).await.map(|()| it),
            None => announce(&store, &vm, &presence).await,
        };
        let pause = match res {
            Ok(it) => {
                if lease.is_none() {
                    info!(log, "presence-announced"; "lease" => it.0);
                }
                lease = Some(it);
                PRESENCE_INTERVAL
            }
            Err(StoreError::LeaseEnded) => {
                lease = None;
                Duration::ZERO
            }
            Err(fault) => {
                warn!(log, "presence-renewal-failed"; "cause" => %fault);
                FAULT_PAUSE
            }
        };
        tokio::select! {
            () = sleep(pause) => (),
            _ = stop.changed() => (),
        }
    }
    if let Some(lease) = lease {
        let res = store.end_lease(lease, STORE_TIMEOUT).await;
        info!(log, "presence-ended"; "told" => res.is_ok());
    }
}

async fn announce<S: StateStore>(
    store: &S,
    vm: &model::VmName,
    presence: &VmPresence,
) -> Result<LeaseId, StoreError> {
    let lease = store.open_lease(PRESENCE_LENGTH, STORE_TIMEOUT).await?;
    let name = format!("{VM_PREFIX}{vm}");
    let change = RecordChange {
        expected: Vec::new(),
        writes: vec![(name, encode_record(presence), Some(lease))],
        removals: Vec::new(),
    };
    store.change(change, STORE_TIMEOUT).await?;
    Ok(lease)
}
