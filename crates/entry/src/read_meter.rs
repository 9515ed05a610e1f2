//! Bounds what is read of an answer, whichever part of it has no end.

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard},
};

use crate::{
    ByteBudget, byte_budget::ByteReservation, connections::MAX_HEAD_BYTES,
    observed_stream::ReadObserver,
};

/// Bytes that may arrive until the head of an answer is complete, with interim answers ahead of it and the
/// part of the body that is read with it. Interim answers cost far more time than a body of their length.
const MAX_BYTES_TO_HEAD: usize = 4 * MAX_HEAD_BYTES;

/// Limits on what a peer may send.
#[derive(Debug, Clone)]
pub struct AnswerBounds {
    /// Largest answer in bytes, its head included.
    pub max_bytes: usize,
    /// Budget of the process that the answers' bytes come out of.
    pub budget: ByteBudget,
}

/// Bytes received since the last request, with their limits; clones share them.
///
/// It counts all bytes, so that heads, interim answers, chunk headers and bodies without end are
/// bounded alike.
#[derive(Debug, Clone)]
pub(crate) struct ReadMeter {
    state: Arc<Mutex<MeterState>>,
    max_bytes: usize,
}

#[derive(Debug)]
struct MeterState {
    n_read: usize,
    /// Whether the head is complete.
    has_head: bool,
    reservation: ByteReservation,
    /// Why nothing more is read.
    cut: Option<&'static str>,
}

impl ReadMeter {
    pub(crate) fn new(bounds: AnswerBounds) -> Self {
        let AnswerBounds { max_bytes, budget } = bounds;
        let state =
            MeterState { n_read: 0, has_head: false, reservation: budget.reservation(), cut: None };
        Self { state: Arc::new(Mutex::new(state)), max_bytes }
    }

    fn lock(&self) -> MutexGuard<'_, MeterState> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Starts counting anew, for the answer to the next request.
    pub(crate) fn restart(&self) {
        let mut state = self.lock();
        state.n_read = 0;
        state.has_head = false;
        drop(state.reservation.take());
    }

    pub(crate) fn note_head(&self) {
        self.lock().has_head = true;
    }

    /// The reservation of what has been received.
    pub(crate) fn take_reservation(&self) -> ByteReservation {
        self.lock().reservation.take()
    }

    pub(crate) fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    pub(crate) fn n_read(&self) -> usize {
        self.lock().n_read
    }

    /// Why the answer was cut off, if it was.
    pub(crate) fn cut(&self) -> Option<String> {
        let state = self.lock();
        state.cut.map(|cause| format!("{cause}: {} bytes received", state.n_read))
    }
}

impl ReadObserver for ReadMeter {
    fn note_read(&mut self, n_bytes: usize) -> io::Result<()> {
        let mut state = self.lock();
        state.n_read += n_bytes;
        let cut = match () {
            () if state.n_read > self.max_bytes => Some("answer is too long"),
            () if !state.has_head && state.n_read > MAX_BYTES_TO_HEAD => {
                Some("answer has no head after too many bytes")
            }
            () if !state.reservation.grow(n_bytes) => Some("no memory for the answer"),
            () => None,
        };
        state.cut = cut;
        match cut {
            Some(cause) => Err(io::Error::new(io::ErrorKind::InvalidData, cause)),
            None => Ok(()),
        }
    }
}
