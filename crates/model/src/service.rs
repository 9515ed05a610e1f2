//! Definition of a service in the sheet.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::{Idempotency, KeyHash, ServiceName, SliceId};

/// Whether the servers of a keyed service check fencing tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum OwnerCheck {
    /// A server refuses requests whose token differs from that of its grant.
    Token,
    /// A server runs every request that it receives.
    None,
}

/// How the server of a request is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// Each key is owned by one server.
    Keyed {
        /// Number of leading hash bits that divide the keys into slices.
        slice_bits: u8,
        /// Whether servers check fencing tokens.
        check: OwnerCheck,
    },
    /// Any server of the service may run the request.
    Shared,
}

/// One service as the sheet defines it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// How the server of a request is determined.
    pub kind: ServiceKind,
    /// Idempotent methods other than GET, HEAD and OPTIONS.
    pub idempotent_methods: Vec<String>,
    /// Default deadline of a request, and the longest one that it may ask for.
    pub deadline: Duration,
}

impl ServiceSpec {
    /// Whether requests with `method` may run more than once.
    pub fn idempotency(&self, method: &str) -> Idempotency {
        let is_safe = matches!(method, "GET" | "HEAD" | "OPTIONS");
        match is_safe || self.idempotent_methods.iter().any(|it| it == method) {
            true => Idempotency::Idempotent,
            false => Idempotency::AtMostOnce,
        }
    }

    /// The slice of `hash` as divided by `slice_bits`; `None` for a shared service.
    pub fn base_slice(&self, hash: KeyHash) -> Option<SliceId> {
        match self.kind {
            ServiceKind::Keyed { slice_bits, .. } => Some(SliceId::covering(hash, slice_bits)),
            ServiceKind::Shared => None,
        }
    }
}
