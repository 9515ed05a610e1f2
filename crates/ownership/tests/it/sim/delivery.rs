//! Delivery of messages and how each receiver handles them.

use super::*;

impl DomainSim {
    pub(super) fn deliver(&mut self, message: SimMessage) {
        let now = self.now;
        match message {
            SimMessage::Event(idx, incarnation, event) => {
                if self.planners[idx].incarnation == incarnation {
                    self.handle_event(idx, event);
                }
            }
            SimMessage::Accept { from, to, request, sent_at } => {
                let answer = (!self.is_isolated(from, to))
                    .then(|| self.planners[to].planner.answer_accept(&request, now));
                self.answer_accept(from, request, sent_at, answer);
            }
            SimMessage::Prepare { from, to, request } => {
                let answer = (!self.is_isolated(from, to))
                    .then(|| self.planners[to].planner.answer_prepare(&request, now));
                self.answer_prepare(from, request, answer);
            }
            SimMessage::Hello { from, to, sent_at } => {
                if !self.is_isolated(from, to) {
                    let incarnation = self.planners[to].incarnation;
                    let event =
                        PlannerEvent::HelloAnswered { vm: vm_name(to), sent_at, incarnation };
                    self.send_event(from, event);
                }
            }
            SimMessage::Read(from) if self.is_store_unreachable(from) => {
                self.time_out(from, PlannerEvent::RecordRead(None));
            }
            SimMessage::Write { from, map, .. } if self.is_store_unreachable(from) => {
                let (stamp, outcome) = (map.stamp, WriteOutcome::Unknown);
                self.time_out(from, PlannerEvent::RecordWritten { stamp, outcome });
            }
            SimMessage::WriteHomes { from, .. } if self.is_store_unreachable(from) => {
                self.time_out(from, PlannerEvent::HomesWritten(None));
            }
            SimMessage::Read(from) => {
                let record = StoredRecord {
                    map: self.store.record.as_ref().map(|it| it.0.clone()),
                    revision: self.store.record.as_ref().map_or(0, |it| it.1),
                };
                self.send_event(from, PlannerEvent::RecordRead(Some(record)));
            }
            SimMessage::Write { from, map, expected } => self.write(from, map, expected),
            SimMessage::WriteHomes { from, table } => {
                if self.store.homes.revision + 1 == table.revision {
                    self.store.homes = table;
                    for idx in 0..self.planners.len() {
                        let homes = self.store.homes.clone();
                        self.send_event(idx, PlannerEvent::HomesLearned(homes));
                    }
                }
                let homes = self.store.homes.clone();
                self.send_event(from, PlannerEvent::HomesWritten(Some(homes)));
            }
            SimMessage::Grant { from, server, request, sent_at } => {
                let answer = self.take_grant(server, request);
                let event =
                    PlannerEvent::ServerAnswered { server: server_name(server), sent_at, answer };
                self.send_event(from, event);
            }
            SimMessage::Probe { from, server, sent_at } => {
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
                self.send_event(from, event);
            }
            SimMessage::Lease { router, to, .. } if self.is_router_isolated(router, to) => (),
            SimMessage::Leased { router, from, .. } if self.is_router_isolated(router, from) => (),
            SimMessage::Lease { router, to, number, request } => {
                let answer = self.planners[to].planner.answer_lease(&request, now);
                self.send(SimMessage::Leased { router, from: to, number, answer });
            }
            SimMessage::Leased { router, from, number, answer } => {
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
        self.deliver_after(delay, SimMessage::Event(from, incarnation, event));
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
        self.deliver_after(delay, SimMessage::Event(from, incarnation, event));
    }

    pub(super) fn write(&mut self, from: usize, map: Arc<DomainMap>, expected: Option<u64>) {
        let stamp = map.stamp;
        let held = self.store.record.as_ref().map(|it| it.1);
        let outcome = if held == expected {
            self.store.revision += 1;
            self.store.record = Some((map, self.store.revision));
            match self.store.n_replies_to_lose {
                0 => WriteOutcome::Written(self.store.revision),
                _ => {
                    self.store.n_replies_to_lose -= 1;
                    WriteOutcome::Unknown
                }
            }
        } else {
            WriteOutcome::Conflict
        };
        self.send_event(from, PlannerEvent::RecordWritten { stamp, outcome });
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
        let issued_at = request.basis.as_ref().and_then(|it| server.receipts.get(it)).copied();
        let Some(issued_at) = issued_at else {
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
        server.lease_until = server.lease_until.max(issued_at + request.lease);
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
                self.request_lease(idx);
            }
            LeaseReply::NotActing { .. } => (),
        }
    }

    pub(super) fn handle_event(&mut self, idx: usize, event: PlannerEvent) {
        let now = self.now;
        let wall = WallTime(now.as_millis() / 1_000);
        let actions = self.planners[idx].planner.handle(event, now, wall);
        for action in actions {
            self.execute(idx, action);
        }
    }

    pub(super) fn execute(&mut self, from: usize, action: PlannerAction) {
        match action {
            PlannerAction::Accept { request, sent_at } => {
                let to = index_of(request.witness.name.as_str());
                self.send(SimMessage::Accept { from, to, request, sent_at });
            }
            PlannerAction::Prepare(request) => {
                let to = index_of(request.witness.name.as_str());
                self.send(SimMessage::Prepare { from, to, request });
            }
            PlannerAction::Hello { vm, sent_at } => {
                let to = index_of(vm.as_str());
                self.send(SimMessage::Hello { from, to, sent_at });
            }
            PlannerAction::ReadRecord => self.send(SimMessage::Read(from)),
            PlannerAction::WriteRecord { map, expected } => {
                self.send(SimMessage::Write { from, map, expected });
            }
            PlannerAction::WriteHomes(table) => self.send(SimMessage::WriteHomes { from, table }),
            PlannerAction::Grant { server, request, sent_at, .. } => {
                let server = index_of(server.as_str());
                self.check_grant_lease(from, server, &request);
                self.send(SimMessage::Grant { from, server, request, sent_at });
            }
            PlannerAction::Probe { server, sent_at, .. } => {
                let server = index_of(server.as_str());
                self.send(SimMessage::Probe { from, server, sent_at });
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
