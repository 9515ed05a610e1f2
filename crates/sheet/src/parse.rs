//! Parses the CSV text into rows.

use std::{collections::BTreeMap, fmt, time::Duration};

use csv::{ReaderBuilder, StringRecord};
use model::{OwnerCheck, ServiceKind, ServiceSpec};

use crate::{
    DomainRow, PlanSheet, PresenceState, ServerRow, StopRow, StopTarget, VmRow,
    cells::{COLUMNS, RowCells},
    check::check_references,
};

const DEFAULT_DEADLINE_MS: u64 = 1_000;
const MAX_DEADLINE_MS: u64 = 60_000;
const DEFAULT_SLICE_BITS: u8 = 6;
const MAX_SLICE_BITS: u8 = 16;
const DEFAULT_SLOTS: u32 = 4;
const DEFAULT_CONNECTIONS: u32 = 64;
const DEFAULT_COLD_SLOTS: u32 = 1;
const DEFAULT_WARM_MS: u64 = 2_000;
const MAX_SLOTS: u32 = 4_096;
const MAX_CONNECTIONS: u32 = 65_536;
const MAX_WARM_MS: u64 = 600_000;
const PRESENCE_VALUES: &str = "in or out";

/// One error in a sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetError {
    /// Line in the file, counted from 1; 0 when the CSV reader cannot tell.
    pub line: u64,
    /// Column in the table, counted from 1.
    pub column: usize,
    /// Name of that column in the header row.
    pub column_name: &'static str,
    /// What is wrong, and what is allowed instead.
    pub message: String,
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, column, column_name, message } = self;
        write!(f, "line {line} column {column} ({column_name}): {message}")
    }
}

/// All errors of a rejected sheet, in the order of lines and columns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetErrors(pub Vec<SheetError>);

impl fmt::Display for SheetErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (idx, err) in self.0.iter().enumerate() {
            let separator = if idx == 0 { "" } else { "\n" };
            write!(f, "{separator}{err}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SheetErrors {}

impl TryFrom<&str> for PlanSheet {
    type Error = SheetErrors;

    fn try_from(text: &str) -> Result<Self, SheetErrors> {
        let mut errors = Vec::new();
        let mut sheet = PlanSheet::default();
        let mut lines = RowLines::default();
        read_rows(text, &mut sheet, &mut lines, &mut errors);
        check_references(&sheet, &lines, &mut errors);
        errors.sort_by_key(|it| (it.line, it.column));
        match errors.is_empty() {
            true => Ok(sheet),
            false => Err(SheetErrors(errors)),
        }
    }
}

/// Line of each accepted row by kind and name, and of each planned stop by its index.
#[derive(Default)]
pub(crate) struct RowLines {
    pub(crate) rows: BTreeMap<(&'static str, String), u64>,
    pub(crate) stops: Vec<u64>,
}

impl RowLines {
    /// Returns the line of a row, or 0 when there is no such row.
    pub(crate) fn line_of(&self, kind: &'static str, name: &str) -> u64 {
        self.rows.get(&(kind, name.to_owned())).copied().unwrap_or_default()
    }
}

fn read_rows(
    text: &str,
    sheet: &mut PlanSheet,
    lines: &mut RowLines,
    errors: &mut Vec<SheetError>,
) {
    let mut reader = ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .comment(Some(b'#'))
        .from_reader(text.as_bytes());
    let mut has_header = false;
    for record in reader.records() {
        match record {
            Ok(record) if !has_header => {
                has_header = true;
                check_header(&record, errors);
            }
            Ok(record) => {
                let line = record.position().map_or(0, |it| it.line());
                read_row(RowCells::new(line, &record, errors), sheet, lines);
            }
            Err(err) => {
                let line = err.position().map_or(0, |it| it.line());
                errors.push(structural_error(line, err));
            }
        }
    }
    if !has_header {
        errors.push(structural_error(1, "the sheet is empty"));
    }
}

fn check_header(record: &StringRecord, errors: &mut Vec<SheetError>) {
    let is_expected = record.iter().map(str::trim).eq(COLUMNS);
    if !is_expected {
        let message = format!("the header row must be {}", COLUMNS.join(","));
        errors.push(structural_error(record.position().map_or(1, |it| it.line()), message));
    }
}

fn structural_error(line: u64, message: impl fmt::Display) -> SheetError {
    SheetError { line, column: 1, column_name: COLUMNS[0], message: message.to_string() }
}

fn read_row(mut cells: RowCells<'_>, sheet: &mut PlanSheet, lines: &mut RowLines) {
    match cells.text("kind") {
        "domain" => {
            if let Some(row) = read_domain(&mut cells) {
                insert_row(&mut cells, lines, "domain", &mut sheet.domains, row.name.clone(), row);
            }
        }
        "vm" => {
            if let Some(row) = read_vm(&mut cells) {
                insert_row(&mut cells, lines, "vm", &mut sheet.vms, row.name.clone(), row);
            }
        }
        "service" => {
            if let Some(row) = read_service(&mut cells) {
                insert_row(
                    &mut cells,
                    lines,
                    "service",
                    &mut sheet.services,
                    row.name.clone(),
                    row,
                );
            }
        }
        "server" => {
            if let Some(row) = read_server(&mut cells) {
                insert_row(&mut cells, lines, "server", &mut sheet.servers, row.name.clone(), row);
            }
        }
        "stop-domain" | "stop-vm" | "stop-server" => {
            if let Some(row) = read_stop(&mut cells) {
                lines.stops.push(cells.line());
                sheet.stops.push(row);
            }
        }
        kind => {
            let message = format!(
                "{kind:?} is not allowed: expected domain, vm, service, server, stop-domain, \
                 stop-vm or stop-server"
            );
            cells.report_error("kind", message);
        }
    }
}

/// Stores a parsed row, or reports an error if its kind already has a row of that name.
fn insert_row<K: Ord + fmt::Display, V>(
    cells: &mut RowCells<'_>,
    lines: &mut RowLines,
    kind: &'static str,
    rows: &mut BTreeMap<K, V>,
    name: K,
    row: V,
) {
    let row_key = (kind, name.to_string());
    match lines.rows.get(&row_key) {
        Some(first_line) => {
            let message = format!("{kind} {name} is already defined on line {first_line}");
            cells.report_error("name", message);
        }
        None => {
            lines.rows.insert(row_key, cells.line());
            rows.insert(name, row);
        }
    }
}

fn read_domain(cells: &mut RowCells<'_>) -> Option<DomainRow> {
    cells.expect_empty(&["domain", "service", "address", "from", "until", "settings"]);
    let name = cells.parse_name("name");
    let state = cells.parse::<PresenceState>("state", PRESENCE_VALUES);
    Some(DomainRow { name: name?, state: state? })
}

fn read_vm(cells: &mut RowCells<'_>) -> Option<VmRow> {
    cells.expect_empty(&["service", "from", "until"]);
    let name = cells.parse_name("name");
    let domain = cells.parse_name("domain");
    let router = cells.parse("address", "IP:PORT");
    let state = cells.parse::<PresenceState>("state", PRESENCE_VALUES);
    let settings = cells.parse_settings(&["planner", "operator", "planner-operator"]);
    let planner = settings.require(cells, "planner", "IP:PORT");
    let operator = settings.get(cells, "operator", "IP:PORT", OptionalAddress(None));
    let planner_operator =
        settings.get(cells, "planner-operator", "IP:PORT", OptionalAddress(None));
    Some(VmRow {
        name: name?,
        domain: domain?,
        router: router?,
        planner: planner?,
        operator: operator?.0,
        planner_operator: planner_operator?.0,
        state: state?,
    })
}

/// An address setting whose default is none.
struct OptionalAddress(Option<std::net::SocketAddr>);

impl std::str::FromStr for OptionalAddress {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(Some(text.parse()?)))
    }
}

fn read_service(cells: &mut RowCells<'_>) -> Option<ServiceSpec> {
    cells.expect_empty(&["domain", "service", "address", "state", "from", "until"]);
    let name = cells.parse_name("name");
    let settings =
        cells.parse_settings(&["kind", "slice-bits", "check", "idempotent", "deadline-ms"]);
    let kind = settings.require::<String>(cells, "kind", "keyed or shared");
    let bits = settings.get(cells, "slice-bits", "0 to 16", DEFAULT_SLICE_BITS);
    let check = settings.get(cells, "check", "token or none", OwnerCheck::Token);
    let methods = settings.get(cells, "idempotent", "METHOD|METHOD", String::new());
    let deadline = settings.get(cells, "deadline-ms", "1 to 60000", DEFAULT_DEADLINE_MS);
    let deadline = deadline.filter(|it| check_range(cells, "deadline-ms", *it, 1, MAX_DEADLINE_MS));
    let bits = bits.filter(|it| check_range(cells, "slice-bits", *it, 0, MAX_SLICE_BITS));
    let check = check?;
    let kind = match kind?.as_str() {
        "keyed" => ServiceKind::Keyed { slice_bits: bits?, check },
        "shared" => ServiceKind::Shared,
        other => {
            let message = format!("kind={other:?} is not allowed: expected keyed or shared");
            cells.report_error("settings", message);
            return None;
        }
    };
    let methods = methods?;
    let idempotent_methods =
        methods.split('|').filter(|it| !it.is_empty()).map(str::to_owned).collect();
    Some(ServiceSpec {
        name: name?,
        kind,
        idempotent_methods,
        deadline: Duration::from_millis(deadline?),
    })
}

fn read_server(cells: &mut RowCells<'_>) -> Option<ServerRow> {
    cells.expect_empty(&["from", "until"]);
    let name = cells.parse_name("name");
    let domain = cells.parse_name("domain");
    let service = cells.parse_name("service");
    let address = cells.parse("address", "IP:PORT");
    let state = cells.parse::<PresenceState>("state", PRESENCE_VALUES);
    let settings = cells.parse_settings(&["slots", "connections", "cold-slots", "warm-ms"]);
    let slots = settings.get(cells, "slots", "a number from 1", DEFAULT_SLOTS);
    let slots = slots.filter(|it| check_range(cells, "slots", *it, 1, MAX_SLOTS));
    let connections = settings.get(cells, "connections", "a number from 1", DEFAULT_CONNECTIONS);
    let connections =
        connections.filter(|it| check_range(cells, "connections", *it, 1, MAX_CONNECTIONS));
    let cold_slots = settings.get(cells, "cold-slots", "a number from 1", DEFAULT_COLD_SLOTS);
    let cold_slots = cold_slots.filter(|it| check_range(cells, "cold-slots", *it, 1, MAX_SLOTS));
    let warm = settings.get(cells, "warm-ms", "0 to 600000", DEFAULT_WARM_MS);
    let warm = warm.filter(|it| check_range(cells, "warm-ms", *it, 0, MAX_WARM_MS));
    Some(ServerRow {
        name: name?,
        domain: domain?,
        service: service?,
        address: address?,
        state: state?,
        slots: slots?,
        connections: connections?,
        cold_slots: cold_slots?,
        warm_after: Duration::from_millis(warm?),
    })
}

fn read_stop(cells: &mut RowCells<'_>) -> Option<StopRow> {
    cells.expect_empty(&["domain", "service", "address", "state", "settings"]);
    let target = match cells.text("kind") {
        "stop-domain" => cells.parse_name("name").map(StopTarget::Domain),
        "stop-vm" => cells.parse_name("name").map(StopTarget::Vm),
        _ => cells.parse_name("name").map(StopTarget::Server),
    };
    let from = cells.parse_time("from");
    let until = cells.parse_time("until");
    let (from, until) = (from?, until?);
    if until <= from {
        cells.report_error("until", "the stop must end after it starts");
        return None;
    }
    Some(StopRow { target: target?, from, until })
}

/// Reports an error and returns false unless `value` lies in `low..=high`.
fn check_range<T: PartialOrd + fmt::Display>(
    cells: &mut RowCells<'_>,
    key: &str,
    value: T,
    low: T,
    high: T,
) -> bool {
    let is_in_range = low <= value && value <= high;
    if !is_in_range {
        cells.report_error(
            "settings",
            format!("{key}={value} is not allowed: expected {low} to {high}"),
        );
    }
    is_in_range
}
