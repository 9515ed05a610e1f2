//! Which requests of a service are more urgent than others, by the plan.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::ServiceName;

use crate::{PlanRoute, RoutePlan};

/// The shortest latency objective of each priority, by service.
#[derive(Debug, Clone, Default)]
pub struct RankIndex {
    objectives: BTreeMap<ServiceName, BTreeMap<u8, Duration>>,
}

/// The ranks of the plan that was seen last.
#[derive(Debug, Clone, Default)]
pub struct CachedRanks {
    version: u64,
    index: RankIndex,
}

impl CachedRanks {
    /// The ranks of this plan, made once for each version.
    pub fn of(&mut self, plan: &RoutePlan) -> &RankIndex {
        if self.version != plan.version {
            *self = Self { version: plan.version, index: RankIndex::from(plan) };
        }
        &self.index
    }
}

impl From<&RoutePlan> for RankIndex {
    fn from(plan: &RoutePlan) -> Self {
        let team_priorities: BTreeSet<Option<u8>> =
            plan.teams.iter().flat_map(|it| it.iter()).map(|it| it.priority).collect();
        let mut index = Self::default();
        for route in plan.hosts.values().flatten() {
            index.add(route, &team_priorities);
        }
        index
    }
}

impl RankIndex {
    /// Adds a route whose callers are of teams with these priorities, if it isn't public.
    fn add(&mut self, route: &PlanRoute, team_priorities: &BTreeSet<Option<u8>>) {
        let mut priorities: BTreeSet<u8> =
            team_priorities.iter().map(|it| it.unwrap_or(route.priority)).collect();
        if route.is_public || priorities.is_empty() {
            priorities = BTreeSet::from([route.priority]);
        }
        for target in route.targets.iter().filter(|it| it.weight > 0) {
            let objectives = self.objectives.entry(target.service.clone()).or_default();
            for priority in &priorities {
                let shortest = objectives.entry(*priority).or_insert(route.latency_objective);
                *shortest = route.latency_objective.min(*shortest);
            }
        }
    }

    /// Objective of the least urgent requests of a service, usually most of them.
    pub fn lowest_objective(&self, service: &ServiceName) -> Option<Duration> {
        self.objectives.get(service)?.last_key_value().map(|(_, it)| *it)
    }

    /// Shortest objective of the requests of a service that are more urgent than those of `priority`;
    /// `None` if none are.
    pub fn higher_objective(&self, service: &ServiceName, priority: u8) -> Option<Duration> {
        self.objectives.get(service)?.range(..priority).map(|(_, it)| *it).min()
    }
}
