//! The `sheet` commands.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use clap::ArgMatches;
use eyre::WrapErr;
use sheet::{PlanSheet, diff};
use store::{
    ApplyOutcome, HttpStore, PlatformStore, SHEET_KEY, SheetRecord, apply_sheet, sheet_history_key,
};

use crate::{EXIT_REJECTED, settings_file::CtlSettings};

/// Number of accepted sheets that `history` lists.
const HISTORY_LENGTH: u64 = 20;

/// Validates a sheet and prints a summary of it, or all its errors.
pub(crate) fn check(matches: &ArgMatches) -> eyre::Result<ExitCode> {
    let file = sheet_file(matches)?;
    Ok(match load_sheet(&file)? {
        Some((_, sheet)) => {
            println!(
                "event=sheet-allowed domains={} vms={} services={} servers={} stops={}",
                sheet.domains.len(),
                sheet.vms.len(),
                sheet.services.len(),
                sheet.servers.len(),
                sheet.stops.len()
            );
            ExitCode::SUCCESS
        }
        None => ExitCode::from(EXIT_REJECTED),
    })
}

/// Runs a `sheet` command that needs the store.
pub(crate) async fn run(matches: &ArgMatches, settings: &CtlSettings) -> eyre::Result<ExitCode> {
    let store = HttpStore::new(settings.store, settings.local)?;
    match matches.subcommand() {
        Some(("diff", matches)) => show_diff(matches, &store).await,
        Some(("apply", matches)) => apply(matches, &store).await,
        Some(("show", matches)) => show(matches, &store).await,
        Some(("history", _)) => history(&store).await,
        _ => Err(eyre::eyre!("no sheet command given; see --help")),
    }
}

async fn show_diff(matches: &ArgMatches, store: &HttpStore) -> eyre::Result<ExitCode> {
    let file = sheet_file(matches)?;
    let Some((_, new)) = load_sheet(&file)? else {
        return Ok(ExitCode::from(EXIT_REJECTED));
    };
    let in_force = read_in_force(store).await?;
    // Revision 0 means that no sheet has been applied.
    let revision = in_force.as_ref().map_or(0, |it| it.revision);
    println!("event=diff from={revision}");
    print_diff(&parse_or_empty(in_force.as_ref()), &new);
    Ok(ExitCode::SUCCESS)
}

async fn apply(matches: &ArgMatches, store: &HttpStore) -> eyre::Result<ExitCode> {
    let file = sheet_file(matches)?;
    let Some((text, new)) = load_sheet(&file)? else {
        return Ok(ExitCode::from(EXIT_REJECTED));
    };
    let base_revision = matches.get_one::<u64>("from").copied().unwrap_or_default();
    let author = matches.get_one::<String>("author").cloned().unwrap_or_default();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let record = SheetRecord {
        revision: base_revision + 1,
        attempt: attempt_id(&author, since_epoch),
        author,
        applied_at: since_epoch.as_secs(),
        text,
    };
    match apply_sheet(store, record).await {
        ApplyOutcome::Accepted(revision) => {
            println!("event=sheet-accepted revision={revision}");
            Ok(ExitCode::SUCCESS)
        }
        ApplyOutcome::Superseded(in_force) => {
            let SheetRecord { revision, author, applied_at, .. } = &*in_force;
            eprintln!(
                "event=sheet-superseded planned_from={base_revision} in_force={revision} author={author} \
                 applied_at={applied_at}"
            );
            eprintln!("changes from the sheet in force to the sheet in the file:");
            print_diff(&parse_or_empty(Some(&in_force)), &new);
            Ok(ExitCode::from(EXIT_REJECTED))
        }
        ApplyOutcome::NotApplied(err) => {
            eprintln!("event=sheet-not-applied {err}");
            Ok(ExitCode::FAILURE)
        }
        ApplyOutcome::Unknown(err) => {
            eprintln!("event=sheet-outcome-unknown {err}");
            Ok(ExitCode::FAILURE)
        }
    }
}

async fn show(matches: &ArgMatches, store: &HttpStore) -> eyre::Result<ExitCode> {
    let record = match matches.get_one::<u64>("revision") {
        Some(revision) => read_record(store, &sheet_history_key(*revision)).await?,
        None => read_in_force(store).await?,
    };
    match record {
        Some(record) => {
            let SheetRecord { revision, author, applied_at, text, .. } = &record;
            println!("# revision={revision} author={author} applied_at={applied_at}");
            print!("{text}");
            Ok(ExitCode::SUCCESS)
        }
        None => Err(eyre::eyre!(
            "the store has no such sheet: none was applied, or the history lacks this revision"
        )),
    }
}

async fn history(store: &HttpStore) -> eyre::Result<ExitCode> {
    let newest = read_in_force(store).await?.map_or(0, |it| it.revision);
    for revision in (1..=newest).rev().take(HISTORY_LENGTH as usize) {
        match read_record(store, &sheet_history_key(revision)).await? {
            Some(it) => {
                println!("revision={revision} author={} applied_at={}", it.author, it.applied_at);
            }
            // The entry is written after its sheet was accepted, and that write may have failed.
            None => println!("revision={revision} missing=true"),
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn read_in_force(store: &HttpStore) -> eyre::Result<Option<SheetRecord>> {
    read_record(store, SHEET_KEY).await
}

async fn read_record(store: &HttpStore, key: &str) -> eyre::Result<Option<SheetRecord>> {
    let Some(value) = store.get(key).await? else {
        return Ok(None);
    };
    let record = serde_json::from_str(&value.value);
    record.map(Some).wrap_err_with(|| format!("step=decode-sheet peer={key}"))
}

/// Parses the sheet of `record`; an absent or invalid one counts as empty, so that a diff lists all
/// rows of the other sheet. `apply_sheet` reports an empty text while no sheet is in force.
fn parse_or_empty(record: Option<&SheetRecord>) -> PlanSheet {
    record.and_then(|it| PlanSheet::try_from(it.text.as_str()).ok()).unwrap_or_default()
}

fn print_diff(before: &PlanSheet, after: &PlanSheet) {
    for change in diff(before, after) {
        println!("{change}");
    }
}

fn sheet_file(matches: &ArgMatches) -> eyre::Result<PathBuf> {
    let file = matches.get_one::<PathBuf>("file").cloned();
    file.ok_or_else(|| eyre::eyre!("no sheet file given"))
}

/// Reads and validates a sheet; prints its errors and returns `None` if there are any.
fn load_sheet(file: &Path) -> eyre::Result<Option<(String, PlanSheet)>> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("step=read-sheet peer={}", file.display()))?;
    match PlanSheet::try_from(text.as_str()) {
        Ok(sheet) => Ok(Some((text, sheet))),
        Err(errors) => {
            for err in &errors.0 {
                eprintln!("{}: {err}", file.display());
            }
            eprintln!("event=sheet-rejected errors={}", errors.0.len());
            Ok(None)
        }
    }
}

/// Id that is unique to this invocation, so that after an unconfirmed write a read-back recognizes
/// the record that this invocation wrote.
fn attempt_id(author: &str, since_epoch: Duration) -> String {
    format!("{author}-{}-{}", std::process::id(), since_epoch.as_nanos())
}
