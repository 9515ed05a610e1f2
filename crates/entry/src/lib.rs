//! The entry process, which runs on each entry VM of a platform with a state store and servers that
//! check fencing tokens.
//!
//! It forwards callers' requests to servers, follows the plan in the store, and campaigns for the
//! role of the assigner, which distributes keys to servers. [`StateStore`] and [`ServerFormat`] are
//! the interfaces to the platform.

mod assigner;
mod backpressure;
mod body_buffer;
mod byte_budget;
mod change_relay;
mod change_timing;
mod connections;
mod datagram_tasks;
mod datagrams;
mod http_server;
mod metrics;
mod observed_stream;
mod orders;
mod permits;
mod plan;
mod ports;
mod position;
mod presence;
mod quotas;
mod ranks;
mod read_meter;
mod run;
mod server_reports;
mod server_warmth;
mod settings_file;
mod snapshot;
mod snapshot_channel;
mod source_selector;
mod state_cache;
mod state_sync;
mod stats;
mod teams;
mod traffic;

pub use assigner::{AssignerParts, KeyAssigner, KeyedLoads, SharedLoads};
pub use backpressure::{BackpressureCache, ServerBackpressure};
pub use byte_budget::{ByteBudget, ByteReservation};
pub use change_relay::{RelayBatch, RelayLog, RelayReply, RelayRequest, RelayedChanges};
pub use change_timing::ChangeTiming;
pub use connections::{
    BegunAnswer, ConnectionNumber, ConnectionPool, ExchangeError, HttpAnswer, HttpConnection,
};
pub use datagrams::{
    AckedRange, OversizedDatagram, PeerDatagram, RouterLoad, ShardUpdate, decode_datagram,
    encode_datagrams,
};
pub use http_server::{ShutdownPhase, serve_callers};
pub use metrics::EntryMetrics;
pub use orders::{GrantKind, GrantOrder, OrderOutcome, OrderSender};
pub use permits::{PermitClient, PermitReply, PermitRequest, SharedKeeper};
pub use plan::{CallerLimits, PlanRoute, RoutePlan, RouteTarget, ServiceSettings};
pub use ports::{
    BatchScope, ChangeBatch, ChangeEvent, HeaderNames, LeaseId, RecordChange, ReportOrder,
    ServerEntry, ServerFormat, StateStore, StoreError,
};
pub use position::{MAX_ERA, era_of, position, revision_of};
pub use quotas::{QuotaCall, QuotaPools, QuotaReply, SharedPools};
pub use ranks::{CachedRanks, RankIndex};
pub use read_meter::AnswerBounds;
pub use run::{SettingsSource, run_entry, run_entry_until};
pub use server_reports::{Outgoing, ReportBatch, ReportCache, ServerReport};
pub use server_warmth::{WarmthBatch, WarmthCache, WarmthReport};
pub use settings_file::{AnswerLimits, EntrySettings, RawEntrySettings, RetryBounds};
pub use snapshot::{
    AssignerRecord, CachedServer, FleetRecord, LeaveStart, StateSnapshot, StoredAssigner,
    StoredShards, VmPresence,
};
pub use snapshot_channel::SnapshotChannel;
pub use source_selector::{ChangeSource, SourceFailure, SourceSelector};
pub use state_cache::StateCache;
pub use state_sync::ChangeFollower;
pub use stats::ServerStats;
pub use teams::{KeyDigest, PlanTeam, TeamTable};
pub use traffic::{CallerAnswer, CallerRequest, PlacementQuery, TrafficParts, TrafficServer};
