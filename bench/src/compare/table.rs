//! Means, spreads and differences of variants.

use std::collections::BTreeMap;
use std::fmt;

use super::Variant;
use super::report::Report;

/// Mean and standard deviation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Mean.
    pub mean: f64,
    /// Standard deviation of single figures; 0 for one figure.
    pub deviation: f64,
    /// Number of figures.
    pub count: usize,
}

impl Summary {
    /// Sums up figures.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a number of days")]
    pub fn of(figures: &[f64]) -> Self {
        let count = figures.len();
        if count == 0 {
            return Self::default();
        }
        let mean = figures.iter().sum::<f64>() / count as f64;
        let squares: f64 = figures.iter().map(|figure| (figure - mean).powi(2)).sum();
        let deviation = if count > 1 {
            (squares / (count - 1) as f64).sqrt()
        } else {
            0.0
        };
        Self {
            mean,
            deviation,
            count,
        }
    }
}

/// One played day.
#[derive(Clone, Debug)]
pub struct Played {
    /// Name of the variant.
    pub variant: String,
    /// Name of the deployment.
    pub site: String,
    /// Day and seed.
    pub day: String,
    /// What the bench printed.
    pub report: Report,
}

/// A variant on one deployment.
#[derive(Clone, Debug)]
pub struct Row {
    /// Deployment.
    pub site: String,
    /// Variant.
    pub variant: String,
    /// Worth.
    pub worth: Summary,
    /// Worth less that of the first variant on the same day.
    pub difference: Summary,
    /// Mean worth by kind of request.
    pub kinds: Vec<f64>,
    /// Broken rules, by day.
    pub broken: Vec<String>,
}

/// All variants on all deployments.
#[derive(Clone, Debug)]
pub struct Table {
    /// Rows by deployment, variants in the order in which they were named.
    pub rows: Vec<Row>,
}

impl Table {
    /// Sums up what was played. Differences are from the first variant.
    #[must_use]
    pub fn new(variants: &[Variant], played: &[Played]) -> Self {
        let mut sites: Vec<&str> = played.iter().map(|day| &*day.site).collect();
        sites.dedup();
        let mut rows = Vec::new();
        for site in sites {
            let of = |variant: &Variant| {
                let own = |day: &&Played| day.site == site && day.variant == variant.name;
                played.iter().filter(own).collect::<Vec<&Played>>()
            };
            let base = variants.first().map(of).unwrap_or_default();
            let base: BTreeMap<&str, f64> = base
                .iter()
                .map(|day| (&*day.day, day.report.worth))
                .collect();
            rows.extend(
                variants
                    .iter()
                    .map(|variant| sum_up(site, &variant.name, &of(variant), &base)),
            );
        }
        Self { rows }
    }
}

fn sum_up(site: &str, variant: &str, days: &[&Played], base: &BTreeMap<&str, f64>) -> Row {
    let worth: Vec<f64> = days.iter().map(|day| day.report.worth).collect();
    let paired = days.iter().filter_map(|day| {
        let base = base.get(&*day.day)?;
        Some(day.report.worth - base)
    });
    let kinds = days.first().map_or(0, |day| day.report.kinds.len());
    let kinds = (0..kinds).map(|kind| {
        let worths = days.iter().filter_map(|day| day.report.kinds.get(kind));
        Summary::of(&worths.map(|kind| kind.worth).collect::<Vec<f64>>()).mean
    });
    let broken = days.iter().filter_map(|day| {
        let rules = day.report.broken.as_ref()?;
        Some(format!("{}: {rules}", day.day))
    });
    Row {
        site: site.to_owned(),
        variant: variant.to_owned(),
        worth: Summary::of(&worth),
        difference: Summary::of(&paired.collect::<Vec<f64>>()),
        kinds: kinds.collect(),
        broken: broken.collect(),
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| deployment | variant | days | worth | difference | kinds of request | broken |"
        )?;
        writeln!(f, "|---|---|---|---|---|---|---|")?;
        for row in &self.rows {
            let kinds: Vec<String> = row.kinds.iter().map(|kind| format!("{kind:.3}")).collect();
            writeln!(
                f,
                "| {} | {} | {} | {:.3} ± {:.3} | {:+.3} ± {:.3} | {} | {} |",
                row.site,
                row.variant,
                row.worth.count,
                row.worth.mean,
                row.worth.deviation,
                row.difference.mean,
                row.difference.deviation,
                kinds.join(" "),
                row.broken.join("; "),
            )?;
        }
        Ok(())
    }
}
