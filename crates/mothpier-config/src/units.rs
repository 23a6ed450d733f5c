//! Parses and formats durations and sizes with their units.

use std::time::Duration;

use bytesize::ByteSize;

/// Why a quantity with a unit is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnitError {
    /// The unit is missing or unknown.
    Unit(String),
    /// The value is negative or too large.
    Range(String),
}

/// Parses a duration: `750ms`, `1.5s`, `1m 30s`.
///
/// # Errors
///
/// Fails if the unit is missing or unknown, or if the value is negative or does not fit into a [`Duration`].
pub fn parse_duration(text: &str) -> Result<Duration, UnitError> {
    if text.trim_start().starts_with('-') {
        return Err(UnitError::Range(format!("{text:?} is negative")));
    }
    match humantime::parse_duration(text) {
        Ok(time) => Ok(time),
        Err(humantime::DurationError::NumberOverflow) => {
            Err(UnitError::Range(format!("{text:?} is too long")))
        }
        Err(e) => Err(UnitError::Unit(format!("{text:?} is not a duration: {e}"))),
    }
}

/// Parses a size in bytes: `64 MiB`, `64MB` (of 1,000,000 bytes), `512 KiB`.
///
/// # Errors
///
/// Fails if the unit is missing or unknown, or if the value is negative or above 2^53 bytes.
pub fn parse_size(text: &str) -> Result<u64, UnitError> {
    if text.trim_start().starts_with('-') {
        return Err(UnitError::Range(format!("{text:?} is negative")));
    }
    if text.trim().bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return Err(UnitError::Unit(format!("{text:?} has no unit")));
    }
    let size: ByteSize =
        text.trim().parse().map_err(|e| UnitError::Unit(format!("{text:?} is not a size: {e}")))?;
    if size.as_u64() > 1 << 53 {
        return Err(UnitError::Range(format!("{text:?} is too large")));
    }
    Ok(size.as_u64())
}

/// Formats a duration in the largest unit that divides it.
pub fn format_duration(time: Duration) -> String {
    let us = time.as_micros();
    match us {
        0 => "0ms".into(),
        _ if us.is_multiple_of(1_000_000) => format!("{}s", us / 1_000_000),
        _ if us.is_multiple_of(1_000) => format!("{}ms", us / 1_000),
        _ => format!("{us}us"),
    }
}

/// Formats a size in the largest unit that divides it.
pub fn format_size(bytes: u64) -> String {
    match bytes {
        _ if bytes > 0 && bytes.is_multiple_of(1 << 20) => format!("{} MiB", bytes >> 20),
        _ if bytes > 0 && bytes.is_multiple_of(1 << 10) => format!("{} KiB", bytes >> 10),
        _ => format!("{bytes} B"),
    }
}

#[cfg(test)]
mod tests;
