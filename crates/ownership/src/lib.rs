//! Ownership of slices and shards: maps, elections, leases, grants and handover.
//!
//! Everything here is a pure state machine without I/O. Functions that depend on time take the
//! current time and return the actions that the caller must perform; sockets and timers live in the
//! `router` and `planner` crates.

mod delta;
mod homes;
mod inflight;
mod key_load;
mod map;
mod messages;
mod placement;
mod planner;
mod router_view;
mod shards;
mod timing;
mod witness;

pub use delta::{EntryChanges, HomesUpdate, MapDelta, MapUpdate, map_digest};
pub use homes::{HomeEntry, HomesTable, initial_homes, plan_releases};
pub use inflight::InflightCounts;
pub use key_load::KeyLoad;
pub use map::{DomainMap, MapStamp, OwnerEntry, PreviousOwner, SlicePhase, VmId, quorum_size};
pub use messages::{
    AcceptReply, AcceptRequest, GrantOutcome, GrantRequest, LeaseReply, LeaseRequest, PrepareReply,
    PrepareRequest,
};
pub use placement::{PlacementInput, SliceLoads, place_slices};
pub use planner::{
    DomainPlanner, PlannerAction, PlannerConfig, PlannerDump, PlannerEvent, SheetDoc, StoredRecord,
    WriteOutcome,
};
pub use router_view::{OwnerRoute, RouterView};
pub use shards::{
    KeyRange, ServerInstance, ServerPhase, ShardDelta, ShardEntry, ShardHolder, ShardLimits,
    ShardRecord, ShardServer, plan_shards,
};
pub use timing::LeaseTiming;
pub use witness::WitnessState;
