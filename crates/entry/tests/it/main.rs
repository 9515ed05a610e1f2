//! Tests of the entry crate's public API.

mod backpressure;
mod byte_budget;
mod change_delay;
mod change_faults;
mod change_relay;
mod change_source;
mod cold_share;
mod connections;
mod datagrams;
mod fixtures;
mod fleet;
mod report_order;
mod state_cache;
