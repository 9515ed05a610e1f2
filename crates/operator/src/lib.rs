//! HTTP server of each daemon for operators: health, metrics and a dump of the daemon's state.

mod client;
mod http_server;

use std::future::Future;

use serde::{Deserialize, Serialize};

pub use client::{fetch_dump, fetch_explanation, fetch_health};
pub use http_server::serve_operators;

/// Health of a process. It tells the platform's load balancer whether to send callers to a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthState {
    /// The process accepts new work.
    Serving,
    /// The process has started but cannot serve yet.
    Starting,
    /// The process finishes accepted work and accepts no more.
    Leaving,
}

/// Source of what a daemon shows to operators.
pub trait OperatorSource: Clone + Send + Sync + 'static {
    /// Current health of the daemon.
    fn health(&self) -> HealthState;

    /// Current metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Snapshot of the daemon's state.
    fn dump(&self) -> impl Future<Output = serde_json::Value> + Send;
}
