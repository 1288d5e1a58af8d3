//! Throttling of best-effort runs, to protect the latency-sensitive runs beside them.

use std::time::Duration;

use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::{Image, NeighborFill};
use crate::workflow::live_run::{LiveRun, RunSharing, Stage, Stop};
use crate::workflow::record::Run;
use crate::workflow::worker::Worker;

/// Headroom to preserve for a service that has been over its target for a while, as a share of
/// the range between its usual headroom and its target. In that case too little is known about
/// the interference between its image and those of the fills.
const KEPT_HEADROOM_OVER_TARGET: f64 = 0.55;
/// The same for a service that has not. Fills end within two seconds, and what a service loses in
/// a short moment is less than what throttling would cost them.
const KEPT_HEADROOM: f64 = -0.3;
/// Time over the target after which the first share applies: two reports and the lag of both.
const OVER_TARGET_CONFIRMED: Duration = Duration::from_millis(900);
/// Time over the target after which all fills on the worker are paused. The platform allows 4 s,
/// of which a report may take 0.5 s and an unanswered order 1 s.
const PAUSE_AFTER: Duration = Duration::from_millis(1800);
/// Time in seconds by which the load is extrapolated: half of the period that a report averages,
/// plus the time until an order takes effect.
const LOOKAHEAD_SECONDS: f64 = 0.35;
/// Minimum change of a pace that is worth an order, in percentage points.
const PACE_CHANGE_MIN_PERCENT: u32 = 12;
/// Pace in percent below which a run should move to another worker.
const SLOW_PACE_PERCENT: u32 = 60;

/// Returns the share of headroom to preserve after services were over their target for a time.
fn headroom_to_keep(over_target: Duration) -> f64 {
    if over_target > OVER_TARGET_CONFIRMED {
        KEPT_HEADROOM_OVER_TARGET
    } else {
        KEPT_HEADROOM
    }
}

/// A latency-sensitive run, with the latency that its worker last reported.
struct Service {
    run: Run,
    image: Image,
    /// Latency target divided by the reported tail latency; below 1 it misses the target.
    target_ratio: f64,
}

/// A best-effort run, with the share of its worker's processors that it would use unthrottled
/// (`full_share`) and the fraction of that which it is to get (`fraction`).
struct Fill {
    run: Run,
    image: Image,
    full_share: f64,
    fraction: f64,
    /// Lateness class of its job: 0 on time, 1 late, 2 too late to earn anything.
    lateness: u8,
}

impl Core {
    /// Learns from a worker's report and sets the pace of the fills on it.
    pub(super) fn pace_worker(&mut self, id: &Incarnation, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.serving == 0 && worker.filling == 0 {
            return;
        }
        let services = self.services_of(worker);
        let neighbors = self.fills_of(worker, now);
        let fresh = worker.paces_settled_at < now.at;
        if fresh {
            self.learn(&services, &neighbors, now);
        }
        if neighbors.is_empty() || !self.tuning.switches.pace_fills {
            return;
        }
        let over_target = services.iter().any(|service| service.target_ratio < 1.0);
        let earliest = self.filled_since(id, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if over_target {
            worker.over_target_since.get_or_insert(earliest);
        } else {
            worker.over_target_since = None;
            worker.last_within_target = now.at;
        }
        let over_target = worker
            .over_target_since
            .map_or(Duration::ZERO, |since| now.at.saturating_sub(since));
        if fresh || services.is_empty() {
            self.choose_paces(id, &services, &neighbors, over_target, now);
        }
    }

    /// Returns the earliest time at which fills can have pushed a service of a worker over its
    /// target. Before it, reports showed all services within their targets, or no fill was there.
    fn filled_since(&self, id: &Incarnation, now: Now) -> Duration {
        let Some(worker) = self.workers.get(id) else {
            return now.at;
        };
        let filled = worker.runs.iter().filter_map(|run| {
            let live = self.runs.get(run)?;
            matches!(live.share, RunSharing::Fills(_)).then_some(live.placed)
        });
        filled
            .min()
            .unwrap_or(now.at)
            .max(worker.last_within_target)
    }

    /// Updates headrooms and interference factors from what services reported beside these fills.
    fn learn(&mut self, services: &[Service], neighbors: &[NeighborFill], now: Now) {
        for service in services {
            let history = self
                .headroom_history
                .entry(service.run.task.job)
                .or_default();
            let own_headroom = history.trend(now.at).map(|trend| trend.level);
            self.interference
                .learn(service.image, service.target_ratio, own_headroom, neighbors);
            let pressure = self.interference.headroom_loss(service.image, neighbors);
            let own_headroom = self
                .interference
                .headroom(service.image, service.target_ratio)
                + pressure;
            history.note(own_headroom, pressure, now.at);
            if let Some(live) = self.runs.get_mut(&service.run) {
                live.headroom = Some(own_headroom);
            }
        }
    }

    fn services_of(&self, worker: &Worker) -> Vec<Service> {
        let served = worker.runs.iter().filter_map(|run| {
            let live = self.runs.get(run)?;
            let RunSharing::Serves(image, target) = live.share else {
                return None;
            };
            #[expect(clippy::cast_precision_loss, reason = "tail latency in milliseconds")]
            let tail = live.tail_latency_ms.filter(|tail| *tail > 0)? as f64;
            Some(Service {
                run: *run,
                image,
                target_ratio: target.max(1.0) / tail,
            })
        });
        served.collect()
    }

    /// Returns the fills on a worker, weighted by how much of the report's averaging period they
    /// ran for, since most fills begin or end within it.
    fn fills_of(&self, worker: &Worker, now: Now) -> Vec<NeighborFill> {
        let processors = processors_of(worker);
        let span = self.tuning.report.as_secs_f64();
        let since = |at: Duration| now.at.saturating_sub(at).as_secs_f64() / span;
        let fills = worker.runs.iter().filter_map(|run| {
            let live = self.runs.get(run)?;
            let (RunSharing::Fills(image), Stage::Started(at)) = (live.share, live.stage) else {
                return None;
            };
            let share = live.requested_processors * f64::from(live.pace) / 100.0 / processors;
            let share = share * since(at).min(1.0);
            Some(NeighborFill { image, share })
        });
        let ended = worker.recent_fills.iter().filter_map(|(image, share, at)| {
            let share = share * (1.0 - since(*at));
            (share > 0.0).then_some(NeighborFill {
                image: *image,
                share,
            })
        });
        fills.chain(ended).collect()
    }

    /// Records a fill that has ended, as its load is part of the next reports.
    pub(super) fn note_fill_ended(&mut self, live: &LiveRun, now: Now) {
        let (RunSharing::Fills(image), Stage::Started(_)) = (live.share, live.stage) else {
            return;
        };
        let report = self.tuning.report;
        let Some(worker) = self.workers.get_mut(&live.worker) else {
            return;
        };
        let share =
            live.requested_processors * f64::from(live.pace) / 100.0 / processors_of(worker);
        worker
            .recent_fills
            .retain(|(_, _, at)| now.at < *at + report);
        worker.recent_fills.push((image, share, now.at));
    }

    /// Recomputes the pace of each fill on a worker: 100 %, reduced by what the services cannot
    /// tolerate according to the learned interference factors, the most harmful fill first.
    fn choose_paces(
        &mut self,
        id: &Incarnation,
        services: &[Service],
        neighbors: &[NeighborFill],
        over_target: Duration,
        now: Now,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let kept_share = headroom_to_keep(over_target);
        let processors = processors_of(worker);
        let fills = worker.runs.iter().filter_map(|run| {
            let live = self.runs.get(run)?;
            let RunSharing::Fills(image) = live.share else {
                return None;
            };
            Some(Fill {
                run: *run,
                image,
                full_share: live.requested_processors / processors,
                fraction: 1.0,
                lateness: self.lateness_of(run.task, now),
            })
        });
        let mut fills: Vec<Fill> = fills.collect();
        for service in services {
            let pressure = self.interference.headroom_loss(service.image, neighbors);
            let own_headroom = self
                .interference
                .headroom(service.image, service.target_ratio)
                + pressure;
            let follow = self.tuning.switches.follow_slopes;
            let history = self.headroom_history.get_mut(&service.run.task.job);
            let history = history.filter(|_| follow);
            let slope = history
                .and_then(|history| history.trend(now.at))
                .map_or(0.0, |trend| trend.slope);
            let expected = own_headroom + slope * LOOKAHEAD_SECONDS;
            let floor = self.interference.floor(service.image);
            let spare = expected - floor - kept_share * (1.0 - floor).max(0.0);
            self.reduce_fills(service.image, spare, &mut fills);
        }
        let paused = over_target > PAUSE_AFTER;
        for fill in fills {
            let goal = if paused {
                0
            } else {
                percent(fill.fraction * 100.0)
            };
            self.set_pace(fill.run, goal, now);
        }
    }

    /// Reduces fills until their pressure on a service is within `headroom`.
    fn reduce_fills(&self, serves: Image, headroom: f64, fills: &mut [Fill]) {
        let factor = |fill: &Fill| self.interference.factor(serves, fill.image);
        let pressure: f64 = fills
            .iter()
            .map(|fill| factor(fill) * fill.full_share * fill.fraction)
            .sum();
        let mut excess = pressure - headroom;
        if excess <= 0.0 {
            return;
        }
        // The latest jobs are throttled first, then the most harmful fills.
        fills.sort_by(|one, two| {
            two.lateness
                .cmp(&one.lateness)
                .then(factor(two).total_cmp(&factor(one)))
        });
        for fill in fills {
            let harm = (factor(fill) * fill.full_share).max(1e-6);
            let cut = (excess / harm).min(fill.fraction);
            fill.fraction -= cut;
            excess -= cut * harm;
            if excess <= 0.0 {
                return;
            }
        }
    }

    fn set_pace(&mut self, run: Run, goal: u32, now: Now) {
        let delay = self.tuning.pace_delay;
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        let negligible =
            live.pace_goal.abs_diff(goal) < PACE_CHANGE_MIN_PERCENT && goal > 0 && goal < 100;
        if live.stop != Stop::None || live.pace_goal == goal || negligible {
            return;
        }
        tracing::debug!(task = %run.task, run = run.number, worker = %live.worker,
            from = live.pace_goal, to = goal, "pace changed");
        live.pace_goal = goal;
        live.slow = (goal < SLOW_PACE_PERCENT).then_some(live.slow.unwrap_or(now.at));
        if let Some(worker) = self.workers.get_mut(&live.worker) {
            // Reports are averages over half a second, so earlier ones do not show the effect.
            worker.paces_settled_at = now.at + delay + self.tuning.report / 2;
            worker.wake();
        }
    }
}

fn processors_of(worker: &Worker) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "thousandths of processors")]
    let processors = worker.pool.capacity().processors as f64;
    processors.max(1.0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "between 0 and 100"
)]
fn percent(value: f64) -> u32 {
    value.clamp(0.0, 100.0).floor() as u32
}
