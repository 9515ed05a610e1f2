//! Choosing a server of a shared service.

use std::{collections::BTreeMap, time::Duration};

use model::{MonoTime, ServerName};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::{CallResult, CallTicket, QuantileTracker, RetryBudget, ServerProfile, ServerView};

/// Seconds that stand in for the average while no call has ended.
const INITIAL_LATENCY_SECONDS: f64 = 0.005;

/// Seconds that stand in for the slow quantile while few calls have ended.
const INITIAL_SLOW_SECONDS: f64 = 0.015;

/// Further sends for each first send.
const RETRY_RATIO: f64 = 0.1;

/// Most further sends that are saved up.
const RETRY_CAP: f64 = 20.0;

/// Quantile of the service's latency after which a second server is tried.
const HEDGE_QUANTILE: f64 = 0.95;

/// Share of the estimated quantile by which one call moves it.
const HEDGE_GAIN: f64 = 0.05;

/// Shortest wait before a second server is tried, in seconds.
const MIN_HEDGE_SECONDS: f64 = 0.004;

/// Factor by which a server of the own domain is preferred.
const LOCAL_PREFERENCE: f64 = 0.8;

/// How a server is chosen; all but `Adaptive` are baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum BalancerPolicy {
    /// Least expected wait of two random servers, with hedges.
    Adaptive,
    /// Each server in turn, no hedge.
    RoundRobin,
    /// A random server, no hedge.
    Random,
    /// The server with the fewest own calls under way, no hedge.
    LeastInFlight,
    /// The server with fewer own calls of two random ones, no hedge.
    PowerOfTwo,
}

/// The servers of one service as one router sees them.
#[derive(Debug)]
pub struct ServiceBalancer {
    policy: BalancerPolicy,
    servers: BTreeMap<ServerName, ServerView>,
    latency: f64,
    slow: QuantileTracker,
    budget: RetryBudget,
    rng: SmallRng,
    turn: usize,
}

impl ServiceBalancer {
    /// A balancer that has seen nothing, with its generator's seed.
    pub fn new(policy: BalancerPolicy, seed: u64) -> Self {
        Self {
            policy,
            servers: BTreeMap::new(),
            latency: INITIAL_LATENCY_SECONDS,
            slow: QuantileTracker::new(HEDGE_QUANTILE, INITIAL_SLOW_SECONDS, HEDGE_GAIN),
            budget: RetryBudget::new(RETRY_RATIO, RETRY_CAP),
            rng: SmallRng::seed_from_u64(seed),
            turn: 0,
        }
    }

    /// Takes the service's servers from the sheet.
    pub fn set_servers(&mut self, profiles: impl Iterator<Item = (ServerName, ServerProfile)>) {
        let mut old = std::mem::take(&mut self.servers);
        for (name, profile) in profiles {
            let mut view = old.remove(&name).unwrap_or_else(|| ServerView::new(profile));
            view.set_profile(profile);
            self.servers.insert(name, view);
        }
    }

    /// Chooses one of `candidates` that is not in `tried`; names its domain's servers as local.
    pub fn choose(
        &mut self,
        candidates: &[ServerCandidate],
        tried: &[ServerName],
        now: MonoTime,
    ) -> Option<ServerName> {
        let untried: Vec<&ServerCandidate> = candidates
            .iter()
            .filter(|it| !tried.contains(&it.name) && self.has_room(&it.name, now))
            .collect();
        let rested: Vec<&ServerCandidate> =
            untried.iter().copied().filter(|it| !self.is_paused(&it.name, now)).collect();
        let pool = if rested.is_empty() { untried } else { rested };
        let chosen = match self.policy {
            BalancerPolicy::RoundRobin => {
                self.turn += 1;
                pool.get(self.turn % pool.len().max(1)).copied()
            }
            BalancerPolicy::Random => pool.choose(&mut self.rng).copied(),
            BalancerPolicy::LeastInFlight => {
                let offset = self.rng.random_range(0..pool.len().max(1));
                let rotated = pool.iter().cycle().skip(offset).take(pool.len()).copied();
                rotated.min_by_key(|it| self.n_open(&it.name))
            }
            BalancerPolicy::PowerOfTwo => {
                let pair: Vec<&ServerCandidate> =
                    pool.choose_multiple(&mut self.rng, 2).copied().collect();
                pair.into_iter().min_by_key(|it| self.n_open(&it.name))
            }
            BalancerPolicy::Adaptive => self.choose_adaptive(&pool, now),
        };
        chosen.map(|it| it.name.clone())
    }

    fn choose_adaptive<'a>(
        &mut self,
        pool: &[&'a ServerCandidate],
        now: MonoTime,
    ) -> Option<&'a ServerCandidate> {
        let sample: Vec<&'a ServerCandidate> =
            pool.choose_multiple(&mut self.rng, SAMPLE_SIZE).copied().collect();
        let wait = |it: &ServerCandidate| {
            let view = self.servers.get(&it.name);
            let wait = view.map_or(self.latency, |v| v.expected_wait(self.latency, now));
            if it.is_local { wait * LOCAL_PREFERENCE } else { wait }
        };
        sample.into_iter().min_by(|a, b| wait(a).total_cmp(&wait(b)))
    }

    /// Notes a first send to `server`.
    pub fn begin_first(
        &mut self,
        server: &ServerName,
        allowed: Duration,
        now: MonoTime,
    ) -> Option<CallTicket> {
        self.budget.note_first();
        self.begin(server, allowed, now)
    }

    /// Notes a further send to `server`, unless the budget is spent.
    pub fn begin_retry(
        &mut self,
        server: &ServerName,
        allowed: Duration,
        now: MonoTime,
    ) -> Option<CallTicket> {
        match self.budget.take() {
            true => self.begin(server, allowed, now),
            false => None,
        }
    }

    /// Notes a send that replaces one which certainly did not run.
    pub fn begin_replacement(
        &mut self,
        server: &ServerName,
        allowed: Duration,
        now: MonoTime,
    ) -> Option<CallTicket> {
        self.begin(server, allowed, now)
    }

    fn begin(
        &mut self,
        server: &ServerName,
        allowed: Duration,
        now: MonoTime,
    ) -> Option<CallTicket> {
        self.servers.get_mut(server).map(|it| it.begin(allowed, now))
    }

    /// Notes how a call ended.
    pub fn finish(
        &mut self,
        server: &ServerName,
        ticket: CallTicket,
        result: CallResult,
        reported_load: Option<u32>,
        now: MonoTime,
    ) {
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        let Some(age) = view.finish(ticket, result, reported_load, now) else {
            return;
        };
        let age = age.as_secs_f64();
        match result {
            CallResult::Answered => {
                self.latency += (view.latency().unwrap_or(age) - self.latency) * SERVICE_GAIN;
                self.slow.add(age);
            }
            // A call that was given up would have taken longer than this.
            CallResult::Abandoned if age > self.slow.value() => self.slow.add(age),
            _ => (),
        }
    }

    /// Time after which a second server should be tried, when the policy tries one.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let seconds = self.slow.value().max(MIN_HEDGE_SECONDS);
        match self.policy {
            BalancerPolicy::Adaptive => Some(Duration::from_secs_f64(seconds)),
            _ => None,
        }
    }

    /// One server's view.
    pub fn server(&self, server: &ServerName) -> Option<&ServerView> {
        self.servers.get(server)
    }

    /// All servers' views.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerName, &ServerView)> {
        self.servers.iter()
    }

    /// Average seconds to a whole answer over all servers.
    pub fn latency(&self) -> f64 {
        self.latency
    }

    fn has_room(&self, server: &ServerName, now: MonoTime) -> bool {
        let is_limited = self.policy == BalancerPolicy::Adaptive;
        self.servers
            .get(server)
            .is_none_or(|it| it.has_room(now) && (!is_limited || it.is_below_limit()))
    }

    /// Notes that a probe found a lost server alive.
    pub fn note_alive(&mut self, server: &ServerName, now: MonoTime) {
        if let Some(view) = self.servers.get_mut(server) {
            view.note_alive(now);
        }
    }

    /// Notes that another router found a server cold.
    pub fn note_cold(&mut self, server: &ServerName, now: MonoTime) {
        if let Some(view) = self.servers.get_mut(server) {
            view.note_cold(now);
        }
    }

    /// Servers that have to be probed before they are given anything.
    pub fn lost_servers(&self) -> Vec<ServerName> {
        let lost = self.servers.iter().filter(|(_, it)| it.is_lost());
        lost.map(|(name, _)| name.clone()).collect()
    }

    fn n_open(&self, server: &ServerName) -> usize {
        self.servers.get(server).map_or(0, ServerView::n_open)
    }

    fn is_paused(&self, server: &ServerName, now: MonoTime) -> bool {
        self.servers.get(server).is_some_and(|it| it.is_paused(now))
    }
}

/// Weight of one server's average in the service's.
const SERVICE_GAIN: f64 = 0.02;

/// Random servers of which the best is taken.
const SAMPLE_SIZE: usize = 2;

/// A server that may take new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerCandidate {
    /// The server.
    pub name: ServerName,
    /// Whether it stands in the router's own domain.
    pub is_local: bool,
}
