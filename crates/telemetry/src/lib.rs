//! Logs in logfmt, one line for each event, and metrics for Prometheus.

mod logs;
mod metrics;

pub use logs::{LogGuard, start_log};
pub use metrics::{PlannerMetrics, RouterMetrics, render};
