//! Tests of the ownership crate at its boundary.

#![allow(missing_docs, clippy::unwrap_used)]

mod delta;
mod handover;
mod inflight;
mod invariants;
mod placement;
mod revisions;
mod sessions;
mod shards;
mod sim;
mod witness;
