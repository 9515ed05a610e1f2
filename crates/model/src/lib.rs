//! Checked types that all crates share: names, times, requests, services, slices, tokens and errors.
//!
//! The code neither performs I/O nor reads a clock.

mod error;
mod names;
mod request;
mod service;
mod slice;
mod time;
mod token;

pub use error::{InvalidValue, StepError};
pub use names::{DomainName, ServerName, ServiceName, TeamName, VmName};
pub use request::{CallOutcome, Idempotency, NotRunReason, RequestId, UnknownReason};
pub use service::{OwnerCheck, ServiceKind, ServiceSpec};
pub use slice::{KeyHash, SliceId, SliceKey, hash_key};
pub use time::{MonoTime, WallTime};
pub use token::{FencingToken, Incarnation, MapVersion, SheetRevision, Term};
