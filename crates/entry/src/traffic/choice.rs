//! Chooses the server for a request: the owner of its key, or the server of a shared service that
//! is likely to answer first.

use policy::{BackpressureState, objective_below, queue_bound};

use super::*;
use crate::snapshot::usable_drain;

/// Cost of a server in another failure domain, as a fraction of the latency objective.
const CROSS_DOMAIN_PENALTY: f64 = 0.15;

/// Fraction of a server's connections that all routers together use.
const CONNECTION_SHARE: f64 = 0.85;

/// Part of the time allowed for an evacuation in which owners of keys in that domain still get
/// requests; the rest is for requests on their way.
const EVACUATION_SHARE: f64 = 0.8;

/// Spread of the random cost factor that makes routers with the same reports choose differently.
const COST_JITTER: f64 = 0.3;

/// Cost of a server that is paused after failures, is leaving or whose domain is silent, as a multiple of
/// the latency objective.
const SUSPECT_PENALTY: f64 = 5.0;

/// Time after which a request that waits for a server's answer to a probe looks for it again.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which a request looks again for its owner, which answers no probe.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Decision where to send a request.
pub(super) enum SendChoice {
    /// Send it to this server.
    To(CachedServer),
    /// No server is usable now; a newer snapshot may have one.
    AwaitChange(NotRunReason, Option<MonoTime>),
    /// No server can answer in time.
    Refuse(NotRunReason),
    /// The servers that could answer take nothing from this VM until then.
    RefuseUntil(NotRunReason, MonoTime),
    /// Send it to this server once there is a permit, which may take so long.
    GetPermit(CachedServer, Duration),
    /// The server takes the request after this time, early enough for its objective.
    Wait(Duration),
}

/// What is the same for all servers that a request could be sent to.
#[derive(Clone, Copy)]
pub(super) struct ChoiceTerms<'a> {
    request: &'a RequestState,
    snapshot: &'a StateSnapshot,
    now: MonoTime,
    /// Average seconds to an answer of the service.
    pub(super) mean_seconds: f64,
    /// Latency objective in seconds.
    pub(super) objective: f64,
    /// Most open requests of this VM at one server.
    max_open: f64,
}

/// What speaks for or against sending a request to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Assessment {
    /// It may be sent.
    Usable {
        /// Expected seconds to the answer.
        expected_seconds: f64,
        /// What is added to that in units of the objective when servers are compared.
        penalty: f64,
        /// Whether calls or reports speak against the server or its failure domain.
        is_suspect: bool,
    },
    /// The request has been sent to it before.
    Tried,
    /// It has said that it leaves, and its time is over.
    Left,
    /// Another server has answered at its address.
    TakenOver,
    /// It has asked for a pause until then.
    Paused(MonoTime),
    /// It limits its requests, and the next permit is free then.
    NoPermit(MonoTime),
    /// It is cold, or may be, and this VM may not send to it yet.
    Cold {
        /// Whether its answer to that question is expected any moment.
        is_answer_near: bool,
    },
    /// This VM has no connection left for it.
    NoConnection,
}

impl<F: ServerFormat> TrafficServer<F> {
    /// Chooses by key if the request has one, otherwise by cost.
    pub(super) fn choose(&self, request: &mut RequestState, now: MonoTime) -> SendChoice {
        let snapshot = self.channel.current();
        match request.key {
            Some(key) => self.choose_owner(request, key, &snapshot, now),
            None => self.choose_server(request, &snapshot, now),
        }
    }

    /// Chooses the owner of the key. Awaits a change while the key is moving or its owner must not
    /// be sent to; refuses if the owner is overloaded, is cold and may not get another request yet,
    /// or is in a silent failure domain. Waits for the owner's word if it may have started again. Waits
    /// for the end of a pause that the owner has asked for, or for a permit, if the answer can still be
    /// in time, and refuses otherwise.
    pub(super) fn choose_owner(
        &self,
        request: &mut RequestState,
        key: u16,
        snapshot: &StateSnapshot,
        now: MonoTime,
    ) -> SendChoice {
        let no_owner = SendChoice::AwaitChange(NotRunReason::NoOwner, None);
        let shards = snapshot.shards.get(&request.service);
        let Some(entry) = shards.and_then(|it| it.record.entry(key)) else {
            return no_owner;
        };
        let is_same_holder = request.missed_holder.as_ref() == Some(&entry.holder);
        if is_same_holder && now < request.miss_until {
            return SendChoice::AwaitChange(NotRunReason::NoOwner, Some(request.miss_until));
        }
        let instance = &entry.holder.instance;
        let server =
            snapshot.servers.get(&instance.server).filter(|it| it.entry.born == instance.born);
        let Some(server) = server.filter(|_| entry.is_settled()) else {
            return no_owner;
        };
        let settings = self.settings.load();
        let backpressure = self.backpressure_of(server);
        if !server.is_usable_owner(settings.drain, now) || self.has_left(&backpressure, now) {
            return no_owner;
        }
        let evacuated_since = snapshot.evacuated.get(&server.entry.domain);
        let usable = settings.evacuation.mul_f64(EVACUATION_SHARE);
        if evacuated_since.is_some_and(|it| !it.is_within(usable, now)) {
            return no_owner;
        }
        let cold_until = self.cold_until(server, snapshot, now);
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mean_seconds = state.mean_seconds(&request.service);
        let stats = current_stats(&mut state.server_stats, server);
        if stats.address_doubt.is_taken_over() {
            self.probe_address(server, stats, now);
            return no_owner;
        }
        let pause_end = stats.address_doubt.paused_until();
        if now < pause_end {
            return SendChoice::AwaitChange(NotRunReason::ConnectFailed, Some(pause_end));
        }
        request.missed_holder = Some(entry.holder.clone());
        if !stats.may_send(server, cold_until, &settings.vm, snapshot, now) {
            let warmth = self.warmth.warmth(&server.entry.name);
            return match warmth.is_answer_near(now) {
                true => SendChoice::Wait(PROBE_POLL_INTERVAL),
                // It may have ended, so that its keys are about to move.
                false if warmth.is_unknown(now) && now < request.owner_wait_end() => {
                    SendChoice::Wait(OWNER_POLL_INTERVAL)
                }
                false => SendChoice::Refuse(NotRunReason::ColdServer),
            };
        }
        let detector = state.silence_detectors.entry(server.entry.domain.clone()).or_default();
        self.apply_latest_report(server, stats, detector);
        // The owner's failure domain is silent, and no probe of it is due.
        if detector.is_avoided(now) {
            return SendChoice::Refuse(NotRunReason::NoOwner);
        }
        let pause = backpressure.paused_until().since(now);
        let max_wait = max_wait(&stats.estimator, request, mean_seconds, now);
        let needs_permit = backpressure.max_rate().is_some() && !request.has_permit(server);
        match is_queue_too_long(&stats.estimator, request, mean_seconds, now) {
            true => SendChoice::Refuse(NotRunReason::Overloaded),
            false if pause > max_wait => {
                self.count_held_back("pause");
                SendChoice::RefuseUntil(NotRunReason::ServerPaused, backpressure.paused_until())
            }
            false if pause > Duration::ZERO => SendChoice::Wait(pause),
            false if needs_permit && stats.next_permit_at > now + max_wait => {
                self.count_held_back("limit");
                SendChoice::RefuseUntil(NotRunReason::RateLimited, stats.next_permit_at)
            }
            false if needs_permit => SendChoice::GetPermit(server.clone(), max_wait),
            false => SendChoice::To(server.clone()),
        }
    }

    /// Counts a request that is not sent to a server that asks for less.
    fn count_held_back(&self, signal: &str) {
        self.metrics.backpressure_sends.with_label_values(&[signal, "held-back"]).inc();
    }

    /// Chooses the cheapest of a sample of the service's servers.
    ///
    /// The cost is the expected time to the answer in units of the latency objective, with random
    /// jitter and penalties for another failure domain and for suspected failure.
    pub(super) fn choose_server(
        &self,
        request: &RequestState,
        snapshot: &StateSnapshot,
        now: MonoTime,
    ) -> SendChoice {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let terms = self.choice_terms(state, request, snapshot, now);
        let mean_seconds = terms.mean_seconds;
        let mut servers: Vec<&CachedServer> = snapshot.usable(&request.service).collect();
        // A permit is for one server.
        if servers.iter().any(|it| request.has_permit(it)) {
            servers.retain(|it| request.has_permit(it));
        }
        let mut reason = NotRunReason::NoServer;
        // Whether a server that can't be used yet is about to say that it is warm.
        let mut has_near_answer = false;
        // When the first of the servers that take nothing now takes requests again.
        let mut takes_at = request.deadline;
        let TrafficState { server_stats, silence_detectors, rng, .. } = state;
        // Sampling needs its own generator, as `rng` is borrowed by the cost closure.
        let mut sampling_rng = SmallRng::seed_from_u64(rng.random());
        let chosen = choose_cheapest(servers.len(), &mut sampling_rng, |idx| {
            let server = servers[idx];
            let stats = current_stats(server_stats, server);
            let detector = silence_detectors.entry(server.entry.domain.clone()).or_default();
            match self.assess(server, stats, detector, &terms) {
                Assessment::Usable { expected_seconds, penalty, .. } => {
                    let jitter = 1.0 + COST_JITTER * rng.random::<f64>();
                    return Some(expected_seconds / terms.objective * jitter + penalty);
                }
                Assessment::Paused(until) => {
                    reason = NotRunReason::ServerPaused;
                    takes_at = takes_at.min(until);
                }
                Assessment::NoPermit(until) => {
                    reason = NotRunReason::RateLimited;
                    takes_at = takes_at.min(until);
                }
                Assessment::Cold { is_answer_near } => {
                    reason = NotRunReason::ColdServer;
                    has_near_answer |= is_answer_near;
                }
                Assessment::NoConnection => reason = NotRunReason::Overloaded,
                Assessment::Tried | Assessment::Left | Assessment::TakenOver => (),
            }
            None
        });
        let Some(server) = chosen.map(|idx| servers[idx]) else {
            return match reason {
                NotRunReason::ServerPaused => {
                    self.count_held_back("pause");
                    SendChoice::RefuseUntil(reason, takes_at)
                }
                NotRunReason::RateLimited => {
                    self.count_held_back("limit");
                    SendChoice::RefuseUntil(reason, takes_at)
                }
                _ if has_near_answer => SendChoice::Wait(PROBE_POLL_INTERVAL),
                _ => SendChoice::Refuse(reason),
            };
        };
        match is_queue_too_long(
            &current_stats(server_stats, server).estimator,
            request,
            mean_seconds,
            now,
        ) {
            true => SendChoice::Refuse(NotRunReason::Overloaded),
            false
                if self.backpressure_of(server).max_rate().is_some()
                    && !request.has_permit(server) =>
            {
                SendChoice::GetPermit(server.clone(), Duration::ZERO)
            }
            false => SendChoice::To(server.clone()),
        }
    }

    /// What is the same for all servers that a request could be sent to.
    pub(super) fn choice_terms<'a>(
        &self,
        state: &TrafficState,
        request: &'a RequestState,
        snapshot: &'a StateSnapshot,
        now: MonoTime,
    ) -> ChoiceTerms<'a> {
        let n_vms = snapshot.n_sharing_vms() as f64;
        let settings = snapshot.plan.as_ref().and_then(|it| it.services.get(&request.service));
        let connections = settings.map_or(f64::MAX, |it| f64::from(it.connections));
        ChoiceTerms {
            request,
            snapshot,
            now,
            mean_seconds: state.mean_seconds(&request.service),
            // Costs are divided by the objective, which must not be zero.
            objective: request.route.latency_objective.as_secs_f64().max(0.001),
            // This router's part of the connections, but at least one.
            max_open: (connections * CONNECTION_SHARE / n_vms).floor().max(1.0),
        }
    }

    /// What speaks for or against sending the request to a server of a shared service now.
    pub(super) fn assess(
        &self,
        server: &CachedServer,
        stats: &mut ServerStats,
        detector: &mut SilenceDetector,
        terms: &ChoiceTerms<'_>,
    ) -> Assessment {
        let ChoiceTerms { request, snapshot, now, .. } = *terms;
        if request.tried.contains(&server.entry.name) {
            return Assessment::Tried;
        }
        let backpressure = self.backpressure_of(server);
        if self.has_left(&backpressure, now) {
            return Assessment::Left;
        }
        if backpressure.paused_until() > now {
            return Assessment::Paused(backpressure.paused_until());
        }
        if stats.address_doubt.is_taken_over() {
            self.probe_address(server, stats, now);
            return Assessment::TakenOver;
        }
        let needs_permit = backpressure.max_rate().is_some() && !request.has_permit(server);
        if needs_permit && stats.next_permit_at > now {
            return Assessment::NoPermit(stats.next_permit_at);
        }
        let cold_until = self.cold_until(server, snapshot, now);
        let settings = self.settings.load();
        if !stats.may_send(server, cold_until, &settings.vm, snapshot, now) {
            let warmth = self.warmth.warmth(&server.entry.name);
            return Assessment::Cold { is_answer_near: warmth.is_answer_near(now) };
        }
        if f64::from(stats.estimator.n_open()) >= terms.max_open {
            return Assessment::NoConnection;
        }
        self.apply_latest_report(server, stats, detector);
        let expected_seconds = stats.estimator.expected_seconds(terms.mean_seconds, now);
        let is_own_domain = server.entry.domain == settings.domain;
        let domain_penalty = if is_own_domain { 0.0 } else { CROSS_DOMAIN_PENALTY };
        let is_suspect = stats.estimator.is_paused(now)
            || detector.is_avoided(now)
            || backpressure.leaving_since().is_some();
        let suspect_penalty = if is_suspect { SUSPECT_PENALTY } else { 0.0 };
        let penalty = domain_penalty + suspect_penalty;
        Assessment::Usable { expected_seconds, penalty, is_suspect }
    }

    /// Has a server asked, from time to time, at whose address another one has answered.
    fn probe_address(&self, server: &CachedServer, stats: &mut ServerStats, now: MonoTime) {
        if stats.address_doubt.begin_probe(now) {
            self.queue_probe(&server.entry.name, now);
        }
    }

    /// What the server asks of its callers.
    pub(super) fn backpressure_of(&self, server: &CachedServer) -> BackpressureState {
        self.backpressure.state(&server.entry.name, server.entry.born)
    }

    /// Whether the server has said so long ago that it is leaving that it must get nothing any more.
    fn has_left(&self, backpressure: &BackpressureState, now: MonoTime) -> bool {
        let usable = usable_drain(self.settings.load().drain);
        backpressure.leaving_since().is_some_and(|it| now.since(it) >= usable)
    }

    /// Applies the newest load report of a server, from this router or another, to its statistics
    /// and as a sign of life to its failure domain.
    fn apply_latest_report(
        &self,
        server: &CachedServer,
        stats: &mut ServerStats,
        detector: &mut SilenceDetector,
    ) {
        if let Some((report, at)) = self.server_reports.latest_report(&server.entry.name) {
            stats.estimator.note_report(report, at);
            detector.note_heard(at);
        }
    }

    /// Shortest estimated queueing time of the servers that may take the request: of the key's
    /// owner, or of all usable servers of the service.
    pub(super) fn shortest_queue(&self, request: &RequestState, now: MonoTime) -> Duration {
        let snapshot = self.channel.current();
        let state = self.state.borrow();
        let mean_seconds = state.mean_seconds(&request.service);
        let owner = request.key.and_then(|key| {
            let entry = snapshot.shards.get(&request.service)?.record.entry(key)?;
            Some(&entry.holder.instance.server)
        });
        let queues = snapshot
            .usable(&request.service)
            .filter(|it| owner.is_none_or(|name| *name == it.entry.name))
            .filter_map(|it| state.server_stats.get(&it.entry.name))
            .map(|it| it.estimator.queue_seconds(mean_seconds, now));
        let shortest = queues.min_by(f64::total_cmp).unwrap_or_default();
        Duration::from_secs_f64(shortest)
    }
}

/// Time left of the request's objective, or less, so that more urgent requests find room at the server.
fn objective_left(
    estimator: &LoadEstimator,
    request: &RequestState,
    mean_seconds: f64,
    now: MonoTime,
) -> Duration {
    let own = (request.arrived + request.route.latency_objective).since(now);
    let work_seconds = estimator.current_work_seconds(mean_seconds, now);
    let room = request.higher_objective.map(|it| objective_below(it, work_seconds));
    room.map_or(own, |it| own.min(it))
}

/// Longest time that a request may wait here, so that its answer is still in time.
fn max_wait(
    estimator: &LoadEstimator,
    request: &RequestState,
    mean_seconds: f64,
    now: MonoTime,
) -> Duration {
    let objective = objective_left(estimator, request, mean_seconds, now);
    let work_seconds = estimator.current_work_seconds(mean_seconds, now);
    let bound = queue_bound(objective, request.time_left(now), work_seconds);
    Duration::from_secs_f64(bound.max(0.0))
}

/// Whether the server's queue is longer than the request's latency objective and deadline allow.
fn is_queue_too_long(
    estimator: &LoadEstimator,
    request: &RequestState,
    mean_seconds: f64,
    now: MonoTime,
) -> bool {
    let objective = objective_left(estimator, request, mean_seconds, now);
    estimator.is_queue_too_long(objective, request.time_left(now), mean_seconds, now)
}
