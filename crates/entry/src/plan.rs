//! The operators' configuration as entry VMs use it: routes, services and limits for callers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use model::{Idempotency, ServiceName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::TeamTable;

/// A complete configuration; a newer version replaces it as a whole.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct RoutePlan {
    /// Version number; a larger one is newer.
    pub version: u64,
    /// Routes by host, the longest prefix first; the first match applies.
    pub hosts: BTreeMap<Arc<str>, Vec<Arc<PlanRoute>>>,
    /// Properties of each service.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Limits for callers' connections and requests.
    pub limits: CallerLimits,
    /// The teams whose callers may use routes that are not public; `None` if callers need no key.
    pub teams: Option<TeamTable>,
}

/// Route for the requests of a host whose path begins with one prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanRoute {
    /// Name of the route in metrics and logs.
    pub name: Arc<str>,
    /// Prefix of the path, compared byte by byte.
    pub prefix: Arc<str>,
    /// Services among which requests are split by weight.
    pub targets: SmallVec<[RouteTarget; 2]>,
    /// Whether requests are idempotent, so that one may be sent again after it may have run.
    pub idempotency: Idempotency,
    /// Longest time to a request's final answer; callers may ask for less.
    pub timeout: Duration,
    /// Latency objective: the time within which requests should be answered.
    pub latency_objective: Duration,
    /// Maximum number of sends of one request, the first included.
    pub max_sends: u32,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Whether callers need no key of a team.
    pub is_public: bool,
}

/// One of the services that a route splits its requests among.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ServiceName,
    /// Relative weight among the targets of the route.
    pub weight: u32,
}

/// Properties of a service that operators have configured.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Path of the servers' health check.
    pub health_path: Arc<str>,
    /// Connections that a server accepts, over all routers.
    pub connections: u32,
    /// Time after its start for which a server is cold.
    pub cold_duration: Duration,
    /// Requests per second that a cold server can take, over all routers.
    pub cold_requests_per_s: f64,
    /// Whether each key is owned by one server, which requests for the key must go to.
    pub is_keyed: bool,
}

/// Limits for what callers may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub max_head_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Configured time limit for a request head; a body may take twice as long. The head itself is
    /// limited by `idle_timeout`.
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
    /// Whether any team has a quota.
    pub fn has_quotas(&self) -> bool {
        self.teams.as_ref().is_some_and(|it| it.quotas().next().is_some())
    }

    /// The route for a `Host` header, whose port is ignored, and a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<PlanRoute>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.hosts.get(host)?.iter().find(|it| path.starts_with(&*it.prefix))
    }
}

impl PlanRoute {
    /// The service that `draw`, a uniform random number in [0, 1), selects by weight.
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
