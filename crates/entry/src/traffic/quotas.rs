//! Permits for requests of teams that have a quota: from what this VM has left of earlier ones, or from a
//! pool, which may be on another VM.

use std::collections::{BTreeMap, HashSet};

use model::TeamName;
use policy::{QuotaAsk, QuotaDecision, QuotaLoan, ReturnNumber};
use tokio::time::{MissedTickBehavior, interval};

use super::*;
use crate::{
    PeerDatagram, QuotaCall, QuotaReply, VmPresence,
    quotas::{N_QUOTA_GROUPS, pool_order, quota_group},
};

/// Time between two loans to a pool; a loan outlasts two lost ones.
const LOAN_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which this VM may keep permits that it has not used.
const PERMIT_LIFETIME: Duration = Duration::from_millis(100);

/// Part of its latency objective that a request waits for a permit that it will get.
const PERMIT_WAIT_SHARE: f64 = 0.2;

/// Part of its latency objective that a request waits until there is a pool to ask.
const POOL_WAIT_SHARE: f64 = 0.5;

/// Time between two attempts to find a pool.
const POOL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Most teams that have metrics of their own.
const MAX_TEAM_METRICS: usize = 20;

/// Permits and loans of this VM.
pub(super) struct QuotaDesk {
    state: Rc<RefCell<DeskState>>,
}

struct DeskState {
    incarnation: u64,
    /// The loan of this VM's share, for each group of teams.
    loans: Vec<QuotaLoan>,
    /// The VMs for which `orders` has been made.
    vms: Arc<BTreeMap<VmName, VmPresence>>,
    /// Pools to use, for each group.
    orders: Vec<SmallVec<[VmName; 4]>>,
    stocks: HashMap<TeamName, PermitStock>,
    /// The teams that have metrics of their own, in the plan of this version.
    largest: (u64, HashSet<TeamName>),
    /// Permits to return to the pools.
    unused: HashMap<TeamName, u32>,
    n_returns: u64,
}

/// Permits of one team that this VM has left.
#[derive(Debug, Clone, Copy, Default)]
struct PermitStock {
    n_permits: u32,
    valid_until: MonoTime,
    /// Requests of the team in the present loan interval, and in the last one.
    n_requests: [u32; 2],
}

/// The right to send one request of a team; returned when dropped.
pub(super) struct QuotaPermit {
    team: TeamName,
    state: Rc<RefCell<DeskState>>,
    is_spent: bool,
}

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        if self.is_spent {
            return;
        }
        // Permits are dropped by requests, never while the desk is borrowed.
        if let Ok(mut state) = self.state.try_borrow_mut() {
            *state.unused.entry(self.team.clone()).or_default() += 1;
        }
    }
}

/// A permit of a request that may run.
pub(super) struct SpentPermit(QuotaPermit);

impl QuotaPermit {
    /// Uses the permit: the request is sent now, and counts unless the server says that it did not run.
    pub(super) fn spend(mut self) -> SpentPermit {
        self.is_spent = true;
        SpentPermit(self)
    }
}

impl SpentPermit {
    /// The permit again, as the request has certainly not run.
    pub(super) fn restore(mut self) -> QuotaPermit {
        self.0.is_spent = false;
        self.0
    }
}

impl QuotaDesk {
    /// Creates the desk of the VM `own` without permits.
    pub(super) fn new(own: &VmName, incarnation: u64, now: MonoTime) -> Self {
        let state = DeskState {
            incarnation,
            loans: (0..N_QUOTA_GROUPS).map(|_| QuotaLoan::new(own.clone(), now)).collect(),
            vms: Arc::default(),
            orders: vec![SmallVec::from_elem(own.clone(), 1); N_QUOTA_GROUPS],
            stocks: HashMap::new(),
            largest: (0, HashSet::new()),
            unused: HashMap::new(),
            n_returns: 0,
        };
        Self { state: Rc::new(RefCell::new(state)) }
    }

    /// Incarnation of the process.
    pub(super) fn incarnation(&self) -> u64 {
        self.state.borrow().incarnation
    }

    /// Whether the team is one of those that have metrics of their own.
    pub(super) fn is_largest(&self, team: &TeamName, snapshot: &StateSnapshot) -> bool {
        let mut state = self.state.borrow_mut();
        if let Some(plan) = snapshot.plan.as_ref().filter(|it| it.version != state.largest.0) {
            let largest = plan.teams.as_ref().map(|it| it.largest(MAX_TEAM_METRICS));
            state.largest = (plan.version, largest.into_iter().flatten().cloned().collect());
        }
        state.largest.1.contains(team)
    }

    fn permit(&self, team: &TeamName) -> QuotaPermit {
        QuotaPermit { team: team.clone(), state: self.state.clone(), is_spent: false }
    }

    /// Takes a permit that is left, and counts the request.
    fn take(&self, team: &TeamName, now: MonoTime) -> Option<QuotaPermit> {
        let mut state = self.state.borrow_mut();
        let stock = state.stocks.entry(team.clone()).or_default();
        stock.n_requests[0] += 1;
        if stock.n_permits == 0 || now >= stock.valid_until {
            return None;
        }
        stock.n_permits -= 1;
        Some(self.permit(team))
    }

    /// Number of permits that the team's requests here will use before they lapse.
    fn n_wanted(&self, team: &TeamName) -> u32 {
        let state = self.state.borrow();
        let n_requests = state.stocks.get(team).map_or(0, |it| it.n_requests[1]);
        let share = PERMIT_LIFETIME.as_secs_f64() / LOAN_INTERVAL.as_secs_f64();
        1 + (f64::from(n_requests) * share) as u32
    }

    /// Keeps the permits that a pool has granted, and takes one of them.
    fn receive(&self, team: &TeamName, n_permits: u32, now: MonoTime) -> QuotaPermit {
        let mut state = self.state.borrow_mut();
        state.drop_lapsed(now);
        let stock = state.stocks.entry(team.clone()).or_default();
        stock.n_permits += n_permits.saturating_sub(1);
        stock.valid_until = now + PERMIT_LIFETIME;
        self.permit(team)
    }

    /// Begins a new interval: permits that have lapsed are returned, and statistics start anew.
    fn begin_interval(&self, now: MonoTime) {
        let mut state = self.state.borrow_mut();
        state.drop_lapsed(now);
        state.stocks.retain(|_, it| {
            it.n_requests = [0, it.n_requests[0]];
            it.n_requests[1] > 0 || it.n_permits > 0
        });
    }

    /// Forgets VMs that are gone.
    pub(super) fn retain_vms(&self, is_present: impl Fn(&VmName) -> bool) {
        self.state.borrow_mut().loans.iter_mut().for_each(|it| it.retain_vms(&is_present));
    }

    /// State of the loans, one line for each group.
    pub(super) fn describe(&self, now: MonoTime) -> String {
        let state = self.state.borrow();
        let lines =
            state.loans.iter().zip(&state.orders).enumerate().map(|(group, (loan, order))| {
                let order: SmallVec<[&VmName; 4]> = order.iter().collect();
                let (pool, age_ms) = loan
                    .borrower(now)
                    .map_or(("-", 0), |(pool, at)| (pool.as_str(), now.since(at).as_millis()));
                format!("loan group={group} pools={order:?} lent_to={pool} lent_for_ms={age_ms}\n")
            });
        lines.collect()
    }
}

impl DeskState {
    fn drop_lapsed(&mut self, now: MonoTime) {
        for (team, stock) in &mut self.stocks {
            if now >= stock.valid_until && stock.n_permits > 0 {
                let n_permits = std::mem::take(&mut stock.n_permits);
                *self.unused.entry(team.clone()).or_default() += n_permits;
            }
        }
    }

    /// Makes the orders of pools anew if the VMs have changed.
    fn update_orders(&mut self, snapshot: &StateSnapshot, own: &VmName, domain: &DomainName) {
        if Arc::ptr_eq(&self.vms, &snapshot.vms) {
            return;
        }
        self.vms = snapshot.vms.clone();
        let order = |group| pool_order(&snapshot.vms, own, domain, group);
        self.orders = (0..N_QUOTA_GROUPS).map(order).collect();
    }

    /// Permits of the group's teams to return, as a numbered report.
    fn take_unused(&mut self, group: usize) -> Option<(ReturnNumber, Vec<(TeamName, u32)>)> {
        let unused: Vec<(TeamName, u32)> =
            self.unused.extract_if(|team, _| quota_group(team) == group).collect();
        if unused.is_empty() {
            return None;
        }
        self.n_returns += 1;
        let number = ReturnNumber { incarnation: self.incarnation, sequence: self.n_returns };
        Some((number, unused))
    }
}

impl<F: ServerFormat> TrafficServer<F> {
    /// Gets a permit if the request's team has a quota and the request has none. Waits for one that comes
    /// early enough for the objective, and refuses the request otherwise.
    pub(super) async fn obtain_quota(
        &self,
        request: &mut RequestState,
    ) -> Result<(), NotRunReason> {
        let team = request.identity.team.as_ref().filter(|_| request.quota_permit.is_none());
        let Some((team, limit)) = team.and_then(|it| Some((it.name.clone(), it.quota?))) else {
            return Ok(());
        };
        if let Some(permit) = self.quotas.take(&team, self.clock.now()) {
            request.quota_permit = Some(permit);
            return Ok(());
        }
        let objective = request.route.latency_objective;
        let permit_wait_end = request.arrived + objective.mul_f64(PERMIT_WAIT_SHARE);
        let pool_wait_end = request.arrived + objective.mul_f64(POOL_WAIT_SHARE);
        loop {
            let now = self.clock.now();
            let ask = QuotaAsk {
                team: team.clone(),
                limit,
                version: request.plan_version,
                n_wanted: self.quotas.n_wanted(&team),
                max_wait: permit_wait_end.since(now),
            };
            let decision = self.ask_pool(ask).await;
            let now = self.clock.now();
            match decision {
                Some(QuotaDecision::Granted { n_permits, wait }) => {
                    request.quota_permit = Some(self.quotas.receive(&team, n_permits, now));
                    sleep(wait).await;
                    return Ok(());
                }
                Some(QuotaDecision::Denied { retry_after }) => {
                    request.refused_until = now + retry_after;
                    return Err(NotRunReason::QuotaUsedUp);
                }
                Some(QuotaDecision::Settling) | None
                    if now + POOL_POLL_INTERVAL < pool_wait_end =>
                {
                    sleep(POOL_POLL_INTERVAL).await;
                }
                Some(QuotaDecision::Settling) | None => return Err(NotRunReason::QuotaUnknown),
            }
        }
    }

    /// Asks the group's pool for permits; `None` if it does not answer.
    async fn ask_pool(&self, ask: QuotaAsk) -> Option<QuotaDecision> {
        let group = quota_group(&ask.team);
        let pool = self.with_loan(group, |loan, pools, now| loan.pool(pools, now).cloned())?;
        let decision = self.call_pool(group, &pool, Some(ask)).await;
        let label = match decision {
            Some(QuotaDecision::Granted { .. }) => "granted",
            Some(QuotaDecision::Denied { .. }) => "denied",
            Some(QuotaDecision::Settling) => "settling",
            None => "unanswered",
        };
        self.metrics.quota_calls.with_label_values(&[label]).inc();
        decision
    }

    /// Calls `f` with the group's loan, the pools in their order, and the present time.
    pub(super) fn with_loan<T>(
        &self,
        group: usize,
        f: impl FnOnce(&mut QuotaLoan, &[&VmName], MonoTime) -> T,
    ) -> T {
        let snapshot = self.channel.current();
        let settings = self.settings.load();
        let mut state = self.quotas.state.borrow_mut();
        state.update_orders(&snapshot, &settings.vm, &settings.domain);
        let DeskState { loans, orders, .. } = &mut *state;
        let pools: SmallVec<[&VmName; 4]> = orders[group].iter().collect();
        f(&mut loans[group], &pools, self.clock.now())
    }

    /// Calls the pool of `vm`, which may be this one: with a request for permits, or otherwise with this
    /// VM's share and the permits to return.
    async fn call_pool(
        &self,
        group: usize,
        vm: &VmName,
        ask: Option<QuotaAsk>,
    ) -> Option<QuotaDecision> {
        let called_at = self.clock.now();
        let snapshot = self.channel.current();
        let (own, own_address) = {
            let settings = self.settings.load();
            (settings.vm.clone(), settings.reports)
        };
        let (mut loan, mut returned) = (None, None);
        if ask.is_none() {
            let incarnation = self.quotas.state.borrow().incarnation;
            let share = snapshot.quota_share(&own, incarnation, called_at);
            loan = self.with_loan(group, |it, pools, now| it.lend(vm, pools, share, now));
            if loan.is_some() {
                returned = self.quotas.state.borrow_mut().take_unused(group);
            }
        }
        let call = |id| QuotaCall { id, vm: own.clone(), group: group as u8, loan, ask, returned };
        let reply = if *vm == own {
            let draw = self.state.borrow_mut().rng.random::<f64>();
            self.quota_pools.lock().handle(call(0), draw, called_at)
        } else {
            let address = snapshot.vms.get(vm)?.reports;
            let make = |id| PeerDatagram::Quota(call(id));
            match self.permit_client.call(address, own_address, make).await {
                Some(PeerDatagram::QuotaReply(reply)) => Some(reply),
                _ => None,
            }
        };
        let now = self.clock.now();
        self.with_loan(group, |loan, _, _| match reply {
            Some(QuotaReply { stamp, .. }) => loan.note_answer(vm, stamp, now),
            None => loan.note_silence(vm, called_at, now),
        });
        if reply.is_none() {
            info!(self.log, "quota-call-failed"; "pool" => %vm, "group" => group);
        }
        reply?.decision
    }

    /// Lends this VM's share to pools for as long as the process runs, while the plan has quotas.
    pub(crate) async fn run_quota_loans(self: Rc<Self>) {
        let mut ticks = interval(LOAN_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let snapshot = self.channel.current();
            let Some(plan) = snapshot.plan.as_ref().filter(|it| it.has_quotas()) else {
                continue;
            };
            let now = self.clock.now();
            self.quota_pools.lock().adopt_plan(plan, now);
            self.quotas.begin_interval(now);
            for group in 0..N_QUOTA_GROUPS {
                let pools: SmallVec<[VmName; 2]> = self.with_loan(group, |loan, pools, now| {
                    loan.pools_to_call(pools, now).cloned().collect()
                });
                for pool in pools {
                    let traffic = self.clone();
                    tokio::task::spawn_local(async move {
                        traffic.call_pool(group, &pool, None).await;
                    });
                }
            }
        }
    }

    /// State of the quotas on this VM, for the dump.
    pub(crate) fn describe_quotas(&self) -> String {
        let now = self.clock.now();
        self.quotas.describe(now) + &self.quota_pools.lock().describe(now)
    }
}
