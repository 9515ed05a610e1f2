//! Tests of the entry crate's public API.

mod change_relay;
mod change_source;
mod connections;
mod datagrams;
mod fixtures;
mod state_cache;
