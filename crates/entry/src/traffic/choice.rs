//! Where a request goes: the owner of its key, or the server that is likely to answer first.

use super::*;

/// Expected wait, in parts of the objective, that outweighs leaving the failure domain.
const CROSSING_WEIGHT: f64 = 0.15;

/// Part of a server's connections that routers use up together.
const CONNECTION_SHARE: f64 = 0.85;

/// Time after an evacuation within which requests may still reach keys' owners there.
const EVACUATION_TIME: Duration = Duration::from_millis(4_000);

/// Spread of the random factor by which routers with the same sight choose differently.
const JITTER: f64 = 0.3;

/// Cost of a server that failed just now, in parts of the objective.
const PAUSE_WEIGHT: f64 = 5.0;

/// Where to send a request.
pub(super) enum SendChoice {
    /// To this server.
    To(CachedServer),
    /// Nowhere now; news may change that.
    AwaitNews(NotRunReason),
    /// Nowhere in time.
    Refuse(NotRunReason),
}

impl<F: ServerFormat> TrafficServer<F> {
    pub(super) fn choose(&self, request: &RequestState, now: MonoTime) -> SendChoice {
        let snapshot = self.channel.current();
        match request.key {
            Some(key) => self.choose_owner(request, key, &snapshot, now),
            None => self.choose_server(request, &snapshot, now),
        }
    }

    /// The owner of the key.
    pub(super) fn choose_owner(
        &self,
        request: &RequestState,
        key: u16,
        snapshot: &StateSnapshot,
        now: MonoTime,
    ) -> SendChoice {
        let shards = snapshot.shards.get(&request.service);
        let Some(entry) = shards.and_then(|it| it.record.entry(key)) else {
            return SendChoice::AwaitNews(NotRunReason::NoOwner);
        };
        let instance = &entry.holder.instance;
        let server =
            snapshot.servers.get(&instance.server).filter(|it| it.entry.born == instance.born);
        let Some(server) = server.filter(|_| entry.is_settled()) else {
            return SendChoice::AwaitNews(NotRunReason::NoOwner);
        };
        if !server.is_usable_owner(self.settings.load().drain, now) {
            return SendChoice::AwaitNews(NotRunReason::NoOwner);
        }
        let evacuated_at = snapshot.evacuated.get(&server.entry.domain);
        if evacuated_at.is_some_and(|it| now.since(*it) >= EVACUATION_TIME) {
            return SendChoice::AwaitNews(NotRunReason::NoOwner);
        }
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let stats = stats(&mut state.sights, server);
        if !stats.may_send(server, &self.settings.load().vm, snapshot, now) {
            return SendChoice::Refuse(NotRunReason::ColdServer);
        }
        let typical = state.services.get(&request.service).map_or(0.1, ServiceStats::typical);
        let detector = state.domains.entry(server.entry.domain.clone()).or_default();
        self.hear_of(server, stats, detector);
        if detector.is_avoided(now) {
            return SendChoice::Refuse(NotRunReason::NoOwner);
        }
        match is_queue_too_long(&stats.estimator, request, typical, now) {
            true => SendChoice::Refuse(NotRunReason::Overloaded),
            false => SendChoice::To(server.clone()),
        }
    }

    /// The server of a shared service that is likely to answer first.
    pub(super) fn choose_server(
        &self,
        request: &RequestState,
        snapshot: &StateSnapshot,
        now: MonoTime,
    ) -> SendChoice {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let typical = state.services.get(&request.service).map_or(0.1, ServiceStats::typical);
        let objective = request.route.objective.as_secs_f64().max(0.001);
        let n_vms = snapshot.vms.len().max(1) as f64;
        let rules = snapshot.plan.as_ref().and_then(|it| it.services.get(&request.service));
        let connections = rules.map_or(f64::MAX, |it| f64::from(it.connections));
        let most_open = (connections * CONNECTION_SHARE / n_vms).floor().max(1.0);
        let servers: Vec<&CachedServer> = snapshot.usable(&request.service).collect();
        let mut reason = NotRunReason::NoServer;
        let TrafficState { sights, domains, rng, .. } = state;
        // Each choice draws from a generator of its own, as the costs draw too.
        let mut order = SmallRng::seed_from_u64(rng.random());
        let chosen = choose_cheapest(servers.len(), &mut order, |idx| {
            let server = servers[idx];
            if request.tried.contains(&server.entry.name) {
                return None;
            }
            let stats = stats(sights, server);
            if !stats.may_send(server, &self.settings.load().vm, snapshot, now) {
                reason = NotRunReason::ColdServer;
                return None;
            }
            if f64::from(stats.estimator.n_open()) >= most_open {
                reason = NotRunReason::Overloaded;
                return None;
            }
            let detector = domains.entry(server.entry.domain.clone()).or_default();
            self.hear_of(server, stats, detector);
            let expected = stats.estimator.expected_seconds(typical, now);
            let is_own_domain = server.entry.domain == self.settings.load().domain;
            let crossing = if is_own_domain { 0.0 } else { CROSSING_WEIGHT };
            let is_suspect = stats.estimator.is_paused(now) || detector.is_avoided(now);
            let pause = if is_suspect { PAUSE_WEIGHT } else { 0.0 };
            let jitter = 1.0 + JITTER * rng.random::<f64>();
            Some(expected / objective * jitter + crossing + pause)
        });
        let Some(server) = chosen.map(|idx| servers[idx]) else {
            return SendChoice::Refuse(reason);
        };
        match is_queue_too_long(&stats(sights, server).estimator, request, typical, now) {
            true => SendChoice::Refuse(NotRunReason::Overloaded),
            false => SendChoice::To(server.clone()),
        }
    }

    /// Takes in what any VM has heard of a server last.
    fn hear_of(
        &self,
        server: &CachedServer,
        stats: &mut ServerStats,
        detector: &mut SilenceDetector,
    ) {
        if let Some((report, at)) = self.server_reports.freshest(&server.entry.name) {
            stats.estimator.note_report(report, at);
            detector.note_heard(at);
        }
    }

    /// Estimated time in the queue of the server that has the shortest.
    pub(super) fn shortest_queue(&self, request: &RequestState, now: MonoTime) -> Duration {
        let snapshot = self.channel.current();
        let state = self.state.borrow();
        let typical = state.services.get(&request.service).map_or(0.1, ServiceStats::typical);
        let owner = request.key.and_then(|key| {
            let entry = snapshot.shards.get(&request.service)?.record.entry(key)?;
            Some(&entry.holder.instance.server)
        });
        let queues = snapshot
            .usable(&request.service)
            .filter(|it| owner.is_none_or(|name| *name == it.entry.name))
            .filter_map(|it| state.sights.get(&it.entry.name))
            .map(|it| it.estimator.queue_seconds(typical, now));
        let shortest = queues.min_by(f64::total_cmp).unwrap_or_default();
        Duration::from_secs_f64(shortest)
    }
}

/// Whether the server's queue is too long for the request to join it.
fn is_queue_too_long(
    estimator: &LoadEstimator,
    request: &RequestState,
    typical: f64,
    now: MonoTime,
) -> bool {
    let objective = (request.arrived + request.route.objective).since(now);
    estimator.is_queue_too_long(objective, request.left(now), typical, now)
}
