//! Reads single cells; each failure becomes a [`SheetError`] with its line and column.

use std::{collections::BTreeMap, fmt::Display, str::FromStr};

use csv::StringRecord;
use model::{InvalidValue, WallTime};

use crate::SheetError;

/// The columns of the sheet, in order.
pub(crate) const COLUMNS: [&str; 9] =
    ["kind", "name", "domain", "service", "address", "state", "from", "until", "settings"];

/// One data row, its line in the file, and the list that collects its errors.
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

    /// Returns the trimmed text of a column, or an empty string when the row has fewer cells.
    pub(crate) fn text(&self, column: &'static str) -> &'a str {
        let idx = column_index(column);
        self.record.get(idx).unwrap_or("").trim()
    }

    /// Adds an error about one cell of this row.
    pub(crate) fn report_error(&mut self, column: &'static str, message: impl Display) {
        self.errors.push(SheetError {
            line: self.line,
            column: column_index(column) + 1,
            column_name: column,
            message: message.to_string(),
        });
    }

    /// Parses a cell through `TryFrom`, whose error says what is allowed.
    pub(crate) fn parse_name<T>(&mut self, column: &'static str) -> Option<T>
    where
        T: for<'t> TryFrom<&'t str, Error = InvalidValue>,
    {
        match T::try_from(self.text(column)) {
            Ok(name) => Some(name),
            Err(err) => {
                self.report_error(column, err);
                None
            }
        }
    }

    /// Parses a cell through `FromStr`; an error says that `allowed` was expected.
    pub(crate) fn parse<T: FromStr>(&mut self, column: &'static str, allowed: &str) -> Option<T> {
        let text = self.text(column);
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.report_error(column, format!("{text:?} is not allowed: expected {allowed}"));
                None
            }
        }
    }

    /// Parses an RFC 3339 time; fractions of a second are cut off.
    pub(crate) fn parse_time(&mut self, column: &'static str) -> Option<WallTime> {
        let text = self.text(column);
        let parsed = humantime::parse_rfc3339_weak(text)
            .ok()
            .and_then(|it| it.duration_since(std::time::UNIX_EPOCH).ok());
        if parsed.is_none() {
            self.report_error(
                column,
                format!(
                    "{text:?} is not allowed: expected a UTC time such as 2026-12-04T05:00:00Z"
                ),
            );
        }
        parsed.map(|it| WallTime(it.as_secs()))
    }

    /// Reports an error for each of `columns` that is not empty.
    pub(crate) fn expect_empty(&mut self, columns: &[&'static str]) {
        for column in columns {
            let text = self.text(column);
            if !text.is_empty() {
                self.report_error(
                    column,
                    format!(
                        "{text:?} is not allowed: expected an empty cell in a row of this kind"
                    ),
                );
            }
        }
    }

    /// Splits the settings cell into `key=value` pairs; each key may appear once and must be one
    /// of `allowed`.
    pub(crate) fn parse_settings(&mut self, allowed: &'static [&'static str]) -> RowSettings {
        let mut pairs = BTreeMap::new();
        let text = self.text("settings");
        for pair in text.split(';').map(str::trim).filter(|it| !it.is_empty()) {
            match pair.split_once('=') {
                Some((key, _)) if !allowed.contains(&key) => {
                    let message =
                        format!("{key:?} is not allowed: expected one of {}", allowed.join(", "));
                    self.report_error("settings", message);
                }
                Some((key, _)) if pairs.contains_key(key) => {
                    self.report_error("settings", format!("{key:?} is given twice"));
                }
                Some((key, value)) => {
                    pairs.insert(key.to_owned(), value.to_owned());
                }
                None => {
                    self.report_error("settings", format!("{pair:?} is not of the form key=value"))
                }
            }
        }
        RowSettings { pairs }
    }
}

/// The `key=value` pairs of one row's settings cell.
pub(crate) struct RowSettings {
    pairs: BTreeMap<String, String>,
}

impl RowSettings {
    /// Parses one setting, or returns `default` when it is absent.
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
                cells.report_error("settings", message);
                None
            }
        }
    }

    /// Parses one setting that must be present.
    pub(crate) fn require<T: FromStr>(
        &self,
        cells: &mut RowCells<'_>,
        key: &str,
        allowed: &str,
    ) -> Option<T> {
        match self.pairs.get(key).map(|it| it.parse()) {
            Some(Ok(value)) => Some(value),
            _ => {
                cells
                    .report_error("settings", format!("{key}=... is required: expected {allowed}"));
                None
            }
        }
    }
}

fn column_index(column: &str) -> usize {
    COLUMNS.iter().position(|it| *it == column).unwrap_or_default()
}
