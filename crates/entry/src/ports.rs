//! What the entry needs of the outside: the store that keeps state, and the names used on the wire.

use std::{fmt, future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName};
use model::{DomainName, ServerName, ServiceName, StepError};
use ownership::KeyRange;
use policy::LoadReport;
use serde::{Deserialize, Serialize};

use crate::{RoutePlan, datagrams::ShardUpdate};

/// A server as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Its name.
    pub name: ServerName,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// How much longer it is cold.
    pub cold_left: Duration,
    /// Unix milliseconds of its start.
    pub born: u64,
}

/// One piece of news from the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ChangeEvent {
    /// The plan in force.
    Plan(RoutePlan),
    /// A server's present description; nothing when it is gone or can't be read.
    Server(ServerName, Option<ServerEntry>),
    /// Whether operators want a failure domain empty.
    Evacuation(DomainName, bool),
    /// A record of our own; nothing when it was removed.
    Record {
        /// Its name.
        name: String,
        /// Store revision of its last change.
        revision: u64,
        /// Its bytes.
        value: Option<Bytes>,
    },
    /// A change of shards; told by other VMs only.
    Shards(ShardUpdate),
    /// News that can't be read; the cause is logged.
    Unreadable {
        /// What was to be read.
        name: String,
        /// Why it can't be.
        cause: String,
    },
}

/// News in the order of the store's revisions.
#[derive(Debug, Clone, Default)]
pub struct ChangeBatch {
    /// Revision to watch from next.
    pub revision: u64,
    /// Whether some revision up to that one is not among the events.
    pub has_gap: bool,
    /// What has changed.
    pub events: Vec<ChangeEvent>,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store refused; nothing was done.
    Refused(StepError),
    /// No usable answer; a write may have been done, or may be done later.
    Unknown(StepError),
    /// The news asked for is no longer kept.
    Compacted,
    /// The lease has ended.
    LeaseEnded,
    /// A condition does not hold.
    Conflict,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(err) => write!(f, "refused {err}"),
            Self::Unknown(err) => write!(f, "unknown {err}"),
            Self::Compacted => f.write_str("compacted"),
            Self::LeaseEnded => f.write_str("lease-ended"),
            Self::Conflict => f.write_str("conflict"),
        }
    }
}

/// A lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// A change of our own records, made as a whole or not at all.
#[derive(Debug, Clone, Default)]
pub struct RecordChange {
    /// Records with the revision that each must have; 0 when it must not exist.
    pub expected: Vec<(String, u64)>,
    /// Records to write, each with the lease at whose end it is removed.
    pub writes: Vec<(String, Bytes, Option<LeaseId>)>,
    /// Records to remove.
    pub removals: Vec<String>,
}

/// The store that keeps what must last.
pub trait StateStore: Clone + Send + Sync + 'static {
    /// Everything as it is now.
    fn read_all(
        &self,
        timeout: Duration,
    ) -> impl Future<Output = Result<ChangeBatch, StoreError>> + Send;

    /// News after `revision`; waits up to `wait` for the first.
    fn watch(
        &self,
        revision: u64,
        wait: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<ChangeBatch, StoreError>> + Send;

    /// Changes records; returns the revision of the change.
    fn change(
        &self,
        change: RecordChange,
        timeout: Duration,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Opens a lease.
    fn open_lease(
        &self,
        length: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease.
    fn renew_lease(
        &self,
        lease: LeaseId,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Ends a lease.
    fn end_lease(
        &self,
        lease: LeaseId,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// Names of the headers that the entry reads or sets.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of a request.
    pub request_id: HeaderName,
    /// Milliseconds that the sender waits.
    pub time_left: HeaderName,
    /// The only server that may run the request.
    pub expected_server: HeaderName,
    /// The server that answers.
    pub server: HeaderName,
    /// The server's proof that the answer is its own.
    pub signature: HeaderName,
    /// Set when the server did not run the request.
    pub not_run: HeaderName,
    /// The request's key.
    pub key: HeaderName,
    /// The server's load.
    pub load: HeaderName,
    /// Milliseconds for which the server stays cold.
    pub cold_left: HeaderName,
    /// Proof of a hand-over, for the next holder.
    pub handover: HeaderName,
}

/// Orders to servers that own keys, and what their answers say, as bytes on the wire.
pub trait ServerFormat: Clone + Send + Sync + 'static {
    /// The names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Path and body of a grant.
    fn grant(
        &self,
        range: KeyRange,
        token: u64,
        hold: Duration,
        handover: Option<&str>,
    ) -> (&'static str, Bytes);

    /// Path and body of a release.
    fn release(&self, range: KeyRange, token: u64) -> (&'static str, Bytes);

    /// The load that an answer tells of.
    fn load(&self, headers: &HeaderMap) -> Option<LoadReport>;
}
