//! What arrives where, and what each side makes of it.

use super::*;

impl Sim {
    pub(super) fn deliver(&mut self, delivery: Delivery) {
        let now = self.now;
        match delivery {
            Delivery::Event(idx, incarnation, event) => {
                if self.planners[idx].incarnation == incarnation {
                    self.feed(idx, event);
                }
            }
            Delivery::Accept { from, to, request, sent_at } => {
                let answer = (!self.is_cut(from, to))
                    .then(|| self.planners[to].planner.answer_accept(&request, now));
                self.answer_accept(from, request, sent_at, answer);
            }
            Delivery::Prepare { from, to, request } => {
                let answer = (!self.is_cut(from, to))
                    .then(|| self.planners[to].planner.answer_prepare(&request, now));
                self.answer_prepare(from, request, answer);
            }
            Delivery::Hello { from, to } => {
                if !self.is_cut(from, to) {
                    let incarnation = self.planners[to].incarnation;
                    let event = PlannerEvent::HelloAnswered { vm: vm_name(to), incarnation };
                    self.feed_later(from, event);
                }
            }
            Delivery::Read(from) if self.is_store_cut(from) => {
                self.fail_later(from, PlannerEvent::RecordRead(None));
            }
            Delivery::Write { from, map, .. } if self.is_store_cut(from) => {
                let (stamp, outcome) = (map.stamp, WriteOutcome::Unknown);
                self.fail_later(from, PlannerEvent::RecordWritten { stamp, outcome });
            }
            Delivery::WriteHomes { from, .. } if self.is_store_cut(from) => {
                self.fail_later(from, PlannerEvent::HomesWritten(None));
            }
            Delivery::Read(from) => {
                let record = StoredRecord {
                    map: self.store.record.as_ref().map(|it| it.0.clone()),
                    revision: self.store.record.as_ref().map_or(0, |it| it.1),
                };
                self.feed_later(from, PlannerEvent::RecordRead(Some(record)));
            }
            Delivery::Write { from, map, expected } => self.write(from, map, expected),
            Delivery::WriteHomes { from, table } => {
                if self.store.homes.revision + 1 == table.revision {
                    self.store.homes = table;
                    for idx in 0..self.planners.len() {
                        let homes = self.store.homes.clone();
                        self.feed_later(idx, PlannerEvent::HomesLearned(homes));
                    }
                }
                let homes = self.store.homes.clone();
                self.feed_later(from, PlannerEvent::HomesWritten(Some(homes)));
            }
            Delivery::Grant { from, server, request, sent_at } => {
                let answer = self.take_grant(server, request);
                let event =
                    PlannerEvent::ServerAnswered { server: server_name(server), sent_at, answer };
                self.feed_later(from, event);
            }
            Delivery::Probe { from, server, sent_at } => {
                let is_dead = self.servers[server].dead_until > now;
                let answer = match is_dead {
                    true => GrantOutcome::Refused,
                    false => GrantOutcome::Acked {
                        term: Default::default(),
                        set_version: 0,
                        basis: String::new(),
                    },
                };
                let event =
                    PlannerEvent::ServerAnswered { server: server_name(server), sent_at, answer };
                self.feed_later(from, event);
            }
            Delivery::Lease { router, to, .. } if self.is_router_cut(router, to) => (),
            Delivery::Leased { router, from, .. } if self.is_router_cut(router, from) => (),
            Delivery::Lease { router, to, number, request } => {
                let answer = self.planners[to].planner.answer_lease(&request, now);
                self.send(Delivery::Leased { router, from: to, number, answer });
            }
            Delivery::Leased { router, from, number, answer } => {
                self.apply_lease(router, from, number, answer);
            }
        }
    }

    pub(super) fn answer_accept(
        &mut self,
        from: usize,
        request: AcceptRequest,
        sent_at: MonoTime,
        answer: Option<AcceptReply>,
    ) {
        let incarnation = self.planners[from].incarnation;
        let delay = if answer.is_some() { STEP } else { CALL_TIMEOUT };
        let event = PlannerEvent::AcceptAnswered {
            from: request.witness,
            sent_at,
            stamp: request.stamp,
            answer,
        };
        self.deliver_after(delay, Delivery::Event(from, incarnation, event));
    }

    pub(super) fn answer_prepare(
        &mut self,
        from: usize,
        request: PrepareRequest,
        answer: Option<PrepareReply>,
    ) {
        let incarnation = self.planners[from].incarnation;
        let delay = if answer.is_some() { STEP } else { CALL_TIMEOUT };
        let event =
            PlannerEvent::PrepareAnswered { from: request.witness, term: request.term, answer };
        self.deliver_after(delay, Delivery::Event(from, incarnation, event));
    }

    pub(super) fn write(&mut self, from: usize, map: Arc<DomainMap>, expected: Option<u64>) {
        let stamp = map.stamp;
        let held = self.store.record.as_ref().map(|it| it.1);
        let outcome = if held == expected {
            self.store.revision += 1;
            self.store.record = Some((map, self.store.revision));
            match self.store.n_lost {
                0 => WriteOutcome::Written(self.store.revision),
                _ => {
                    self.store.n_lost -= 1;
                    WriteOutcome::Unknown
                }
            }
        } else {
            WriteOutcome::Conflict
        };
        self.feed_later(from, PlannerEvent::RecordWritten { stamp, outcome });
    }

    pub(super) fn take_grant(&mut self, idx: usize, request: GrantRequest) -> GrantOutcome {
        let now = self.now;
        let server = &mut self.servers[idx];
        if server.dead_until > now {
            return GrantOutcome::Refused;
        }
        let position = (request.term.0, request.set_version);
        if position < (server.term, server.set_version) {
            return match request.term.0 < server.term {
                true => GrantOutcome::Rejected { term: model::Term(server.term) },
                false => GrantOutcome::NeedSet { basis: server.issue(now) },
            };
        }
        let issued = request.basis.as_ref().and_then(|it| server.receipts.get(it)).copied();
        let Some(issued) = issued else {
            return GrantOutcome::NeedSet { basis: server.issue(now) };
        };
        let is_lapsed = server.lease_until <= now;
        if is_lapsed {
            server.granted.clear();
        }
        match request.entries {
            Some(entries) => {
                server.granted = entries.into_iter().collect();
                (server.term, server.set_version) = position;
            }
            None if is_lapsed || position != (server.term, server.set_version) => {
                return GrantOutcome::NeedSet { basis: server.issue(now) };
            }
            None => (),
        }
        server.lease_until = server.lease_until.max(issued + request.lease);
        GrantOutcome::Acked {
            term: request.term,
            set_version: request.set_version,
            basis: server.issue(now),
        }
    }

    pub(super) fn apply_lease(&mut self, idx: usize, from: usize, number: u64, answer: LeaseReply) {
        let router = &mut self.routers[idx];
        match answer {
            LeaseReply::Leased { stamp, lease } => {
                router.acting = Some(from);
                router.view.apply_lease(number, stamp, lease);
            }
            LeaseReply::NewerMap { map } => {
                router.acting = Some(from);
                router.view.apply_map(&map);
                self.ask(idx);
            }
            LeaseReply::NotActing { .. } => (),
        }
    }

    pub(super) fn feed(&mut self, idx: usize, event: PlannerEvent) {
        let now = self.now;
        let wall = WallTime(now.as_millis() / 1_000);
        let actions = self.planners[idx].planner.handle(event, now, wall);
        for action in actions {
            self.carry_out(idx, action);
        }
    }

    pub(super) fn carry_out(&mut self, from: usize, action: PlannerAction) {
        match action {
            PlannerAction::Accept { request, sent_at } => {
                let to = index(request.witness.name.as_str());
                self.send(Delivery::Accept { from, to, request, sent_at });
            }
            PlannerAction::Prepare(request) => {
                let to = index(request.witness.name.as_str());
                self.send(Delivery::Prepare { from, to, request });
            }
            PlannerAction::Hello(vm) => {
                let to = index(vm.as_str());
                self.send(Delivery::Hello { from, to });
            }
            PlannerAction::ReadRecord => self.send(Delivery::Read(from)),
            PlannerAction::WriteRecord { map, expected } => {
                self.send(Delivery::Write { from, map, expected });
            }
            PlannerAction::WriteHomes(table) => self.send(Delivery::WriteHomes { from, table }),
            PlannerAction::Grant { server, request, sent_at, .. } => {
                let server = index(server.as_str());
                self.send(Delivery::Grant { from, server, request, sent_at });
            }
            PlannerAction::Probe { server, sent_at, .. } => {
                let server = index(server.as_str());
                self.send(Delivery::Probe { from, server, sent_at });
            }
            PlannerAction::ServerRestarted(_) => (),
            PlannerAction::Publish(map) => self.publish(from, map),
            PlannerAction::RoleChanged { role, term } => {
                let ms = self.now.as_millis() - 10_000;
                writeln!(self.log, "{ms} vm{from} {role} term={term}").unwrap();
            }
        }
    }

    pub(super) fn publish(&mut self, from: usize, map: Arc<DomainMap>) {
        let is_new = self.planners[from].published.as_ref().is_none_or(|it| it.stamp != map.stamp);
        if is_new {
            let owners: Vec<String> = map
                .entries
                .values()
                .map(|it| it.owner.as_ref().map_or("-".to_owned(), |o| o.to_string()))
                .collect();
            let ms = self.now.as_millis() - 10_000;
            writeln!(self.log, "{ms} vm{from} map={} {}", map.stamp, owners.join(",")).unwrap();
        }
        self.planners[from].published = Some(map);
    }
}
