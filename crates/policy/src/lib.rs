//! Load policy: choice of a server, admission, concurrency limits, retries and backoff.
//!
//! The code performs no I/O: time is an argument, and random choices draw from a seeded generator.

mod address_doubt;
mod admission;
mod backpressure;
mod balancer;
mod budget;
mod cold_pacer;
mod concurrency;
mod silence_detector;
mod load_estimator;
mod permits;
mod placement;
mod quantile;
mod queue_bound;
mod quota_loan;
mod quota_pool;
mod rate_division;
mod rendezvous;
mod retry_delay;
mod server_view;
mod server_warmth;
mod warmup;

pub use address_doubt::AddressDoubt;
pub use admission::admit;
pub use backpressure::{BackpressureSignal, BackpressureState};
pub use balancer::{BalancerPolicy, ServerCandidate, ServiceBalancer};
pub use budget::RetryBudget;
pub use cold_pacer::ColdPacer;
pub use concurrency::{CallTiming, ConcurrencyLimit};
pub use load_estimator::{CallEnd, LoadEstimator, LoadReport};
pub use permits::{
    KeeperHealth, KeeperRank, PermitDecision, PermitKeeper, PermitSchedule, permit_keepers,
};
pub use placement::choose_cheapest;
pub use quantile::QuantileTracker;
pub use queue_bound::{objective_below, queue_bound};
pub use quota_loan::QuotaLoan;
pub use quota_pool::{
    LOAN_TIME, PoolStamp, QuotaAsk, QuotaDecision, QuotaLimit, QuotaPool, ReturnNumber, ShareLoan,
};
pub use rate_division::{ServerSpeed, SmoothedWeights, divide_rate};
pub use rendezvous::rendezvous_rank;
pub use retry_delay::retry_delay;
pub use server_view::{CallResult, CallTicket, ServerProfile, ServerView};
pub use server_warmth::{ServerWarmth, answer_lifetime};
pub use silence_detector::SilenceDetector;
pub use warmup::{ColdProfile, RouterShare, WarmupState};
