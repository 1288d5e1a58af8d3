//! What the bench prints of a day.

use anyhow::Context;

/// A kind of request, and its worth as a share of what was owed.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Name.
    pub name: String,
    /// Worth.
    pub worth: f64,
}

/// Result of one day.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Worth of the whole day, less prices.
    pub worth: f64,
    /// Kinds of request in the order of the report.
    pub kinds: Vec<Kind>,
    /// Rules that were broken, with their counts, as the bench writes them.
    pub broken: Option<String>,
}

impl Report {
    /// Reads what the bench printed.
    ///
    /// # Errors
    /// There is no result in it.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mut lines = text.lines();
        let head = lines
            .by_ref()
            .find(|line| line.starts_with("day ") && line.contains(" worth "));
        head.context("no table of days")?;
        let day = lines.next().context("no day in the table")?;
        let worth = read_worth(day).with_context(|| format!("no worth in `{day}`"))?;
        let broken = day.split_once("BROKEN: ").map(|(_, rules)| {
            let end = rules.find(" (else").unwrap_or(rules.len());
            rules[..end].to_owned()
        });
        let mut rows = lines.skip_while(|line| !line.starts_with("class "));
        rows.next();
        let kinds = rows.map_while(read_kind).collect();
        Ok(Self {
            worth,
            kinds,
            broken,
        })
    }
}

/// The second figure behind instances and workers, as in `quiet-1 45/490 1.00 0.858`. Names of
/// days may have blanks.
fn read_worth(line: &str) -> Option<f64> {
    let mut words = line.split_whitespace();
    words.find(|word| {
        let sizes = word.split_once('/');
        sizes.is_some_and(|(own, workers)| is_count(own) && is_count(workers))
    })?;
    words.nth(1)?.parse().ok()
}

fn is_count(word: &str) -> bool {
    !word.is_empty() && word.bytes().all(|byte| byte.is_ascii_digit())
}

/// A row of the table of kinds; nothing behind its end.
fn read_kind(line: &str) -> Option<Kind> {
    const WORTH: usize = 6;
    let mut words = line.split_whitespace();
    let name = words.next()?.to_owned();
    let worth = words.nth(WORTH)?.parse().ok()?;
    Some(Kind { name, worth })
}
