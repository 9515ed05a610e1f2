//! Requests and the closed set of their outcomes.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::InvalidValue;

const MAX_REQUEST_ID_LEN: usize = 128;

/// Identity of one caller's request, carried to the backend server and back.
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
    /// Sending it again does no harm.
    Idempotent,
    /// It runs at most once, so it is sent again only when it certainly did not run.
    AtMostOnce,
}

/// Why a request was certainly not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunReason {
    /// The service is not in the sheet.
    UnknownService,
    /// The request itself is malformed.
    BadRequest,
    /// No server may take the request now.
    NoServer,
    /// The slice has no open owner that this VM can reach.
    NoOwner,
    /// This router's lease on the map has lapsed.
    NoLease,
    /// Another failure domain is home to the slice.
    NotHome,
    /// Limits on in-flight or queued work are reached.
    Overloaded,
    /// The server shed the request before running it.
    Shed,
    /// The server is warming up and bears no more yet.
    ColdServer,
    /// The server refused the fencing token before running it.
    Fenced,
    /// No connection to the server could be made.
    ConnectFailed,
    /// The deadline had passed before anything was sent.
    DeadlinePassed,
    /// This VM is leaving and takes no new work.
    Leaving,
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum UnknownReason {
    /// No whole answer arrived before the deadline.
    DeadlinePassed,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The key's owner changed before it answered.
    OwnerChanged,
    /// The answer ended before its declared length.
    AnswerCut,
    /// The answer belonged to another request.
    AnswerCrossed,
}

/// The closed outcome of a request that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// It certainly did not run.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
}

impl CallOutcome {
    /// What is known of a request that ended with `self` after an earlier send ended with
    /// `earlier`. Once it may have run, nothing that follows makes that certain again.
    #[must_use]
    pub fn after(self, earlier: Self) -> Self {
        match (earlier, self) {
            (Self::Unknown(_), Self::NotRun(_)) => earlier,
            _ => self,
        }
    }
}
