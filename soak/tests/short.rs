//! A short soak from the kept seeds.

use std::time::Duration;

use soak::schedule::{self, Sort};
use soak::world::{self, Plan};

/// How long faults go on where no links fall silent.
const SPAN: Duration = Duration::from_secs(6);
/// The same where links fall silent: a strike, the time until promises hold again,
/// and some seconds in which they are checked.
const LINKS_SPAN: Duration = Duration::from_secs(8);

/// Plays the kept seeds of one sort; all that they broke.
async fn play_kept(sort: Sort, span: Duration) -> Vec<String> {
    let program = world::find_program().expect("the program");
    let kept = include_str!("../seeds/kept.txt");
    let words = kept
        .lines()
        .filter_map(|line| line.split_whitespace().next());
    let seeds = words.map(|word| word.parse().expect("a seed"));
    let mut broken = Vec::new();
    for seed in seeds.filter(|seed| schedule::sort_of(*seed) == sort) {
        let plan = Plan {
            seed,
            span,
            entries: 3,
            workers: 4,
            program: program.clone(),
            folder: std::env::temp_dir()
                .join(format!("ashtiller-soak-{}-{seed}", std::process::id())),
        };
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

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_seeds_break_nothing() {
    let broken = play_kept(Sort::Others, SPAN).await;
    assert!(broken.is_empty(), "{broken:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_seeds_of_all_faults_break_nothing() {
    let broken = play_kept(Sort::Both, LINKS_SPAN).await;
    assert!(broken.is_empty(), "{broken:#?}");
}

/// A worker that leaves was given tasks, and a configuration was not in force, up to
/// 11.5 s after all connections to the store had fallen silent: the watches on it wait
/// 10 s for a change and 1.5 s more for an answer, on a connection that has none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_seeds_of_silent_links_break_nothing() {
    let broken = play_kept(Sort::Links, LINKS_SPAN).await;
    assert!(broken.is_empty(), "{broken:#?}");
}
