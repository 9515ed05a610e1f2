//! Positions in the store's history, which may begin again from an older copy.
//!
//! The store counts its revisions up, and its era each time it comes back from a copy; the revisions after
//! that of the copy are then given out again. A position has the era in its upper bits, so that positions
//! are ordered by era and revision wherever a revision is compared.

/// Bits of a position that hold the revision.
const REVISION_BITS: u32 = 40;

/// Largest era that a position can hold.
pub const MAX_ERA: u64 = (1 << (u64::BITS - REVISION_BITS)) - 1;

/// The position of a revision in an era; both in range.
pub const fn position(era: u64, revision: u64) -> u64 {
    (era << REVISION_BITS) | (revision & revision_of(u64::MAX))
}

/// The era of a position.
pub const fn era_of(position: u64) -> u64 {
    position >> REVISION_BITS
}

/// The store's revision at a position.
pub const fn revision_of(position: u64) -> u64 {
    position & ((1 << REVISION_BITS) - 1)
}
