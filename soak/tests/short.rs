//! A short soak from fixed seeds: the kept ones, and one of its own.

use std::time::Duration;

use soak::world::{self, Plan};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kept_seeds_break_nothing() {
    let program = world::find_program().expect("the program");
    let kept = include_str!("../seeds/kept.txt");
    let seeds = kept
        .lines()
        .filter_map(|line| line.split_whitespace().next());
    for seed in seeds.map(|seed| seed.parse().expect("a seed")) {
        let plan = Plan {
            seed,
            span: Duration::from_secs(6),
            entries: 3,
            workers: 4,
            program: program.clone(),
            folder: std::env::temp_dir()
                .join(format!("ashtiller-soak-{}-{seed}", std::process::id())),
        };
        let folder = plan.folder.clone();
        let verdict = world::run(plan).await.expect("a verdict");
        assert!(
            verdict.broken.is_empty(),
            "seed {seed}: {:?}; see {}",
            verdict.broken,
            folder.display()
        );
        std::fs::remove_dir_all(folder).expect("remove the folder");
    }
}
