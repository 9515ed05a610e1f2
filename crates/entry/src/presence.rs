//! Announces this VM to the others with a presence record under a lease.

use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::{sync::watch, time::sleep};

use crate::{
    LeaseId, RecordChange, StateStore, StoreError, VmPresence,
    state_cache::{VM_PREFIX, encode_record},
};

/// Duration of the lease: the store removes the record of a dead VM this long after the lease was
/// last renewed.
const LEASE_LENGTH: Duration = Duration::from_millis(9_000);

/// Delay between a successful call and the next renewal.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(2_500);

/// Delay before the next attempt after a failed call. The lease outlasts two failed renewals in a
/// row.
const RETRY_DELAY: Duration = Duration::from_millis(2_000);

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);

/// Maintains the record until `stop` becomes true, then ends its lease.
pub async fn maintain_presence<S: StateStore>(
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
        let delay = match res {
            Ok(it) => {
                if lease.is_none() {
                    info!(log, "presence-announced"; "lease" => it.0);
                }
                lease = Some(it);
                RENEWAL_INTERVAL
            }
            Err(StoreError::LeaseEnded) => {
                lease = None;
                Duration::ZERO
            }
            Err(err) => {
                warn!(log, "presence-call-failed"; "cause" => %err);
                RETRY_DELAY
            }
        };
        tokio::select! {
            () = sleep(delay) => (),
            _ = stop.changed() => (),
        }
    }
    if let Some(lease) = lease {
        let res = store.end_lease(lease, STORE_TIMEOUT).await;
        info!(log, "presence-ended"; "is_lease_ended" => res.is_ok());
    }
}

async fn announce<S: StateStore>(
    store: &S,
    vm: &model::VmName,
    presence: &VmPresence,
) -> Result<LeaseId, StoreError> {
    let lease = store.open_lease(LEASE_LENGTH, STORE_TIMEOUT).await?;
    let name = format!("{VM_PREFIX}{vm}");
    let change = RecordChange {
        expected: Vec::new(),
        writes: vec![(name, encode_record(presence), Some(lease))],
        removals: Vec::new(),
    };
    store.change(change, STORE_TIMEOUT).await?;
    Ok(lease)
}
