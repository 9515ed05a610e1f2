//! Settings of an entry process: decoding and validation.

use std::{net::SocketAddr, time::Duration};

use model::{DomainName, VmName};
use serde::Deserialize;
use settings::{SettingError, parse_duration};

use crate::{AnswerBounds, ByteBudget, ChangeTiming};

/// Settings as written in the file, before validation.
#[derive(Debug, Clone, Deserialize)]
pub struct RawEntrySettings {
    vm: String,
    domain: String,
    callers: String,
    readiness: String,
    reports_port: u16,
    news_port: u16,
    metrics_port: u16,
    /// CPU cores of the VM.
    cores: f64,
    store: String,
    /// Retries per request, over all VMs.
    retry_ratio: f64,
    /// Retries allowed beyond that ratio, over all VMs.
    retry_slack: f64,
    /// Time window in which retries are counted.
    retry_window: String,
    /// Maximum hold time of a grant.
    max_hold: String,
    /// Time from SIGTERM until the process is killed.
    grace: String,
    /// Time for which a draining server still accepts new work.
    drain: String,
    /// Time within which a changed route plan must be in force.
    #[serde(default = "default_plan_deadline")]
    plan_deadline: String,
    /// Time after which the servers of an evacuated failure domain get no more requests.
    #[serde(default = "default_evacuation")]
    evacuation: String,
    /// Memory that the process may take, in megabytes.
    #[serde(default = "default_memory_mb")]
    memory_mb: usize,
    /// Largest answer of a server to a caller's request, in bytes.
    #[serde(default = "default_max_answer_bytes")]
    max_answer_bytes: usize,
    /// Largest answer of a server to a grant or release, in bytes.
    #[serde(default = "default_max_order_answer_bytes")]
    max_order_answer_bytes: usize,
    /// Largest answer of the store, in bytes.
    #[serde(default = "default_max_store_answer_bytes")]
    max_store_answer_bytes: usize,
    /// Log level: error, warning, info or debug.
    #[serde(default = "default_level")]
    log_level: String,
}

fn default_level() -> String {
    "info".to_owned()
}

fn default_plan_deadline() -> String {
    "2s".to_owned()
}

fn default_evacuation() -> String {
    "5s".to_owned()
}

fn default_memory_mb() -> usize {
    256
}

fn default_max_answer_bytes() -> usize {
    8 * 1024 * 1024
}

fn default_max_order_answer_bytes() -> usize {
    64 * 1024
}

fn default_max_store_answer_bytes() -> usize {
    32 * 1024 * 1024
}

/// Validated settings of an entry process.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// Name of this VM, unique among entry VMs.
    pub vm: VmName,
    /// Failure domain of this VM.
    pub domain: DomainName,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address of the load balancer's readiness check.
    pub readiness: SocketAddr,
    /// UDP address for load reports and other datagrams of VMs.
    pub reports: SocketAddr,
    /// Address at which this VM serves changes as a relay.
    pub relay: SocketAddr,
    /// CPU capacity of the VM in thousandths of a core.
    pub millicores: u32,
    /// HTTP address of `/metrics` and `/dump`.
    pub metrics: SocketAddr,
    /// Address of the state store.
    pub store: SocketAddr,
    /// Limits on retries, over all VMs.
    pub retries: RetryBounds,
    /// Maximum hold time of a grant.
    pub max_hold: Duration,
    /// Time from SIGTERM until the process is killed.
    pub grace: Duration,
    /// Time for which a draining server still accepts new work.
    pub drain: Duration,
    /// Time after which the servers of an evacuated failure domain get no more requests.
    pub evacuation: Duration,
    /// Time limits of the change stream, by which plans are in force and draining servers known in
    /// time.
    pub change_timing: ChangeTiming,
    /// Bytes of callers' requests and servers' answers that the process may hold at a time.
    pub traffic_bytes: usize,
    /// Limits on the answers that the process receives.
    pub answer_limits: AnswerLimits,
    /// Minimum level of logged events.
    pub log_level: slog::Level,
}

/// Largest answers in bytes, heads included. A connection on which more arrives is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Of a server to a caller's request.
    pub server: usize,
    /// Of a server to a grant or release.
    pub order: usize,
    /// Of the store.
    pub store: usize,
}

/// Limits on retries, over all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries per request, between 0 and 1.
    pub ratio: f64,
    /// Retries allowed beyond the ratio.
    pub slack: f64,
    /// Time window in which retries are counted against both; the retry budget does not use it.
    pub window: Duration,
}

/// Share of the process's memory for callers' requests and servers' answers. The rest is for the cached
/// state, the store's answers, and buffers.
const TRAFFIC_SHARE: f64 = 0.45;

/// Minimum value of `memory_mb`.
const MIN_MEMORY_MB: usize = 64;

const MEGABYTE: usize = 1_000_000;

/// Longest answers to orders that are held at a time, together.
const MAX_ORDER_ANSWERS: usize = 64;

impl EntrySettings {
    /// Bounds of the answers to grants and releases.
    pub fn order_bounds(&self) -> AnswerBounds {
        let max_bytes = self.answer_limits.order;
        AnswerBounds { max_bytes, budget: ByteBudget::new(max_bytes * MAX_ORDER_ANSWERS) }
    }
}

impl TryFrom<RawEntrySettings> for EntrySettings {
    type Error = SettingError;

    fn try_from(raw: RawEntrySettings) -> Result<Self, SettingError> {
        let callers = address("callers", &raw.callers)?;
        let at_port = |port: u16| SocketAddr::new(callers.ip(), port);
        let allowed = "a number between 0 and 1";
        if !(0.0..=1.0).contains(&raw.retry_ratio) {
            return Err(SettingError::new("retry_ratio", raw.retry_ratio, allowed));
        }
        if !(raw.retry_slack.is_finite() && raw.retry_slack >= 0.0) {
            return Err(SettingError::new("retry_slack", raw.retry_slack, "0 or more"));
        }
        let max_hold = duration("max_hold", &raw.max_hold)?;
        if max_hold < MIN_MAX_HOLD {
            let allowed = format!("{} ms or more", MIN_MAX_HOLD.as_millis());
            return Err(SettingError::new("max_hold", &raw.max_hold, allowed));
        }
        let drain = duration("drain", &raw.drain)?;
        let plan_deadline = duration("plan_deadline", &raw.plan_deadline)?;
        let level = raw.log_level.parse();
        Ok(Self {
            vm: name("vm", &raw.vm)?,
            domain: name("domain", &raw.domain)?,
            callers,
            readiness: address("readiness", &raw.readiness)?,
            reports: at_port(raw.reports_port),
            relay: at_port(raw.news_port),
            millicores: (raw.cores.max(0.0) * 1_000.0) as u32,
            metrics: at_port(raw.metrics_port),
            store: address("store", &raw.store)?,
            retries: RetryBounds {
                ratio: raw.retry_ratio,
                slack: raw.retry_slack,
                window: duration("retry_window", &raw.retry_window)?,
            },
            max_hold,
            grace: duration("grace", &raw.grace)?,
            drain,
            evacuation: duration("evacuation", &raw.evacuation)?,
            change_timing: ChangeTiming::for_deadline(plan_deadline.min(drain)),
            traffic_bytes: traffic_bytes(raw.memory_mb)?,
            answer_limits: AnswerLimits {
                server: answer_bytes("max_answer_bytes", raw.max_answer_bytes)?,
                order: answer_bytes("max_order_answer_bytes", raw.max_order_answer_bytes)?,
                store: answer_bytes("max_store_answer_bytes", raw.max_store_answer_bytes)?,
            },
            log_level: level.map_err(|()| {
                SettingError::new("log_level", &raw.log_level, "error, warning, info or debug")
            })?,
        })
    }
}

/// Minimum value of `max_hold`, which leaves time to renew a grant.
const MIN_MAX_HOLD: Duration = Duration::from_millis(1_000);

/// Minimum value of the answer limits, which fits any head.
const MIN_ANSWER_BYTES: usize = 1_024;

fn answer_bytes(field: &str, n_bytes: usize) -> Result<usize, SettingError> {
    match n_bytes {
        MIN_ANSWER_BYTES.. => Ok(n_bytes),
        _ => Err(SettingError::new(field, n_bytes, format!("{MIN_ANSWER_BYTES} bytes or more"))),
    }
}

fn traffic_bytes(memory_mb: usize) -> Result<usize, SettingError> {
    match memory_mb {
        MIN_MEMORY_MB.. => Ok(((memory_mb * MEGABYTE) as f64 * TRAFFIC_SHARE) as usize),
        _ => Err(SettingError::new("memory_mb", memory_mb, format!("{MIN_MEMORY_MB} or more"))),
    }
}

fn address(field: &str, text: &str) -> Result<SocketAddr, SettingError> {
    text.parse().map_err(|_| SettingError::new(field, text, "ADDRESS:PORT"))
}

fn duration(field: &str, text: &str) -> Result<Duration, SettingError> {
    parse_duration(text).map_err(|err| SettingError::new(field, text, err.allowed))
}

fn name<'a, T: TryFrom<&'a str, Error = model::InvalidValue>>(
    field: &str,
    text: &'a str,
) -> Result<T, SettingError> {
    T::try_from(text).map_err(|err| SettingError::new(field, text, err.allowed))
}
