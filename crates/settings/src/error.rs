//! The error of an invalid setting.

use std::{fmt, path::PathBuf};

/// Error about one setting: the file, the field, its value and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// Path of the settings file; empty until [`crate::read_file`] fills it in.
    pub file: PathBuf,
    /// Path of the field within the file, such as `log.level`.
    pub field: String,
    /// Rejected value as text.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl SettingError {
    /// Creates the error for `field`; [`crate::read_file`] adds the path of the file.
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
