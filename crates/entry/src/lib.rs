//! The entry process, which runs on each entry VM of a platform with a state store and servers that
//! check fencing tokens.
//!
//! It forwards callers' requests to servers, follows the plan in the store, and campaigns for the
//! role of the assigner, which distributes keys to servers. [`StateStore`] and [`ServerFormat`] are
//! the interfaces to the platform.

mod assigner;
mod change_relay;
mod connections;
mod datagram_tasks;
mod datagrams;
mod http_server;
mod metrics;
mod observed_stream;
mod orders;
mod plan;
mod ports;
mod presence;
mod run;
mod server_reports;
mod settings_file;
mod snapshot;
mod state_cache;
mod state_sync;
mod stats;
mod traffic;

pub use assigner::{AssignerParts, KeyAssigner, KeyedLoads, SharedLoads};
pub use change_relay::{ChangeSource, RelayLog, RelayReply, RelayRequest, SourceSelector};
pub use connections::{
    ConnectionNumber, ConnectionPool, ExchangeError, HttpAnswer, HttpConnection,
};
pub use datagrams::{
    AckedRange, OversizedDatagram, PeerDatagram, RouterLoad, ShardUpdate, decode_datagram,
    encode_datagrams,
};
pub use http_server::{ShutdownPhase, serve_callers};
pub use metrics::EntryMetrics;
pub use plan::{CallerLimits, PlanRoute, RoutePlan, RouteTarget, ServiceSettings};
pub use ports::{
    ChangeBatch, ChangeEvent, HeaderNames, LeaseId, RecordChange, ServerEntry, ServerFormat,
    StateStore, StoreError,
};
pub use run::{SettingsSource, run_entry, run_entry_until};
pub use server_reports::{OutgoingReports, ReportBatch, ReportCache, ServerReport};
pub use settings_file::{AnswerLimits, EntrySettings, RawEntrySettings, RetryBounds};
pub use snapshot::{
    AssignerRecord, CachedServer, StateSnapshot, StoredAssigner, StoredShards, VmPresence,
};
pub use state_cache::StateCache;
pub use state_sync::SnapshotChannel;
pub use traffic::{CallerAnswer, CallerRequest, TrafficParts, TrafficServer};
