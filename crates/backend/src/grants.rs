//! Grants as a server takes them, in JSON.

use model::{FencingToken, ServiceName, SliceId, SliceKey};
use ownership::{GrantOutcome, GrantRequest};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// Body of `POST /_server/grants`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantBody {
    /// Term of the granting planner.
    pub term: u64,
    /// Version of the set within the term.
    pub set_version: u64,
    /// Receipt from the server's last reply.
    pub basis: Option<String>,
    /// Length of the lease in milliseconds, counted from when the server issued `basis`.
    pub lease_ms: u64,
    /// The whole set, unless the server is known to hold it.
    pub entries: Option<Vec<GrantEntry>>,
}

/// One granted slice.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantEntry {
    /// The service.
    pub service: ServiceName,
    /// The slice.
    #[serde_as(as = "DisplayFromStr")]
    pub slice: SliceId,
    /// The token that requests for the slice must carry.
    #[serde_as(as = "DisplayFromStr")]
    pub token: FencingToken,
}

/// Reply to `POST /_server/grants`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum GrantReply {
    /// The server holds exactly this set.
    Held {
        /// The term.
        term: u64,
        /// The set.
        set_version: u64,
        /// Receipt to quote next.
        basis: String,
    },
    /// The server needs the whole set.
    NeedSet {
        /// Receipt to quote next.
        basis: String,
    },
    /// The server obeys a later term.
    Rejected {
        /// That term.
        term: u64,
    },
}

impl From<GrantRequest> for GrantBody {
    fn from(order: GrantRequest) -> Self {
        let entry = |(key, token): (SliceKey, FencingToken)| GrantEntry {
            service: key.service,
            slice: key.slice,
            token,
        };
        Self {
            term: order.term.0,
            set_version: order.set_version,
            basis: order.basis,
            lease_ms: order.lease.as_millis() as u64,
            entries: order.entries.map(|it| it.into_iter().map(entry).collect()),
        }
    }
}

impl From<GrantReply> for GrantOutcome {
    fn from(reply: GrantReply) -> Self {
        match reply {
            GrantReply::Held { term, set_version, basis } => {
                Self::Acked { term: model::Term(term), set_version, basis }
            }
            GrantReply::NeedSet { basis } => Self::NeedSet { basis },
            GrantReply::Rejected { term } => Self::Rejected { term: model::Term(term) },
        }
    }
}
