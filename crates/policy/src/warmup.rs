//! How much a freshly started server may be given, in sum over all routers.
//!
//! Routers do not speak to each other for this. Each has a rank for each server, which all compute
//! from the same sheet, and a total is divided by rank so that the shares add up to it exactly.

use std::time::Duration;

use model::MonoTime;

/// A router's place among those that share a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterShare {
    /// Rank of this router, from 0.
    pub rank: u32,
    /// Routers that share the server.
    pub n_routers: u32,
}

impl RouterShare {
    /// This router's part of `total`; the parts of all ranks add up to `total`.
    pub fn of(self, total: u32) -> u32 {
        let n_routers = self.n_routers.max(1);
        total / n_routers + u32::from(self.rank < total % n_routers)
    }
}

/// What the sheet says of a server's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdProfile {
    /// Requests that it bears at once while cold.
    pub cold_slots: u32,
    /// Requests that it runs at once when warm.
    pub slots: u32,
    /// Time for which it is cold after its start.
    pub warm_after: Duration,
}

/// Whether a server is warm, as far as one router knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmupState {
    /// Its load is limited only by the rest of the policy.
    Warm,
    /// It cannot be reached; it will be cold when it returns.
    Lost,
    /// It was found alive, or cold, at `since`.
    Warming {
        /// When the cold time began, at the latest.
        since: MonoTime,
    },
}

impl WarmupState {
    /// The server's host refused or broke a connection.
    #[must_use]
    pub fn lost(self) -> Self {
        Self::Lost
    }

    /// The server answered.
    #[must_use]
    pub fn answered(self, now: MonoTime) -> Self {
        match self {
            Self::Lost => Self::Warming { since: now },
            state => state,
        }
    }

    /// The server said that it is cold.
    #[must_use]
    pub fn found_cold(self, now: MonoTime) -> Self {
        match self {
            Self::Lost => Self::Lost,
            _ => Self::Warming { since: now },
        }
    }

    /// The state once the ramp after the cold time is over.
    #[must_use]
    pub fn aged(self, profile: ColdProfile, now: MonoTime) -> Self {
        match self {
            Self::Warming { since } if now.since(since) >= profile.warm_after * 2 => Self::Warm,
            state => state,
        }
    }

    /// Requests that this router may have open at the server; none when there is no limit.
    ///
    /// The sum over all routers is the cold slots for the cold time, and then grows evenly to the
    /// warm slots over as long again.
    pub fn allowance(self, profile: ColdProfile, share: RouterShare, now: MonoTime) -> Option<u32> {
        match self {
            Self::Warm => None,
            // Only probes find out that a lost server has returned.
            Self::Lost => Some(0),
            Self::Warming { since } => Some(share.of(warming_total(profile, now.since(since)))),
        }
    }
}

fn warming_total(profile: ColdProfile, age: Duration) -> u32 {
    let ramp = age.saturating_sub(profile.warm_after);
    let full = profile.warm_after.as_micros().max(1);
    let gained = u128::from(profile.slots.saturating_sub(profile.cold_slots)) * ramp.as_micros();
    profile.cold_slots + (gained / full).min(u128::from(profile.slots)) as u32
}
