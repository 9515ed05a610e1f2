//! The router's settings file.

use std::{net::SocketAddr, time::Duration};

use ownership::LeaseTiming;
use policy::BalancerPolicy;
use serde::Deserialize;
use settings::{IdentitySettings, RawLease, RawLog, SettingError, check_addresses, parse_field};
use slog::Level;

/// Validated settings of a router.
#[derive(Debug, Clone)]
pub struct RouterSettings {
    /// VM, failure domain and local address of the router.
    pub identity: IdentitySettings,
    /// Address on which callers are served.
    pub caller: SocketAddr,
    /// Address on which the routers of other VMs are served.
    pub peer: SocketAddr,
    /// Address on which operators are served.
    pub operator: SocketAddr,
    /// Addresses of planners to ask until a sheet is known; at least one.
    pub planners: Vec<SocketAddr>,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of requests of callers that are served at once.
    pub max_in_flight: usize,
    /// Number of threads that serve requests of callers and other routers.
    pub traffic_threads: usize,
    /// Time for which a router that is shutting down, or whose VM the sheet drains, still serves
    /// the callers that the platform's balancer sends.
    pub leave_grace: Duration,
    /// Algorithm that chooses servers of shared services.
    pub policy: BalancerPolicy,
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
    planners: Vec<String>,
    listen: RawListen,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    policy: RawPolicy,
    #[serde(default)]
    lease: RawLease,
    #[serde(default)]
    log: RawLog,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawListen {
    caller: String,
    peer: String,
    operator: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLimits {
    max_body_kib: usize,
    max_in_flight: usize,
    traffic_threads: usize,
    leave_grace_ms: u64,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            max_body_kib: 1_024,
            max_in_flight: 4_096,
            traffic_threads: 2,
            leave_grace_ms: 1_500,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawPolicy {
    balancer: String,
}

impl Default for RawPolicy {
    fn default() -> Self {
        Self { balancer: BalancerPolicy::Adaptive.to_string() }
    }
}

const ADDRESS_FORMAT: &str = "IP:PORT";

impl TryFrom<RawSettings> for RouterSettings {
    type Error = SettingError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingError> {
        let identity = IdentitySettings::check(&raw.vm, &raw.domain, &raw.local)?;
        let caller = parse_field("listen.caller", &raw.listen.caller, ADDRESS_FORMAT)?;
        let peer = parse_field("listen.peer", &raw.listen.peer, ADDRESS_FORMAT)?;
        let operator = parse_field("listen.operator", &raw.listen.operator, ADDRESS_FORMAT)?;
        check_addresses(&[
            ("listen.caller", caller),
            ("listen.peer", peer),
            ("listen.operator", operator),
        ])?;
        let mut planners = Vec::new();
        for (idx, text) in raw.planners.iter().enumerate() {
            planners.push(parse_field(&format!("planners[{idx}]"), text, ADDRESS_FORMAT)?);
        }
        if planners.is_empty() {
            return Err(SettingError::new("planners", "[]", "at least one planner's address"));
        }
        let limits = raw.limits;
        check_limit("limits.max_body_kib", limits.max_body_kib, 1, 4_096)?;
        check_limit("limits.max_in_flight", limits.max_in_flight, 1, 1_000_000)?;
        check_limit("limits.traffic_threads", limits.traffic_threads, 1, 64)?;
        check_limit("limits.leave_grace_ms", limits.leave_grace_ms as usize, 0, 60_000)?;
        Ok(Self {
            identity,
            caller,
            peer,
            operator,
            planners,
            max_body_bytes: limits.max_body_kib * 1_024,
            max_in_flight: limits.max_in_flight,
            traffic_threads: limits.traffic_threads,
            leave_grace: Duration::from_millis(limits.leave_grace_ms),
            policy: parse_field(
                "policy.balancer",
                &raw.policy.balancer,
                "adaptive, round-robin, random, least-in-flight or power-of-two",
            )?,
            timing: raw.lease.try_into()?,
            log_level: raw.log.check()?,
        })
    }
}

fn check_limit(field: &str, value: usize, low: usize, high: usize) -> Result<(), SettingError> {
    match (low..=high).contains(&value) {
        true => Ok(()),
        false => Err(SettingError::new(field, value, format!("{low} to {high}"))),
    }
}
