//! The `[lease]` table: lease and heartbeat lengths, the same on all VMs.

use std::time::Duration;

use ownership::LeaseTiming;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{SettingError, shared::check_range};

/// Lengths in milliseconds; absent fields keep their defaults.
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

/// Longest allowed length, in milliseconds.
const MAX_LENGTH_MS: u128 = 60_000;

impl TryFrom<RawLease> for LeaseTiming {
    type Error = SettingError;

    fn try_from(raw: RawLease) -> Result<Self, SettingError> {
        let base = Self::default();
        let pick = |field: &str, value: Option<Duration>, default: Duration| {
            let value = value.unwrap_or(default);
            check_range(field, value.as_millis(), 10, MAX_LENGTH_MS).map(|_| value)
        };
        let timing = Self {
            heartbeat: pick("lease.heartbeat_ms", raw.heartbeat_ms, base.heartbeat)?,
            planner_silence: pick(
                "lease.planner_silence_ms",
                raw.planner_silence_ms,
                base.planner_silence,
            )?,
            authority: pick("lease.authority_ms", raw.authority_ms, base.authority)?,
            router_lease: pick("lease.router_lease_ms", raw.router_lease_ms, base.router_lease)?,
            grant_lease: pick("lease.grant_lease_ms", raw.grant_lease_ms, base.grant_lease)?,
            server_silence: pick(
                "lease.server_silence_ms",
                raw.server_silence_ms,
                base.server_silence,
            )?,
            ..base
        };
        check_order(&timing)?;
        Ok(timing)
    }
}

fn check_order(timing: &LeaseTiming) -> Result<(), SettingError> {
    let at_least_double =
        |field: &str, value: Duration, unit: &str, least: Duration| match value >= least * 2 {
            true => Ok(()),
            false => Err(SettingError::new(
                field,
                value.as_millis(),
                format!("at least twice {unit} ({} ms)", least.as_millis()),
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
