//! Teams of callers, as operators configure them: their keys, priority and quota.
//!
//! Only digests of keys are kept, so that no log line, dump or message between VMs can contain a key.

use std::{collections::HashMap, fmt, sync::Arc};

use model::{InvalidValue, TeamName};
use policy::QuotaLimit;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;

/// Bytes of a digest that its fingerprint shows.
const FINGERPRINT_BYTES: usize = 4;

/// SHA-256 digest of a caller's key. Its text forms show only the first bytes, as a fingerprint by which
/// operators find the key again.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl TryFrom<&str> for KeyDigest {
    type Error = InvalidValue;

    /// Fails for an empty key.
    fn try_from(key: &str) -> Result<Self, InvalidValue> {
        match key.is_empty() {
            true => Err(InvalidValue::new("key of a team", "", "at least one character")),
            false => Ok(Self(Sha256::digest(key.as_bytes()).into())),
        }
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(FINGERPRINT_BYTES).try_for_each(|it| write!(f, "{it:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanTeam {
    /// Name that servers get with each request of the team.
    pub name: TeamName,
    /// Digests of the keys that its callers may use.
    pub keys: SmallVec<[KeyDigest; 2]>,
    /// Priority of its requests, which takes precedence over that of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// Requests that it may send over all VMs; `None` if there is no limit.
    pub quota: Option<QuotaLimit>,
}

/// The teams of a plan, indexed by key. The index hashes the digests with a key of the process, so that
/// the time of a lookup does not depend on how much of a wrong key is right.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(try_from = "Vec<Arc<PlanTeam>>", into = "Vec<Arc<PlanTeam>>")]
pub struct TeamTable {
    teams: Vec<Arc<PlanTeam>>,
    by_key: HashMap<KeyDigest, usize>,
}

impl TryFrom<Vec<Arc<PlanTeam>>> for TeamTable {
    type Error = InvalidValue;

    /// Fails if two teams have the same name or key, or a quota is not a number of requests.
    fn try_from(mut teams: Vec<Arc<PlanTeam>>) -> Result<Self, InvalidValue> {
        teams.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(pair) = teams.windows(2).find(|it| it[0].name == it[1].name) {
            return Err(InvalidValue::new("team", &pair[0].name, "a name that no other team has"));
        }
        let mut by_key = HashMap::new();
        for (idx, team) in teams.iter().enumerate() {
            let is_number = |it: f64| it.is_finite() && it >= 0.0;
            if team.quota.is_some_and(|it| !is_number(it.rate) || !is_number(it.burst)) {
                return Err(InvalidValue::new("quota of team", &team.name, "0 or more requests"));
            }
            for key in &team.keys {
                let other = by_key.insert(*key, idx).filter(|it| *it != idx);
                if let Some(other) = other {
                    let names = format!("{} and {}", teams[other].name, team.name);
                    let cause = format!("the key {key} of {names}");
                    return Err(InvalidValue::new("teams", cause, "keys of one team only"));
                }
            }
        }
        Ok(Self { teams, by_key })
    }
}

impl From<TeamTable> for Vec<Arc<PlanTeam>> {
    fn from(table: TeamTable) -> Self {
        table.teams
    }
}

impl TeamTable {
    /// All teams, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<PlanTeam>> {
        self.teams.iter()
    }

    /// The team that has a key with this digest.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Arc<PlanTeam>> {
        self.by_key.get(key).map(|idx| &self.teams[*idx])
    }

    /// The quotas by team, of those that have one.
    pub fn quotas(&self) -> impl Iterator<Item = (&TeamName, QuotaLimit)> {
        self.teams.iter().filter_map(|it| Some((&it.name, it.quota?)))
    }

    /// The `n_teams` teams with the largest quotas; those without a limit come first.
    pub fn largest(&self, n_teams: usize) -> Vec<&TeamName> {
        let rate = |it: &PlanTeam| it.quota.map_or(f64::MAX, |it| it.rate);
        let mut teams: Vec<&Arc<PlanTeam>> = self.teams.iter().collect();
        teams.sort_by(|a, b| rate(b).total_cmp(&rate(a)).then_with(|| a.name.cmp(&b.name)));
        teams.into_iter().take(n_teams).map(|it| &it.name).collect()
    }
}
