//! Scenario files: what they hold, their defaults and their limits.

use std::path::Path;

use eyre::{WrapErr, ensure, eyre};
use model::OwnerCheck;
use policy::BalancerPolicy;
use serde::Deserialize;
use serde_with::{DisplayFromStr, serde_as};
use sheet::ServerRow;
use strum::{Display, EnumString};

/// A deployment with its load and its faults.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Scenario {
    pub(crate) name: String,
    /// Number of failure domains.
    pub(crate) domains: u8,
    /// Number of VMs in each failure domain; each runs a router and a planner.
    pub(crate) vms: Vec<u8>,
    /// Length of the load in milliseconds.
    pub(crate) length_ms: u64,
    /// Requests a second over all services.
    pub(crate) rate: f64,
    /// One-way network delay between failure domains, in microseconds.
    #[serde(default)]
    pub(crate) between_domains_us: u64,
    /// Load-balancing policy of the routers.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_policy")]
    pub(crate) policy: BalancerPolicy,
    pub(crate) service: Vec<ServiceLoad>,
    #[serde(default)]
    pub(crate) fault: Vec<Fault>,
}

/// A service with its backend servers and its share of the load.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceLoad {
    pub(crate) name: String,
    /// `keyed` or `shared`.
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) kind: LoadKind,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_check")]
    pub(crate) check: OwnerCheck,
    /// Number of backend servers over all failure domains.
    pub(crate) servers: u8,
    #[serde(default = "default_slots")]
    pub(crate) slots: u32,
    #[serde(default = "default_connections")]
    pub(crate) connections: u32,
    #[serde(default = "default_cold_slots")]
    pub(crate) cold_slots: u32,
    /// Time for which a server is cold after its start, in milliseconds.
    #[serde(default = "default_warm_ms")]
    pub(crate) warm_ms: u64,
    /// Mean service time of a request, in milliseconds.
    pub(crate) service_ms: f64,
    #[serde(default = "default_deadline_ms")]
    pub(crate) deadline_ms: u64,
    /// Share of the scenario's rate.
    pub(crate) share: f64,
    /// Number of distinct keys.
    #[serde(default = "default_keys")]
    pub(crate) keys: u64,
    /// Exponent of the keys' Zipf distribution; 0 is uniform.
    #[serde(default)]
    pub(crate) skew: f64,
    /// Share of requests that are idempotent.
    #[serde(default = "default_idempotent")]
    pub(crate) idempotent: f64,
}

impl ServiceLoad {
    /// Takes the settings of a stand-in without generated load from its server's row of a sheet.
    pub(crate) fn from_server_row(
        row: &ServerRow,
        kind: LoadKind,
        check: OwnerCheck,
        service_ms: f64,
    ) -> Self {
        Self {
            name: row.service.to_string(),
            kind,
            check,
            servers: 1,
            slots: row.slots,
            connections: row.connections,
            cold_slots: row.cold_slots,
            warm_ms: row.warm_after.as_millis() as u64,
            service_ms,
            deadline_ms: default_deadline_ms(),
            share: 0.0,
            keys: default_keys(),
            skew: 0.0,
            idempotent: default_idempotent(),
        }
    }
}

/// Whether a request goes to the owner of its key or to any server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum LoadKind {
    Keyed,
    Shared,
}

/// A fault with the time at which it begins.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fault {
    /// Time from the start of the load, in milliseconds.
    pub(crate) at_ms: u64,
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) kind: FaultKind,
    /// Name of the server, VM or failure domain that the fault acts on; the kind says which.
    #[serde(default)]
    pub(crate) target: String,
    /// Length of the fault in milliseconds; with 0 it lasts to the end.
    #[serde(default)]
    pub(crate) for_ms: u64,
    /// Slowdown factor, delay in milliseconds or number of answers; the kind says which.
    #[serde(default)]
    pub(crate) size: f64,
    /// For `domain-cut`: `platform`, `peers` or `both`.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_partitioned_from")]
    pub(crate) from: PartitionedFrom,
}

/// What a failure domain is partitioned from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum PartitionedFrom {
    Platform,
    Peers,
    Both,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum FaultKind {
    /// The server answers nothing until the fault ends.
    ServerFreeze,
    /// The server's process dies; it starts again, cold, when the fault ends.
    ServerKill,
    /// The server's service time is `size` times the normal one.
    ServerSlow,
    /// The server turns cold without a restart or an announcement.
    ServerCold,
    /// A sheet takes the server out.
    ServerDrain,
    /// The server's load report is no longer updated.
    ReportStale,
    /// The server's next `size` answers are truncated.
    AnswerCut,
    /// The server's next `size` answers carry the id of another request.
    AnswerCrossed,
    /// The connections to the server that are open now stay open, but pass no data.
    ConnectionSilent,
    /// Calls to the store hang.
    StoreDown,
    /// Calls to the store take `size` milliseconds longer.
    StoreSlow,
    /// The next `size` writes are carried out, but the replies come too late for the client.
    StoreLostReply,
    /// The failure domain is partitioned from the sites that `from` selects.
    DomainCut,
    /// A sheet takes the failure domain out.
    DomainOut,
    /// A sheet brings the failure domain back.
    DomainBack,
    /// The VM's router is killed; it starts again when the fault ends.
    RouterKill,
    /// The VM's router is suspended with SIGSTOP.
    RouterFreeze,
    /// The VM's planner is killed; it starts again when the fault ends.
    PlannerKill,
    /// The VM's planner is suspended with SIGSTOP.
    PlannerFreeze,
    /// Two sheets are applied at the same time.
    SheetRace,
}

fn default_policy() -> BalancerPolicy {
    BalancerPolicy::Adaptive
}

fn default_check() -> OwnerCheck {
    OwnerCheck::Token
}

fn default_partitioned_from() -> PartitionedFrom {
    PartitionedFrom::Both
}

fn default_slots() -> u32 {
    4
}

fn default_connections() -> u32 {
    64
}

fn default_cold_slots() -> u32 {
    1
}

fn default_warm_ms() -> u64 {
    2_000
}

fn default_deadline_ms() -> u64 {
    1_000
}

fn default_keys() -> u64 {
    2_000
}

fn default_idempotent() -> f64 {
    0.5
}

/// Upper limit of a scenario's `length_ms`.
const MAX_LENGTH_MS: u64 = 120_000;

/// Upper limit of a scenario's `rate`, in requests a second.
const MAX_RATE: f64 = 20_000.0;

/// Upper limit of a scenario's VMs over all failure domains; each VM runs two processes.
const MAX_VMS: u32 = 40;

/// Reads a scenario file and validates it.
pub(crate) fn read(file: &Path) -> eyre::Result<Scenario> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("step=read-scenario peer={}", file.display()))?;
    parse(&file.display().to_string(), &text)
}

/// Parses and validates a scenario's text; `file` names it in errors.
pub(crate) fn parse(file: &str, text: &str) -> eyre::Result<Scenario> {
    let scenario: Scenario =
        toml::from_str(text).map_err(|err| eyre!("file={file} {}", err.to_string().trim()))?;
    validate(&scenario).wrap_err_with(|| format!("file={file}"))?;
    Ok(scenario)
}

fn validate(it: &Scenario) -> eyre::Result<()> {
    ensure!((1..=10).contains(&it.domains), "field=domains allowed=1 to 10");
    ensure!(
        it.vms.len() == it.domains as usize,
        "field=vms allowed=one number for each failure domain"
    );
    let n_vms: u32 = it.vms.iter().map(|n| u32::from(*n)).sum();
    ensure!(n_vms <= MAX_VMS, "field=vms allowed=at most {MAX_VMS} in total");
    ensure!(it.length_ms <= MAX_LENGTH_MS, "field=length_ms allowed=at most {MAX_LENGTH_MS}");
    ensure!(it.rate > 0.0 && it.rate <= MAX_RATE, "field=rate allowed=up to {MAX_RATE}");
    for fault in &it.fault {
        let needs_target = !matches!(
            fault.kind,
            FaultKind::StoreDown
                | FaultKind::StoreSlow
                | FaultKind::StoreLostReply
                | FaultKind::SheetRace
        );
        ensure!(
            !needs_target || !fault.target.is_empty(),
            "field=fault.target allowed=a name for {}",
            fault.kind
        );
    }
    Ok(())
}
