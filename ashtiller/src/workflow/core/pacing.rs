//! Relief for runs that serve, from runs that fill beside them.

use std::time::Duration;

use crate::workflow::core::{Core, Now};
use crate::workflow::fact::Run;
use crate::workflow::job::Sharing;
use crate::workflow::live::Stop;

/// Share of its target above which a run that serves is near it.
const NEAR: f64 = 0.8;
/// Share of its target below which what fills beside it may go faster.
const CALM: f64 = 0.6;
/// Percent by which what fills goes faster after each calm report.
const FASTER: u32 = 10;

impl Core {
    /// Slows what fills beside a run that is over its target, and lets it go faster
    /// when all that serves is well under.
    pub(super) fn pace_worker(&mut self, id: &str, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.filling == 0 {
            return;
        }
        let worst = worker
            .runs
            .iter()
            .filter_map(|run| self.strain_of(*run))
            .fold(0.0, f64::max);
        let fills: Vec<Run> = worker
            .runs
            .iter()
            .copied()
            .filter(|run| self.is_fill(*run))
            .collect();
        for run in fills {
            let Some(live) = self.runs.get_mut(&run) else {
                continue;
            };
            if live.stop != Stop::None || live.pace_doubt > now.at + Duration::from_secs(30) {
                continue;
            }
            let goal = if worst > 1.0 {
                live.pace_goal / 4
            } else if worst > NEAR {
                live.pace_goal * 3 / 4
            } else if worst < CALM {
                (live.pace_goal + FASTER).min(100)
            } else {
                live.pace_goal
            };
            let goal = if worst > 1.0 && goal < 10 { 0 } else { goal };
            if goal != live.pace_goal {
                tracing::info!(task = %run.task, run = run.number, worker = id, from = live.pace_goal, to = goal, worst, "pace changed");
                live.pace_goal = goal;
            }
        }
    }

    /// Tail latency of a run that serves, as a share of its target.
    fn strain_of(&self, run: Run) -> Option<f64> {
        let (job, _) = self.book.task(run.task)?;
        let target = job.step(run.task)?.target()?;
        let tail = Duration::from_millis(self.runs.get(&run)?.tail?);
        Some(tail.as_secs_f64() / target.as_secs_f64().max(0.001))
    }

    fn is_fill(&self, run: Run) -> bool {
        self.book.task(run.task).is_some_and(|(job, _)| {
            job.step(run.task)
                .is_some_and(|step| step.sharing == Sharing::Fills)
        })
    }
}
