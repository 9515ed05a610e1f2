//! Durations of leases, heartbeats and failure detection.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Lease and heartbeat durations, which must be equal on all VMs of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTiming {
    /// Interval between a planner's heartbeats to its witnesses.
    pub heartbeat: Duration,
    /// Time without a heartbeat after which a witness starts an election.
    pub planner_silence: Duration,
    /// Additional delay of each further candidate, so that two rarely compete.
    pub takeover_stagger: Duration,
    /// Time for which a planner may act, counted from a heartbeat that a majority accepted.
    pub authority: Duration,
    /// Maximum length of a router's lease on the map.
    pub router_lease: Duration,
    /// Interval at which a router renews its lease.
    pub router_renewal: Duration,
    /// Maximum length of a server's lease on its grants.
    pub grant_lease: Duration,
    /// Interval at which the grants of a server are renewed.
    pub grant_renewal: Duration,
    /// Time without a reply from a server after which its slices are moved.
    pub server_silence: Duration,
    /// Time for which a server that returns must answer before it is assigned slices.
    pub server_probation: Duration,
    /// Safety margin for clocks that run at different rates.
    pub drift_margin: Duration,
    /// Time after which a change that the store has not saved takes effect on the witnesses alone.
    pub store_write_timeout: Duration,
    /// Time without a reply from a witness after which it is replaced.
    pub witness_silence: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            planner_silence: Duration::from_millis(300),
            takeover_stagger: Duration::from_millis(60),
            authority: Duration::from_millis(700),
            router_lease: Duration::from_millis(600),
            router_renewal: Duration::from_millis(100),
            grant_lease: Duration::from_millis(600),
            grant_renewal: Duration::from_millis(100),
            server_silence: Duration::from_millis(350),
            server_probation: Duration::from_millis(1_000),
            drift_margin: Duration::from_millis(20),
            store_write_timeout: Duration::from_millis(150),
            witness_silence: Duration::from_millis(2_000),
        }
    }
}
