//! The entry process: one on each entry VM, where the platform keeps state and servers check tokens.
//!
//! It takes callers' requests to servers, follows the plan in the store, and takes its turn at
//! assigning keys. The platform's names and formats come through [`StateStore`] and [`ServerFormat`].

mod assigner;
mod beliefs;
mod connections;
mod edge;
mod feed;
mod gossip;
mod metrics;
mod news;
mod orders;
mod plan;
mod ports;
mod presence;
mod run;
mod settings_file;
mod sight;
mod sightings;
mod snapshot;
mod traffic;

pub use assigner::{AssignerParts, KeyAssigner, LoadBook, SharedLoads};
pub use beliefs::SnapshotChannel;
pub use connections::{ConnectionPool, ExchangeFault, PeerAnswer, PeerConnection};
pub use feed::StateCache;
pub use gossip::{LoadNote, OpenedNote, PeerNote, ShardNote};
pub use metrics::EntryMetrics;
pub use news::{ChangeSource, SourceSelector};
pub use plan::{CallerLimits, PlanRoute, RoutePlan, RouteTarget, ServiceRules};
pub use ports::{
    ChangeBatch, ChangeEvent, HeaderNames, LeaseId, RecordChange, ServerEntry, ServerFormat,
    StateStore, StoreError,
};
pub use run::{SettingsSource, run_entry, run_entry_until};
pub use settings_file::{EntrySettings, RawEntrySettings, RetryBounds};
pub use sightings::{OutgoingSights, ServerSighting, SightBoard, SightsNote};
pub use snapshot::{
    AssignerRecord, CachedServer, StateSnapshot, StoredAssigner, StoredShards, VmPresence,
};
pub use traffic::{CallerAnswer, CallerRequest, TrafficParts, TrafficServer};
