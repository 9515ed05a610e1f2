//! A caller's request and what has been tried for it.

use model::TeamName;
use ownership::ShardHolder;

use super::*;

/// A caller's request with its complete body.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Method, forwarded unchanged.
    pub method: Method,
    /// Path and query as the caller sent them, forwarded unchanged.
    pub uri: Uri,
    /// Headers as the caller sent them, hop-by-hop headers included.
    pub headers: HeaderMap,
    /// Complete body, kept so that it can be sent again.
    pub body: Bytes,
    /// When the head of the request had arrived; the deadline counts from here.
    pub arrived: MonoTime,
}

/// The final answer to a caller, from a server or from this process.
pub type CallerAnswer = Response<Full<Bytes>>;

/// A request in flight and its attempts so far.
pub(super) struct RequestState {
    /// Value of the caller's request id header.
    pub(super) id: HeaderValue,
    pub(super) service: ServiceName,
    pub(super) route: Arc<PlanRoute>,
    pub(super) identity: CallerIdentity,
    /// Version of the plan by which it is routed.
    pub(super) plan_version: u64,
    /// Shortest latency objective of the more urgent requests for the service; `None` if none are.
    pub(super) higher_objective: Option<Duration>,
    /// Permit out of the team's quota for the next attempt.
    pub(super) quota_permit: Option<QuotaPermit>,
    /// Shard key; set for keyed services only.
    pub(super) key: Option<u16>,
    pub(super) arrived: MonoTime,
    pub(super) deadline: MonoTime,
    /// Servers that the choice for a shared service skips.
    pub(super) tried: SmallVec<[ServerName; 2]>,
    /// Attempts that did not reach the owner of the key.
    pub(super) n_misses: u32,
    /// The holder that the last attempt was for.
    pub(super) missed_holder: Option<ShardHolder>,
    /// Until when that holder is not tried again after a miss.
    pub(super) miss_until: MonoTime,
    pub(super) n_sends: u32,
    /// Connections that carried an attempt; no later attempt uses them.
    pub(super) connections: SmallVec<[ConnectionNumber; 2]>,
    /// Server that the next attempt has a permit for.
    pub(super) permit: Option<ServerInstance>,
    /// Until when the server that refused it takes nothing from this VM.
    pub(super) refused_until: MonoTime,
    /// Last attempt that the server may have run, with its answer if there was one.
    pub(super) unknown_outcome: Option<(UnknownReason, Option<HttpAnswer>)>,
}

/// How a request is routed by a plan.
pub(super) struct RequestRouting {
    pub(super) route: Arc<PlanRoute>,
    pub(super) service: ServiceName,
    pub(super) key: Option<u16>,
    pub(super) identity: CallerIdentity,
    pub(super) plan_version: u64,
    pub(super) higher_objective: Option<Duration>,
}

/// Fraction of a request's time limit that it may spend waiting for its key to get an owner.
const OWNER_WAIT_SHARE: f64 = 0.4;

impl RequestState {
    /// A request that nothing has been tried for.
    pub(super) fn new(
        id: HeaderValue,
        routing: RequestRouting,
        arrived: MonoTime,
        time_limit: Duration,
    ) -> Self {
        let RequestRouting { route, service, key, identity, plan_version, higher_objective } =
            routing;
        Self {
            id,
            service,
            key,
            arrived,
            deadline: arrived + time_limit,
            route,
            identity,
            plan_version,
            higher_objective,
            quota_permit: None,
            tried: SmallVec::new(),
            n_misses: 0,
            missed_holder: None,
            miss_until: MonoTime::default(),
            n_sends: 0,
            connections: SmallVec::new(),
            permit: None,
            refused_until: MonoTime::default(),
            unknown_outcome: None,
        }
    }

    /// Until when it may wait for its key to get an owner.
    pub(super) fn owner_wait_end(&self) -> MonoTime {
        let time_limit = self.deadline.since(self.arrived);
        self.arrived + time_limit.mul_f64(OWNER_WAIT_SHARE)
    }

    pub(super) fn time_left(&self, now: MonoTime) -> Duration {
        self.deadline.since(now)
    }

    /// Name of the caller's team, if it has one.
    pub(super) fn team_name(&self) -> Option<&TeamName> {
        self.identity.team.as_ref().map(|it| &it.name)
    }

    /// Whether the next attempt has a permit for the server.
    pub(super) fn has_permit(&self, server: &CachedServer) -> bool {
        self.permit
            .as_ref()
            .is_some_and(|it| it.server == server.entry.name && it.born == server.entry.born)
    }
}
