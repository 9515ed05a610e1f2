//! A setting that is not allowed.

use std::{fmt, path::PathBuf};

/// Names the file, the field, its value and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// The settings file.
    pub file: PathBuf,
    /// Path of the field within the file.
    pub field: String,
    /// The rejected value.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl SettingError {
    /// The error for `field` of a file that [`crate::read_file`] names later.
    pub fn new(
        field: impl fmt::Display,
        value: impl fmt::Display,
        allowed: impl fmt::Display,
    ) -> Self {
        Self {
            file: PathBuf::new(),
            field: field.to_string(),
            value: value.to_string(),
            allowed: allowed.to_string(),
        }
    }
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, field, value, allowed } = self;
        write!(f, "file={:?} field={field:?} value={value:?} allowed={allowed:?}", file.display())
    }
}

impl std::error::Error for SettingError {}
