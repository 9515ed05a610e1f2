//! Checked types that every other crate shares: names, units, slices, tokens and errors.
//!
//! Nothing here performs I/O or reads a clock.

mod error;
mod names;
mod request;
mod service;
mod slice;
mod time;
mod token;

pub use error::{InvalidValue, StepError};
pub use names::{DomainName, ServerName, ServiceName, VmName};
pub use request::{CallOutcome, Idempotency, NotRunReason, RequestId, UnknownReason};
pub use service::{OwnerCheck, ServiceKind, ServiceSpec};
pub use slice::{KeyHash, SliceId, SliceKey, hash_key};
pub use time::{MonoTime, WallTime};
pub use token::{FencingToken, Incarnation, MapVersion, SheetRevision, Term};
