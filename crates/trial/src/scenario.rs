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
    /// Duration of the generated load, in milliseconds.
    pub(crate) length_ms: u64,
    /// Requests per second, total of all services.
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
    /// How a server verifies that it owns a key: `token` or `none`.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_check")]
    pub(crate) check: OwnerCheck,
    /// Number of backend servers, total in all failure domains.
    pub(crate) servers: u8,
    /// Requests that a server runs at once.
    #[serde(default = "default_slots")]
    pub(crate) slots: u32,
    /// Connections that a server accepts according to the sheet.
    #[serde(default = "default_connections")]
    pub(crate) connections: u32,
    /// Requests that a server can run at once while it is cold.
    #[serde(default = "default_cold_slots")]
    pub(crate) cold_slots: u32,
    /// Time until a started server is warm, in milliseconds.
    #[serde(default = "default_warm_ms")]
    pub(crate) warm_ms: u64,
    /// Mean service time of a request, in milliseconds.
    pub(crate) service_ms: f64,
    /// Longest time until a request's deadline, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub(crate) deadline_ms: u64,
    /// Share of the scenario's rate, relative to the sum of all services' shares.
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
    /// Builds the settings of a simulated server from its row in the sheet; no load is generated for
    /// it.
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
    /// Name of the server, VM or failure domain that the fault acts on, depending on `kind`.
    #[serde(default)]
    pub(crate) target: String,
    /// Duration of the fault in milliseconds; 0 means until the end of the run.
    #[serde(default)]
    pub(crate) for_ms: u64,
    /// Slowdown factor, delay in milliseconds or number of answers, depending on `kind`.
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
    /// The platform, which serves the store, and the callers.
    Platform,
    /// All other failure domains.
    Peers,
    Both,
}

/// Kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum FaultKind {
    /// The server answers nothing until the fault ends.
    ServerFreeze,
    /// The server's process dies; it starts again, cold, when the fault ends.
    ServerKill,
    /// The server's service time is `size` times the normal one until the fault ends.
    ServerSlow,
    /// The server turns cold without a restart or an announcement, until the fault ends or
    /// `warm_ms` have passed since the server first refused a request.
    ServerCold,
    /// A sheet with the server in state `out` is applied, and one with the server in state `in` when
    /// the fault ends.
    ServerDrain,
    /// The server's load report is not updated until the fault ends.
    ReportStale,
    /// The server's next `size` answers are truncated.
    AnswerCut,
    /// The server's next `size` answers carry the id of another request.
    AnswerCrossed,
    /// The connections to the server that are open when the fault begins stay open, but pass no data
    /// from then on.
    ConnectionSilent,
    /// Calls to the store hang until the fault ends.
    StoreDown,
    /// Calls to the store take `size` milliseconds longer until the fault ends.
    StoreSlow,
    /// The next `size` writes are carried out, but the replies arrive after the client's timeout.
    StoreLostReply,
    /// The failure domain is partitioned from what `from` selects until the fault ends.
    DomainCut,
    /// A sheet with the failure domain in state `out` is applied, and one with it in state `in` when
    /// the fault ends.
    DomainOut,
    /// A sheet with the failure domain in state `in` is applied.
    DomainBack,
    /// The VM's router is killed; it starts again when the fault ends.
    RouterKill,
    /// The VM's router is suspended with SIGSTOP until the fault ends.
    RouterFreeze,
    /// The VM's planner is killed; it starts again when the fault ends.
    PlannerKill,
    /// The VM's planner is suspended with SIGSTOP until the fault ends.
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

/// Upper limit of a scenario's `domains`.
const MAX_DOMAINS: u8 = 10;

/// Upper limit of a scenario's `length_ms`.
const MAX_LENGTH_MS: u64 = 120_000;

/// Upper limit of a scenario's `rate`, in requests per second.
const MAX_RATE: f64 = 20_000.0;

/// Upper limit of a scenario's VMs, total in all failure domains; each VM runs two processes.
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
    ensure!((1..=MAX_DOMAINS).contains(&it.domains), "field=domains allowed=1 to {MAX_DOMAINS}");
    ensure!(
        it.vms.len() == it.domains as usize,
        "field=vms allowed=one number for each failure domain"
    );
    let n_vms: u32 = it.vms.iter().map(|n| u32::from(*n)).sum();
    ensure!(n_vms <= MAX_VMS, "field=vms allowed=at most {MAX_VMS} in total");
    ensure!(it.length_ms <= MAX_LENGTH_MS, "field=length_ms allowed=at most {MAX_LENGTH_MS}");
    ensure!(
        it.rate > 0.0 && it.rate <= MAX_RATE,
        "field=rate allowed=above 0 and up to {MAX_RATE}"
    );
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
