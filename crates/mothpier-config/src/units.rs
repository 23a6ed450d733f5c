//! Times and sizes with their units, as people write them and as they are shown again.

use std::time::Duration;

use bytesize::ByteSize;

/// Why a figure with a unit can't be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// It has no unit, or one that does not fit.
    Unit(String),
    /// It is below zero or beyond what is kept.
    Range(String),
}

/// A time: `750ms`, `1.5s`, `1m 30s`.
///
/// # Errors
///
/// A text without a unit, with an unknown one, below zero or beyond what a clock keeps.
pub fn time(text: &str) -> Result<Duration, Wrong> {
    if text.trim_start().starts_with('-') {
        return Err(Wrong::Range(format!("{text:?} is below zero")));
    }
    match humantime::parse_duration(text) {
        Ok(time) => Ok(time),
        Err(humantime::DurationError::NumberOverflow) => {
            Err(Wrong::Range(format!("{text:?} is beyond every clock")))
        }
        Err(e) => Err(Wrong::Unit(format!("{text:?} is no time: {e}"))),
    }
}

/// A size in bytes: `64 MiB`, `64MB` (of 1,000,000), `512 KiB`.
///
/// # Errors
///
/// A text without a unit, with an unknown one, below zero or beyond 2^53 bytes.
pub fn size(text: &str) -> Result<u64, Wrong> {
    if text.trim_start().starts_with('-') {
        return Err(Wrong::Range(format!("{text:?} is below zero")));
    }
    if text.trim().bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return Err(Wrong::Unit(format!("{text:?} has no unit")));
    }
    let size: ByteSize = text.trim().parse().map_err(|e| Wrong::Unit(format!("{text:?} is no size: {e}")))?;
    if size.as_u64() > 1 << 53 {
        return Err(Wrong::Range(format!("{text:?} is beyond every memory")));
    }
    Ok(size.as_u64())
}

/// A time as it is shown: the largest unit that leaves no rest.
pub fn show_time(time: Duration) -> String {
    let us = time.as_micros();
    match us {
        0 => "0ms".into(),
        _ if us.is_multiple_of(1_000_000) => format!("{}s", us / 1_000_000),
        _ if us.is_multiple_of(1_000) => format!("{}ms", us / 1_000),
        _ => format!("{us}us"),
    }
}

/// A size as it is shown.
pub fn show_size(bytes: u64) -> String {
    match bytes {
        _ if bytes > 0 && bytes.is_multiple_of(1 << 20) => format!("{} MiB", bytes >> 20),
        _ if bytes > 0 && bytes.is_multiple_of(1 << 10) => format!("{} KiB", bytes >> 10),
        _ => format!("{bytes} B"),
    }
}

#[cfg(test)]
mod tests;
