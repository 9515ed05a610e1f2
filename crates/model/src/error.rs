//! Errors that name the step, the peer and the offending value.

use std::fmt;

/// A raw value that failed the check into its type.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidValue {
    /// What the value was meant to be.
    pub what: &'static str,
    /// The rejected text.
    pub value: String,
    /// What would have been accepted.
    pub allowed: &'static str,
}

impl InvalidValue {
    /// Builds the error for `value`, which should have been `allowed`.
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
    /// The peer at which it failed, an address or a name.
    pub peer: String,
    /// The underlying cause.
    pub cause: String,
}

impl StepError {
    /// Builds the error for `step` at `peer`.
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
