//! The operators' plan as the entry VMs use it: routes, services and limits on callers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use model::{Idempotency, ServiceName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// A complete plan; a newer version replaces it as a whole.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RoutePlan {
    /// Version; larger is newer.
    pub version: u64,
    /// Routes of each host, longest prefix first.
    pub hosts: BTreeMap<Arc<str>, Vec<Arc<PlanRoute>>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceRules>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// Where requests with one prefix go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanRoute {
    /// The route's name.
    pub name: Arc<str>,
    /// What the path begins with.
    pub prefix: Arc<str>,
    /// Services with their weights.
    pub targets: SmallVec<[RouteTarget; 2]>,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Most servers to which one request may be sent.
    pub max_sends: u32,
    /// Rank; 0 is the highest.
    pub priority: u8,
}

/// One service of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other targets.
    pub weight: u32,
}

/// What the plan says of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceRules {
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Connections that a server accepts from all callers together.
    pub connections: u32,
    /// Time for which a started server is cold.
    pub cold_duration: Duration,
    /// Requests a second that a cold server bears.
    pub cold_rate: f64,
    /// Whether its servers own keys.
    pub is_keyed: bool,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 8 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl RoutePlan {
    /// The route for a host and a path, if the plan has one.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<PlanRoute>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.hosts.get(host)?.iter().find(|it| path.starts_with(&*it.prefix))
    }
}

impl PlanRoute {
    /// The target for a draw between 0 and 1.
    pub fn target(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|it| it.weight).sum();
        let mut left = (draw * f64::from(total)) as u32;
        for target in &self.targets {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
        }
        self.targets.first().map(|it| &it.service)
    }
}
