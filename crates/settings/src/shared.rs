//! Reading a file into checked settings, and fields that all daemons have.

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

/// Reads a TOML file and checks it into `T`.
///
/// # Errors
/// When the file cannot be read, or any field is unknown, missing or not allowed.
pub fn read_file<R, T>(path: &Path) -> Result<T, SettingError>
where
    R: DeserializeOwned,
    T: TryFrom<R, Error = SettingError>,
{
    let named = |mut err: SettingError| {
        err.file = path.to_owned();
        err
    };
    let text = std::fs::read_to_string(path)
        .map_err(|err| named(SettingError::new("(file)", err, "a readable file")))?;
    let raw: R = toml::from_str(&text).map_err(|err| named(syntax_error(&text, &err)))?;
    T::try_from(raw).map_err(named)
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

/// Checks that no two fields name the same address.
///
/// # Errors
/// When two fields overlap.
pub fn check_addresses(fields: &[(&str, SocketAddr)]) -> Result<(), SettingError> {
    let mut taken: BTreeMap<SocketAddr, &str> = BTreeMap::new();
    for (field, address) in fields {
        if let Some(earlier) = taken.insert(*address, field) {
            let allowed = format!("an address other than that of {earlier}");
            return Err(SettingError::new(field, address, allowed));
        }
    }
    Ok(())
}

/// Who a process is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdentitySettings {
    /// Its VM.
    pub vm: VmName,
    /// The VM's failure domain.
    pub domain: DomainName,
    /// Address from which it calls others.
    pub local: IpAddr,
}

impl IdentitySettings {
    /// Checks the three fields.
    ///
    /// # Errors
    /// When a field is not allowed.
    pub fn check(vm: &str, domain: &str, local: &str) -> Result<Self, SettingError> {
        let named = |field: &'static str| {
            move |err: model::InvalidValue| SettingError::new(field, err.value, err.allowed)
        };
        Ok(Self {
            vm: VmName::try_from(vm).map_err(named("vm"))?,
            domain: DomainName::try_from(domain).map_err(named("domain"))?,
            local: parse_field("local", local, "an IP number")?,
        })
    }
}

/// The `[log]` table.
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
    /// The level below which nothing is logged.
    ///
    /// # Errors
    /// When the level is not allowed.
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
