//! Tests of the public interface of the store crate, on a store in memory that loses messages.

#![allow(missing_docs, clippy::unwrap_used)]

use std::{
    collections::BTreeMap,
    future::Future,
    sync::{Arc, Mutex},
    time::Duration,
};

use model::StepError;
use store::{
    ApplyOutcome, PlatformStore, SheetRecord, StoreChanges, StoreError, StoreValue, VmListing,
    apply_sheet,
};

/// How the store treats the next write; later writes are normal.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WriteFault {
    None,
    /// The write takes effect, but its reply is lost.
    LostReply,
    /// The write takes effect, its reply is lost, and another operator's sheet replaces it.
    LostReplyThenReplaced,
    /// The request is lost in transit.
    LostRequest,
    /// Another operator's write takes effect first.
    ConcurrentWrite,
}

#[derive(Clone)]
struct FakeStore {
    values: Arc<Mutex<BTreeMap<String, StoreValue>>>,
    fault: Arc<Mutex<WriteFault>>,
}

impl FakeStore {
    fn new(fault: WriteFault) -> Self {
        Self { values: Arc::default(), fault: Arc::new(Mutex::new(fault)) }
    }

    fn write(&self, key: &str, expected: Option<u64>, value: String) -> Result<u64, StoreError> {
        let mut values = self.values.lock().unwrap();
        if values.get(key).map(|it| it.revision) != expected {
            return Err(StoreError::Conflict);
        }
        let revision = values.values().map(|it| it.revision).max().unwrap_or_default() + 1;
        values.insert(key.to_owned(), StoreValue { key: key.to_owned(), revision, value });
        Ok(revision)
    }
}

fn lost_write() -> StoreError {
    StoreError::Unknown(StepError::new("store-write", "store", "timeout"))
}

impl PlatformStore for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<StoreValue>, StoreError> {
        Ok(self.values.lock().unwrap().get(key).cloned())
    }

    async fn put(
        &self,
        key: &str,
        expected: Option<u64>,
        value: String,
    ) -> Result<u64, StoreError> {
        let fault = std::mem::replace(&mut *self.fault.lock().unwrap(), WriteFault::None);
        match fault {
            WriteFault::None => self.write(key, expected, value),
            WriteFault::LostReply => self.write(key, expected, value).and(Err(lost_write())),
            WriteFault::LostReplyThenReplaced => {
                let revision = self.write(key, expected, value.clone())?;
                self.write("sheet-history/1", None, value)?;
                let other = serde_json::to_string(&record(2, "bert")).unwrap();
                self.write(key, Some(revision), other)?;
                Err(lost_write())
            }
            WriteFault::LostRequest => Err(lost_write()),
            WriteFault::ConcurrentWrite => {
                let other = serde_json::to_string(&record(1, "bert")).unwrap();
                self.write(key, expected, other)?;
                self.write(key, expected, value)
            }
        }
    }

    fn watch(
        &self,
        _after: u64,
        _wait: Duration,
    ) -> impl Future<Output = Result<StoreChanges, StoreError>> + Send {
        std::future::pending()
    }

    async fn list_vms(&self) -> Result<Vec<VmListing>, StoreError> {
        Ok(Vec::new())
    }
}

fn record(revision: u64, author: &str) -> SheetRecord {
    SheetRecord {
        revision,
        attempt: format!("{author}-{revision}"),
        author: author.to_owned(),
        applied_at: 0,
        text: format!("sheet of {author}"),
    }
}

#[tokio::test(start_paused = true)]
async fn sheets_with_consecutive_revisions_are_accepted() {
    let store = FakeStore::new(WriteFault::None);
    assert_eq!(apply_sheet(&store, record(1, "anna")).await, ApplyOutcome::Accepted(1));
    assert_eq!(apply_sheet(&store, record(2, "anna")).await, ApplyOutcome::Accepted(2));
}

#[tokio::test(start_paused = true)]
async fn sheet_planned_from_an_older_revision_is_superseded() {
    let store = FakeStore::new(WriteFault::None);
    apply_sheet(&store, record(1, "anna")).await;
    let superseded = ApplyOutcome::Superseded(Box::new(record(1, "anna")));
    assert_eq!(apply_sheet(&store, record(1, "bert")).await, superseded);
}

#[tokio::test(start_paused = true)]
async fn loser_of_a_concurrent_apply_gets_the_winning_sheet() {
    let store = FakeStore::new(WriteFault::ConcurrentWrite);
    let superseded = ApplyOutcome::Superseded(Box::new(record(1, "bert")));
    assert_eq!(apply_sheet(&store, record(1, "anna")).await, superseded);
}

#[tokio::test(start_paused = true)]
async fn lost_reply_is_resolved_by_reading_back() {
    let store = FakeStore::new(WriteFault::LostReply);
    assert_eq!(apply_sheet(&store, record(1, "anna")).await, ApplyOutcome::Accepted(1));
}

#[tokio::test(start_paused = true)]
async fn lost_reply_is_resolved_from_the_history_after_a_later_sheet() {
    let store = FakeStore::new(WriteFault::LostReplyThenReplaced);
    assert_eq!(apply_sheet(&store, record(1, "anna")).await, ApplyOutcome::Accepted(1));
}

#[tokio::test(start_paused = true)]
async fn sheet_is_in_the_history_before_it_is_replaced() {
    let store = FakeStore::new(WriteFault::None);
    let value = serde_json::to_string(&record(1, "anna")).unwrap();
    store.write("sheet/current", None, value).unwrap();
    assert_eq!(apply_sheet(&store, record(2, "bert")).await, ApplyOutcome::Accepted(2));
    assert!(store.get("sheet-history/1").await.unwrap().is_some());
}

#[tokio::test(start_paused = true)]
async fn write_that_never_takes_effect_is_reported_as_unknown() {
    let store = FakeStore::new(WriteFault::LostRequest);
    assert_eq!(apply_sheet(&store, record(1, "anna")).await, ApplyOutcome::Unknown(lost_write()));
}
