//! The `dump` command.

use std::{net::SocketAddr, process::ExitCode};

use clap::ArgMatches;
use eyre::WrapErr;
use operator::fetch_dump;
use sheet::{PlanSheet, VmRow};
use store::{HttpStore, PlatformStore, SHEET_KEY, SheetRecord};

use crate::settings_file::CtlSettings;

/// Prints the state of the processes at the given addresses, or of all that the sheet in force
/// lists.
pub(crate) async fn run(matches: &ArgMatches, settings: &CtlSettings) -> eyre::Result<ExitCode> {
    let mut addresses = Vec::new();
    for text in matches.get_many::<String>("address").unwrap_or_default() {
        let address: SocketAddr =
            text.parse().wrap_err_with(|| format!("address {text:?}: expected IP:PORT"))?;
        addresses.push(address);
    }
    if addresses.is_empty() {
        addresses = operator_addresses(settings).await?;
    }
    let mut n_failed = 0;
    for address in &addresses {
        match fetch_dump(*address).await {
            Ok(dump) => println!("{dump}"),
            Err(err) => {
                n_failed += 1;
                eprintln!("event=dump-failed peer={address} cause={:?}", format!("{err:#}"));
            }
        }
    }
    Ok(if n_failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn operator_addresses(settings: &CtlSettings) -> eyre::Result<Vec<SocketAddr>> {
    let store = HttpStore::new(settings.store, settings.local)?;
    let value = store.get(SHEET_KEY).await?.ok_or_else(|| eyre::eyre!("no sheet is in force"))?;
    let record: SheetRecord = serde_json::from_str(&value.value)?;
    let sheet = PlanSheet::try_from(record.text.as_str())?;
    let addresses = |it: &VmRow| it.operator.into_iter().chain(it.planner_operator);
    Ok(sheet.vms.values().flat_map(addresses).collect())
}
