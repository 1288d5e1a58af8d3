//! Compares variants of the program on the same days of the users' bench.
//!
//! A variant is a commit with switches of `[policy]`. Each has a work tree of its own, in which
//! the bench builds and plays it. A day is played once for each variant under the same seed, and
//! differences are taken within such a pair, since days differ more than variants do.

mod plays;
mod plot;
pub mod report;
pub mod table;

use std::fs;
use std::path::PathBuf;
use std::str::FromStr;

use anyhow::Context;
use pico_args::Arguments;

use plays::{Bench, Play};
use table::Table;

/// One program to compare.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Variant {
    /// Name in tables; no two alike.
    pub name: String,
    /// What git names the commit.
    pub commit: String,
    /// Settings of `[policy]`, as `key = value`.
    pub policy: Vec<String>,
}

impl FromStr for Variant {
    type Err = anyhow::Error;

    /// Reads `NAME[@COMMIT][:KEY=VALUE,...]`; the commit is `HEAD` where none is named.
    fn from_str(text: &str) -> anyhow::Result<Self> {
        let (head, policy) = text.split_once(':').unwrap_or((text, ""));
        let (name, commit) = head.split_once('@').unwrap_or((head, "HEAD"));
        let is_plain = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
        anyhow::ensure!(
            !name.is_empty() && name.chars().all(is_plain),
            "`{name}` is no name: letters, digits, `-`, `_` and `.` are"
        );
        let settings = policy.split(',').filter(|setting| !setting.is_empty());
        let settings = settings.map(|setting| {
            let (key, value) = setting
                .split_once('=')
                .with_context(|| format!("`{setting}` is not KEY=VALUE"))?;
            Ok(format!("{key} = {value}"))
        });
        Ok(Self {
            name: name.to_owned(),
            commit: commit.to_owned(),
            policy: settings.collect::<anyhow::Result<_>>()?,
        })
    }
}

/// Plays all days with all variants, prints a table and writes a plot.
///
/// # Errors
/// An argument is wrong, a work tree cannot be made, or a play has no result.
pub fn run(mut args: Arguments) -> anyhow::Result<()> {
    let bench: PathBuf = args.value_from_str("--bench")?;
    let jobs: usize = args.opt_value_from_str("--jobs")?.unwrap_or(4);
    let folder: PathBuf = args.value_from_str("--folder")?;
    let charged = args.contains("--charge-time");
    let variants: Vec<Variant> = args.values_from_str("--variant")?;
    let sites: Vec<PathBuf> = args.values_from_str("--site")?;
    let days: Vec<String> = args.values_from_str("--day")?;
    let seeds: Vec<u64> = args.values_from_str("--seed")?;
    let rest = args.finish();
    anyhow::ensure!(rest.is_empty(), "not understood: {rest:?}");
    check(&variants, &sites, &days)?;
    fs::create_dir_all(&folder).context("make the folder")?;
    let bench = Bench::open(&bench, &folder, charged)?;
    let mut plays = Vec::new();
    for site in &sites {
        let site = site
            .canonicalize()
            .with_context(|| format!("find {}", site.display()))?;
        for day in &days {
            let own = [None];
            let seeds = seeds.iter().copied().map(Some);
            let seeds: Vec<Option<u64>> = if seeds.len() == 0 {
                own.into()
            } else {
                seeds.collect()
            };
            for seed in seeds {
                let play = |variant: &Variant| Play::new(variant, &site, day, seed);
                plays.extend(variants.iter().map(play));
            }
        }
    }
    bench.prepare(&variants)?;
    let results = bench.play(&plays, jobs)?;
    let table = Table::new(&variants, &results);
    println!("{table}");
    fs::write(folder.join("table.md"), table.to_string()).context("write the table")?;
    plot::draw(&table, &folder.join("differences.svg"))
}

fn check(variants: &[Variant], sites: &[PathBuf], days: &[String]) -> anyhow::Result<()> {
    anyhow::ensure!(variants.len() > 1, "two variants at least are compared");
    anyhow::ensure!(!sites.is_empty(), "no --site is named");
    anyhow::ensure!(!days.is_empty(), "no --day is named");
    for (place, variant) in variants.iter().enumerate() {
        let alike = variants[..place]
            .iter()
            .any(|other| other.name == variant.name);
        anyhow::ensure!(!alike, "two variants are named {}", variant.name);
    }
    Ok(())
}
