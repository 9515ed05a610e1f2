//! Integration tests of the crate's public interface.

#![allow(missing_docs, clippy::unwrap_used)]

mod in_flight;
