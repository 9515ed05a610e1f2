//! The planner's settings.

use std::net::SocketAddr;

use ownership::LeaseTiming;
use serde::Deserialize;
use settings::{IdentitySettings, RawLease, RawLog, SettingError, check_addresses, parse_field};
use slog::Level;

/// Checked settings of a planner.
#[derive(Debug, Clone)]
pub struct PlannerSettings {
    /// Who the planner is.
    pub identity: IdentitySettings,
    /// Where other VMs are served.
    pub peer: SocketAddr,
    /// Where operators are served.
    pub operator: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Other planners, to ask for a sheet while none is known.
    pub planners: Vec<SocketAddr>,
    /// Lease and heartbeat lengths.
    pub timing: LeaseTiming,
    /// Level below which nothing is logged.
    pub log_level: Level,
}

/// The settings file as it is written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    vm: String,
    domain: String,
    local: String,
    #[serde(default)]
    planners: Vec<String>,
    listen: RawListen,
    platform: RawPlatform,
    #[serde(default)]
    lease: RawLease,
    #[serde(default)]
    log: RawLog,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawListen {
    peer: String,
    operator: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlatform {
    store: String,
}

const ADDRESS: &str = "IP:PORT";

impl TryFrom<RawSettings> for PlannerSettings {
    type Error = SettingError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingError> {
        let identity = IdentitySettings::check(&raw.vm, &raw.domain, &raw.local)?;
        let peer = parse_field("listen.peer", &raw.listen.peer, ADDRESS)?;
        let operator = parse_field("listen.operator", &raw.listen.operator, ADDRESS)?;
        let store = parse_field("platform.store", &raw.platform.store, ADDRESS)?;
        check_addresses(&[
            ("listen.peer", peer),
            ("listen.operator", operator),
            ("platform.store", store),
        ])?;
        let mut planners = Vec::new();
        for (idx, text) in raw.planners.iter().enumerate() {
            planners.push(parse_field(&format!("planners[{idx}]"), text, ADDRESS)?);
        }
        Ok(Self {
            identity,
            peer,
            operator,
            store,
            planners,
            timing: raw.lease.try_into()?,
            log_level: raw.log.check()?,
        })
    }
}
