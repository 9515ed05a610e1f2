//! The planner daemon: decides which server owns which slice. At most one planner acts in each
//! failure domain at a time.
//!
//! It also distributes the sheet and the homes to the routers of its domain, so that only the
//! acting planners, and those without a sheet, watch the platform's store.

mod control;
mod execute;
mod operator_source;
mod peer_service;
mod published_state;
mod watches;
mod run;
mod settings_file;

pub use run::{command, main_with, run_planner};
pub use settings_file::{PlannerSettings, RawSettings};
