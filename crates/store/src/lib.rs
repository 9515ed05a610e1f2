//! The platform's key-value store and its list of VMs.
//!
//! [`PlatformStore`] is the interface, [`HttpStore`] its implementation over HTTP. A write whose
//! reply is lost fails with [`StoreError::Unknown`]: it may have taken effect.

mod http_store;
mod records;

use std::{fmt, future::Future, time::Duration};

use model::{StepError, VmName};
use serde::{Deserialize, Serialize};

pub use http_store::HttpStore;
pub use records::{ApplyOutcome, SheetRecord, apply_sheet};

/// Key of the sheet in force; its value is a [`SheetRecord`] in JSON.
pub const SHEET_KEY: &str = "sheet/current";

/// Key of the homes table, which assigns each slice its home domain.
pub const HOMES_KEY: &str = "homes";

/// Returns the key under which the history keeps the accepted sheet of that revision.
pub fn sheet_history_key(revision: u64) -> String {
    format!("sheet-history/{revision}")
}

/// Returns the key of a failure domain's record.
pub fn domain_key(domain: &model::DomainName) -> String {
    format!("domain/{domain}")
}

/// A value and its revision, which a write that replaces it must name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreValue {
    /// Key under which the store holds the value.
    pub key: String,
    /// Store revision of the last write to this key.
    pub revision: u64,
    /// Text of the value, as it was written.
    pub value: String,
}

/// Changes that a watch returns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChanges {
    /// Store revision from which the next watch continues.
    pub revision: u64,
    /// Latest value of each changed key.
    pub changes: Vec<StoreValue>,
}

/// An entry of the platform's list of VMs, which lags behind the VMs' actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Name of the VM.
    pub name: VmName,
    /// Whether the platform is about to remove the VM.
    pub is_leaving: bool,
}

/// Error of a store call, by what is known of the call's effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The key's revision is not the expected one; nothing was written.
    Conflict,
    /// The call failed and had no effect.
    NoEffect(StepError),
    /// The outcome is unknown: the write may have taken effect.
    Unknown(StepError),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("step=store-write cause=conflict"),
            Self::NoEffect(err) => write!(f, "{err} effect=none"),
            Self::Unknown(err) => write!(f, "{err} effect=unknown"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Interface to the platform's key-value store and VM list.
pub trait PlatformStore: Clone + Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str)
    -> impl Future<Output = Result<Option<StoreValue>, StoreError>> + Send;

    /// Writes one key if its revision is still `expected`, or if it is absent when `expected` is
    /// `None` (compare-and-set). Returns the new revision.
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

    /// Reads the platform's list of VMs.
    fn list_vms(&self) -> impl Future<Output = Result<Vec<VmListing>, StoreError>> + Send;
}
