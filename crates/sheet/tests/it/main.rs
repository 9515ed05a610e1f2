//! Tests of the sheet crate at its boundary.

#![allow(missing_docs, clippy::unwrap_used)]

mod accepted;
mod diffs;
mod rejected;
