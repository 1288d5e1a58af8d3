//! The text format of a trace.
//!
//! One statement a line; `#` begins a comment. Times are seconds, sizes cores,
//! loads and effects percent of a service's target.
//!
//! ```text
//! title words
//! seconds 3600
//! lag 10
//! workers 12 cores 16
//! service NAME workers 0 5 cores 6 target 200 alone 55 load 40
//! load NAME 90 from 1200 to 1800
//! batch ACCOUNT KIND cores 4 length 300 every 12 from 0 to 3600
//! effect KIND SERVICE 60 from 600 to 1800 above 50
//! real KIND cores 8 length 3000
//! ```
//!
//! An effect adds its percent of the target for each task of the kind at full
//! speed, while the service's load is at least `above`. `real` says what a kind
//! truly takes where that differs from what is declared.

use anyhow::Context;

/// A service, one task on each of a range of workers.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: String,
    /// First and last worker.
    pub workers: (usize, usize),
    /// Cores of a task.
    pub cores: u64,
    /// Target in milliseconds.
    pub target: u64,
    /// Latency without company, in percent of the target.
    pub alone: f64,
    /// Load in percent.
    pub load: f64,
}

/// A load that differs for a while.
#[derive(Clone, Debug)]
pub struct Load {
    /// Service.
    pub service: String,
    /// Load in percent.
    pub percent: f64,
    /// From and to.
    pub span: (u64, u64),
}

/// Arrivals of batch tasks.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Client account.
    pub account: String,
    /// Kind.
    pub kind: String,
    /// Declared cores.
    pub cores: u64,
    /// Declared run time.
    pub length: u64,
    /// Seconds between arrivals.
    pub every: u64,
    /// From and to.
    pub span: (u64, u64),
}

/// What a kind does to a service.
#[derive(Clone, Debug)]
pub struct Effect {
    /// Kind.
    pub kind: String,
    /// Service.
    pub service: String,
    /// Percent of the target.
    pub percent: f64,
    /// From and to.
    pub span: (u64, u64),
    /// Least load at which it shows.
    pub above: f64,
}

/// What a kind truly takes.
#[derive(Clone, Debug)]
pub struct Real {
    /// Kind.
    pub kind: String,
    /// Run time.
    pub length: u64,
}

/// A recorded trace.
#[derive(Clone, Debug, Default)]
pub struct Trace {
    /// What it is about.
    pub title: String,
    /// Length.
    pub seconds: u64,
    /// Age of measurements in reports.
    pub lag: u64,
    /// Number of workers.
    pub workers: usize,
    /// Cores of a worker.
    pub cores: u64,
    /// Services.
    pub services: Vec<Service>,
    /// Loads that differ.
    pub loads: Vec<Load>,
    /// Arrivals.
    pub batches: Vec<Batch>,
    /// Effects.
    pub effects: Vec<Effect>,
    /// Kinds declared wrongly.
    pub reals: Vec<Real>,
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    /// A line is no statement of the format.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mut trace = Self::default();
        for (number, line) in (1..).zip(text.lines()) {
            let line = line.split('#').next().unwrap_or("").trim();
            if !line.is_empty() {
                trace
                    .add(line)
                    .with_context(|| format!("line {number}: {line}"))?;
            }
        }
        Ok(trace)
    }

    fn add(&mut self, line: &str) -> anyhow::Result<()> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["title", ..] => line
                .trim_start_matches("title")
                .trim()
                .clone_into(&mut self.title),
            ["seconds", seconds] => self.seconds = seconds.parse()?,
            ["lag", lag] => self.lag = lag.parse()?,
            ["workers", workers, "cores", cores] => {
                self.workers = workers.parse()?;
                self.cores = cores.parse()?;
            }
            [
                "service",
                name,
                "workers",
                first,
                last,
                "cores",
                cores,
                "target",
                target,
                "alone",
                alone,
                "load",
                load,
            ] => {
                self.services.push(Service {
                    name: (*name).to_owned(),
                    workers: (first.parse()?, last.parse()?),
                    cores: cores.parse()?,
                    target: target.parse()?,
                    alone: alone.parse()?,
                    load: load.parse()?,
                });
            }
            ["load", service, percent, "from", from, "to", to] => self.loads.push(Load {
                service: (*service).to_owned(),
                percent: percent.parse()?,
                span: (from.parse()?, to.parse()?),
            }),
            [
                "batch",
                account,
                kind,
                "cores",
                cores,
                "length",
                length,
                "every",
                every,
                "from",
                from,
                "to",
                to,
            ] => {
                self.batches.push(Batch {
                    account: (*account).to_owned(),
                    kind: (*kind).to_owned(),
                    cores: cores.parse()?,
                    length: length.parse()?,
                    every: every.parse()?,
                    span: (from.parse()?, to.parse()?),
                });
            }
            [
                "effect",
                kind,
                service,
                percent,
                "from",
                from,
                "to",
                to,
                "above",
                above,
            ] => {
                self.effects.push(Effect {
                    kind: (*kind).to_owned(),
                    service: (*service).to_owned(),
                    percent: percent.parse()?,
                    span: (from.parse()?, to.parse()?),
                    above: above.parse()?,
                });
            }
            ["real", kind, "length", length] => {
                self.reals.push(Real {
                    kind: (*kind).to_owned(),
                    length: length.parse()?,
                });
            }
            _ => anyhow::bail!("no such statement"),
        }
        Ok(())
    }

    /// Load of a service at a time, in percent.
    #[must_use]
    pub fn load(&self, service: &Service, at: u64) -> f64 {
        let differs =
            |load: &&Load| load.service == service.name && (load.span.0..load.span.1).contains(&at);
        self.loads
            .iter()
            .rfind(differs)
            .map_or(service.load, |load| load.percent)
    }

    /// Effect of one task of a kind on a service at a time, in percent.
    #[must_use]
    pub fn effect(&self, kind: &str, service: &Service, at: u64) -> f64 {
        let load = self.load(service, at);
        let shows = |effect: &&Effect| {
            effect.kind == kind
                && effect.service == service.name
                && (effect.span.0..effect.span.1).contains(&at)
                && load >= effect.above
        };
        self.effects
            .iter()
            .filter(shows)
            .map(|effect| effect.percent)
            .sum()
    }
}
