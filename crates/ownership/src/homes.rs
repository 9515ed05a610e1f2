//! Which failure domain is home to each slice.

use std::collections::{BTreeMap, BTreeSet};

use model::{DomainName, ServiceKind, ServiceName, SliceId, SliceKey, WallTime};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sheet::{PlanSheet, WorkState};
use xxhash_rust::xxh3::xxh3_64;

/// The home of one slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeEntry {
    /// The domain whose planner assigns the slice.
    pub domain: DomainName,
    /// Grows each time the home changes; the first part of each fencing token.
    pub epoch: u64,
}

/// Homes of all slices, as the store holds them.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HomesTable {
    /// Revision of the table; the highest wins.
    pub revision: u64,
    /// Identity of the write that made the revision.
    pub attempt: u64,
    /// Home of each slice.
    #[serde_as(as = "Vec<(_, _)>")]
    pub entries: BTreeMap<SliceKey, HomeEntry>,
}

impl HomesTable {
    /// Slices whose home is `domain`.
    pub fn slices_of<'a>(
        &'a self,
        domain: &'a DomainName,
    ) -> impl Iterator<Item = (&'a SliceKey, &'a HomeEntry)> + 'a {
        self.entries.iter().filter(move |(_, it)| it.domain == *domain)
    }

    /// The next revision with each of `slices` given to its new home.
    #[must_use]
    pub fn with_homes(&self, slices: &BTreeMap<SliceKey, DomainName>, attempt: u64) -> Self {
        let mut next = self.clone();
        next.revision += 1;
        next.attempt = attempt;
        for (key, domain) in slices {
            let epoch = self.entries.get(key).map_or(1, |it| it.epoch + 1);
            next.entries.insert(key.clone(), HomeEntry { domain: domain.clone(), epoch });
        }
        next
    }
}

/// Homes for the slices that have none yet, shared out by the number of servers in each domain.
pub fn initial_homes(
    sheet: &PlanSheet,
    homes: &HomesTable,
    wall: WallTime,
) -> BTreeMap<SliceKey, DomainName> {
    let mut missing = BTreeMap::new();
    for spec in sheet.services.values() {
        let ServiceKind::Keyed { slice_bits, .. } = spec.kind else { continue };
        let shares = domain_shares(sheet, spec.name.as_str(), wall);
        let mut counts = home_counts(homes, spec.name.as_str());
        for slice in SliceId::all(slice_bits) {
            let key = SliceKey { service: spec.name.clone(), slice };
            if homes.entries.contains_key(&key) {
                continue;
            }
            if let Some(domain) = neediest_domain(&shares, &counts, &key) {
                *counts.entry(domain.clone()).or_default() += 1;
                missing.insert(key, domain);
            }
        }
    }
    missing
}

/// Slices that `domain` should give to other domains now.
///
/// All slices leave a domain that has no accepting server for them, or none that answers
/// (`unserved`); at most `budget` more leave to even out the domains.
pub fn plan_releases(
    sheet: &PlanSheet,
    homes: &HomesTable,
    domain: &DomainName,
    unserved: &BTreeSet<ServiceName>,
    budget: usize,
    wall: WallTime,
) -> BTreeMap<SliceKey, DomainName> {
    let mut releases = BTreeMap::new();
    let mut n_balancing = 0;
    for spec in sheet.services.values().filter(|it| matches!(it.kind, ServiceKind::Keyed { .. })) {
        let mut shares = domain_shares(sheet, spec.name.as_str(), wall);
        if unserved.contains(&spec.name) {
            shares.remove(domain);
        }
        let mut counts = home_counts(homes, spec.name.as_str());
        let n_total: usize = counts.values().sum();
        let n_servers: usize = shares.values().sum();
        if n_servers == 0 {
            continue;
        }
        let own_share = shares.get(domain).copied().unwrap_or_default();
        let fair = (n_total * own_share).div_ceil(n_servers);
        for (key, _) in homes.slices_of(domain).filter(|(key, _)| key.service == spec.name) {
            let n_own = counts.get(domain).copied().unwrap_or_default();
            let must_leave = own_share == 0;
            let is_surplus = n_own > fair + fair / 8;
            match neediest_domain(&shares, &counts, key) {
                Some(target) if target != *domain && must_leave => {
                    give(&mut counts, domain, &target);
                    releases.insert(key.clone(), target);
                }
                Some(target) if target != *domain && is_surplus && n_balancing < budget => {
                    n_balancing += 1;
                    give(&mut counts, domain, &target);
                    releases.insert(key.clone(), target);
                }
                _ => (),
            }
        }
    }
    releases
}

fn give(counts: &mut BTreeMap<DomainName, usize>, from: &DomainName, to: &DomainName) {
    if let Some(count) = counts.get_mut(from) {
        *count = count.saturating_sub(1);
    }
    *counts.entry(to.clone()).or_default() += 1;
}

/// Number of servers of `service` that take new work, by domain.
fn domain_shares(sheet: &PlanSheet, service: &str, wall: WallTime) -> BTreeMap<DomainName, usize> {
    let mut shares = BTreeMap::new();
    for server in sheet.servers.values().filter(|it| it.service.as_str() == service) {
        let has_vm = sheet.vms_of(&server.domain).next().is_some();
        if has_vm && sheet.server_work(&server.name, wall) == WorkState::Accepting {
            *shares.entry(server.domain.clone()).or_default() += 1;
        }
    }
    shares
}

fn home_counts(homes: &HomesTable, service: &str) -> BTreeMap<DomainName, usize> {
    let mut counts = BTreeMap::new();
    for (_, home) in homes.entries.iter().filter(|(key, _)| key.service.as_str() == service) {
        *counts.entry(home.domain.clone()).or_default() += 1;
    }
    counts
}

/// The domain with the fewest slices for its servers; equal domains are ordered by hash.
fn neediest_domain(
    shares: &BTreeMap<DomainName, usize>,
    counts: &BTreeMap<DomainName, usize>,
    key: &SliceKey,
) -> Option<DomainName> {
    let load = |domain: &DomainName, n_servers: usize| {
        let n_slices = counts.get(domain).copied().unwrap_or_default();
        let tie = xxh3_64(format!("{key}@{domain}").as_bytes());
        ((n_slices + 1) * 1_000 / n_servers, tie)
    };
    shares
        .iter()
        .min_by_key(|(domain, n_servers)| load(domain, **n_servers))
        .map(|(domain, _)| domain.clone())
}
