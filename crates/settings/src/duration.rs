//! Durations as text: a number and its unit.

use std::time::Duration;

use model::InvalidValue;

/// Longest duration that can be parsed, in seconds.
const MAX_SECONDS: f64 = 1.0e9;

/// Parses a duration such as `1500ms` or `2.5s`.
///
/// # Errors
/// When the text has neither form, or the duration is negative or longer than 1e9 seconds.
pub fn parse_duration(text: &str) -> Result<Duration, InvalidValue> {
    let invalid = || InvalidValue::new("time", text, "a number with its unit, ms or s");
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0e-3),
        None => (text.strip_suffix('s').ok_or_else(invalid)?, 1.0),
    };
    let seconds = number.parse::<f64>().map_err(|_| invalid())? * unit;
    match (0.0..=MAX_SECONDS).contains(&seconds) {
        true => Ok(Duration::from_secs_f64(seconds)),
        false => Err(invalid()),
    }
}
