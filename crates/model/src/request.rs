//! Request identities and the outcomes of requests that were not answered.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::InvalidValue;

const MAX_REQUEST_ID_LEN: usize = 128;

/// Identifier of a caller's request, sent to the backend server, which returns it with its answer.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for RequestId {
    type Error = InvalidValue;

    fn try_from(text: String) -> Result<Self, InvalidValue> {
        let is_valid = !text.is_empty()
            && text.len() <= MAX_REQUEST_ID_LEN
            && text.bytes().all(|it| it.is_ascii_graphic());
        match is_valid {
            true => Ok(Self(Arc::from(text))),
            false => {
                Err(InvalidValue::new("request id", text, "1 to 128 printable ASCII characters"))
            }
        }
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> String {
        id.0.to_string()
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Whether a request may be sent more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Running it again has no further effect.
    Idempotent,
    /// It must not run twice, so it is sent again only if it certainly did not run.
    AtMostOnce,
}

/// Why a request certainly did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunReason {
    /// The service is not in the sheet.
    UnknownService,
    /// The request itself is malformed.
    BadRequest,
    /// No server accepts the request now.
    NoServer,
    /// The key's slice has no owner that serves it and that this VM can reach.
    NoOwner,
    /// This router's lease on the ownership map has expired.
    NoLease,
    /// Another failure domain is the slice's home.
    NotHome,
    /// A limit on in-flight or queued work is reached.
    Overloaded,
    /// The server shed the request before running it.
    Shed,
    /// The server is warming up and takes no more requests yet.
    ColdServer,
    /// The server refused the fencing token before running it.
    Fenced,
    /// No connection to the server could be made.
    ConnectFailed,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// This VM is shutting down and takes no new work.
    Leaving,
    /// The server has asked this VM for a pause.
    ServerPaused,
    /// The server takes no more requests now from all VMs together, as it has said.
    RateLimited,
    /// The caller's team has used up its quota.
    QuotaUsedUp,
    /// No VM could be reached that keeps the quota of the caller's team.
    QuotaUnknown,
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum UnknownReason {
    /// No complete answer arrived before the deadline.
    DeadlinePassed,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The key's owner changed before the former one answered.
    OwnerChanged,
    /// The answer ended before its declared length.
    AnswerCut,
    /// The answer belonged to another request.
    AnswerCrossed,
}

/// Outcome of a request that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// It certainly did not run.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
}

impl CallOutcome {
    /// Outcome of a request of which one send ended with `earlier` and a later one with `self`.
    ///
    /// Once the request may have run, no later send can prove that it did not.
    #[must_use]
    pub fn after(self, earlier: Self) -> Self {
        match (earlier, self) {
            (Self::Unknown(_), Self::NotRun(_)) => earlier,
            _ => self,
        }
    }
}
