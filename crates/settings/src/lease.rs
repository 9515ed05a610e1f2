//! The `[lease]` table: durations of leases, heartbeats and silence, which must be the same on all
//! VMs.

use std::time::Duration;

use ownership::LeaseTiming;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{SettingError, shared::check_range};

/// The `[lease]` table of a settings file, in milliseconds; absent fields keep their defaults.
#[serde_as]
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLease {
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    heartbeat_ms: Option<Duration>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    planner_silence_ms: Option<Duration>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    authority_ms: Option<Duration>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    router_lease_ms: Option<Duration>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    grant_lease_ms: Option<Duration>,
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default)]
    server_silence_ms: Option<Duration>,
}

/// Shortest duration that a field may have, in milliseconds.
const MIN_DURATION_MS: u128 = 10;

/// Longest duration that a field may have, in milliseconds.
const MAX_DURATION_MS: u128 = 60_000;

impl TryFrom<RawLease> for LeaseTiming {
    type Error = SettingError;

    fn try_from(raw: RawLease) -> Result<Self, SettingError> {
        let defaults = Self::default();
        let value_or = |field: &str, value: Option<Duration>, default: Duration| {
            let value = value.unwrap_or(default);
            check_range(field, value.as_millis(), MIN_DURATION_MS, MAX_DURATION_MS).map(|_| value)
        };
        let timing = Self {
            heartbeat: value_or("lease.heartbeat_ms", raw.heartbeat_ms, defaults.heartbeat)?,
            planner_silence: value_or(
                "lease.planner_silence_ms",
                raw.planner_silence_ms,
                defaults.planner_silence,
            )?,
            authority: value_or("lease.authority_ms", raw.authority_ms, defaults.authority)?,
            router_lease: value_or(
                "lease.router_lease_ms",
                raw.router_lease_ms,
                defaults.router_lease,
            )?,
            grant_lease: value_or(
                "lease.grant_lease_ms",
                raw.grant_lease_ms,
                defaults.grant_lease,
            )?,
            server_silence: value_or(
                "lease.server_silence_ms",
                raw.server_silence_ms,
                defaults.server_silence,
            )?,
            ..defaults
        };
        check_order(&timing)?;
        Ok(timing)
    }
}

/// Checks that the planner silence spans at least two heartbeats, and the authority at least two
/// planner silences: a lease must outlast the silence that ends it.
fn check_order(timing: &LeaseTiming) -> Result<(), SettingError> {
    let at_least_double =
        |field: &str, value: Duration, base_field: &str, base: Duration| match value >= base * 2 {
            true => Ok(()),
            false => Err(SettingError::new(
                field,
                value.as_millis(),
                format!("at least twice {base_field} ({} ms)", base.as_millis()),
            )),
        };
    at_least_double(
        "lease.planner_silence_ms",
        timing.planner_silence,
        "heartbeat_ms",
        timing.heartbeat,
    )?;
    at_least_double(
        "lease.authority_ms",
        timing.authority,
        "planner_silence_ms",
        timing.planner_silence,
    )
}
