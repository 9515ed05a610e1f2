//! Collects a body of which the budget knows every byte: no part is copied while it grows.

use bytes::{Bytes, BytesMut};

use crate::ByteReservation;

/// Bytes of the first segment of a body of unknown length; most end in it.
const FIRST_SEGMENT_BYTES: usize = 8 * 1024;

/// Bytes of each further segment. Segments of one size can take each other's place in the heap.
const SEGMENT_BYTES: usize = 64 * 1024;

/// A body that is being received.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    segments: Vec<BytesMut>,
    n_bytes: usize,
}

impl BodyBuffer {
    /// A buffer for a body of the declared length, which its caller has checked, or of an unknown one.
    pub(crate) fn new(declared: Option<usize>) -> Self {
        let segments = declared.map(BytesMut::with_capacity).into_iter().collect();
        Self { segments, n_bytes: 0 }
    }

    /// Bytes received so far.
    pub(crate) fn len(&self) -> usize {
        self.n_bytes
    }

    /// Appends a part.
    pub(crate) fn push(&mut self, mut part: &[u8]) {
        self.n_bytes += part.len();
        while !part.is_empty() {
            let free = self.segments.last().map_or(0, |it| it.capacity() - it.len());
            if free == 0 {
                let is_first = self.segments.is_empty();
                let n_bytes = if is_first { FIRST_SEGMENT_BYTES } else { SEGMENT_BYTES };
                self.segments.push(BytesMut::with_capacity(n_bytes));
                continue;
            }
            let (fitting, rest) = part.split_at(part.len().min(free));
            if let Some(segment) = self.segments.last_mut() {
                segment.extend_from_slice(fitting);
            }
            part = rest;
        }
    }

    /// The whole body, which keeps the reservation; `None` if the budget has no room to join its segments.
    pub(crate) fn into_bytes(mut self, reservation: ByteReservation) -> Option<Bytes> {
        if self.segments.len() <= 1 {
            let body = self.segments.pop().unwrap_or_default();
            return Some(reservation.attach(body));
        }
        let mut joined_reservation = reservation.empty();
        if !joined_reservation.grow(self.n_bytes) {
            return None;
        }
        let mut joined = BytesMut::with_capacity(self.n_bytes);
        for segment in self.segments {
            joined.extend_from_slice(&segment);
        }
        Some(joined_reservation.attach(joined))
    }
}
