//! Limit on the requests that all routers together send to a freshly started server.
//!
//! The routers exchange no messages for this. Each has a rank for each server, which all compute from
//! the same sheet, and a total is divided by rank so that the shares add up to it exactly.

use std::time::Duration;

use model::MonoTime;

/// A router's rank among those that share a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterShare {
    /// Rank of this router, from 0.
    pub rank: u32,
    /// Number of routers that share the server.
    pub n_routers: u32,
}

impl RouterShare {
    /// This router's part of `total`; the parts of all ranks add up to `total`.
    pub fn of(self, total: u32) -> u32 {
        let n_routers = self.n_routers.max(1);
        total / n_routers + u32::from(self.rank < total % n_routers)
    }
}

/// Capacity of a server during its warm-up according to the sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdProfile {
    /// Number of requests that it may run at once while cold.
    pub cold_slots: u32,
    /// Number of requests that it runs at once when warm.
    pub slots: u32,
    /// Time after its start for which it is cold.
    pub warm_after: Duration,
}

/// Warm-up state of a server, as far as one router knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmupState {
    /// The warm-up doesn't limit its load.
    Warm,
    /// It is unreachable, and counts as cold when it returns.
    Lost,
    /// It was found alive again, or cold, at `since`.
    Warming {
        /// Latest time at which the cold period may have begun.
        since: MonoTime,
    },
}

impl WarmupState {
    /// State after the server or its host refused or broke a connection.
    #[must_use]
    pub fn lost(self) -> Self {
        Self::Lost
    }

    /// State after the server answered a request or a probe.
    #[must_use]
    pub fn answered(self, now: MonoTime) -> Self {
        match self {
            Self::Lost => Self::Warming { since: now },
            state => state,
        }
    }

    /// State after the server refused a request because it is cold.
    #[must_use]
    pub fn found_cold(self, now: MonoTime) -> Self {
        match self {
            Self::Lost => Self::Lost,
            _ => Self::Warming { since: now },
        }
    }

    /// State at `now`: a warming server becomes warm at the end of the ramp after its cold period.
    #[must_use]
    pub fn state_at(self, profile: ColdProfile, now: MonoTime) -> Self {
        match self {
            Self::Warming { since } if now.since(since) >= profile.warm_after * 2 => Self::Warm,
            state => state,
        }
    }

    /// Maximum number of requests that this router may have open at the server, if there is a limit.
    ///
    /// The sum over all routers is `cold_slots` during the cold period, and then grows linearly to
    /// `slots` over the same length of time.
    pub fn allowance(self, profile: ColdProfile, share: RouterShare, now: MonoTime) -> Option<u32> {
        match self {
            Self::Warm => None,
            // Only probes detect that a lost server has returned.
            Self::Lost => Some(0),
            Self::Warming { since } => Some(share.of(warming_total(profile, now.since(since)))),
        }
    }
}

/// Maximum number of requests that all routers together may have open at a server that has been warming
/// up for `age`.
fn warming_total(profile: ColdProfile, age: Duration) -> u32 {
    let ramp = age.saturating_sub(profile.warm_after);
    let full = profile.warm_after.as_micros().max(1);
    let gained = u128::from(profile.slots.saturating_sub(profile.cold_slots)) * ramp.as_micros();
    profile.cold_slots + (gained / full).min(u128::from(profile.slots)) as u32
}
