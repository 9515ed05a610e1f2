//! Decisions about load: which server, how much, how often again.
//!
//! Everything here is pure: time is an argument and randomness comes from a seeded generator.

mod admission;
mod balancer;
mod budget;
mod cold_pace;
mod concurrency;
mod domain_watch;
mod gauge;
mod placement;
mod quantile;
mod queue_bound;
mod return_time;
mod server_view;
mod warmup;

pub use admission::admit;
pub use balancer::{BalancerPolicy, Candidate, ServiceBalancer};
pub use budget::RetryBudget;
pub use cold_pace::ColdPace;
pub use concurrency::{CallPace, ConcurrencyLimit};
pub use domain_watch::DomainWatch;
pub use gauge::{CallEnd, LoadReport, ServerGauge};
pub use placement::choose_cheapest;
pub use quantile::QuantileTracker;
pub use queue_bound::queue_bound;
pub use return_time::return_time;
pub use server_view::{CallResult, CallTicket, ServerProfile, ServerView};
pub use warmup::{ColdProfile, RouterShare, WarmupState};
