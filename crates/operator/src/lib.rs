//! The operators' HTTP edge of each daemon: health, metrics and a dump of its state.

mod client;
mod http_server;

use std::future::Future;

use serde::{Deserialize, Serialize};

pub use client::{fetch_dump, fetch_health};
pub use http_server::serve_operators;

/// Whether the platform's balancer should send callers here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthState {
    /// The process takes new work.
    Serving,
    /// The process has started but cannot serve yet.
    Starting,
    /// The process finishes accepted work and takes no more.
    Leaving,
}

/// What a daemon shows its operators.
pub trait OperatorSource: Clone + Send + Sync + 'static {
    /// Its health.
    fn health(&self) -> HealthState;

    /// Its metrics in prometheus's text format.
    fn metrics(&self) -> String;

    /// Its state.
    fn dump(&self) -> impl Future<Output = serde_json::Value> + Send;
}
