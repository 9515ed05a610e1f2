//! The router daemon: routes callers' requests to backend servers.
//!
//! One thread keeps the control state (the lease on the ownership map, the sheet and the home
//! domain of each slice) and publishes immutable routing tables, which the traffic threads read.

mod attempt;
mod control;
mod forward;
mod inflight;
mod keyed;
mod operator_source;
mod peer_service;
mod peer_health;
mod run;
mod settings_file;
mod shared_service;
mod state;
mod table;
mod traffic;

pub use run::{command, main_with, run_router};
pub use settings_file::{RawSettings, RouterSettings};
