//! Which team a caller belongs to.

use super::*;
use crate::{KeyDigest, PlanTeam};

/// What a request's head says about its caller.
#[derive(Debug, Default)]
pub(super) struct CallerIdentity {
    /// The caller's team; `None` on a public route and in a plan without teams.
    pub(super) team: Option<Arc<PlanTeam>>,
    /// Whether the request bears a key of a team, which no server may get.
    pub(super) has_key: bool,
}

/// Why a request on a route that needs a key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum KeyRefusal {
    /// It bears no key, or several.
    Missing,
    /// No team has the key.
    Unknown(KeyDigest),
}

impl KeyRefusal {
    pub(super) fn cause(self) -> &'static str {
        match self {
            Self::Missing => "no-team-key",
            Self::Unknown(_) => "unknown-team-key",
        }
    }
}

impl CallerIdentity {
    /// Identifies the caller of a request on `route`.
    pub(super) fn of(
        plan: &RoutePlan,
        route: &PlanRoute,
        headers: &HeaderMap,
    ) -> Result<Self, KeyRefusal> {
        let Some(teams) = &plan.teams else {
            return Ok(Self::default());
        };
        let key = presented_key(headers);
        let team = key.as_ref().and_then(|it| teams.by_key(it)).cloned();
        let has_key = team.is_some();
        match (team, key) {
            _ if route.is_public => Ok(Self { team: None, has_key }),
            (Some(team), _) => Ok(Self { team: Some(team), has_key }),
            (None, Some(key)) => Err(KeyRefusal::Unknown(key)),
            (None, None) => Err(KeyRefusal::Missing),
        }
    }
}

/// Digest of the bearer token in the headers; `None` if there is none, or more than one.
fn presented_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next().filter(|_| values.next().is_none())?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let is_bearer = scheme.eq_ignore_ascii_case("bearer");
    KeyDigest::try_from(key.trim()).ok().filter(|_| is_bearer)
}

impl<F: ServerFormat> TrafficServer<F> {
    /// Refuses a request whose head bears no key that its route accepts, before its body is read. `None` if
    /// it may be accepted.
    pub(crate) fn refuse_head(&self, head: &http::request::Parts) -> Option<CallerAnswer> {
        let snapshot = self.channel.current();
        let plan = snapshot.plan.as_ref().filter(|it| it.teams.is_some())?;
        let host = head.headers.get(header::HOST)?.to_str().ok()?;
        let route = plan.route(host, head.uri.path())?;
        let refusal = CallerIdentity::of(plan, route, &head.headers).err()?;
        let id = head.headers.get(&self.format.headers().request_id).cloned();
        Some(self.refuse_key(&id.unwrap_or_else(|| HeaderValue::from_static("-")), refusal))
    }

    /// The answer to a request without a valid key.
    pub(super) fn refuse_key(&self, id: &HeaderValue, refusal: KeyRefusal) -> CallerAnswer {
        if let KeyRefusal::Unknown(key) = refusal {
            info!(self.log, "key-unknown"; "id" => id.to_str().unwrap_or("-"),
                "fingerprint" => %key);
        }
        let mut answer = self.refuse_unrouted(id, StatusCode::UNAUTHORIZED, refusal.cause());
        let scheme = HeaderValue::from_static("Bearer");
        answer.headers_mut().insert(header::WWW_AUTHENTICATE, scheme);
        answer
    }
}
