//! Limit on the bytes of requests and answers that a process holds in all, from its memory limit.
//!
//! A limit for each answer or body does not bound their sum: a few faulty servers or callers with long
//! bodies could together take more than the process has.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

/// Bytes that a holder may have whatever others hold, as long as they are left.
const SMALL_BYTES: usize = 64 * 1024;

/// Largest size of another holder, as a multiple of the bytes that are left: the longest body that callers
/// may send has room beside usual traffic, and many long answers leave room for short ones.
const MAX_REST_MULTIPLE: usize = 2;

/// A number of bytes that all holders of a process share; clones share it.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    limit: usize,
    n_held: Arc<AtomicUsize>,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, n_held: Arc::default() }
    }

    /// Bytes that are held now.
    pub fn n_held(&self) -> usize {
        self.n_held.load(Ordering::Relaxed)
    }

    /// A reservation of no bytes.
    pub fn reservation(&self) -> ByteReservation {
        ByteReservation { budget: self.clone(), n_bytes: 0 }
    }

    /// Takes `n_more` bytes for a holder that has `n_own`; returns whether there was room.
    ///
    /// How much a holder may have depends on what is left, so that many long answers shorten each other.
    fn take(&self, n_own: usize, n_more: usize) -> bool {
        let with_more = |n_held: usize| {
            let n_new = n_held.checked_add(n_more).filter(|it| *it <= self.limit)?;
            let n_own = n_own + n_more;
            let n_left = (self.limit - n_new).saturating_mul(MAX_REST_MULTIPLE);
            (n_own <= SMALL_BYTES || n_own <= n_left).then_some(n_new)
        };
        self.n_held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, with_more).is_ok()
    }
}

/// Bytes of a budget that one holder has; dropping it returns them.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    n_bytes: usize,
}

impl ByteReservation {
    /// Adds `n_bytes`; returns whether there was room for them. If not, the reservation stays as it was.
    pub fn grow(&mut self, n_bytes: usize) -> bool {
        let is_taken = self.budget.take(self.n_bytes, n_bytes);
        if is_taken {
            self.n_bytes += n_bytes;
        }
        is_taken
    }

    /// A reservation of no bytes of the same budget.
    pub fn empty(&self) -> Self {
        self.budget.reservation()
    }

    /// Takes the bytes that it has, and leaves none.
    pub fn take(&mut self) -> Self {
        let empty = self.empty();
        std::mem::replace(self, empty)
    }

    /// The bytes, which keep the reservation until their last copy is dropped.
    pub fn attach(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        match bytes.as_ref() {
            [] => Bytes::new(),
            _ => Bytes::from_owner(ReservedBytes { bytes, _reservation: self }),
        }
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.n_held.fetch_sub(self.n_bytes, Ordering::Relaxed);
    }
}

struct ReservedBytes<T> {
    bytes: T,
    _reservation: ByteReservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for ReservedBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}
