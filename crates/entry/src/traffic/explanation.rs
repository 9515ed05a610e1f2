//! Explains where a request would go now, by the decisions that are made for requests, without sending it.

use std::collections::BTreeMap;

use model::TeamName;
use policy::QuotaLimit;
use serde_json::{Value, json};

use super::{
    choice::{Assessment, ChoiceTerms},
    *,
};
use crate::{PlanTeam, quotas::quota_group};

/// A request to explain, as the query of a URL names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementQuery {
    /// Host, without a port.
    pub host: String,
    /// Path that selects the route.
    pub path: String,
    /// Shard key, for services that own keys.
    pub key: Option<u16>,
    /// Team of the caller.
    pub team: Option<TeamName>,
}

impl TryFrom<&str> for PlacementQuery {
    type Error = String;

    /// Fails for a missing host or path, an unknown or repeated field, and an invalid value; the error names
    /// the field.
    fn try_from(query: &str) -> Result<Self, String> {
        let mut fields: BTreeMap<&str, String> = BTreeMap::new();
        for pair in query.split('&').filter(|it| !it.is_empty()) {
            let (name, value) = pair.split_once('=').ok_or_else(|| format!("{pair}: no value"))?;
            let value = percent_decoded(value).ok_or_else(|| format!("{name}: not decodable"))?;
            if fields.insert(name, value).is_some() {
                return Err(format!("{name}: given twice"));
            }
        }
        let mut take = |name: &str| fields.remove(name);
        let host = take("host").ok_or("host: missing")?;
        let path = take("path").filter(|it| it.starts_with('/'));
        let path = path.ok_or("path: missing, or without a slash at its start")?;
        let key = take("key").map(|it| it.parse::<u16>()).transpose();
        let key = key.map_err(|_| "key: expected a number from 0 to 65535")?;
        let team = take("team").map(TeamName::try_from).transpose();
        let team = team.map_err(|err| format!("team: expected {}", err.allowed))?;
        match fields.keys().next() {
            Some(name) => Err(format!("{name}: unknown field")),
            None => Ok(Self { host, path, key, team }),
        }
    }
}

/// Decodes the escapes of a query; `None` if one is incomplete or the result is no text.
fn percent_decoded(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((byte, after)) = rest.split_first() {
        rest = after;
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let digits = std::str::from_utf8(rest.get(..2)?).ok()?;
                bytes.push(u8::from_str_radix(digits, 16).ok()?);
                rest = &rest[2..];
            }
            byte => bytes.push(*byte),
        }
    }
    String::from_utf8(bytes).ok()
}

impl<F: ServerFormat> TrafficServer<F> {
    /// Explains where a request would go now: for each service of its route, the candidates with what speaks
    /// for or against each, and the decision. Estimates are refreshed as for a request, and a server may be
    /// asked whether it is warm.
    ///
    /// # Errors
    /// When this VM has no plan, or the plan has no such route or team.
    pub(crate) fn explain(&self, query: &PlacementQuery) -> Result<Value, (StatusCode, String)> {
        let refused = |status, cause: &str| Err((status, cause.to_owned()));
        let now = self.clock.now();
        let snapshot = self.channel.current();
        let Some(plan) = &snapshot.plan else {
            return refused(StatusCode::SERVICE_UNAVAILABLE, "this VM has no plan yet");
        };
        let Some(route) = plan.route(&query.host, &query.path).cloned() else {
            return refused(StatusCode::NOT_FOUND, "no route of the plan has this host and path");
        };
        let teams = plan.teams.as_ref().filter(|_| !route.is_public);
        let named = |name: &TeamName| teams.and_then(|it| it.iter().find(|it| it.name == *name));
        let team = match &query.team {
            Some(name) => match named(name).cloned() {
                Some(team) => Some(team),
                None if teams.is_none() => None,
                None => return refused(StatusCode::NOT_FOUND, "the plan has no such team"),
            },
            None => None,
        };
        let needs_team = teams.is_some() && team.is_none();
        let total: u32 = route.targets.iter().map(|it| it.weight).sum();
        let targets: Vec<Value> = route
            .targets
            .iter()
            .map(|it| {
                let share = f64::from(it.weight) / f64::from(total.max(1));
                let mut value = self.explain_service(&it.service, &route, query, &team, now);
                value["share"] = json!(share);
                value
            })
            .collect();
        let settings = self.settings.load();
        Ok(json!({
            "vm": settings.vm.as_str(),
            "domain": settings.domain.as_str(),
            "plan": plan.version,
            "state_age_ms": now.since(snapshot.synced_at).as_millis() as u64,
            "store_era": snapshot.era(),
            "route": &*route.name,
            "repeatable": route.idempotency == Idempotency::Idempotent,
            "max_sends": route.max_sends,
            "timeout_ms": route.timeout.as_millis() as u64,
            "objective_ms": route.latency_objective.as_millis() as u64,
            "priority": team.as_ref().and_then(|it| it.priority).unwrap_or(route.priority),
            "refused": needs_team.then_some("401: the route needs the key of a team"),
            "quota": team.as_ref().and_then(|it| self.explain_quota(it)),
            "services": targets,
        }))
    }

    /// The team's quota and the pool that this VM would ask for a permit.
    fn explain_quota(&self, team: &PlanTeam) -> Option<Value> {
        let QuotaLimit { rate, burst } = team.quota?;
        let group = quota_group(&team.name);
        let (pool, lent) = self.with_loan(group, |loan, pools, now| {
            let pool = loan.pool(pools, now).map(|it| it.to_string());
            let lent = loan.borrower(now);
            let lent = lent.map(|(vm, at)| (vm.to_string(), now.since(at).as_millis() as u64));
            (pool, lent)
        });
        let snapshot = self.channel.current();
        let own = self.settings.load().vm.clone();
        let share = snapshot.quota_share(&own, self.quotas.incarnation(), self.clock.now());
        Some(json!({
            "team": team.name.as_str(), "rate_per_s": rate, "burst": burst, "pool": pool,
            "own_share": share, "own_share_lent_to": lent.as_ref().map(|it| &it.0),
            "lent_for_ms": lent.as_ref().map(|it| it.1),
        }))
    }

    /// The candidates of one service and the decision for it.
    fn explain_service(
        &self,
        service: &ServiceName,
        route: &Arc<PlanRoute>,
        query: &PlacementQuery,
        team: &Option<Arc<PlanTeam>>,
        now: MonoTime,
    ) -> Value {
        let snapshot = self.channel.current();
        let Some(plan) = &snapshot.plan else {
            return Value::Null;
        };
        let is_keyed = plan.services.get(service).is_some_and(|it| it.is_keyed);
        let key = query.key.filter(|_| is_keyed);
        if is_keyed && key.is_none() {
            return json!({"service": service.as_str(), "refused": "400: its requests need a key"});
        }
        let priority = team.as_ref().and_then(|it| it.priority).unwrap_or(route.priority);
        let higher_objective =
            self.state.borrow_mut().ranks.of(plan).higher_objective(service, priority);
        let identity = CallerIdentity { team: team.clone(), has_key: team.is_some() };
        let routing = RequestRouting {
            route: route.clone(),
            service: service.clone(),
            key,
            identity,
            plan_version: plan.version,
            higher_objective,
        };
        let id = HeaderValue::from_static("-");
        let mut request = RequestState::new(id, routing, now, route.timeout);
        let choice = self.choose(&mut request, now);
        let owner = key.and_then(|key| {
            let entry = snapshot.shards.get(service)?.record.entry(key)?;
            Some(json!({
                "server": entry.holder.instance.server.as_str(),
                "first_key": entry.range.first, "last_key": entry.range.last,
                "token": entry.holder.token, "is_moving": !entry.is_settled(),
            }))
        });
        let names = snapshot.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let servers = names.iter().filter_map(|it| snapshot.servers.get(it));
        let holder = owner.as_ref().and_then(|it| it["server"].as_str().map(str::to_owned));
        let candidates: Vec<Value> = servers
            .filter(|it| key.is_none() || Some(it.entry.name.as_str()) == holder.as_deref())
            .map(|it| self.explain_server(it, &request, &snapshot, now))
            .collect();
        json!({
            "service": service.as_str(), "keyed": is_keyed, "owner": owner,
            "candidates": candidates, "decision": explain_choice(&choice, now),
        })
    }

    fn explain_server(
        &self,
        server: &CachedServer,
        request: &RequestState,
        snapshot: &StateSnapshot,
        now: MonoTime,
    ) -> Value {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let terms: ChoiceTerms = self.choice_terms(state, request, snapshot, now);
        let stats = current_stats(&mut state.server_stats, server);
        let detector = state.silence_detectors.entry(server.entry.domain.clone()).or_default();
        let assessment = self.assess(server, stats, detector, &terms);
        let left_out = match assessment {
            _ if server.draining_since.is_some() => Some("it is draining".to_owned()),
            _ if snapshot.is_evacuated(server) => Some("its domain is evacuated".to_owned()),
            Assessment::Usable { .. } if server.is_missing => {
                Some("it is missing from the store; used if no other is left".to_owned())
            }
            Assessment::Usable { .. } => None,
            Assessment::Tried => Some("tried before".to_owned()),
            Assessment::Left => Some("it has said that it leaves".to_owned()),
            Assessment::TakenOver => Some("another server answers at its address".to_owned()),
            Assessment::Paused(until) => Some(format!("paused {}", in_ms(until, now))),
            Assessment::NoPermit(at) => Some(format!("limited, next permit {}", in_ms(at, now))),
            Assessment::Cold { .. } => Some("cold, and not this VM's turn".to_owned()),
            Assessment::NoConnection => Some("no connection of this VM is left".to_owned()),
        };
        let expected_ms = match assessment {
            Assessment::Usable { expected_seconds, .. } => Some(expected_seconds * 1_000.0),
            _ => None,
        };
        let is_suspect = matches!(assessment, Assessment::Usable { is_suspect: true, .. });
        let queue = stats.estimator.queue_seconds(terms.mean_seconds, now);
        let age = self.server_reports.latest_report(&server.entry.name);
        json!({
            "server": server.entry.name.as_str(), "domain": server.entry.domain.as_str(),
            "slots": server.entry.slots, "left_out": left_out, "is_suspect": is_suspect,
            "expected_ms": expected_ms.map(f64::round),
            "queue_ms": (queue * 1_000.0).round(), "outstanding":
                (stats.estimator.n_outstanding(now) * 10.0).round() / 10.0,
            "report_age_ms": age.map(|(_, at)| now.since(at).as_millis() as u64),
        })
    }
}

fn in_ms(at: MonoTime, now: MonoTime) -> String {
    format!("for {} ms", at.since(now).as_millis())
}

fn explain_choice(choice: &SendChoice, now: MonoTime) -> Value {
    match choice {
        SendChoice::To(server) => json!({"send_to": server.entry.name.as_str()}),
        SendChoice::GetPermit(server, _) => {
            json!({"send_to": server.entry.name.as_str(), "after": "a permit of the server's keeper"})
        }
        SendChoice::Wait(wait) => json!({"wait_ms": wait.as_millis() as u64}),
        SendChoice::AwaitChange(reason, _) => json!({"wait_for_change": reason.to_string()}),
        SendChoice::Refuse(reason) => json!({"refuse": reason.to_string()}),
        SendChoice::RefuseUntil(reason, until) => json!({
            "refuse": reason.to_string(), "until_ms": until.since(now).as_millis() as u64,
        }),
    }
}
