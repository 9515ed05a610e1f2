//! Assignment of slices to their home failure domains.

use std::collections::{BTreeMap, BTreeSet};

use model::{DomainName, ServiceKind, ServiceName, SliceId, SliceKey, WallTime};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sheet::{PlanSheet, WorkState};
use xxhash_rust::xxh3::xxh3_64;

/// The home of one slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeEntry {
    /// The failure domain whose planner assigns the slice to a server.
    pub domain: DomainName,
    /// Number that grows with each change of home; the most significant part of a fencing token.
    pub epoch: u64,
}

/// The homes of all slices, as kept in the store.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HomesTable {
    /// Revision of the table; the highest is in force.
    pub revision: u64,
    /// Identifier of the write that created the revision.
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

    /// Returns the next revision, in which each of `slices` has the given home and a new epoch.
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

/// Chooses homes for the slices that have none, in proportion to the number of servers in each
/// domain.
pub fn initial_homes(
    sheet: &PlanSheet,
    homes: &HomesTable,
    wall: WallTime,
) -> BTreeMap<SliceKey, DomainName> {
    let mut new_homes = BTreeMap::new();
    for spec in sheet.services.values() {
        let ServiceKind::Keyed { slice_bits, .. } = spec.kind else { continue };
        let server_counts = domain_server_counts(sheet, spec.name.as_str(), wall);
        let mut slice_counts = domain_slice_counts(homes, spec.name.as_str());
        for slice in SliceId::all(slice_bits) {
            let key = SliceKey { service: spec.name.clone(), slice };
            if homes.entries.contains_key(&key) {
                continue;
            }
            if let Some(domain) = least_loaded_domain(&server_counts, &slice_counts, &key) {
                *slice_counts.entry(domain.clone()).or_default() += 1;
                new_homes.insert(key, domain);
            }
        }
    }
    new_homes
}

/// Chooses the slices that `domain` should hand over to other domains now, with their new homes.
///
/// All slices of a service leave a domain that has no accepting server for it, or none that answers
/// (`unserved`); at most `budget` further slices leave to balance the domains.
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
        let mut server_counts = domain_server_counts(sheet, spec.name.as_str(), wall);
        if unserved.contains(&spec.name) {
            server_counts.remove(domain);
        }
        let mut slice_counts = domain_slice_counts(homes, spec.name.as_str());
        let n_total: usize = slice_counts.values().sum();
        let n_servers: usize = server_counts.values().sum();
        if n_servers == 0 {
            continue;
        }
        let n_own_servers = server_counts.get(domain).copied().unwrap_or_default();
        let fair_share = (n_total * n_own_servers).div_ceil(n_servers);
        for (key, _) in homes.slices_of(domain).filter(|(key, _)| key.service == spec.name) {
            let n_own = slice_counts.get(domain).copied().unwrap_or_default();
            let has_no_server = n_own_servers == 0;
            let has_surplus = n_own > fair_share + fair_share / 8;
            match least_loaded_domain(&server_counts, &slice_counts, key) {
                Some(target) if target != *domain && has_no_server => {
                    transfer(&mut slice_counts, domain, &target);
                    releases.insert(key.clone(), target);
                }
                Some(target) if target != *domain && has_surplus && n_balancing < budget => {
                    n_balancing += 1;
                    transfer(&mut slice_counts, domain, &target);
                    releases.insert(key.clone(), target);
                }
                _ => (),
            }
        }
    }
    releases
}

fn transfer(slice_counts: &mut BTreeMap<DomainName, usize>, from: &DomainName, to: &DomainName) {
    if let Some(count) = slice_counts.get_mut(from) {
        *count = count.saturating_sub(1);
    }
    *slice_counts.entry(to.clone()).or_default() += 1;
}

/// Number of servers of `service` that accept new work, by domain; without domains that have no VM.
fn domain_server_counts(
    sheet: &PlanSheet,
    service: &str,
    wall: WallTime,
) -> BTreeMap<DomainName, usize> {
    let mut server_counts = BTreeMap::new();
    for server in sheet.servers.values().filter(|it| it.service.as_str() == service) {
        let has_vm = sheet.vms_of(&server.domain).next().is_some();
        if has_vm && sheet.server_work_state(&server.name, wall) == WorkState::Accepting {
            *server_counts.entry(server.domain.clone()).or_default() += 1;
        }
    }
    server_counts
}

fn domain_slice_counts(homes: &HomesTable, service: &str) -> BTreeMap<DomainName, usize> {
    let mut slice_counts = BTreeMap::new();
    for (_, home) in homes.entries.iter().filter(|(key, _)| key.service.as_str() == service) {
        *slice_counts.entry(home.domain.clone()).or_default() += 1;
    }
    slice_counts
}

/// The domain with the fewest slices per server; ties are broken by a hash.
fn least_loaded_domain(
    server_counts: &BTreeMap<DomainName, usize>,
    slice_counts: &BTreeMap<DomainName, usize>,
    key: &SliceKey,
) -> Option<DomainName> {
    let load = |domain: &DomainName, n_servers: usize| {
        let n_slices = slice_counts.get(domain).copied().unwrap_or_default();
        let tie_breaker = xxh3_64(format!("{key}@{domain}").as_bytes());
        ((n_slices + 1) * 1_000 / n_servers, tie_breaker)
    };
    server_counts
        .iter()
        .min_by_key(|(domain, n_servers)| load(domain, **n_servers))
        .map(|(domain, _)| domain.clone())
}
