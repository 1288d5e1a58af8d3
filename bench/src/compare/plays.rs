//! Work trees of variants, and the days that are played in them.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use anyhow::Context;
use indicatif::{ProgressBar, ProgressStyle};

use super::Variant;
use super::report::Report;
use super::table::Played;

/// Template of the settings, in which a variant's policy is written.
const TEMPLATE: &str = "deploy/entry.ini";

/// One day to be played.
#[derive(Clone, Debug)]
pub struct Play {
    variant: Variant,
    site: PathBuf,
    day: String,
    seed: Option<u64>,
}

impl Play {
    /// A day of a deployment with a variant; the day's own seed if none is named.
    pub fn new(variant: &Variant, site: &Path, day: &str, seed: Option<u64>) -> Self {
        Self {
            variant: variant.clone(),
            site: site.to_owned(),
            day: day.to_owned(),
            seed,
        }
    }

    fn label(&self) -> String {
        let seed = self.seed.map(|seed| format!(" {seed}")).unwrap_or_default();
        format!("{}{seed}", self.day)
    }
}

/// The bench, and where variants lie.
pub struct Bench {
    program: PathBuf,
    folder: PathBuf,
    /// Whether processor time is charged; without it a play mostly repeats.
    charged: bool,
}

impl Bench {
    /// Finds the bench; work trees come below `folder`.
    ///
    /// # Errors
    /// One of them is not there.
    pub fn open(program: &Path, folder: &Path, charged: bool) -> anyhow::Result<Self> {
        Ok(Self {
            program: program.canonicalize().context("find the bench")?,
            folder: folder.canonicalize().context("find the folder")?,
            charged,
        })
    }

    fn tree(&self, variant: &Variant) -> PathBuf {
        self.folder.join(&variant.name)
    }

    /// Makes the work trees, and lets the bench build each before anything is played.
    ///
    /// # Errors
    /// A commit is not known, or its program is not built.
    pub fn prepare(&self, variants: &[Variant]) -> anyhow::Result<()> {
        for variant in variants {
            let tree = self.tree(variant);
            if !tree.exists() {
                let tree = tree.to_str().context("the folder's name is not text")?;
                let make = ["worktree", "add", "--detach", tree, &variant.commit];
                run(Command::new("git").args(make))?;
            }
            if !variant.policy.is_empty() {
                write_policy(&tree.join(TEMPLATE), &variant.policy)?;
            }
            run(Command::new(&self.program).arg("build").current_dir(&tree))?;
        }
        Ok(())
    }

    /// Plays days, `jobs` at a time, in the order in which they are named.
    ///
    /// # Errors
    /// A day has no result.
    pub fn play(&self, plays: &[Play], jobs: usize) -> anyhow::Result<Vec<Played>> {
        let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {msg} {eta}")?;
        let bar = ProgressBar::new(plays.len() as u64).with_style(style);
        let next = AtomicUsize::new(0);
        let done: Mutex<Vec<Option<Played>>> = Mutex::new(vec![None; plays.len()]);
        thread::scope(|scope| {
            let players = (0..jobs.max(1)).map(|_| {
                scope.spawn(|| -> anyhow::Result<()> {
                    loop {
                        let place = next.fetch_add(1, Ordering::Relaxed);
                        let Some(play) = plays.get(place) else {
                            return Ok(());
                        };
                        let played = self.play_day(play)?;
                        bar.set_message(play.label());
                        bar.inc(1);
                        if let Ok(mut done) = done.lock() {
                            done[place] = Some(played);
                        }
                    }
                })
            });
            let players: Vec<_> = players.collect();
            for player in players {
                player
                    .join()
                    .map_err(|_| anyhow::anyhow!("a player has panicked"))??;
            }
            anyhow::Ok(())
        })?;
        bar.finish_and_clear();
        let done = done
            .into_inner()
            .map_err(|_| anyhow::anyhow!("no results"))?;
        Ok(done.into_iter().flatten().collect())
    }

    fn play_day(&self, play: &Play) -> anyhow::Result<Played> {
        let mut command = Command::new(&self.program);
        command.arg("run").arg(&play.site).arg(&play.day);
        if let Some(seed) = play.seed {
            command.arg("--seed").arg(seed.to_string());
        }
        if !self.charged {
            command.arg("--no-cpu");
        }
        let why = format!("comparison: variant {}", play.variant.name);
        command.args(["--jobs", "1", "--why", &why]);
        let output = command
            .current_dir(self.tree(&play.variant))
            .output()
            .context("start the bench")?;
        let text = String::from_utf8_lossy(&output.stdout);
        let report = Report::parse(&text)
            .with_context(|| format!("{} of {}: {text}", play.label(), play.variant.name))?;
        let site = play.site.file_stem().unwrap_or_default();
        Ok(Played {
            variant: play.variant.name.clone(),
            site: site.to_string_lossy().into_owned(),
            day: play.label(),
            report,
        })
    }
}

fn write_policy(template: &Path, policy: &[String]) -> anyhow::Result<()> {
    let text = fs::read_to_string(template).context("read the template")?;
    if text.contains("[policy]") {
        // An earlier comparison in this folder wrote it.
        return Ok(());
    }
    let mut file = fs::OpenOptions::new()
        .append(true)
        .open(template)
        .context("open the template")?;
    writeln!(file, "\n[policy]\n{}", policy.join("\n")).context("write the template")
}

fn run(command: &mut Command) -> anyhow::Result<Output> {
    let output = command
        .output()
        .with_context(|| format!("start {}", command.get_program().display()))?;
    anyhow::ensure!(
        output.status.success(),
        "{} failed: {}",
        command.get_program().display(),
        String::from_utf8_lossy(&output.stderr)
    );
    Ok(output)
}
