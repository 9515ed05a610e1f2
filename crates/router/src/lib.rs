//! The router daemon: takes callers' requests to backend servers.
//!
//! One thread keeps the control state (the lease on the map, the sheet, the homes) and publishes
//! immutable tables; the traffic threads read them.

mod attempt;
mod control;
mod forward;
mod inflight;
mod keyed;
mod operator_edge;
mod peer_edge;
mod peer_health;
mod run;
mod settings_file;
mod shared_service;
mod state;
mod table;
mod traffic;

pub use run::{command, main_with, run_router};
pub use settings_file::{RawSettings, RouterSettings};
