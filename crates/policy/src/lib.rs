//! Decisions about load: which server, how much, how often again.
//!
//! Everything here is pure: time is an argument and randomness comes from a seeded generator.

mod admission;
mod balancer;
mod budget;
mod concurrency;
mod quantile;
mod server_view;
mod warmup;

pub use admission::admit;
pub use balancer::{BalancerPolicy, Candidate, ServiceBalancer};
pub use budget::RetryBudget;
pub use concurrency::{CallPace, ConcurrencyLimit};
pub use quantile::QuantileTracker;
pub use server_view::{CallResult, CallTicket, ServerProfile, ServerView};
pub use warmup::{ColdProfile, RouterShare, WarmupState};
