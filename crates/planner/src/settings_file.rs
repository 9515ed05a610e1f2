//! The planner's settings file.

use std::net::SocketAddr;

use ownership::LeaseTiming;
use serde::Deserialize;
use settings::{IdentitySettings, RawLease, RawLog, SettingError, check_addresses, parse_field};
use slog::Level;

/// Validated settings of a planner.
#[derive(Debug, Clone)]
pub struct PlannerSettings {
    /// VM, failure domain and local address of the planner.
    pub identity: IdentitySettings,
    /// Address on which routers and the planners of other VMs are served.
    pub peer: SocketAddr,
    /// Address on which operators are served.
    pub operator: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of other planners, to ask for a sheet until one is known; may be empty.
    pub planners: Vec<SocketAddr>,
    /// Lengths of leases, heartbeats and timeouts; must be the same on all VMs.
    pub timing: LeaseTiming,
    /// Least severe level that is logged.
    pub log_level: Level,
}

/// The settings file as parsed from TOML, before its values are validated.
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

const ADDRESS_FORMAT: &str = "IP:PORT";

impl TryFrom<RawSettings> for PlannerSettings {
    type Error = SettingError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingError> {
        let identity = IdentitySettings::check(&raw.vm, &raw.domain, &raw.local)?;
        let peer = parse_field("listen.peer", &raw.listen.peer, ADDRESS_FORMAT)?;
        let operator = parse_field("listen.operator", &raw.listen.operator, ADDRESS_FORMAT)?;
        let store = parse_field("platform.store", &raw.platform.store, ADDRESS_FORMAT)?;
        check_addresses(&[
            ("listen.peer", peer),
            ("listen.operator", operator),
            ("platform.store", store),
        ])?;
        let mut planners = Vec::new();
        for (idx, text) in raw.planners.iter().enumerate() {
            planners.push(parse_field(&format!("planners[{idx}]"), text, ADDRESS_FORMAT)?);
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
