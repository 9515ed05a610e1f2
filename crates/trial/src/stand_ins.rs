//! The `stand-ins` subcommand: serves the platform and the backend servers of a sheet, for routers
//! and planners that are started by hand.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use eyre::WrapErr;
use model::{OwnerCheck, ServiceKind};
use sheet::{PlanSheet, ServerRow};
use store::VmListing;

use crate::{
    backend_server::BackendServer,
    checker::InvariantChecker,
    deployment::{Deployment, TrialServer},
    fault_proxy::{FaultProxy, PLATFORM_SITE, PartitionTable},
    scenario::{LoadKind, ServiceLoad},
    store_server::StoreServer,
};

/// Mean service time of every server.
const SERVICE_MS: f64 = 5.0;

/// Serves the store at `store` and each server of the sheet in `file` at its address, for
/// `length`.
pub(crate) async fn serve(file: &Path, store: SocketAddr, length: Duration) -> eyre::Result<()> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("step=read-sheet peer={}", file.display()))?;
    let sheet = PlanSheet::try_from(text.as_str())?;
    let deployment = Arc::new(Deployment::without_vms(store));
    let partitions = Arc::new(PartitionTable::default());
    let open_proxy = |listen_address, target_address| {
        FaultProxy::open(
            listen_address,
            target_address,
            PLATFORM_SITE,
            deployment.clone(),
            partitions.clone(),
            Duration::ZERO,
        )
    };
    let listing = |name: &model::VmName| VmListing { name: name.clone(), is_leaving: false };
    let platform = StoreServer::new(sheet.vms.keys().map(listing).collect());
    open_proxy(store, platform.serve().await?).await?;
    println!("event=stand-in-started kind=store address={store}");
    let checker = Arc::new(InvariantChecker::new());
    for (idx, row) in sheet.servers.values().enumerate() {
        let server = BackendServer::new(trial_server(&sheet, row), checker.clone(), idx as u64);
        open_proxy(row.address, server.serve().await?).await?;
        println!("event=stand-in-started kind=server name={} address={}", row.name, row.address);
    }
    tokio::time::sleep(length).await;
    Ok(())
}

fn trial_server(sheet: &PlanSheet, row: &ServerRow) -> TrialServer {
    let kind = sheet.services.get(&row.service).map(|it| it.kind);
    let (kind, check) = match kind {
        Some(ServiceKind::Keyed { check, .. }) => (LoadKind::Keyed, check),
        _ => (LoadKind::Shared, OwnerCheck::None),
    };
    let load = ServiceLoad::from_server_row(row, kind, check, SERVICE_MS);
    TrialServer { name: row.name.to_string(), domain: 0, address: row.address, load }
}
