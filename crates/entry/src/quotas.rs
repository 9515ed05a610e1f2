//! Pools of the teams' quotas that this process keeps for all VMs, and calls to those of other VMs; see
//! [`policy::QuotaPool`].

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use model::{DomainName, MonoTime, TeamName, VmName};
use policy::{
    PoolStamp, QuotaAsk, QuotaDecision, QuotaPool, ReturnNumber, ShareLoan, rendezvous_rank,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::{RoutePlan, VmPresence};

/// Groups into which the teams are divided; each has its pools, so that the calls are spread over VMs.
pub(crate) const N_QUOTA_GROUPS: usize = 4;

/// Pools of a router's own failure domain that it uses if it can't reach the first one of all.
const N_DOMAIN_POOLS: usize = 2;

/// A router's call to a pool: its share of the quotas, a request for permits, or permits that it has not
/// used.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaCall {
    /// Number of the call, unique among those of its sender's socket.
    pub id: u64,
    /// The calling VM.
    pub vm: VmName,
    /// Group of the teams.
    pub group: u8,
    /// The VM's share, if it is lent to this pool.
    pub loan: Option<ShareLoan>,
    /// Request for permits.
    pub ask: Option<QuotaAsk>,
    /// Permits that the VM has not used, by team.
    pub returned: Option<(ReturnNumber, Vec<(TeamName, u32)>)>,
}

/// Answer to a [`QuotaCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Number of the call.
    pub id: u64,
    /// The pool's stamp, for the next loan.
    pub stamp: PoolStamp,
    /// Decision on the request for permits, if there was one.
    pub decision: Option<QuotaDecision>,
}

/// The group of a team.
pub(crate) fn quota_group(team: &TeamName) -> usize {
    (xxh3_64(team.as_str().as_bytes()) % N_QUOTA_GROUPS as u64) as usize
}

/// VMs whose pools the VM `own` uses for a group, in that order: the first by rendezvous order of all VMs
/// with much capacity, the first ones of its failure domain, and itself.
pub(crate) fn pool_order(
    vms: &BTreeMap<VmName, VmPresence>,
    own: &VmName,
    own_domain: &DomainName,
    group: usize,
) -> SmallVec<[VmName; 4]> {
    let max_millicores = vms.values().map(|it| it.millicores).max().unwrap_or_default();
    let subject = format!("quota-{group}");
    let mut ranked: Vec<_> = vms
        .iter()
        .map(|(vm, it)| {
            let is_weak = it.millicores.saturating_mul(2) < max_millicores;
            ((is_weak, rendezvous_rank(&subject, vm)), vm, &it.domain)
        })
        .collect();
    ranked.sort();
    let first = ranked.first().map(|it| it.1);
    let near = ranked.iter().filter(|it| it.2 == own_domain).map(|it| it.1).take(N_DOMAIN_POOLS);
    let mut order: SmallVec<[VmName; 4]> = SmallVec::new();
    for vm in first.into_iter().chain(near).chain([own]) {
        if !order.contains(vm) {
            order.push(vm.clone());
        }
    }
    order
}

/// The pools that this process keeps, one for each group, shared by its threads.
#[derive(Debug, Clone)]
pub struct SharedPools(Arc<Mutex<QuotaPools>>);

/// One pool for each group of teams.
#[derive(Debug)]
pub struct QuotaPools {
    pools: Vec<QuotaPool>,
    /// Version of the plan whose quotas have been adopted.
    version: u64,
}

impl SharedPools {
    /// Creates pools without shares.
    pub fn new(incarnation: u64, now: MonoTime) -> Self {
        let pools = (0..N_QUOTA_GROUPS).map(|_| QuotaPool::new(incarnation, now)).collect();
        Self(Arc::new(Mutex::new(QuotaPools { pools, version: 0 })))
    }

    /// Locks the pools.
    pub fn lock(&self) -> MutexGuard<'_, QuotaPools> {
        self.0.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl QuotaPools {
    /// Adopts the quotas of a plan, once for each version.
    pub fn adopt_plan(&mut self, plan: &RoutePlan, now: MonoTime) {
        if plan.version == self.version {
            return;
        }
        self.version = plan.version;
        for (group, pool) in self.pools.iter_mut().enumerate() {
            let quotas = plan.teams.iter().flat_map(|it| it.quotas());
            let quotas = quotas.filter(|(team, _)| quota_group(team) == group);
            pool.adopt_limits(plan.version, quotas, now);
        }
    }

    /// Takes in a call and answers it; `None` for an unknown group. `draw` is a uniform random number in
    /// [0, 1).
    pub fn handle(&mut self, call: QuotaCall, draw: f64, now: MonoTime) -> Option<QuotaReply> {
        let QuotaCall { id, vm, group, loan, ask, returned } = call;
        let pool = self.pools.get_mut(usize::from(group))?;
        if let Some(loan) = loan {
            pool.add_loan(&vm, loan, now);
        }
        if let Some((number, returned)) = returned {
            pool.take_back(&vm, number, &returned);
        }
        let decision = ask.map(|it| pool.decide(&it, draw, now));
        Some(QuotaReply { id, stamp: pool.stamp(now), decision })
    }

    /// Forgets VMs that are gone.
    pub fn retain_vms(&mut self, is_present: impl Fn(&VmName) -> bool) {
        self.pools.iter_mut().for_each(|it| it.retain_vms(&is_present));
    }

    /// State of the pools, one line for each.
    pub fn describe(&mut self, now: MonoTime) -> String {
        let mut text = String::new();
        for (group, pool) in self.pools.iter_mut().enumerate() {
            let share = pool.lent_share(now);
            text += &format!("pool group={group} lenders={} share={share:.3}\n", pool.n_lenders());
        }
        text
    }
}
