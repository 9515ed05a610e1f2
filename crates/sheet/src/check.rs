//! Checks that need more than one cell: references between rows, duplicate addresses and limits
//! that depend on each other.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    net::SocketAddr,
};

use crate::{PlanSheet, SheetError, StopTarget, cells::COLUMNS, parse::RowLines};

pub(crate) fn check_references(sheet: &PlanSheet, lines: &RowLines, errors: &mut Vec<SheetError>) {
    for vm in sheet.vms.values() {
        if !sheet.domains.contains_key(&vm.domain) {
            let line = lines.line_of("vm", vm.name.as_str());
            errors.push(error(line, "domain", format!("no domain row for {}", vm.domain)));
        }
    }
    for server in sheet.servers.values() {
        let line = lines.line_of("server", server.name.as_str());
        if !sheet.domains.contains_key(&server.domain) {
            errors.push(error(line, "domain", format!("no domain row for {}", server.domain)));
        }
        if !sheet.services.contains_key(&server.service) {
            errors.push(error(line, "service", format!("no service row for {}", server.service)));
        }
        if server.cold_slots > server.slots {
            let message = format!(
                "cold-slots={} is not allowed: expected at most slots={}",
                server.cold_slots, server.slots
            );
            errors.push(error(line, "settings", message));
        }
    }
    for (stop, line) in sheet.stops.iter().zip(&lines.stops) {
        let is_missing = match &stop.target {
            StopTarget::Domain(name) => !sheet.domains.contains_key(name),
            StopTarget::Vm(name) => !sheet.vms.contains_key(name),
            StopTarget::Server(name) => !sheet.servers.contains_key(name),
        };
        if is_missing {
            errors.push(error(
                *line,
                "name",
                "no row of the target's kind has this name".to_owned(),
            ));
        }
    }
    check_addresses(sheet, lines, errors);
    check_not_empty(sheet, errors);
}

fn check_addresses(sheet: &PlanSheet, lines: &RowLines, errors: &mut Vec<SheetError>) {
    let mut used: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    let mut record_address =
        |address: SocketAddr, line: u64, column: &'static str| match used.entry(address) {
            Entry::Occupied(entry) => {
                let message = format!("{address} is already used on line {}", entry.get());
                errors.push(error(line, column, message));
            }
            Entry::Vacant(entry) => {
                entry.insert(line);
            }
        };
    for vm in sheet.vms.values() {
        let line = lines.line_of("vm", vm.name.as_str());
        record_address(vm.router, line, "address");
        record_address(vm.planner, line, "settings");
        for operator in vm.operator.into_iter().chain(vm.planner_operator) {
            record_address(operator, line, "settings");
        }
    }
    for server in sheet.servers.values() {
        record_address(server.address, lines.line_of("server", server.name.as_str()), "address");
    }
}

fn check_not_empty(sheet: &PlanSheet, errors: &mut Vec<SheetError>) {
    if sheet.domains.is_empty() && errors.is_empty() {
        errors.push(error(1, "kind", "the sheet lists no domain".to_owned()));
    }
}

fn error(line: u64, column: &'static str, message: String) -> SheetError {
    let idx = COLUMNS.iter().position(|it| *it == column).unwrap_or_default();
    SheetError { line, column: idx + 1, column_name: column, message }
}
