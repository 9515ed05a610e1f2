//! Reads settings files into validated settings, and validates the fields that all daemons share.

use std::{
    collections::BTreeMap,
    fmt::Display,
    net::{IpAddr, SocketAddr},
    path::Path,
    str::FromStr,
};

use model::{DomainName, VmName};
use serde::{Deserialize, de::DeserializeOwned};
use slog::Level;

use crate::SettingError;

/// Reads a TOML file as `R` and validates it into `T`.
///
/// # Errors
/// When the file cannot be read, or a field is unknown, missing or invalid.
pub fn read_file<R, T>(path: &Path) -> Result<T, SettingError>
where
    R: DeserializeOwned,
    T: TryFrom<R, Error = SettingError>,
{
    let with_file = |mut err: SettingError| {
        err.file = path.to_owned();
        err
    };
    let text = std::fs::read_to_string(path)
        .map_err(|err| with_file(SettingError::new("(file)", err, "a readable file")))?;
    let raw: R = toml::from_str(&text).map_err(|err| with_file(syntax_error(&text, &err)))?;
    T::try_from(raw).map_err(with_file)
}

fn syntax_error(text: &str, err: &toml::de::Error) -> SettingError {
    let span = err.span().unwrap_or_default();
    let line = text[..span.start.min(text.len())].lines().count().max(1);
    let value = text.get(span).unwrap_or_default().lines().next().unwrap_or_default();
    SettingError::new(format!("line {line}"), value, err.message())
}

/// Parses the text of `field`.
///
/// # Errors
/// When the text is not of type `T`.
pub fn parse_field<T: FromStr>(field: &str, text: &str, allowed: &str) -> Result<T, SettingError> {
    text.parse().map_err(|_| SettingError::new(field, text, allowed))
}

/// Checks that the addresses of all fields are distinct.
///
/// # Errors
/// When two fields have the same address.
pub fn check_addresses(fields: &[(&str, SocketAddr)]) -> Result<(), SettingError> {
    let mut used: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (field, address) in fields {
        if let Some(other_field) = used.insert(*address, field) {
            let allowed = format!("an address other than that of {other_field}");
            return Err(SettingError::new(field, address, allowed));
        }
    }
    Ok(())
}

/// Identity of a process: its VM, failure domain and local address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdentitySettings {
    /// VM on which the process runs.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Local address of the process's outgoing connections.
    pub local: IpAddr,
}

impl IdentitySettings {
    /// Validates the three fields.
    ///
    /// # Errors
    /// When a field is invalid.
    pub fn check(vm: &str, domain: &str, local: &str) -> Result<Self, SettingError> {
        let invalid = |field: &'static str| {
            move |err: model::InvalidValue| SettingError::new(field, err.value, err.allowed)
        };
        Ok(Self {
            vm: VmName::try_from(vm).map_err(invalid("vm"))?,
            domain: DomainName::try_from(domain).map_err(invalid("domain"))?,
            local: parse_field("local", local, "an IP address")?,
        })
    }
}

/// The `[log]` table of a settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLog {
    level: String,
}

impl Default for RawLog {
    fn default() -> Self {
        Self { level: "info".to_owned() }
    }
}

impl RawLog {
    /// Parses the lowest level that is logged.
    ///
    /// # Errors
    /// When there is no such level.
    pub fn check(&self) -> Result<Level, SettingError> {
        parse_field("log.level", &self.level, "critical, error, warning, info, debug or trace")
    }
}

/// Fails unless `value` lies in `low..=high`.
pub(crate) fn check_range<T: PartialOrd + Display>(
    field: &str,
    value: T,
    low: T,
    high: T,
) -> Result<T, SettingError> {
    match low <= value && value <= high {
        true => Ok(value),
        false => Err(SettingError::new(field, value, format!("{low} to {high}"))),
    }
}
