//! Choice among the servers of a service, with a retry budget and a hedge delay.

use std::{collections::BTreeMap, time::Duration};

use model::{MonoTime, ServerName};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

use crate::{CallResult, CallTicket, QuantileTracker, RetryBudget, ServerProfile, ServerView};

/// Initial value of the service's average latency, in seconds.
const INITIAL_LATENCY_SECONDS: f64 = 0.005;

/// Initial value of the service's latency at [`HEDGE_QUANTILE`], in seconds.
const INITIAL_SLOW_SECONDS: f64 = 0.015;

/// Retries and hedges that each first send adds to the budget.
const RETRY_RATIO: f64 = 0.1;

/// Maximum number of unused retries that the budget saves.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Quantile of the service's latency after which a request is hedged.
const HEDGE_QUANTILE: f64 = 0.95;

/// Gain of the quantile tracker: the largest relative change of the estimate by one call, once enough
/// calls have ended.
const HEDGE_GAIN: f64 = 0.05;

/// Shortest hedge delay, in seconds.
const MIN_HEDGE_SECONDS: f64 = 0.004;

/// Factor on the expected latency of servers in the router's own failure domain.
const LOCAL_PREFERENCE: f64 = 0.8;

/// Algorithm that chooses a server; all but `Adaptive` are baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum BalancerPolicy {
    /// The lower expected latency of two random servers, with hedging.
    Adaptive,
    /// Each server in turn, without hedging.
    RoundRobin,
    /// A random server, without hedging.
    Random,
    /// The server with the fewest open calls of this router, without hedging.
    LeastInFlight,
    /// Of two random servers the one with fewer open calls of this router, without hedging.
    PowerOfTwo,
}

/// Chooses servers for one service from what one router has observed of them.
#[derive(Debug)]
pub struct ServiceBalancer {
    policy: BalancerPolicy,
    servers: BTreeMap<ServerName, ServerView>,
    latency: f64,
    slow_latency: QuantileTracker,
    budget: RetryBudget,
    rng: SmallRng,
    turn: usize,
}

impl ServiceBalancer {
    /// Creates a balancer without servers; `seed` initializes its random generator.
    pub fn new(policy: BalancerPolicy, seed: u64) -> Self {
        Self {
            policy,
            servers: BTreeMap::new(),
            latency: INITIAL_LATENCY_SECONDS,
            slow_latency: QuantileTracker::new(HEDGE_QUANTILE, INITIAL_SLOW_SECONDS, HEDGE_GAIN),
            budget: RetryBudget::new(RETRY_RATIO, MAX_SAVED_RETRIES),
            rng: SmallRng::seed_from_u64(seed),
            turn: 0,
        }
    }

    /// Replaces the set of servers by that of the sheet; observations of kept servers remain.
    pub fn set_servers(&mut self, profiles: impl Iterator<Item = (ServerName, ServerProfile)>) {
        let mut old = std::mem::take(&mut self.servers);
        for (name, profile) in profiles {
            let mut view = old.remove(&name).unwrap_or_else(|| ServerView::new(profile));
            view.set_profile(profile);
            self.servers.insert(name, view);
        }
    }

    /// Chooses one of `candidates` that is not in `tried` and has room for another call.
    ///
    /// Servers that are paused after failures are chosen only when no other is left.
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
        let unpaused: Vec<&ServerCandidate> =
            untried.iter().copied().filter(|it| !self.is_paused(&it.name, now)).collect();
        let pool = if unpaused.is_empty() { untried } else { unpaused };
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
        let expected = |it: &ServerCandidate| {
            let view = self.servers.get(&it.name);
            let expected = view.map_or(self.latency, |v| v.expected_seconds(self.latency, now));
            if it.is_local { expected * LOCAL_PREFERENCE } else { expected }
        };
        sample.into_iter().min_by(|a, b| expected(a).total_cmp(&expected(b)))
    }

    /// Records the first send of a request, to `server`; `allowed` is the time to its deadline.
    ///
    /// Returns `None` for a server that the balancer doesn't know.
    pub fn begin_first(
        &mut self,
        server: &ServerName,
        allowed: Duration,
        now: MonoTime,
    ) -> Option<CallTicket> {
        self.budget.note_first();
        self.begin(server, allowed, now)
    }

    /// Records a retry or hedge to `server`, or returns `None` when the retry budget is exhausted.
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

    /// Records a send that replaces one which certainly did not run; it costs no budget.
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

    /// Records the end of a call; `reported_load` is the server's own count of running and waiting
    /// requests.
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
                self.slow_latency.add(age);
            }
            // The latency of an abandoned call would have exceeded its age.
            CallResult::Abandoned if age > self.slow_latency.value() => self.slow_latency.add(age),
            _ => (),
        }
    }

    /// Time without an answer after which a request is hedged, if the policy hedges.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let seconds = self.slow_latency.value().max(MIN_HEDGE_SECONDS);
        match self.policy {
            BalancerPolicy::Adaptive => Some(Duration::from_secs_f64(seconds)),
            _ => None,
        }
    }

    /// What this router has observed of one server.
    pub fn server(&self, server: &ServerName) -> Option<&ServerView> {
        self.servers.get(server)
    }

    /// What this router has observed of each server, in order of their names.
    pub fn servers(&self) -> impl Iterator<Item = (&ServerName, &ServerView)> {
        self.servers.iter()
    }

    /// Moving average of the latency of complete answers over all servers, in seconds.
    pub fn latency(&self) -> f64 {
        self.latency
    }

    fn has_room(&self, server: &ServerName, now: MonoTime) -> bool {
        let is_limited = self.policy == BalancerPolicy::Adaptive;
        self.servers
            .get(server)
            .is_none_or(|it| it.has_room(now) && (!is_limited || it.is_below_limit()))
    }

    /// Records that a probe reached a lost server.
    pub fn note_alive(&mut self, server: &ServerName, now: MonoTime) {
        if let Some(view) = self.servers.get_mut(server) {
            view.note_alive(now);
        }
    }

    /// Records that another router found a server cold.
    pub fn note_cold(&mut self, server: &ServerName, now: MonoTime) {
        if let Some(view) = self.servers.get_mut(server) {
            view.note_cold(now);
        }
    }

    /// Servers that receive no requests until a probe reaches them.
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

/// Weight of one server's average latency in that of the service, for each answer.
const SERVICE_GAIN: f64 = 0.02;

/// Number of random servers among which `Adaptive` chooses.
const SAMPLE_SIZE: usize = 2;

/// A server that accepts new work according to the sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerCandidate {
    /// Name of the server.
    pub name: ServerName,
    /// Whether it is in the router's own failure domain.
    pub is_local: bool,
}
