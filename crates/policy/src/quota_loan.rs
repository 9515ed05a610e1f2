//! To which pool a router lends its share of the quotas, and which one it asks for permits.
//!
//! A share is in one pool at a time: before it goes to another one, the time for which it was lent has
//! passed by the clock of either side. The first pool in the order that all routers share is used while it
//! answers, otherwise one of the router's failure domain, in the end its own.

use std::{collections::HashMap, time::Duration};

use model::{MonoTime, VmName};

use crate::{KeeperHealth, LOAN_TIME, PoolStamp, ShareLoan};

/// Age up to which an answer shows that a pool can be used.
const ANSWER_LIFETIME: Duration = Duration::from_millis(1_000);

/// Calls without an answer after which a pool is avoided.
const MAX_UNANSWERED: u32 = 1;

/// The loan of one router's share, for one group of teams.
#[derive(Debug)]
pub struct QuotaLoan {
    own: VmName,
    /// The pool that the share was last lent to.
    lent_to: Option<VmName>,
    /// Since when that pool has had it.
    lent_at: MonoTime,
    /// When the share is certainly in no pool any more.
    free_at: MonoTime,
    /// Last stamp of each pool that has answered, and when it arrived.
    stamps: HashMap<VmName, (PoolStamp, MonoTime)>,
    health: KeeperHealth,
}

impl QuotaLoan {
    /// Creates the loan of the router `own`, which may have lent its share in an earlier run.
    pub fn new(own: VmName, now: MonoTime) -> Self {
        Self {
            own,
            lent_to: None,
            lent_at: now,
            free_at: now + LOAN_TIME,
            stamps: HashMap::new(),
            health: KeeperHealth::new(MAX_UNANSWERED),
        }
    }

    /// The pool to lend to: the first of `pools` that has answered of late, or the own one.
    pub fn preferred<'a>(&self, pools: &[&'a VmName], now: MonoTime) -> Option<&'a VmName> {
        let has_answered = |it: &&&VmName| {
            let answered_at = self.stamps.get(**it).map(|it| it.1);
            **it == &self.own || answered_at.is_some_and(|it| now.since(it) < ANSWER_LIFETIME)
        };
        pools.iter().filter(|it| !self.health.is_avoided(it, now)).find(has_answered).copied()
    }

    /// The pool to ask for permits: the one that has the share, or is about to get it.
    pub fn pool<'a>(&self, pools: &[&'a VmName], now: MonoTime) -> Option<&'a VmName> {
        let lent_to = self.lent_to.as_ref().filter(|_| now < self.free_at);
        let lent_to = pools.iter().find(|it| Some(**it) == lent_to).copied();
        lent_to.filter(|it| !self.health.is_avoided(it, now)).or_else(|| self.preferred(pools, now))
    }

    /// The pools to call regularly: the one to lend to, and the first that may answer.
    pub fn pools_to_call<'a>(
        &self,
        pools: &[&'a VmName],
        now: MonoTime,
    ) -> impl Iterator<Item = &'a VmName> + use<'a> {
        let first = pools.iter().find(|it| !self.health.is_avoided(it, now)).copied();
        let preferred = self.preferred(pools, now).filter(|it| Some(*it) != first);
        first.into_iter().chain(preferred)
    }

    /// The loan to send to `pool`: only if it is the preferred one, has answered, and no other one has the
    /// share.
    pub fn lend(
        &mut self,
        pool: &VmName,
        pools: &[&VmName],
        share: f64,
        now: MonoTime,
    ) -> Option<ShareLoan> {
        let is_lent_there = self.lent_to.as_ref() == Some(pool);
        if !(is_lent_there || now >= self.free_at) || self.preferred(pools, now) != Some(pool) {
            return None;
        }
        let (stamp, received_at) = *self.stamps.get(pool)?;
        // The pool counts from its stamp, which is older than its arrival here.
        let ends_at = received_at + LOAN_TIME;
        if ends_at <= now {
            return None;
        }
        if !is_lent_there {
            self.lent_to = Some(pool.clone());
            self.lent_at = now;
        }
        self.free_at = self.free_at.max(ends_at);
        Some(ShareLoan { stamp, share })
    }

    /// The pool that has the share, and since when.
    pub fn borrower(&self, now: MonoTime) -> Option<(&VmName, MonoTime)> {
        let lent_to = self.lent_to.as_ref().filter(|_| now < self.free_at)?;
        Some((lent_to, self.lent_at))
    }

    /// Records an answer of a pool.
    pub fn note_answer(&mut self, pool: &VmName, stamp: PoolStamp, now: MonoTime) {
        self.stamps.insert(pool.clone(), (stamp, now));
        self.health.note_answer(pool);
    }

    /// Records that a call made at `asked_at` is given up.
    pub fn note_silence(&mut self, pool: &VmName, asked_at: MonoTime, now: MonoTime) {
        self.health.note_silence(pool, asked_at, now);
    }

    /// Forgets pools of routers that are gone.
    pub fn retain_vms(&mut self, is_present: impl Fn(&VmName) -> bool) {
        self.stamps.retain(|vm, _| is_present(vm));
        self.health.retain(&is_present);
    }
}
