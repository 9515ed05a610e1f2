//! Plans the next shard record from cached state and load, writes it and sends it to routers.

use policy::{ServerSpeed, divide_rate};

use super::*;
use crate::{CachedServer, ServerEntry};

/// Minimum time between plans that move keys to balance load.
const BALANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between writes that only mark moves as settled.
const SETTLE_INTERVAL: Duration = Duration::from_millis(400);

/// Part of the rate that a server has named for which it is assigned keys; the rest is for the
/// variation of their load.
const LIMIT_SHARE: f64 = 0.7;

/// Speeds between which servers are told apart, as multiples of the mean.
const MIN_SPEED: f64 = 0.4;

const MAX_SPEED: f64 = 2.0;

/// Least rate that is divided among servers, in requests a second.
const MIN_DIVIDED_RATE: f64 = 1.0;

impl<S: StateStore, F: ServerFormat> KeyAssigner<S, F> {
    /// Plans and writes the service's next record, if anything has changed.
    pub(super) async fn plan_service(
        &mut self,
        service: &ServiceName,
        snapshot: &StateSnapshot,
        lease: HeldLease,
        now: MonoTime,
    ) {
        let stored = snapshot.shards.get(service);
        let servers = self.shard_servers(service, snapshot, now);
        let mut draft = stored.map(|it| (*it.record).clone());
        let has_new_tokens = match &mut draft {
            Some(draft) => self.prepare_draft(service, draft),
            None => false,
        };
        let may_move_at = self.term.state.borrow().earlier.may_move_at;
        let is_move_allowed = now >= may_move_at || draft.is_none();
        let planned = match is_move_allowed {
            true => self.plan(service, draft.as_ref(), &servers, now),
            false => None,
        };
        // Routers already use the settled keys; the record follows with the next change, or when
        // nothing has been written for `SETTLE_INTERVAL`.
        let has_granted = self.term.granted.iter().any(|it| it.0 == *service)
            && now.since(self.written_at) >= SETTLE_INTERVAL;
        let draft = draft.filter(|_| has_new_tokens || has_granted);
        let Some(next) = planned.or(draft) else {
            self.term.fenced_services.entry(service.clone()).or_insert(lease.revision);
            return;
        };
        self.write(service, stored, next, lease).await;
    }

    /// Applies finished moves and token requests to the draft; returns whether any token is new.
    pub(super) fn prepare_draft(&mut self, service: &ServiceName, draft: &mut ShardRecord) -> bool {
        let term = &self.term;
        for (_, range, token) in term.granted.iter().filter(|it| it.0 == *service) {
            draft.settle(*range, *token);
        }
        let is_first_round = !term.fenced_services.contains_key(service);
        if is_first_round {
            draft.next_token += term.token_gap;
        }
        let is_requested = |keys: &TokenRequest| {
            term.token_requests.iter().any(|it| it.0 == *service && it.1 == *keys)
        };
        // In the first round under this lease, new tokens make servers reject the predecessor's.
        let mut instances: Vec<ServerInstance> = Vec::new();
        let mut moves: Vec<u64> = Vec::new();
        for entry in &draft.entries {
            let ShardHolder { instance, token } = &entry.holder;
            let keys = match entry.is_settled() {
                true => TokenRequest::Settled(instance.clone()),
                false => TokenRequest::Moving(*token),
            };
            match keys {
                _ if !is_first_round && !is_requested(&keys) => (),
                TokenRequest::Settled(instance) => instances.push(instance),
                TokenRequest::Moving(token) => moves.push(token),
            }
        }
        instances.sort();
        instances.dedup();
        for instance in &instances {
            draft.renew_tokens(instance);
        }
        for token in &moves {
            draft.renew_move_token(*token);
        }
        !instances.is_empty() || !moves.is_empty()
    }

    pub(super) fn plan(
        &mut self,
        service: &ServiceName,
        draft: Option<&ShardRecord>,
        servers: &[ShardServer],
        now: MonoTime,
    ) -> Option<ShardRecord> {
        let state = self.term.state.clone();
        let has_ended = |instance: &ServerInstance| state.borrow().ended.contains(instance);
        let mut loads = self.loads.borrow_mut();
        let load = loads.keys.entry(service.clone()).or_default();
        load.decay(now);
        let mut limits = ShardLimits::default();
        let balanced_at = self.balanced_at.entry(service.clone()).or_default();
        match now.since(*balanced_at) >= BALANCE_INTERVAL {
            true => *balanced_at = now,
            false => limits.max_moves = 0.0,
        }
        plan_shards(draft, servers, &has_ended, load, limits)
    }

    pub(super) fn shard_servers(
        &mut self,
        service: &ServiceName,
        snapshot: &StateSnapshot,
        now: MonoTime,
    ) -> Vec<ShardServer> {
        let names = snapshot.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let cached = names.iter().filter_map(|it| snapshot.servers.get(it));
        let mut servers: Vec<(&CachedServer, ShardServer)> =
            cached.map(|it| (it, self.shard_server(it, snapshot, now))).collect();
        // The others get no keys, so their capacity does not matter.
        let mut serving: Vec<&mut (&CachedServer, ShardServer)> =
            servers.iter_mut().filter(|it| it.1.phase == ServerPhase::Serving).collect();
        let entries: Vec<&ServerEntry> = serving.iter().map(|it| &*it.0.entry).collect();
        let capacities = self.capacities(service, &entries, snapshot, now);
        for (it, capacity) in serving.iter_mut().zip(capacities) {
            it.1.capacity = capacity;
        }
        servers.into_iter().map(|it| it.1).collect()
    }

    /// A server as the planner sees it, with its slots for its capacity.
    fn shard_server(
        &self,
        server: &CachedServer,
        snapshot: &StateSnapshot,
        now: MonoTime,
    ) -> ShardServer {
        let has_ended = self.term.state.borrow().ended.contains(&server.instance());
        let backpressure = self.backpressure.state(&server.entry.name, server.entry.born);
        let phase = match () {
            () if backpressure.leaving_since().is_some() => ServerPhase::Leaving,
            () if has_ended || server.draining_since.is_some() => ServerPhase::Leaving,
            () if snapshot.is_evacuated(server) => ServerPhase::Leaving,
            () if server.cold_until > now => ServerPhase::Cold,
            () => ServerPhase::Serving,
        };
        let instance = server.instance();
        let until = self.term.state.borrow_mut().unanswered_until(&instance, KeyRange::ALL, now);
        let max_rate = backpressure.max_rate().map(|it| it * LIMIT_SHARE);
        ShardServer {
            instance,
            capacity: f64::from(server.entry.slots),
            max_load: max_rate.map(KeyLoad::of_rate),
            phase,
            is_fully_acked: until.is_none(),
        }
    }

    /// Relative capacities of servers, in the same order: the rates that they should get of the present
    /// requests, by the work time that routers have measured.
    fn capacities(
        &mut self,
        service: &ServiceName,
        servers: &[&ServerEntry],
        snapshot: &StateSnapshot,
        now: MonoTime,
    ) -> Vec<f64> {
        let loads = self.loads.borrow();
        let measured: Vec<f64> =
            servers.iter().filter_map(|it| loads.work.get(&it.name)).copied().collect();
        let mean_work = measured.iter().sum::<f64>() / measured.len().max(1) as f64;
        if mean_work <= 0.0 {
            return servers.iter().map(|it| f64::from(it.slots)).collect();
        }
        let speeds: Vec<ServerSpeed> = servers
            .iter()
            .map(|it| {
                let work = loads.work.get(&it.name).copied().unwrap_or(mean_work);
                let work_seconds = work.clamp(mean_work / MAX_SPEED, mean_work / MIN_SPEED);
                ServerSpeed { slots: it.slots, work_seconds }
            })
            .collect();
        let plan = snapshot.plan.as_ref();
        let objective = plan.and_then(|it| self.ranks.of(it).lowest_objective(service));
        let rate = loads.keys.get(service).map_or(0.0, KeyLoad::rate);
        // Without traffic, any rate divides as well as another.
        let rate = rate.max(MIN_DIVIDED_RATE);
        let rates = divide_rate(&speeds, objective.unwrap_or_default().as_secs_f64(), rate);
        let rates: Vec<(ServerName, f64)> =
            servers.iter().map(|it| it.name.clone()).zip(rates).collect();
        drop(loads);
        self.weights.entry(service.clone()).or_default().follow(&rates, now)
    }

    pub(super) async fn write(
        &mut self,
        service: &ServiceName,
        stored: Option<&StoredShards>,
        next: ShardRecord,
        lease: HeldLease,
    ) {
        let name = format!("{SHARDS_PREFIX}{service}");
        let base = stored.map_or(0, |it| it.revision);
        let change = RecordChange {
            expected: vec![(ASSIGNER_RECORD.to_owned(), lease.revision), (name.clone(), base)],
            writes: vec![(name.clone(), encode_record(&next), None)],
            removals: Vec::new(),
        };
        match self.store.change(change, STORE_TIMEOUT).await {
            Ok(revision) => {
                info!(self.log, "shards-written"; "service" => %service, "revision" => revision,
                    "entries" => next.entries.len(), "next_token" => next.next_token,
                    "moving" => next.entries.iter().filter(|it| !it.is_settled()).count());
                self.written_at = self.clock.now();
                self.revisions.insert(service.clone(), revision);
                self.term.written_revisions.insert(service.clone(), revision);
                self.term.granted.retain(|it| it.0 != *service);
                self.term.token_requests.retain(|it| it.0 != *service);
                self.term.fenced_services.entry(service.clone()).or_insert(lease.revision);
                let old = self.cache.borrow().stored_shards(service);
                if let Some(old) = old.filter(|it| it.revision == base) {
                    let delta = ShardDelta::between(&old.record, &next);
                    let service = service.clone();
                    let update = ShardUpdate { service, base, revision, delta };
                    self.send_to_routers(PeerDatagram::Shards(update)).await;
                }
                let stored = StoredShards { revision, record: Arc::new(next) };
                let mut state = self.term.state.borrow_mut();
                state.records.insert(service.clone(), stored.record.clone());
                drop(state);
                let mut cache = self.cache.borrow_mut();
                if cache.stored_shards(service).is_none_or(|it| it.revision < revision) {
                    cache.set_shards(service.clone(), stored);
                    self.channel.publish(&mut cache);
                }
            }
            Err(err) => {
                warn!(self.log, "shards-not-written"; "service" => %service, "cause" => %err);
                self.channel.request_refresh();
            }
        }
    }

    /// Sends a datagram to all other VMs; the change stream, which is slower, makes up for a lost
    /// one.
    pub(super) async fn send_to_routers(&mut self, datagram: PeerDatagram) {
        let own = self.settings.reports;
        if self.socket.is_none() {
            let from = std::net::SocketAddr::new(own.ip(), 0);
            self.socket = bind_socket(from).await.ok();
        }
        let datagrams = match encode_datagrams(datagram) {
            Ok(it) => it,
            Err(err) => {
                info!(self.log, "datagram-not-sent"; "cause" => %err);
                return;
            }
        };
        let Some(socket) = &self.socket else {
            return;
        };
        let snapshot = self.channel.current();
        for presence in snapshot.vms.values().filter(|it| it.reports != own) {
            for bytes in &datagrams {
                let _ = socket.send_to(bytes, presence.reports).await;
            }
        }
    }
}
