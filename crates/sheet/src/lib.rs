//! The planners' sheet: a CSV table of failure domains, VMs, services, backend servers and stops.
//!
//! [`PlanSheet::try_from`] parses and validates the text, and reports every error at once.

mod cells;
mod check;
mod diff;
mod parse;
mod rows;

pub use diff::{SheetChange, diff};
pub use parse::{SheetError, SheetErrors};
pub use rows::{
    DomainRow, PlanSheet, PresenceState, ServerRow, StopRow, StopTarget, VmRow, WorkState,
};
