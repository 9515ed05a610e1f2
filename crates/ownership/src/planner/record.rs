//! A planner's cached copy of its domain's record in the store.

use std::{sync::Arc, time::Duration};

use model::MonoTime;

use super::{PlannerAction, PlannerEvent, StoredRecord, WriteOutcome};
use crate::DomainMap;

/// Time without an answer after which the store counts as unreachable.
const STORE_UNREACHABLE_AFTER: Duration = Duration::from_millis(1_500);

/// Time after which an unanswered read is sent again.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum interval between reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// The record as last read or written, and the requests in flight.
#[derive(Debug, Default)]
pub(super) struct RecordView {
    known: Option<StoredRecord>,
    answered_at: Option<MonoTime>,
    read_sent_at: Option<MonoTime>,
    last_read_at: Option<MonoTime>,
    /// Map of the write in flight, which the role that started it may not outlive.
    writing: Option<Arc<DomainMap>>,
}

impl RecordView {
    /// The record as last read or written; `None` before the first read and after a failed write.
    pub(super) fn known(&self) -> Option<&StoredRecord> {
        self.known.as_ref()
    }

    /// Whether a write is in flight.
    pub(super) fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Whether the store has answered within [`STORE_UNREACHABLE_AFTER`].
    pub(super) fn is_reachable(&self, now: MonoTime) -> bool {
        self.answered_at.is_some_and(|it| now.since(it) < STORE_UNREACHABLE_AFTER)
    }

    /// Whether a read is in flight.
    pub(super) fn is_reading(&self) -> bool {
        self.read_sent_at.is_some()
    }

    /// Reads the record, unless a read is in flight or the last one was sent very recently.
    pub(super) fn read(&mut self, now: MonoTime, actions: &mut Vec<PlannerAction>) {
        let is_due = self.read_sent_at.is_none_or(|it| now.since(it) >= READ_RETRY_INTERVAL);
        let is_interval_over =
            self.last_read_at.is_none_or(|it| now.since(it) >= MIN_READ_INTERVAL);
        if is_due && is_interval_over {
            self.read_sent_at = Some(now);
            self.last_read_at = Some(now);
            actions.push(PlannerAction::ReadRecord);
        }
    }

    /// Replaces the known record by `map`; does nothing if no record is known. The caller must not
    /// call this while a write is in flight.
    pub(super) fn write(&mut self, map: Arc<DomainMap>, actions: &mut Vec<PlannerAction>) {
        let expected = match &self.known {
            Some(record) => record.map.as_ref().map(|_| record.revision),
            None => return,
        };
        self.writing = Some(map.clone());
        actions.push(PlannerAction::WriteRecord { map, expected });
    }

    /// Updates the cached record and the state of requests when a read or write ends.
    pub(super) fn observe(&mut self, event: &PlannerEvent, now: MonoTime) {
        match event {
            PlannerEvent::RecordRead(answer) => {
                self.read_sent_at = None;
                if let Some(record) = answer {
                    self.answered_at = Some(now);
                    self.known = Some(record.clone());
                }
            }
            PlannerEvent::RecordWritten { outcome, .. } => {
                let map = self.writing.take();
                match outcome {
                    WriteOutcome::Written(revision) => {
                        self.answered_at = Some(now);
                        self.known = Some(StoredRecord { map, revision: *revision });
                    }
                    WriteOutcome::Conflict => {
                        self.answered_at = Some(now);
                        self.known = None;
                    }
                    WriteOutcome::Unknown => self.known = None,
                }
            }
            PlannerEvent::HomesWritten(Some(_)) => self.answered_at = Some(now),
            _ => (),
        }
    }
}
