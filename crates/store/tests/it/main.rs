//! Tests of the platform crate at its boundary.

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

/// What the store does with the next writes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NextWrite {
    Plain,
    /// The write takes effect, and its reply is lost.
    LostReply,
    /// The write takes effect, its reply is lost, and another sheet replaces it.
    LostReplyThenReplaced,
    /// The request is lost on its way.
    LostRequest,
    /// Another operator's sheet comes first.
    Overtaken,
}

#[derive(Clone)]
struct FakeStore {
    values: Arc<Mutex<BTreeMap<String, StoreValue>>>,
    next: Arc<Mutex<NextWrite>>,
}

impl FakeStore {
    fn new(next: NextWrite) -> Self {
        Self { values: Arc::default(), next: Arc::new(Mutex::new(next)) }
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

fn lost() -> StoreError {
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
        let next = std::mem::replace(&mut *self.next.lock().unwrap(), NextWrite::Plain);
        match next {
            NextWrite::Plain => self.write(key, expected, value),
            NextWrite::LostReply => self.write(key, expected, value).and(Err(lost())),
            NextWrite::LostReplyThenReplaced => {
                let revision = self.write(key, expected, value.clone())?;
                self.write("sheet-history/1", None, value)?;
                let other = serde_json::to_string(&record(2, "bert")).unwrap();
                self.write(key, Some(revision), other)?;
                Err(lost())
            }
            NextWrite::LostRequest => Err(lost()),
            NextWrite::Overtaken => {
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
async fn the_first_sheet_is_accepted() {
    let store = FakeStore::new(NextWrite::Plain);
    assert_eq!(apply_sheet(&store, record(1, "anna")).await, ApplyOutcome::Accepted(1));
    assert_eq!(apply_sheet(&store, record(2, "anna")).await, ApplyOutcome::Accepted(2));
}

#[tokio::test(start_paused = true)]
async fn a_sheet_planned_from_an_older_one_is_told_what_is_in_force() {
    let store = FakeStore::new(NextWrite::Plain);
    apply_sheet(&store, record(1, "anna")).await;
    let superseded = ApplyOutcome::Superseded(Box::new(record(1, "anna")));
    assert_eq!(apply_sheet(&store, record(1, "bert")).await, superseded);
}

#[tokio::test(start_paused = true)]
async fn of_two_racing_operators_the_loser_is_told() {
    let store = FakeStore::new(NextWrite::Overtaken);
    let superseded = ApplyOutcome::Superseded(Box::new(record(1, "bert")));
    assert_eq!(apply_sheet(&store, record(1, "anna")).await, superseded);
}

#[tokio::test(start_paused = true)]
async fn a_lost_reply_is_resolved_to_accepted() {
    let store = FakeStore::new(NextWrite::LostReply);
    assert_eq!(apply_sheet(&store, record(1, "anna")).await, ApplyOutcome::Accepted(1));
}

#[tokio::test(start_paused = true)]
async fn a_lost_reply_is_resolved_although_another_sheet_followed() {
    let store = FakeStore::new(NextWrite::LostReplyThenReplaced);
    assert_eq!(apply_sheet(&store, record(1, "anna")).await, ApplyOutcome::Accepted(1));
}

#[tokio::test(start_paused = true)]
async fn a_sheet_reaches_the_history_before_it_is_replaced() {
    let store = FakeStore::new(NextWrite::Plain);
    let value = serde_json::to_string(&record(1, "anna")).unwrap();
    store.write("sheet/current", None, value).unwrap();
    assert_eq!(apply_sheet(&store, record(2, "bert")).await, ApplyOutcome::Accepted(2));
    assert!(store.get("sheet-history/1").await.unwrap().is_some());
}

#[tokio::test(start_paused = true)]
async fn a_request_that_never_shows_is_reported_as_unknown() {
    let store = FakeStore::new(NextWrite::LostRequest);
    assert_eq!(apply_sheet(&store, record(1, "anna")).await, ApplyOutcome::Unknown(lost()));
}
