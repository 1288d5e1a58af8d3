//! Parsing and formatting of values with units in settings and templates.

use std::time::Duration;

/// Units of durations such as `250ms`, with their length in milliseconds.
const DURATION_UNITS: [(&str, u64); 4] =
    [("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)];
/// Units of sizes such as `64MiB`, with their number of bytes.
const SIZE_UNITS: [(&str, u64); 5] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("TiB", 1 << 40),
    ("B", 1),
];

/// Parses a duration in `ms`, `s`, `min` or `h`.
#[must_use]
pub fn parse_duration(text: &str) -> Option<Duration> {
    parse_scaled(text, &DURATION_UNITS).map(Duration::from_millis)
}

/// Parses a size in `B`, `KiB`, `MiB`, `GiB` or `TiB`; the result is in bytes.
#[must_use]
pub fn parse_size(text: &str) -> Option<u64> {
    parse_scaled(text, &SIZE_UNITS)
}

/// Parses a number of processors such as `2` or `0.25`; the result is in thousandths.
#[must_use]
pub fn parse_processors(text: &str) -> Option<u64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    if part.is_empty() || part.len() > 3 || !is_digits(whole) || !is_digits(part) {
        return None;
    }
    let thousandths: u64 = format!("{part:0<3}").parse().ok()?;
    whole
        .parse::<u64>()
        .ok()?
        .checked_mul(1000)?
        .checked_add(thousandths)
}

/// Parses a percentage such as `20%`; the result is between 0 and 1.
#[must_use]
pub fn parse_share(text: &str) -> Option<f64> {
    let number: f64 = text.strip_suffix('%')?.trim_end().parse().ok()?;
    (0.0..=100.0).contains(&number).then_some(number / 100.0)
}

/// Formats a duration with the largest unit that leaves no remainder.
#[must_use]
pub fn format_duration(duration: Duration) -> String {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let exact_unit = DURATION_UNITS
        .iter()
        .rev()
        .find(|(_, scale)| millis >= *scale && millis.is_multiple_of(*scale));
    let (unit, scale) = exact_unit.unwrap_or(&DURATION_UNITS[0]);
    format!("{}{unit}", millis / scale)
}

/// Formats a size with the largest unit that leaves no remainder.
#[must_use]
pub fn format_size(bytes: u64) -> String {
    let units = [SIZE_UNITS[3], SIZE_UNITS[2], SIZE_UNITS[1], SIZE_UNITS[0]];
    let exact_unit = units
        .iter()
        .find(|(_, scale)| bytes >= *scale && bytes.is_multiple_of(*scale));
    let (unit, scale) = exact_unit.unwrap_or(&SIZE_UNITS[4]);
    format!("{}{unit}", bytes / scale)
}

fn parse_scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(split);
    let (_, scale) = units.iter().find(|(name, _)| *name == unit.trim_start())?;
    number.parse::<u64>().ok()?.checked_mul(*scale)
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}
