//! Reading single cells; each failure becomes an error with its line and column.

use std::{collections::BTreeMap, fmt::Display, str::FromStr};

use csv::StringRecord;
use model::{InvalidValue, WallTime};

use crate::SheetError;

/// The columns of the sheet, in order.
pub(crate) const COLUMNS: [&str; 9] =
    ["kind", "name", "domain", "service", "address", "state", "from", "until", "settings"];

/// One data row with its place in the file.
pub(crate) struct RowCells<'a> {
    line: u64,
    record: &'a StringRecord,
    errors: &'a mut Vec<SheetError>,
}

impl<'a> RowCells<'a> {
    pub(crate) fn new(
        line: u64,
        record: &'a StringRecord,
        errors: &'a mut Vec<SheetError>,
    ) -> Self {
        Self { line, record, errors }
    }

    pub(crate) fn line(&self) -> u64 {
        self.line
    }

    /// Text of a column, trimmed; empty when the row is short.
    pub(crate) fn text(&self, column: &'static str) -> &'a str {
        let idx = column_index(column);
        self.record.get(idx).unwrap_or("").trim()
    }

    pub(crate) fn fail(&mut self, column: &'static str, message: impl Display) {
        self.errors.push(SheetError {
            line: self.line,
            column: column_index(column) + 1,
            column_name: column,
            message: message.to_string(),
        });
    }

    /// Reads a cell through `TryFrom`.
    pub(crate) fn name<T>(&mut self, column: &'static str) -> Option<T>
    where
        T: for<'t> TryFrom<&'t str, Error = InvalidValue>,
    {
        match T::try_from(self.text(column)) {
            Ok(name) => Some(name),
            Err(err) => {
                self.fail(column, err);
                None
            }
        }
    }

    /// Reads a cell through `FromStr`, naming what is `allowed` on failure.
    pub(crate) fn parse<T: FromStr>(&mut self, column: &'static str, allowed: &str) -> Option<T> {
        let text = self.text(column);
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.fail(column, format!("{text:?} is not allowed: expected {allowed}"));
                None
            }
        }
    }

    /// Reads an RFC 3339 time.
    pub(crate) fn time(&mut self, column: &'static str) -> Option<WallTime> {
        let text = self.text(column);
        let parsed = humantime::parse_rfc3339_weak(text)
            .ok()
            .and_then(|it| it.duration_since(std::time::UNIX_EPOCH).ok());
        if parsed.is_none() {
            self.fail(
                column,
                format!(
                    "{text:?} is not allowed: expected a UTC time such as 2026-12-04T05:00:00Z"
                ),
            );
        }
        parsed.map(|it| WallTime(it.as_secs()))
    }

    /// Reports each named column that should be empty but is not.
    pub(crate) fn expect_empty(&mut self, columns: &[&'static str]) {
        for column in columns {
            let text = self.text(column);
            if !text.is_empty() {
                self.fail(column, format!("{text:?} is not allowed: this kind leaves it empty"));
            }
        }
    }

    /// Splits the settings cell into `key=value` pairs, each key at most once.
    pub(crate) fn settings(&mut self, allowed: &'static [&'static str]) -> RowSettings {
        let mut pairs = BTreeMap::new();
        let text = self.text("settings");
        for part in text.split(';').map(str::trim).filter(|it| !it.is_empty()) {
            match part.split_once('=') {
                Some((key, _)) if !allowed.contains(&key) => {
                    let message =
                        format!("{key:?} is not allowed: expected one of {}", allowed.join(", "));
                    self.fail("settings", message);
                }
                Some((key, _)) if pairs.contains_key(key) => {
                    self.fail("settings", format!("{key:?} is given twice"));
                }
                Some((key, value)) => {
                    pairs.insert(key.to_owned(), value.to_owned());
                }
                None => self.fail("settings", format!("{part:?} is not of the form key=value")),
            }
        }
        RowSettings { pairs }
    }
}

/// The settings cell of one row.
pub(crate) struct RowSettings {
    pairs: BTreeMap<String, String>,
}

impl RowSettings {
    /// Reads one setting, or `default` when it is absent.
    pub(crate) fn get<T: FromStr>(
        &self,
        cells: &mut RowCells<'_>,
        key: &str,
        allowed: &str,
        default: T,
    ) -> Option<T> {
        let Some(text) = self.pairs.get(key) else {
            return Some(default);
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                let message = format!("{key}={text:?} is not allowed: expected {allowed}");
                cells.fail("settings", message);
                None
            }
        }
    }

    /// Reads one setting that must be present.
    pub(crate) fn require<T: FromStr>(
        &self,
        cells: &mut RowCells<'_>,
        key: &str,
        allowed: &str,
    ) -> Option<T> {
        match self.pairs.get(key).map(|it| it.parse()) {
            Some(Ok(value)) => Some(value),
            _ => {
                cells.fail("settings", format!("{key}=... is needed: expected {allowed}"));
                None
            }
        }
    }
}

fn column_index(column: &str) -> usize {
    COLUMNS.iter().position(|it| *it == column).unwrap_or_default()
}
