//! The entry process: one on each entry VM, where the platform keeps state and servers check tokens.
//!
//! It takes callers' requests to servers, follows the plan in the store, and takes its turn at
//! assigning keys. The platform's names and formats come through [`StateStore`] and [`ServerFormat`].

mod assigner;
mod beliefs;
mod connections;
mod http_server;
mod feed;
mod datagrams;
mod metrics;
mod news;
mod orders;
mod plan;
mod ports;
mod presence;
mod run;
mod settings_file;
mod stats;
mod server_reports;
mod snapshot;
mod traffic;

pub use assigner::{AssignerParts, KeyAssigner, LoadBook, SharedLoads};
pub use beliefs::SnapshotChannel;
pub use connections::{ConnectionPool, ExchangeError, HttpAnswer, HttpConnection};
pub use datagrams::{OpenedRange, PeerDatagram, RouterLoad, ShardUpdate};
pub use feed::StateCache;
pub use metrics::EntryMetrics;
pub use news::{ChangeSource, SourceSelector};
pub use plan::{CallerLimits, PlanRoute, RoutePlan, RouteTarget, ServiceRules};
pub use ports::{
    ChangeBatch, ChangeEvent, HeaderNames, LeaseId, RecordChange, ServerEntry, ServerFormat,
    StateStore, StoreError,
};
pub use run::{SettingsSource, run_entry, run_entry_until};
pub use server_reports::{OutgoingReports, ReportBatch, ReportCache, ServerReport};
pub use settings_file::{EntrySettings, RawEntrySettings, RetryBounds};
pub use snapshot::{
    AssignerRecord, CachedServer, StateSnapshot, StoredAssigner, StoredShards, VmPresence,
};
pub use traffic::{CallerAnswer, CallerRequest, TrafficParts, TrafficServer};
