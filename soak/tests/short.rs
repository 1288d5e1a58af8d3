//! Guards against faults that earlier soaks found: replays the kept seeds for a few seconds.

use std::time::Duration;

use soak::schedule::{self, FaultSet};
use soak::world::{self, Plan};

/// Duration of the faults for seeds that silence no links.
const SPAN: Duration = Duration::from_secs(6);
/// Duration for seeds that silence links: an outage, the time until bounds hold again, and
/// some seconds in which they are checked.
const LINKS_SPAN: Duration = Duration::from_secs(8);

/// Plays the kept seeds of one fault set and returns all violations.
async fn play_kept(fault_set: FaultSet, span: Duration) -> Vec<String> {
    let kept = include_str!("../seeds/kept.txt");
    let words = kept
        .lines()
        .filter_map(|line| line.split_whitespace().next());
    let seeds = words.map(|word| word.parse().expect("a seed"));
    let mut broken = Vec::new();
    for seed in seeds.filter(|seed| schedule::fault_set(*seed) == fault_set) {
        let plan = plan(seed, span);
        let folder = plan.folder.clone();
        let verdict = world::run(plan).await.expect("a verdict");
        if verdict.broken.is_empty() {
            std::fs::remove_dir_all(folder).expect("remove the folder");
            continue;
        }
        let show = |text| format!("seed {seed}: {text}; see {}", folder.display());
        broken.extend(verdict.broken.into_iter().map(show));
    }
    broken
}

/// Jobs crash the workers that start them, capacities change and foreign worker records are
/// written, besides the other faults of two seeds that play both fault sets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_that_crash_workers_break_nothing() {
    let (mut broken, mut crashed) = (Vec::new(), 0);
    for seed in [7001, 7004] {
        let plan = Plan {
            shaky: true,
            ..plan(seed, LINKS_SPAN)
        };
        let verdict = world::run(plan).await.expect("a verdict");
        broken.extend(verdict.broken);
        crashed += verdict.crashed;
    }
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(crashed > 0, "no worker crashed");
}

/// Returns the parameters with which a seed is played here.
fn plan(seed: u64, span: Duration) -> Plan {
    let name = format!("ashtiller-soak-{}-{seed}", std::process::id());
    Plan {
        seed,
        span,
        entries: 3,
        workers: 4,
        shaky: false,
        bursts: false,
        program: world::find_program().expect("the program"),
        folder: std::env::temp_dir().join(name),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_seeds_break_nothing() {
    let broken = play_kept(FaultSet::Others, SPAN).await;
    assert!(broken.is_empty(), "{broken:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_seeds_of_all_faults_break_nothing() {
    let broken = play_kept(FaultSet::Both, LINKS_SPAN).await;
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against stale watches: a draining worker was given tasks, and a configuration was
/// not applied, up to 11.5 s after all connections to the store had been silenced. A watch
/// waits 10 s for a change and 1.5 s more for an answer, on a connection that carries none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_seeds_of_silent_links_break_nothing() {
    let broken = play_kept(FaultSet::Links, LINKS_SPAN).await;
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Bursts of wide jobs beside long-running ones: one while the owner is killed, one while the
/// store is silent, so that submissions are refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bursts_break_nothing() {
    let (mut broken, mut refused) = (Vec::new(), 0);
    for seed in [22, 28] {
        let plan = Plan {
            bursts: true,
            ..plan(seed, SPAN)
        };
        let verdict = world::run(plan).await.expect("a verdict");
        broken.extend(verdict.broken);
        refused += verdict.refused_once;
    }
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(refused > 0, "no job was refused");
}
