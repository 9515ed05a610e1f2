//! Tests of the public interface of the sheet crate.

#![allow(missing_docs, clippy::unwrap_used)]

mod accepted;
mod diffs;
mod rejected;
