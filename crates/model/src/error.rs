//! Error types that carry the rejected value, or the failed step and its peer.

use std::fmt;

/// A text that could not be converted to a checked type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidValue {
    /// Kind of value that was expected, such as `slice` or `service name`.
    pub what: &'static str,
    /// The rejected text.
    pub value: String,
    /// Description of the accepted values.
    pub allowed: &'static str,
}

impl InvalidValue {
    /// Creates the error for `value`; `allowed` describes what would have been accepted.
    pub fn new(what: &'static str, value: impl fmt::Display, allowed: &'static str) -> Self {
        Self { what, value: value.to_string(), allowed }
    }
}

impl fmt::Display for InvalidValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?} is not allowed: expected {}", self.what, self.value, self.allowed)
    }
}

impl std::error::Error for InvalidValue {}

/// A failed exchange with a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepError {
    /// The step that failed, such as `connect` or `read-body`.
    pub step: &'static str,
    /// Address or name of the peer.
    pub peer: String,
    /// Message of the underlying error.
    pub cause: String,
}

impl StepError {
    /// Creates the error for `step` of an exchange with `peer`.
    pub fn new(step: &'static str, peer: impl fmt::Display, cause: impl fmt::Display) -> Self {
        Self { step, peer: peer.to_string(), cause: cause.to_string() }
    }
}

impl fmt::Display for StepError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "step={} peer={} cause={:?}", self.step, self.peer, self.cause)
    }
}

impl std::error::Error for StepError {}
