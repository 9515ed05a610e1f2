//! The immutable table that traffic threads route by.

use std::{collections::BTreeMap, sync::Arc};

use model::{
    DomainName, KeyHash, ServiceKind, ServiceName, ServiceSpec, SheetRevision, SliceId, SliceKey,
    VmName, WallTime, hash_key,
};
use ownership::{HomesTable, RouterView};
use policy::{RouterShare, ServerCandidate};
use sheet::{PlanSheet, ServerRow, VmRow, WorkState};

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
    pub(crate) candidates: Arc<BTreeMap<ServiceName, Vec<ServerCandidate>>>,
}

impl RoutingTable {
    /// The service's definition.
    pub(crate) fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.sheet.services.get(name)
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
) -> BTreeMap<ServiceName, Vec<ServerCandidate>> {
    let mut candidates: BTreeMap<ServiceName, Vec<ServerCandidate>> = BTreeMap::new();
    for row in sheet.servers.values() {
        if sheet.server_work_state(&row.name, wall) == WorkState::Accepting {
            let is_local = row.domain == *domain;
            let candidate = ServerCandidate { name: row.name.clone(), is_local };
            candidates.entry(row.service.clone()).or_default().push(candidate);
        }
    }
    candidates
}

/// The router that may send to a server first while the server is cold.
pub(crate) fn first_sharer<'a>(sheet: &'a PlanSheet, server: &'a ServerRow) -> Option<&'a VmRow> {
    let sharers = sheet.vms_of(&server.domain);
    sharers.min_by_key(|it| share_order(server, &it.name))
}

fn share_order(server: &ServerRow, vm: &VmName) -> (KeyHash, VmName) {
    (hash_key(&format!("{}@{vm}", server.name)), vm.clone())
}

/// This router's place among the routers that share a server: those of its domain for a keyed
/// service, all for a shared one. All routers with the same sheet agree on the places.
pub(crate) fn router_share(sheet: &PlanSheet, server: &ServerRow, own: &VmName) -> RouterShare {
    let spec = sheet.services.get(&server.service);
    let is_keyed = spec.is_some_and(|it| matches!(it.kind, ServiceKind::Keyed { .. }));
    let sharers = sheet.vms.values().filter(|it| !is_keyed || it.domain == server.domain);
    let own_order = share_order(server, own);
    let mut share = RouterShare { rank: 0, n_routers: 0 };
    for vm in sharers {
        share.n_routers += 1;
        share.rank += u32::from(share_order(server, &vm.name) < own_order);
    }
    share
}
