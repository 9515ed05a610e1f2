//! JSON messages of the grant protocol, which servers that check fencing tokens implement.

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
    /// Version of the set of grants within the term.
    pub set_version: u64,
    /// Receipt from the server's last reply; none before the first reply, and after the server
    /// refused a connection.
    pub basis: Option<String>,
    /// Length of the lease in milliseconds, counted from the moment at which the server issued
    /// `basis`; zero without a `basis`.
    pub lease_ms: u64,
    /// The complete set of grants; absent if the server is known to hold it.
    pub entries: Option<Vec<GrantEntry>>,
}

/// One granted slice.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantEntry {
    /// Service that the slice belongs to.
    pub service: ServiceName,
    /// Slice that the server may serve.
    #[serde_as(as = "DisplayFromStr")]
    pub slice: SliceId,
    /// Fencing token that requests for the slice must carry.
    #[serde_as(as = "DisplayFromStr")]
    pub token: FencingToken,
}

/// Reply to `POST /_server/grants`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum GrantReply {
    /// The server now holds exactly this set of grants.
    Held {
        /// Term of the set.
        term: u64,
        /// Version of the set within the term.
        set_version: u64,
        /// Receipt to send as `basis` of the next request.
        basis: String,
    },
    /// The server does not hold the set and needs all its entries.
    NeedSet {
        /// Receipt to send as `basis` of the next request.
        basis: String,
    },
    /// The server has seen a later term.
    Rejected {
        /// Latest term that the server has seen.
        term: u64,
    },
}

impl From<GrantRequest> for GrantBody {
    fn from(request: GrantRequest) -> Self {
        let entry = |(key, token): (SliceKey, FencingToken)| GrantEntry {
            service: key.service,
            slice: key.slice,
            token,
        };
        Self {
            term: request.term.0,
            set_version: request.set_version,
            basis: request.basis,
            lease_ms: request.lease.as_millis() as u64,
            entries: request.entries.map(|it| it.into_iter().map(entry).collect()),
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
