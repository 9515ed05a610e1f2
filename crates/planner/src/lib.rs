//! The planner daemon: decides which server owns which slice, one planner acting in each domain.
//!
//! It also relays the sheet and the homes to the routers of its domain, so that only the acting
//! planners watch the platform's store.

mod control;
mod execute;
mod operator_edge;
mod peer_edge;
mod publication;
mod relay;
mod run;
mod settings_file;

pub use run::{command, main_with, run_planner};
pub use settings_file::{PlannerSettings, RawSettings};
