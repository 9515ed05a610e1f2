//! From beliefs and loads to the next record, written and told to routers.

use super::*;

/// Time between plans for balance.
const BALANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Least time between writes that only say which keys are settled.
const SETTLE_INTERVAL: Duration = Duration::from_millis(400);

impl<S: StateStore, F: ServerFormat> KeyAssigner<S, F> {
    /// Writes the service's next record, if there is one.
    pub(super) async fn plan_service(
        &mut self,
        service: &ServiceName,
        beliefs: &StateSnapshot,
        lease: HeldLease,
        now: MonoTime,
    ) {
        let stored = beliefs.shards.get(service);
        let servers = self.shard_servers(service, beliefs, now);
        let mut draft = stored.map(|it| (*it.record).clone());
        let has_new_tokens = match &mut draft {
            Some(draft) => self.prepare_draft(service, draft),
            None => false,
        };
        let may_move = now >= lease.may_move_at || draft.is_none();
        let planned = match may_move {
            true => self.plan(service, draft.as_ref(), &servers, beliefs, now),
            false => None,
        };
        // Settled keys are in use already; their record is written along with the next change.
        let has_granted = self.granted.iter().any(|it| it.0 == *service)
            && now.since(self.written_at) >= SETTLE_INTERVAL;
        let draft = draft.filter(|_| has_new_tokens || has_granted);
        let Some(next) = planned.or(draft) else {
            self.founded.entry(service.clone()).or_insert(lease.revision);
            return;
        };
        self.write(service, stored, next, lease).await;
    }

    /// Takes finished moves and wanted tokens into the draft; tells whether any token is new.
    pub(super) fn prepare_draft(&mut self, service: &ServiceName, draft: &mut ShardRecord) -> bool {
        for (_, range, token) in self.granted.iter().filter(|it| it.0 == *service) {
            draft.settle(*range, *token);
        }
        let mut instances: Vec<ServerInstance> = Vec::new();
        if !self.founded.contains_key(service) {
            // First round after taking over: servers shall refuse the predecessor's tokens.
            let settled = draft.entries.iter().filter(|it| it.is_settled());
            instances.extend(settled.map(|it| it.holder.instance.clone()));
        }
        let wanted = self.needs_token.iter().filter(|it| it.0 == *service);
        instances.extend(wanted.map(|it| it.1.clone()));
        instances.sort();
        instances.dedup();
        for instance in &instances {
            draft.renew_tokens(instance);
        }
        !instances.is_empty()
    }

    pub(super) fn plan(
        &mut self,
        service: &ServiceName,
        draft: Option<&ShardRecord>,
        servers: &[ShardServer],
        beliefs: &StateSnapshot,
        now: MonoTime,
    ) -> Option<ShardRecord> {
        let book = self.book.clone();
        let is_dead = |instance: &ServerInstance| {
            beliefs.servers.get(&instance.server).is_some_and(|it| it.entry.born != instance.born)
                || book.borrow().gone.contains(instance)
        };
        let mut loads = self.loads.borrow_mut();
        let load = loads.keys.entry(service.clone()).or_default();
        load.decay(now);
        let mut limits = ShardLimits::default();
        let balanced_at = self.balanced_at.entry(service.clone()).or_default();
        match now.since(*balanced_at) >= BALANCE_INTERVAL {
            true => *balanced_at = now,
            false => limits.max_moves = 0.0,
        }
        plan_shards(draft, servers, &is_dead, load, limits)
    }

    pub(super) fn shard_servers(
        &self,
        service: &ServiceName,
        beliefs: &StateSnapshot,
        now: MonoTime,
    ) -> Vec<ShardServer> {
        let loads = self.loads.borrow();
        let names = beliefs.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let seen: Vec<_> = names.iter().filter_map(|it| beliefs.servers.get(it)).collect();
        let work: Vec<f64> =
            seen.iter().filter_map(|it| loads.work.get(&it.entry.name)).copied().collect();
        let typical = work.iter().sum::<f64>() / work.len().max(1) as f64;
        seen.iter()
            .map(|it| {
                let work = loads.work.get(&it.entry.name).copied().unwrap_or(typical);
                let speed = if work > 0.0 { (typical / work).clamp(0.4, 2.0) } else { 1.0 };
                let is_gone = self.book.borrow().gone.contains(&it.instance());
                let phase = match () {
                    () if is_gone || it.leaving_since.is_some() => ServerPhase::Leaving,
                    () if beliefs.is_evacuated(it) => ServerPhase::Leaving,
                    () if it.cold_until > now => ServerPhase::Cold,
                    () => ServerPhase::Serving,
                };
                let capacity = f64::from(it.entry.slots) * speed;
                let instance = it.instance();
                let until = self.book.borrow_mut().unanswered_until(&instance, KeyRange::ALL, now);
                ShardServer { instance, capacity, phase, is_fully_acked: until.is_none() }
            })
            .collect()
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
                self.granted.retain(|it| it.0 != *service);
                self.needs_token.retain(|it| it.0 != *service);
                self.founded.entry(service.clone()).or_insert(lease.revision);
                let old = self.beliefs.borrow().stored_shards(service);
                if let Some(old) = old.filter(|it| it.revision == base) {
                    let delta = ShardDelta::between(&old.record, &next);
                    let service = service.clone();
                    let note = ShardUpdate { service, base, revision, delta };
                    self.tell_routers(PeerDatagram::Shards(note)).await;
                }
                let stored = StoredShards { revision, record: Arc::new(next) };
                let mut book = self.book.borrow_mut();
                book.records.insert(service.clone(), stored.record.clone());
                drop(book);
                let mut beliefs = self.beliefs.borrow_mut();
                if beliefs.stored_shards(service).is_none_or(|it| it.revision < revision) {
                    beliefs.note_shards(service.clone(), stored);
                    self.channel.publish(&mut beliefs);
                }
            }
            Err(fault) => {
                warn!(self.log, "shards-not-written"; "service" => %service, "cause" => %fault);
                self.channel.request_refresh();
            }
        }
    }

    /// Tells all VMs of changed shards, ahead of the store's news; a lost note is made up for there.
    pub(super) async fn tell_routers(&mut self, note: PeerDatagram) {
        let own = self.settings.reports;
        if self.notes.is_none() {
            let from = std::net::SocketAddr::new(own.ip(), 0);
            self.notes = bind_socket(from).await.ok();
        }
        let Some((socket, bytes)) = self.notes.as_ref().zip(encode_datagram(note)) else {
            return;
        };
        let beliefs = self.channel.current();
        for presence in beliefs.vms.values().filter(|it| it.reports != own) {
            let _ = socket.send_to(&bytes, presence.reports).await;
        }
    }
}
