//! Stand-ins of the platform and the backend servers of a sheet, for a start by hand.

use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use eyre::WrapErr;
use model::{OwnerCheck, ServiceKind};
use sheet::{PlanSheet, ServerRow};
use store::VmListing;

use crate::{
    backend_server::BackendServer,
    deployment::{Deployment, TrialServer},
    gate::{CutBook, Gate, PLATFORM},
    judge::Judge,
    scenario::{LoadKind, ServiceLoad},
    store_server::StoreServer,
};

/// Average time in a slot, in milliseconds.
const SERVICE_MS: f64 = 5.0;

/// Serves the platform at `store` and every server of the sheet in `file`, for `length`.
pub(crate) async fn serve(file: &Path, store: SocketAddr, length: Duration) -> eyre::Result<()> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("step=read-sheet peer={}", file.display()))?;
    let sheet = PlanSheet::try_from(text.as_str())?;
    let net = Arc::new(Deployment::without_vms(store));
    let cuts = Arc::new(CutBook::default());
    let open = |outer, inner| {
        Gate::open(outer, inner, PLATFORM, net.clone(), cuts.clone(), Duration::ZERO)
    };
    let listing = |name: &model::VmName| VmListing { name: name.clone(), is_leaving: false };
    let platform = StoreServer::new(sheet.vms.keys().map(listing).collect());
    open(store, platform.serve().await?).await?;
    println!("event=stand-in-started kind=store address={store}");
    let judge = Arc::new(Judge::new());
    for (idx, row) in sheet.servers.values().enumerate() {
        let server = BackendServer::new(trial_server(&sheet, row), judge.clone(), idx as u64);
        open(row.address, server.serve().await?).await?;
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
    let load = ServiceLoad::of_server(row, kind, check, SERVICE_MS);
    TrialServer { name: row.name.to_string(), domain: 0, address: row.address, load }
}
