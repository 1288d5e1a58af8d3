//! The soak's command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use pico_args::Arguments;
use soak::world::{self, Plan};
use tokio::time::Instant;

const USAGE: &str = "\
soak: real entries under faults from outside

usage:
  soak run --seed N [--seconds S] [--entries E] [--workers W] [--folder DIR] [--shaky]
  soak run --minutes M [--seed N] ...     fresh seeds, counted up from N
  soak run --seeds K [--seed N] ...       K seeds, counted up from N
  soak replay FILE                        the seeds in a file, one a line; words behind are ignored

--shaky: jobs crash their workers, rooms change, others write among the workers' entries,
and availability zones are evacuated
--bursts: bursts of wide jobs beside long-running ones, with faults around them

A seed that breaks a rule leaves its schedule, settings and logs in DIR/seed-N.";

#[tokio::main]
async fn main() -> ExitCode {
    match play(Arguments::from_env()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("soak: {error:#}\n\n{USAGE}");
            ExitCode::from(2)
        }
    }
}

async fn play(mut args: Arguments) -> anyhow::Result<bool> {
    let verb = args.subcommand()?.unwrap_or_default();
    let seed: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(12);
    let minutes: Option<u64> = args.opt_value_from_str("--minutes")?;
    let entries: u8 = args.opt_value_from_str("--entries")?.unwrap_or(3);
    let workers: usize = args.opt_value_from_str("--workers")?.unwrap_or(6);
    let folder: PathBuf = args
        .opt_value_from_str("--folder")?
        .unwrap_or_else(|| "target/soak".into());
    let shaky = args.contains("--shaky");
    let bursts = args.contains("--bursts");
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(1);
    let plan = |seed: u64| -> anyhow::Result<Plan> {
        Ok(Plan {
            seed,
            span: Duration::from_secs(seconds),
            entries,
            workers,
            program: world::find_program()?,
            folder: folder.join(format!("seed-{seed}")),
            shaky,
            bursts,
        })
    };
    let mut good = true;
    match verb.as_str() {
        "run" => {
            let end = minutes.map(|minutes| Instant::now() + Duration::from_mins(minutes));
            let mut next = seed;
            loop {
                good &= play_seed(plan(next)?).await?;
                next += 1;
                let is_last = next >= seed + seeds;
                if end.map_or(is_last, |end| Instant::now() >= end) {
                    return Ok(good);
                }
            }
        }
        "replay" => {
            let file: PathBuf = args.free_from_str()?;
            for seed in read_seeds(&file)? {
                good &= play_seed(plan(seed)?).await?;
            }
            Ok(good)
        }
        other => anyhow::bail!("there is no command `{other}`"),
    }
}

fn read_seeds(file: &Path) -> anyhow::Result<Vec<u64>> {
    let text = std::fs::read_to_string(file).with_context(|| format!("read {}", file.display()))?;
    let words = text
        .lines()
        .filter_map(|line| line.split_whitespace().next());
    words
        .map(|word| word.parse().with_context(|| format!("`{word}` is no seed")))
        .collect()
}

async fn play_seed(plan: Plan) -> anyhow::Result<bool> {
    let (seed, folder) = (plan.seed, plan.folder.clone());
    let verdict = world::run(plan).await?;
    println!(
        "seed {seed}: {} accepted, {} refused ({} at least once), {} faults, {} workers crashed, {} broken",
        verdict.accepted,
        verdict.refused,
        verdict.refused_once,
        verdict.faults,
        verdict.crashed,
        verdict.broken.len()
    );
    for broken in &verdict.broken {
        println!("  {broken}");
    }
    if verdict.broken.is_empty() {
        std::fs::remove_dir_all(folder).context("remove folder")?;
    }
    Ok(verdict.broken.is_empty())
}
