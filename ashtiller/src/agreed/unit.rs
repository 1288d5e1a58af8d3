//! Values with units, as settings and templates write them.

use std::time::Duration;

/// Durations that a setting may name: number and unit, such as `250ms`.
const TIMES: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)];
/// Sizes that a setting may name: number and unit, such as `64MiB`.
const SIZES: [(&str, u64); 5] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("TiB", 1 << 40),
    ("B", 1),
];

/// Reads a duration in `ms`, `s`, `min` or `h`.
#[must_use]
pub fn parse_duration(text: &str) -> Option<Duration> {
    parse_scaled(text, &TIMES).map(Duration::from_millis)
}

/// Reads a size in `B`, `KiB`, `MiB`, `GiB` or `TiB`; the result is in bytes.
#[must_use]
pub fn parse_size(text: &str) -> Option<u64> {
    parse_scaled(text, &SIZES)
}

/// Reads a number of processors such as `2` or `0.25`; the result is in thousandths.
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

/// Reads a share such as `20%`; the result is between 0 and 1.
#[must_use]
pub fn parse_share(text: &str) -> Option<f64> {
    let number: f64 = text.strip_suffix('%')?.trim_end().parse().ok()?;
    (0.0..=100.0).contains(&number).then_some(number / 100.0)
}

/// Writes a duration with the largest unit that leaves no remainder.
#[must_use]
pub fn format_duration(duration: Duration) -> String {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let fits = TIMES
        .iter()
        .rev()
        .find(|(_, scale)| millis >= *scale && millis.is_multiple_of(*scale));
    let (unit, scale) = fits.unwrap_or(&TIMES[0]);
    format!("{}{unit}", millis / scale)
}

/// Writes a size with the largest unit that leaves no remainder.
#[must_use]
pub fn format_size(bytes: u64) -> String {
    let units = [SIZES[3], SIZES[2], SIZES[1], SIZES[0]];
    let fits = units
        .iter()
        .find(|(_, scale)| bytes >= *scale && bytes.is_multiple_of(*scale));
    let (unit, scale) = fits.unwrap_or(&SIZES[4]);
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
