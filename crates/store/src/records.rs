//! Stored records of sheets, and applying a sheet by compare-and-set, so that exactly one of two
//! concurrent operators succeeds.

use serde::{Deserialize, Serialize};

use crate::{PlatformStore, SHEET_KEY, StoreError, StoreValue, sheet_history_key};

/// An accepted sheet in the form in which the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRecord {
    /// Revision of the sheet: one more than that of the sheet it replaced.
    pub revision: u64,
    /// Unique id of the attempt that wrote it; a read-back compares it after a lost reply.
    pub attempt: String,
    /// Name of the person who applied it, for the history.
    pub author: String,
    /// Wall-clock time at which it was applied, in seconds since the Unix epoch.
    pub applied_at: u64,
    /// The sheet's CSV text.
    pub text: String,
}

/// Outcome of applying a sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The sheet was accepted with this revision.
    Accepted(u64),
    /// Not applied: the sheet in force, given here, is not the one that this was planned from.
    Superseded(Box<SheetRecord>),
    /// Not applied: a read or the write failed without effect. Nothing was changed.
    NotApplied(StoreError),
    /// The write was not confirmed and reads did not settle its outcome; the sheet may be in force.
    Unknown(StoreError),
}

/// Reads after an unconfirmed write before the outcome is reported as unknown.
const MAX_READ_BACKS: u32 = 10;

/// Delay between these reads.
const READ_BACK_DELAY: std::time::Duration = std::time::Duration::from_millis(300);

/// Puts `record` in force if the sheet in force has the revision just before its own.
pub async fn apply_sheet(store: &impl PlatformStore, record: SheetRecord) -> ApplyOutcome {
    let current = match read_sheet(store).await {
        Ok(current) => current,
        Err(err) => return ApplyOutcome::NotApplied(err),
    };
    let (revision, expected) = match current {
        Some((current, value)) => (current.revision, Some((current, value.revision))),
        None => (0, None),
    };
    if revision + 1 != record.revision {
        return match expected {
            Some((current, _)) => ApplyOutcome::Superseded(Box::new(current)),
            None => ApplyOutcome::Superseded(Box::new(empty_record())),
        };
    }
    if let Some((current, _)) = &expected {
        // The operator who applied the current sheet may have lost the reply, and then finds out
        // from the history that it was accepted.
        let _ = store.put(&sheet_history_key(current.revision), None, encode(current)).await;
    }
    let value = encode(&record);
    match store.put(SHEET_KEY, expected.map(|(_, revision)| revision), value).await {
        Ok(_) => record_accepted(store, &record).await,
        Err(StoreError::NoEffect(err)) => ApplyOutcome::NotApplied(StoreError::NoEffect(err)),
        Err(err) => resolve_unconfirmed(store, record, err).await,
    }
}

/// Reads the sheet in force, and the store value that holds it.
///
/// # Errors
/// When the store cannot be read or the value is not a sheet record.
pub(crate) async fn read_sheet(
    store: &impl PlatformStore,
) -> Result<Option<(SheetRecord, StoreValue)>, StoreError> {
    let Some(value) = store.get(SHEET_KEY).await? else {
        return Ok(None);
    };
    match serde_json::from_str(&value.value) {
        Ok(record) => Ok(Some((record, value))),
        Err(err) => {
            Err(StoreError::NoEffect(model::StepError::new("decode-sheet", SHEET_KEY, err)))
        }
    }
}

fn encode(record: &SheetRecord) -> String {
    serde_json::to_string(record).unwrap_or_default()
}

/// The record reported as superseding when no sheet is in force.
fn empty_record() -> SheetRecord {
    SheetRecord {
        revision: 0,
        attempt: String::new(),
        author: String::new(),
        applied_at: 0,
        text: String::new(),
    }
}

/// Reads the sheet back to determine the outcome of a write that conflicted or whose reply was
/// lost.
async fn resolve_unconfirmed(
    store: &impl PlatformStore,
    record: SheetRecord,
    cause: StoreError,
) -> ApplyOutcome {
    for _ in 0..MAX_READ_BACKS {
        match read_sheet(store).await {
            Ok(Some((current, _))) if current.attempt == record.attempt => {
                return record_accepted(store, &record).await;
            }
            Ok(Some((current, _))) if current.revision >= record.revision => {
                return find_in_history(store, record, current).await;
            }
            // The write may still be in transit, so an older sheet does not settle the outcome.
            Ok(_) | Err(_) => tokio::time::sleep(READ_BACK_DELAY).await,
        }
    }
    ApplyOutcome::Unknown(cause)
}

/// Looks up in the history whether `record` was in force before `current` replaced it.
async fn find_in_history(
    store: &impl PlatformStore,
    record: SheetRecord,
    current: SheetRecord,
) -> ApplyOutcome {
    let entry = store.get(&sheet_history_key(record.revision)).await;
    let is_same_attempt = |value: &StoreValue| {
        serde_json::from_str::<SheetRecord>(&value.value)
            .is_ok_and(|it| it.attempt == record.attempt)
    };
    match entry {
        Ok(Some(value)) if is_same_attempt(&value) => ApplyOutcome::Accepted(record.revision),
        _ => ApplyOutcome::Superseded(Box::new(current)),
    }
}

/// Adds the accepted sheet to the history.
async fn record_accepted(store: &impl PlatformStore, record: &SheetRecord) -> ApplyOutcome {
    // A failure is ignored: the history is for operators to read, and the sheet is in force even if
    // the history lacks it. The next apply adds it before it replaces the sheet.
    let key = sheet_history_key(record.revision);
    let _ = store.put(&key, None, encode(record)).await;
    ApplyOutcome::Accepted(record.revision)
}
