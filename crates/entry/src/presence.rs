//! Announces this VM to the others with a presence record under a lease.

use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::{sync::watch, time::sleep};

use crate::{
    LeaseId, RecordChange, SnapshotChannel, StateStore, StoreError, VmPresence,
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

/// How far this VM's record has been written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PresenceState {
    /// There is no lease.
    Absent,
    /// The lease is open; the record may have been written.
    Leased(LeaseId),
    /// The record has been written under the lease.
    Announced(LeaseId),
}

/// Maintains the record until `stop` becomes true or its sender is gone, then ends its lease.
pub async fn maintain_presence<S: StateStore>(
    store: S,
    vm: model::VmName,
    presence: VmPresence,
    channel: SnapshotChannel,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let mut state = PresenceState::Absent;
    let mut era = channel.current().era();
    loop {
        // A store that has come back from an older copy may have the lease without the record.
        let current_era = channel.current().era();
        if std::mem::replace(&mut era, current_era) != current_era {
            state = PresenceState::Absent;
        }
        let delay = match advance(&store, &vm, &presence, state).await {
            Ok(next) => {
                let was_announced = matches!(state, PresenceState::Announced(_));
                state = next;
                match state {
                    PresenceState::Announced(_) if was_announced => RENEWAL_INTERVAL,
                    PresenceState::Announced(lease) => {
                        info!(log, "presence-announced"; "lease" => lease.0);
                        RENEWAL_INTERVAL
                    }
                    PresenceState::Leased(_) | PresenceState::Absent => Duration::ZERO,
                }
            }
            Err(StoreError::LeaseEnded) => {
                state = PresenceState::Absent;
                Duration::ZERO
            }
            Err(err) => {
                warn!(log, "presence-call-failed"; "cause" => %err);
                RETRY_DELAY
            }
        };
        tokio::select! {
            biased;
            _ = stop.wait_for(|it| *it) => break,
            () = sleep(delay) => (),
        }
    }
    if let PresenceState::Leased(lease) | PresenceState::Announced(lease) = state {
        let res = store.end_lease(lease, STORE_TIMEOUT).await;
        info!(log, "presence-ended"; "is_lease_ended" => res.is_ok());
    }
}

/// Makes the call that follows from `state`, and returns the state after it.
async fn advance<S: StateStore>(
    store: &S,
    vm: &model::VmName,
    presence: &VmPresence,
    state: PresenceState,
) -> Result<PresenceState, StoreError> {
    match state {
        PresenceState::Absent => {
            store.open_lease(LEASE_LENGTH, STORE_TIMEOUT).await.map(PresenceState::Leased)
        }
        PresenceState::Leased(lease) => {
            let name = format!("{VM_PREFIX}{vm}");
            let change = RecordChange {
                expected: Vec::new(),
                writes: vec![(name, encode_record(presence), Some(lease))],
                removals: Vec::new(),
            };
            store.change(change, STORE_TIMEOUT).await?;
            Ok(PresenceState::Announced(lease))
        }
        PresenceState::Announced(lease) => {
            store.renew_lease(lease, STORE_TIMEOUT).await.map(|()| PresenceState::Announced(lease))
        }
    }
}
