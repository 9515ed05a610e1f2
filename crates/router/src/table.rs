//! The immutable table that traffic threads route by.

use std::{collections::BTreeMap, sync::Arc};

use model::{
    DomainName, KeyHash, ServiceName, ServiceSpec, SheetRevision, SliceId, SliceKey, WallTime,
};
use ownership::{HomesTable, RouterView};
use policy::Candidate;
use sheet::{PlanSheet, WorkState};

/// Everything needed to route a request, at one moment.
#[derive(Debug, Clone, Default)]
pub(crate) struct RoutingTable {
    /// Revision of the sheet.
    pub(crate) revision: SheetRevision,
    /// The sheet.
    pub(crate) sheet: Arc<PlanSheet>,
    /// The homes.
    pub(crate) homes: Arc<HomesTable>,
    /// The own domain's map and the lease on it.
    pub(crate) view: RouterView,
    /// Servers of each shared service that may take new work.
    pub(crate) candidates: Arc<BTreeMap<ServiceName, Vec<Candidate>>>,
}

impl RoutingTable {
    /// The service's definition.
    pub(crate) fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.sheet.services.values().find(|it| it.name.as_str() == name)
    }

    /// The home of a key, unless its slice has none yet.
    pub(crate) fn home(
        &self,
        service: &ServiceName,
        base: SliceId,
        hash: KeyHash,
    ) -> Option<&DomainName> {
        let key = |slice| SliceKey { service: service.clone(), slice };
        let single = self.homes.entries.get(&key(SliceId::single(hash)));
        single.or_else(|| self.homes.entries.get(&key(base))).map(|it| &it.domain)
    }
}

/// Servers of each service that may take new work at `wall`.
pub(crate) fn candidates(
    sheet: &PlanSheet,
    domain: &DomainName,
    wall: WallTime,
) -> BTreeMap<ServiceName, Vec<Candidate>> {
    let mut candidates: BTreeMap<ServiceName, Vec<Candidate>> = BTreeMap::new();
    for row in sheet.servers.values() {
        if sheet.server_work(&row.name, wall) == WorkState::Accepting {
            let is_local = row.domain == *domain;
            let candidate = Candidate { name: row.name.clone(), is_local };
            candidates.entry(row.service.clone()).or_default().push(candidate);
        }
    }
    candidates
}
