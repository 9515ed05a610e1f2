//! Computes the row-wise differences between two sheets.

use std::{collections::BTreeMap, fmt};

use crate::PlanSheet;

/// One difference between two sheets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SheetChange {
    /// A row that only the newer sheet has.
    Added {
        /// Kind and name of the row, for instance `server q1`.
        row: String,
    },
    /// A row that only the older sheet has.
    Removed {
        /// Kind and name of the row, for instance `server q1`.
        row: String,
    },
    /// A row whose contents differ.
    Changed {
        /// Kind and name of the row, for instance `server q1`.
        row: String,
        /// Contents of the row in the older sheet.
        before: String,
        /// Contents of the row in the newer sheet.
        after: String,
    },
}

impl fmt::Display for SheetChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { row } => write!(f, "+ {row}"),
            Self::Removed { row } => write!(f, "- {row}"),
            Self::Changed { row, before, after } => write!(f, "~ {row}: {before} -> {after}"),
        }
    }
}

/// Lists the changes from `before` to `after`, grouped by kind of row: first removed and changed
/// rows by name, then added rows by name. Planned stops come last, in the order of their sheets; a
/// changed stop is listed as removed and added.
pub fn diff(before: &PlanSheet, after: &PlanSheet) -> Vec<SheetChange> {
    let mut changes = Vec::new();
    diff_rows("domain", &before.domains, &after.domains, &mut changes);
    diff_rows("vm", &before.vms, &after.vms, &mut changes);
    diff_rows("service", &before.services, &after.services, &mut changes);
    diff_rows("server", &before.servers, &after.servers, &mut changes);
    diff_stops(before, after, &mut changes);
    changes
}

fn diff_rows<K: Ord + fmt::Display, V: PartialEq + fmt::Debug>(
    kind: &str,
    before: &BTreeMap<K, V>,
    after: &BTreeMap<K, V>,
    changes: &mut Vec<SheetChange>,
) {
    for (name, old) in before {
        let row = format!("{kind} {name}");
        match after.get(name) {
            None => changes.push(SheetChange::Removed { row }),
            Some(new) if new != old => changes.push(SheetChange::Changed {
                row,
                before: format!("{old:?}"),
                after: format!("{new:?}"),
            }),
            Some(_) => (),
        }
    }
    for name in after.keys().filter(|it| !before.contains_key(it)) {
        changes.push(SheetChange::Added { row: format!("{kind} {name}") });
    }
}

fn diff_stops(before: &PlanSheet, after: &PlanSheet, changes: &mut Vec<SheetChange>) {
    let describe =
        |it: &crate::StopRow| format!("stop {:?} {}-{}", it.target, it.from.0, it.until.0);
    for stop in before.stops.iter().filter(|it| !after.stops.contains(it)) {
        changes.push(SheetChange::Removed { row: describe(stop) });
    }
    for stop in after.stops.iter().filter(|it| !before.stops.contains(it)) {
        changes.push(SheetChange::Added { row: describe(stop) });
    }
}
