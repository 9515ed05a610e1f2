//! The sheet's record, and applying a sheet so that exactly one of two racing operators wins.

use serde::{Deserialize, Serialize};

use crate::{PlatformStore, SHEET_KEY, StoreError, StoreValue, sheet_history_key};

/// An accepted sheet as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRecord {
    /// Revision of the sheet; one more than that of the sheet it replaced.
    pub revision: u64,
    /// Identity of the attempt that wrote it, so that a lost reply can be resolved.
    pub attempt: String,
    /// Who applied it.
    pub author: String,
    /// Wall-clock second at which it was applied.
    pub applied_at: u64,
    /// The sheet's text.
    pub text: String,
}

/// What came of applying a sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The sheet is accepted with this revision.
    Accepted(u64),
    /// Another sheet is in force than the one this was planned from.
    Superseded(Box<SheetRecord>),
    /// The store could not be reached; nothing was changed.
    NotApplied(StoreError),
    /// The store did not answer and could not be read afterwards; the sheet may be in force.
    Unknown(StoreError),
}

/// Reads of the store that resolve a lost reply before the outcome is reported as unknown.
const RESOLVE_ATTEMPTS: u32 = 10;

/// Pause between those reads.
const RESOLVE_PAUSE: std::time::Duration = std::time::Duration::from_millis(300);

/// Applies `record` over the sheet revision before its own.
pub async fn apply_sheet(store: &impl PlatformStore, record: SheetRecord) -> ApplyOutcome {
    let current = match read_sheet(store).await {
        Ok(current) => current,
        Err(err) => return ApplyOutcome::NotApplied(err),
    };
    let (in_force, expected) = match current {
        Some((held, value)) => (held.revision, Some((held, value.revision))),
        None => (0, None),
    };
    if in_force + 1 != record.revision {
        return match expected {
            Some((held, _)) => ApplyOutcome::Superseded(Box::new(held)),
            None => ApplyOutcome::Superseded(Box::new(empty_record())),
        };
    }
    if let Some((held, _)) = &expected {
        // Whoever applied it may have lost the reply and looks for it in the history.
        let _ = store.put(&sheet_history_key(held.revision), None, encode(held)).await;
    }
    let value = encode(&record);
    match store.put(SHEET_KEY, expected.map(|(_, revision)| revision), value).await {
        Ok(_) => accepted(store, &record).await,
        Err(StoreError::NotDone(err)) => ApplyOutcome::NotApplied(StoreError::NotDone(err)),
        Err(err) => resolve(store, record, err).await,
    }
}

/// Reads the sheet in force with its place in the store.
///
/// # Errors
/// When the store does not answer or its value is not a sheet record.
pub(crate) async fn read_sheet(
    store: &impl PlatformStore,
) -> Result<Option<(SheetRecord, StoreValue)>, StoreError> {
    let Some(value) = store.get(SHEET_KEY).await? else {
        return Ok(None);
    };
    match serde_json::from_str(&value.value) {
        Ok(record) => Ok(Some((record, value))),
        Err(err) => Err(StoreError::NotDone(model::StepError::new("decode-sheet", SHEET_KEY, err))),
    }
}

fn encode(record: &SheetRecord) -> String {
    serde_json::to_string(record).unwrap_or_default()
}

fn empty_record() -> SheetRecord {
    SheetRecord {
        revision: 0,
        attempt: String::new(),
        author: String::new(),
        applied_at: 0,
        text: String::new(),
    }
}

/// Finds out by reading what became of a write whose reply is missing.
async fn resolve(
    store: &impl PlatformStore,
    record: SheetRecord,
    cause: StoreError,
) -> ApplyOutcome {
    for _ in 0..RESOLVE_ATTEMPTS {
        match read_sheet(store).await {
            Ok(Some((held, _))) if held.attempt == record.attempt => {
                return accepted(store, &record).await;
            }
            Ok(Some((held, _))) if held.revision >= record.revision => {
                return find_in_history(store, record, held).await;
            }
            // The write may still be on its way, so that an older sheet proves nothing.
            Ok(_) | Err(_) => tokio::time::sleep(RESOLVE_PAUSE).await,
        }
    }
    ApplyOutcome::Unknown(cause)
}

/// Another sheet is in force now; the history tells whether ours was before it.
async fn find_in_history(
    store: &impl PlatformStore,
    record: SheetRecord,
    held: SheetRecord,
) -> ApplyOutcome {
    let ours = store.get(&sheet_history_key(record.revision)).await;
    let is_ours = |value: &StoreValue| {
        serde_json::from_str::<SheetRecord>(&value.value)
            .is_ok_and(|it| it.attempt == record.attempt)
    };
    match ours {
        Ok(Some(value)) if is_ours(&value) => ApplyOutcome::Accepted(record.revision),
        _ => ApplyOutcome::Superseded(Box::new(held)),
    }
}

async fn accepted(store: &impl PlatformStore, record: &SheetRecord) -> ApplyOutcome {
    // The history serves people; a sheet that is missing from it is in force all the same.
    let key = sheet_history_key(record.revision);
    let _ = store.put(&key, None, encode(record)).await;
    ApplyOutcome::Accepted(record.revision)
}
