//! The platform's key-value store and its list of VMs.
//!
//! [`PlatformStore`] is what the product needs of the platform; [`HttpStore`] speaks to it over
//! HTTP. A reply that was lost after a write took effect shows as [`StoreError::Unknown`].

mod http_store;
mod records;

use std::{fmt, future::Future, time::Duration};

use model::{StepError, VmName};
use serde::{Deserialize, Serialize};

pub use http_store::HttpStore;
pub use records::{ApplyOutcome, SheetRecord, apply_sheet};

/// Key of the sheet in force.
pub const SHEET_KEY: &str = "sheet/current";

/// Key of the homes table.
pub const HOMES_KEY: &str = "homes";

/// Key of an accepted sheet in the history.
pub fn sheet_history_key(revision: u64) -> String {
    format!("sheet-history/{revision}")
}

/// Key of a domain's record.
pub fn domain_key(domain: &model::DomainName) -> String {
    format!("domain/{domain}")
}

/// A value with the store revision that a replacement must name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreValue {
    /// The key.
    pub key: String,
    /// Store revision of the last write of this key.
    pub revision: u64,
    /// The value.
    pub value: String,
}

/// Changes that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChanges {
    /// Store revision to watch from next.
    pub revision: u64,
    /// Newest value of each changed key.
    pub changes: Vec<StoreValue>,
}

/// Presence of a VM in the platform's list, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// The VM.
    pub name: VmName,
    /// Whether the platform is about to take it away.
    pub is_leaving: bool,
}

/// Why the store did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The key has another revision than expected.
    Conflict,
    /// The store did not take the call, which had no effect.
    NotDone(StepError),
    /// No answer; the call may have taken effect.
    Unknown(StepError),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("step=store-write cause=conflict"),
            Self::NotDone(err) => write!(f, "{err} effect=none"),
            Self::Unknown(err) => write!(f, "{err} effect=unknown"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The platform as the product uses it.
pub trait PlatformStore: Clone + Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str)
    -> impl Future<Output = Result<Option<StoreValue>, StoreError>> + Send;

    /// Replaces one key if it still has revision `expected`, or is absent when `expected` is none.
    /// Returns the new revision.
    fn put(
        &self,
        key: &str,
        expected: Option<u64>,
        value: String,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Waits up to `wait` for changes after store revision `after`.
    fn watch(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreChanges, StoreError>> + Send;

    /// The platform's list of VMs.
    fn list_vms(&self) -> impl Future<Output = Result<Vec<VmListing>, StoreError>> + Send;
}
