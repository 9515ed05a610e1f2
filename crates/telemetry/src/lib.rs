//! Logs and metrics: one line of key=value pairs for each event, counters for prometheus.

mod logs;
mod metrics;

pub use logs::{LogGuard, start_log};
pub use metrics::{PlannerMetrics, RouterMetrics, render};
