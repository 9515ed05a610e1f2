//! Immutable names of failure domains, VMs, servers, services and teams that are cheap to clone.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::InvalidValue;

const MAX_NAME_LEN: usize = 63;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $what:literal, $check:path) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = InvalidValue;

            fn try_from(text: &str) -> Result<Self, InvalidValue> {
                $check($what, text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidValue;

            fn try_from(text: String) -> Result<Self, InvalidValue> {
                Self::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a failure domain.
    DomainName,
    "failure domain name",
    check_name
);
name_type!(
    /// Name of a VM that runs the router's processes.
    VmName,
    "VM name",
    check_name
);
name_type!(
    /// Name of a backend server.
    ServerName,
    "backend server name",
    check_name
);
name_type!(
    /// Name of a service; it is the first path segment of a request.
    ServiceName,
    "service name",
    check_name
);
name_type!(
    /// Name of a team of callers, as it is passed to servers in a header.
    TeamName,
    "team name",
    check_header_text
);

fn check_name(what: &'static str, text: &str) -> Result<(), InvalidValue> {
    let allowed = "1 to 63 lower-case letters, digits, '-', '_' or '.'";
    let is_valid = !text.is_empty()
        && text.len() <= MAX_NAME_LEN
        && text.bytes().all(|it| matches!(it, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.'));
    match is_valid {
        true => Ok(()),
        false => Err(InvalidValue::new(what, text, allowed)),
    }
}

/// Longest text that is passed in a header, in bytes.
const MAX_HEADER_TEXT_LEN: usize = 255;

fn check_header_text(what: &'static str, text: &str) -> Result<(), InvalidValue> {
    let is_valid = !text.is_empty()
        && text.len() <= MAX_HEADER_TEXT_LEN
        && text.bytes().all(|it| it.is_ascii_graphic());
    match is_valid {
        true => Ok(()),
        false => Err(InvalidValue::new(what, text, "1 to 255 visible ASCII characters")),
    }
}
