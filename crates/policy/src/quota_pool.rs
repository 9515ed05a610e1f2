//! Gives out permits for limits that bind all routers together, out of the shares that routers lend.
//!
//! Load pattern: the requests of one team arrive at few of many routers, or at all, and move between
//! them, so that a quota that is divided beforehand is too small where the requests are. Each router has
//! an equal share of every quota and lends it for a short time to a pool, which any router may ask. A
//! pool gives out no more than what is lent to it, so that all pools together keep to the quota, even
//! while routers disagree on which pool to use or can't reach each other.

use std::{collections::HashMap, time::Duration};

use model::{MonoTime, TeamName, VmName};
use serde::{Deserialize, Serialize};

/// Time after a pool's stamp until which a share is lent to it.
pub const LOAN_TIME: Duration = Duration::from_millis(1_000);

/// Time after a new loan in which more routers are likely to lend their shares.
const SETTLING_TIME: Duration = Duration::from_millis(400);

/// Longest time after which a refused caller is asked to return.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(10);

/// Requests that a team may send, over all routers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond that rate, once it has not been used for a while.
    pub burst: f64,
}

impl QuotaLimit {
    /// Most permits that can be saved up, by all routers together.
    fn stock(self) -> f64 {
        self.burst.max(1.0)
    }
}

/// A reading of a pool's clock, which a loan has to name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStamp {
    /// Incarnation of the pool's process.
    pub incarnation: u64,
    /// Time by the pool's clock.
    pub at: MonoTime,
}

/// A router's share of all quotas, lent to a pool until [`LOAN_TIME`] after the pool's stamp.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ShareLoan {
    /// The last stamp that the router has received from the pool.
    pub stamp: PoolStamp,
    /// Share of each quota, between 0 and 1.
    pub share: f64,
}

/// A request for permits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// The team whose quota they count against.
    pub team: TeamName,
    /// The quota as far as the asking router knows it.
    pub limit: QuotaLimit,
    /// Version of the plan with that quota; the newest one applies.
    pub version: u64,
    /// Number of permits that the router can use at once.
    pub n_wanted: u32,
    /// Time for which the request can wait for its permit.
    pub max_wait: Duration,
}

/// Decision on a [`QuotaAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaDecision {
    /// So many requests may be sent, the first one after `wait`.
    Granted {
        /// Number of permits.
        n_permits: u32,
        /// Time until the first may be used.
        wait: Duration,
    },
    /// The quota is used up.
    Denied {
        /// Time after which there will be room for this caller.
        retry_after: Duration,
    },
    /// The pool does not have all shares yet that it is about to get.
    Settling,
}

/// Shares that are lent to one router, and what it has given out of them.
#[derive(Debug)]
pub struct QuotaPool {
    incarnation: u64,
    loans: HashMap<VmName, LentShare>,
    /// When a router last began to lend its share.
    grown_at: MonoTime,
    /// Sum over time of the lent shares, in seconds of a whole quota.
    supplied_seconds: f64,
    /// Until when the loans are part of that sum.
    supplied_until: MonoTime,
    buckets: HashMap<TeamName, QuotaBucket>,
    /// Number of the last report of unused permits, by router.
    returns: HashMap<VmName, ReturnNumber>,
}

#[derive(Debug, Clone, Copy)]
struct LentShare {
    share: f64,
    ends_at: MonoTime,
}

/// Number of a report of unused permits. A report may arrive more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnNumber {
    /// Incarnation of the reporting process.
    pub incarnation: u64,
    /// Number of the report among those of the process; counts up.
    pub sequence: u64,
}

/// Permits of one team.
#[derive(Debug, Clone, Copy)]
struct QuotaBucket {
    limit: QuotaLimit,
    /// Version of the plan with that limit.
    version: u64,
    /// Permits that can be given out; below zero if some have been promised.
    permits: f64,
    /// The pool's `supplied_seconds` up to which permits have been added.
    supplied_seconds: f64,
    /// When the next refused caller is asked to return.
    next_return_at: MonoTime,
}

impl QuotaPool {
    /// Creates a pool without shares.
    pub fn new(incarnation: u64, now: MonoTime) -> Self {
        Self {
            incarnation,
            loans: HashMap::new(),
            grown_at: now,
            supplied_seconds: 0.0,
            supplied_until: now,
            buckets: HashMap::new(),
            returns: HashMap::new(),
        }
    }

    /// The stamp that loans have to name from now on.
    pub fn stamp(&self, now: MonoTime) -> PoolStamp {
        PoolStamp { incarnation: self.incarnation, at: now }
    }

    /// Adds a router's share until [`LOAN_TIME`] after the stamp, unless that time is over.
    pub fn add_loan(&mut self, vm: &VmName, loan: ShareLoan, now: MonoTime) {
        let ShareLoan { stamp, share } = loan;
        let ends_at = stamp.at + LOAN_TIME;
        if stamp.incarnation != self.incarnation || stamp.at > now || ends_at <= now {
            return;
        }
        self.advance(now);
        match self.loans.get_mut(vm) {
            // A loan that was sent before the known one.
            Some(known) if ends_at < known.ends_at => (),
            Some(known) => *known = LentShare { share, ends_at },
            None => {
                self.grown_at = now;
                self.loans.insert(vm.clone(), LentShare { share, ends_at });
            }
        }
    }

    /// Sum of the shares that are lent now.
    pub fn lent_share(&mut self, now: MonoTime) -> f64 {
        self.advance(now);
        let sum: f64 = self.loans.values().map(|it| it.share).sum();
        sum.min(1.0)
    }

    /// Number of routers that lend their shares now.
    pub fn n_lenders(&self) -> usize {
        self.loans.len()
    }

    /// Adds what the loans have supplied since the last call, and drops those that have ended.
    fn advance(&mut self, now: MonoTime) {
        let from = self.supplied_until;
        let lent_seconds =
            self.loans.values().map(|it| it.share * it.ends_at.min(now).since(from).as_secs_f64());
        let supplied = lent_seconds.sum::<f64>().min(now.since(from).as_secs_f64());
        self.supplied_seconds += supplied;
        self.supplied_until = from.max(now);
        self.loans.retain(|_, it| it.ends_at > now);
    }

    /// Adopts the quotas of a plan. A bucket begins without permits, so that none are given out twice
    /// if another pool has had the shares before.
    pub fn adopt_limits<'a>(
        &mut self,
        version: u64,
        limits: impl Iterator<Item = (&'a TeamName, QuotaLimit)>,
        now: MonoTime,
    ) {
        self.advance(now);
        let mut buckets = std::mem::take(&mut self.buckets);
        for (team, limit) in limits {
            let known = buckets.remove(team);
            let bucket = known.unwrap_or_else(|| self.new_bucket(limit, version));
            let bucket = match bucket.version < version {
                true => QuotaBucket { limit, version, ..bucket },
                false => bucket,
            };
            self.buckets.insert(team.clone(), bucket);
        }
        // Teams that only a newer plan has.
        self.buckets.extend(buckets.into_iter().filter(|(_, it)| it.version > version));
    }

    fn new_bucket(&self, limit: QuotaLimit, version: u64) -> QuotaBucket {
        QuotaBucket {
            limit,
            version,
            permits: 0.0,
            supplied_seconds: self.supplied_seconds,
            next_return_at: MonoTime::default(),
        }
    }

    /// Decides on permits; `draw` is a uniform random number in [0, 1).
    pub fn decide(&mut self, ask: &QuotaAsk, draw: f64, now: MonoTime) -> QuotaDecision {
        let share = self.lent_share(now);
        let new = self.new_bucket(ask.limit, ask.version);
        let supplied_seconds = self.supplied_seconds;
        // Without any share, it can't tell whether there is room.
        let is_settling = share <= 0.0 || now.since(self.grown_at) < SETTLING_TIME;
        let bucket = self.buckets.entry(ask.team.clone()).or_insert(new);
        if bucket.version < ask.version {
            (bucket.limit, bucket.version) = (ask.limit, ask.version);
        }
        bucket.refill(supplied_seconds, share);
        if let Some(n_permits) = bucket.take(ask.n_wanted, share, draw) {
            return QuotaDecision::Granted { n_permits, wait: Duration::ZERO };
        }
        let rate = bucket.limit.rate * share;
        let wait = match rate > 0.0 {
            true => Duration::try_from_secs_f64((1.0 - bucket.permits) / rate),
            false => Ok(Duration::MAX),
        };
        match wait.unwrap_or(Duration::MAX) {
            wait if wait <= ask.max_wait && bucket.limit.stock() * share >= 1.0 => {
                bucket.permits -= 1.0;
                QuotaDecision::Granted { n_permits: 1, wait }
            }
            _ if is_settling => QuotaDecision::Settling,
            wait => QuotaDecision::Denied { retry_after: bucket.return_delay(wait, rate, now) },
        }
    }

    /// Takes back permits that a router has not used; a report that has been taken in before is ignored.
    pub fn take_back(&mut self, vm: &VmName, number: ReturnNumber, returned: &[(TeamName, u32)]) {
        let is_known = self.returns.get(vm).is_some_and(|it| {
            it.incarnation == number.incarnation && it.sequence >= number.sequence
        });
        if is_known {
            return;
        }
        self.returns.insert(vm.clone(), number);
        for (team, n_permits) in returned {
            if let Some(bucket) = self.buckets.get_mut(team) {
                // More than fits is dropped by the next refill.
                bucket.permits += f64::from(*n_permits);
            }
        }
    }

    /// Forgets routers that are gone.
    pub fn retain_vms(&mut self, is_present: impl Fn(&VmName) -> bool) {
        self.returns.retain(|vm, _| is_present(vm));
    }
}

impl QuotaBucket {
    /// Adds what has been supplied since the last refill, up to the lent share of the stock.
    fn refill(&mut self, supplied_seconds: f64, share: f64) {
        let supplied = supplied_seconds - self.supplied_seconds;
        self.supplied_seconds = supplied_seconds;
        let max = self.limit.stock() * share;
        self.permits = (self.permits + self.limit.rate * supplied).min(max);
    }

    /// Takes up to `n_wanted` permits, at least one.
    fn take(&mut self, n_wanted: u32, share: f64, draw: f64) -> Option<u32> {
        if self.permits >= 1.0 {
            let n_permits = n_wanted.clamp(1, self.permits as u32);
            self.permits -= f64::from(n_permits);
            return Some(n_permits);
        }
        // A share of less than one permit can't be saved up; it is given out by chance instead.
        if self.limit.stock() * share < 1.0 && self.permits > 0.0 {
            let is_granted = draw < self.permits;
            self.permits = 0.0;
            return is_granted.then_some(1);
        }
        None
    }

    /// Time after which a refused caller should return: each at a moment of its own, as permits come.
    fn return_delay(&mut self, wait: Duration, rate: f64, now: MonoTime) -> Duration {
        let earliest = now + wait.min(MAX_RETURN_DELAY);
        let latest = now + MAX_RETURN_DELAY;
        let return_at = self.next_return_at.max(earliest).min(latest);
        let interval = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETURN_DELAY);
        // Begins anew once the last one is so late that callers would not wait for it.
        self.next_return_at = match return_at >= latest {
            true => earliest,
            false => return_at + interval.min(MAX_RETURN_DELAY),
        };
        return_at.since(now)
    }
}
