//! Lengths of leases and heartbeats.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Lease and heartbeat lengths that every VM of a deployment shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTiming {
    /// Time between a planner's heartbeats to its witnesses.
    pub heartbeat: Duration,
    /// Silence of the planner after which a witness seeks a takeover.
    pub planner_silence: Duration,
    /// Additional wait of each further witness, so that two seldom compete.
    pub takeover_stagger: Duration,
    /// How long a planner may act after asking a majority of witnesses.
    pub authority: Duration,
    /// Longest lease of a router on the map.
    pub router_lease: Duration,
    /// Time between a router's renewals.
    pub router_renewal: Duration,
    /// Longest lease of a server on its grants.
    pub grant_lease: Duration,
    /// Time between renewals of a server's grants.
    pub grant_renewal: Duration,
    /// Silence of a server after which its slices move.
    pub server_silence: Duration,
    /// Time for which a returning server must answer before it is given slices.
    pub server_probation: Duration,
    /// Allowance for clocks that run at different rates.
    pub drift_margin: Duration,
    /// Time that the store has to make a change durable before witnesses alone hold it.
    pub store_write_timeout: Duration,
    /// Silence of a witness after which it is replaced.
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
