//! The settings of `jackdawctl`.

use std::net::{IpAddr, SocketAddr};

use serde::Deserialize;
use settings::{SettingError, parse_field};

/// Validated settings.
#[derive(Debug, Clone)]
pub(crate) struct CtlSettings {
    /// Local address of outgoing connections.
    pub(crate) local: IpAddr,
    /// Address of the platform's store.
    pub(crate) store: SocketAddr,
}

/// The settings file before validation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSettings {
    local: String,
    platform: RawPlatform,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlatform {
    store: String,
}

impl TryFrom<RawSettings> for CtlSettings {
    type Error = SettingError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingError> {
        Ok(Self {
            local: parse_field("local", &raw.local, "an IP address")?,
            store: parse_field("platform.store", &raw.platform.store, "IP:PORT")?,
        })
    }
}
