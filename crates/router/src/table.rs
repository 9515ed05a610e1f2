//! The immutable routing table that the traffic threads read.

use std::{collections::BTreeMap, sync::Arc};

use model::{
    DomainName, KeyHash, ServiceKind, ServiceName, ServiceSpec, SheetRevision, SliceId, SliceKey,
    VmName, WallTime, hash_key,
};
use ownership::{HomesTable, RouterView};
use policy::{RouterShare, ServerCandidate};
use sheet::{PlanSheet, ServerRow, VmRow, WorkState};

/// A snapshot of everything that routing a request needs.
#[derive(Debug, Clone, Default)]
pub(crate) struct RoutingTable {
    pub(crate) sheet_revision: SheetRevision,
    pub(crate) sheet: Arc<PlanSheet>,
    /// Home domain of each slice.
    pub(crate) homes: Arc<HomesTable>,
    /// The own domain's map and the lease on it.
    pub(crate) view: RouterView,
    /// Servers of each service that accept new work.
    pub(crate) candidates: Arc<BTreeMap<ServiceName, Vec<ServerCandidate>>>,
}

impl RoutingTable {
    pub(crate) fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.sheet.services.get(name)
    }

    /// The failure domain that is home to a key, or `None` while its slice has no home.
    ///
    /// A home of the key's own slice takes precedence over that of the base slice.
    pub(crate) fn home(
        &self,
        service: &ServiceName,
        base_slice: SliceId,
        hash: KeyHash,
    ) -> Option<&DomainName> {
        let key = |slice| SliceKey { service: service.clone(), slice };
        let single = self.homes.entries.get(&key(SliceId::single(hash)));
        single.or_else(|| self.homes.entries.get(&key(base_slice))).map(|it| &it.domain)
    }
}

/// Servers of each service that accept new work at `wall`; `domain` is that of this router.
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

/// The VM whose router ranks first for a server of a keyed service, and so is the first to get a
/// part of the slots while the server is cold.
pub(crate) fn first_ranked_vm<'a>(
    sheet: &'a PlanSheet,
    server: &'a ServerRow,
) -> Option<&'a VmRow> {
    let vms = sheet.vms_of(&server.domain);
    vms.min_by_key(|it| rank_key(server, &it.name))
}

/// Key by which the routers that share a server are ranked; a hash, so that ranks differ by server.
fn rank_key(server: &ServerRow, vm: &VmName) -> (KeyHash, VmName) {
    (hash_key(&format!("{}@{vm}", server.name)), vm.clone())
}

/// This router's rank among the routers that share a server: those of its domain for a keyed
/// service, all for a shared one. All routers with the same sheet agree on the ranks.
pub(crate) fn router_share(sheet: &PlanSheet, server: &ServerRow, own: &VmName) -> RouterShare {
    let spec = sheet.services.get(&server.service);
    let is_keyed = spec.is_some_and(|it| matches!(it.kind, ServiceKind::Keyed { .. }));
    let vms = sheet.vms.values().filter(|it| !is_keyed || it.domain == server.domain);
    let own_key = rank_key(server, own);
    let mut share = RouterShare { rank: 0, n_routers: 0 };
    for vm in vms {
        share.n_routers += 1;
        share.rank += u32::from(rank_key(server, &vm.name) < own_key);
    }
    share
}
