//! The settings of an entry process.

use std::{net::SocketAddr, time::Duration};

use model::{DomainName, VmName};
use serde::Deserialize;
use settings::{SettingError, parse_duration};

/// Settings as they stand in the file.
#[derive(Debug, Clone, Deserialize)]
pub struct RawEntrySettings {
    vm: String,
    domain: String,
    callers: String,
    readiness: String,
    reports_port: u16,
    news_port: u16,
    metrics_port: u16,
    /// Cores that the VM has.
    cores: f64,
    store: String,
    /// Share of first sends that may be sent again, over all VMs.
    retry_ratio: f64,
    /// Further sends that are free of that share, over all VMs.
    retry_slack: f64,
    /// Time in which further sends are counted.
    retry_window: String,
    /// Longest time for which a grant may hold.
    max_hold: String,
    /// Time after SIGTERM at which the process is killed.
    grace: String,
    /// Time after a server's notice until which new work may reach it.
    drain: String,
    /// Level of the log.
    #[serde(default = "default_level")]
    log_level: String,
}

fn default_level() -> String {
    "info".to_owned()
}

/// Checked settings.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// This VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this VM is ready.
    pub readiness: SocketAddr,
    /// Where other VMs send load reports.
    pub reports: SocketAddr,
    /// Where this VM passes news on.
    pub news: SocketAddr,
    /// Thousandths of a core that the VM has.
    pub strength: u32,
    /// Where metrics and dumps are read.
    pub metrics: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// Bounds on further sends, over all VMs.
    pub retries: RetryBounds,
    /// Longest time for which a grant may hold.
    pub max_hold: Duration,
    /// Time after SIGTERM at which the process is killed.
    pub grace: Duration,
    /// Time after a server's notice until which new work may reach it.
    pub drain: Duration,
    /// Level of the log.
    pub log_level: slog::Level,
}

/// Bounds on further sends, over all VMs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Further sends for each request.
    pub ratio: f64,
    /// Further sends that are free of the ratio.
    pub slack: f64,
    /// Time in which they are counted.
    pub window: Duration,
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
        if max_hold < MIN_HOLD {
            let allowed = format!("{} ms or more", MIN_HOLD.as_millis());
            return Err(SettingError::new("max_hold", &raw.max_hold, allowed));
        }
        let level = raw.log_level.parse();
        Ok(Self {
            vm: name("vm", &raw.vm)?,
            domain: name("domain", &raw.domain)?,
            callers,
            readiness: address("readiness", &raw.readiness)?,
            reports: at_port(raw.reports_port),
            news: at_port(raw.news_port),
            strength: (raw.cores.max(0.0) * 1_000.0) as u32,
            metrics: at_port(raw.metrics_port),
            store: address("store", &raw.store)?,
            retries: RetryBounds {
                ratio: raw.retry_ratio,
                slack: raw.retry_slack,
                window: duration("retry_window", &raw.retry_window)?,
            },
            max_hold,
            grace: duration("grace", &raw.grace)?,
            drain: duration("drain", &raw.drain)?,
            log_level: level.map_err(|()| {
                SettingError::new("log_level", &raw.log_level, "error, warning, info or debug")
            })?,
        })
    }
}

/// Shortest longest hold that leaves time to renew.
const MIN_HOLD: Duration = Duration::from_millis(1_000);

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
