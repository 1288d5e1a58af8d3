//! Relief for runs that serve, from runs that fill beside them.

use std::time::Duration;

use crate::workflow::core::{Core, Now};
use crate::workflow::incarnation::Incarnation;
use crate::workflow::interference::{Image, NeighborFill};
use crate::workflow::live_run::{LiveRun, RunSharing, Stage, Stop};
use crate::workflow::record::Run;
use crate::workflow::worker::Worker;

/// Headroom that paces keep of a service that has been over its target for a while, as a
/// share of the room between its usual headroom and its target: what is known of its
/// pairs is too little.
const KEPT_OVER: f64 = 0.55;
/// The same of one that has not been: fills end within two seconds, and what a service
/// loses in a moment is less than what they lose.
const KEPT_FIRST: f64 = -0.3;
/// Time over the target after which the former holds: two reports, and the lag of both.
const OVER_SOON: Duration = Duration::from_millis(900);
/// Time over the target after which all that fills beside it stands still; the platform
/// allows 4 s, of which a report may take 0.5 s and an unanswered order 1 s.
const STILL_AFTER: Duration = Duration::from_millis(1800);
/// Seconds by which paces look ahead: half of what a report averages, and the time
/// until an order works.
const AHEAD: f64 = 0.35;
/// Least change of a pace that is worth an order, in percent.
const STEP: u32 = 12;
/// Pace under which a run would better be elsewhere, in percent.
const SLOW: u32 = 60;

/// Share of the room above the target to keep, for services over it for so long.
fn kept_after(over: Duration) -> f64 {
    if over > OVER_SOON {
        KEPT_OVER
    } else {
        KEPT_FIRST
    }
}

/// A run that serves, as its worker last reported it.
struct Service {
    run: Run,
    image: Image,
    /// How many times faster than its target it answers.
    times: f64,
}

/// A run that fills, with the share of its worker that it would use in full and the
/// part of it that it is to get.
struct Fill {
    run: Run,
    image: Image,
    full: f64,
    part: f64,
    /// How late its job is: 0 in time, 1 late, 2 too late to earn anything.
    late: u8,
}

impl Core {
    /// Learns from a worker's report and sets the pace of what fills there.
    pub(super) fn pace_worker(&mut self, id: &Incarnation, now: Now) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.serving == 0 && worker.filling == 0 {
            return;
        }
        let services = self.services_of(worker);
        let beside = self.fills_of(worker, now);
        let fresh = worker.settled < now.at;
        if fresh {
            self.learn(&services, &beside, now);
        }
        if beside.is_empty() || !self.terms.switches.pace_fills {
            return;
        }
        let over = services.iter().any(|service| service.times < 1.0);
        let earliest = self.filled_since(id, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if over {
            worker.over.get_or_insert(earliest);
        } else {
            worker.over = None;
            worker.calm = now.at;
        }
        let over = worker
            .over
            .map_or(Duration::ZERO, |since| now.at.saturating_sub(since));
        if fresh || services.is_empty() {
            self.choose_paces(id, &services, &beside, over, now);
        }
    }

    /// Since when fills may have brought a service of a worker over its target: reports
    /// before it said otherwise, or nothing filled there.
    fn filled_since(&self, id: &Incarnation, now: Now) -> Duration {
        let Some(worker) = self.workers.get(id) else {
            return now.at;
        };
        let filled = worker.runs.iter().filter_map(|run| {
            let live = self.runs.get(run)?;
            matches!(live.share, RunSharing::Fills(_)).then_some(live.placed)
        });
        filled.min().unwrap_or(now.at).max(worker.calm)
    }

    /// Learns about headrooms and pairs from what services reported beside these fills.
    fn learn(&mut self, services: &[Service], beside: &[NeighborFill], now: Now) {
        for service in services {
            let track = self.load_tracks.entry(service.run.task.job).or_default();
            let own = track.trend(now.at).map(|trend| trend.level);
            self.interference
                .learn(service.image, service.times, own, beside);
            let pressure = self.interference.pressure(service.image, beside);
            let own = self.interference.headroom(service.image, service.times) + pressure;
            track.note(own, pressure, now.at);
            if let Some(live) = self.runs.get_mut(&service.run) {
                live.headroom = Some(own);
            }
        }
    }

    fn services_of(&self, worker: &Worker) -> Vec<Service> {
        let served = worker.runs.iter().filter_map(|run| {
            let live = self.runs.get(run)?;
            let RunSharing::Serves(image, target) = live.share else {
                return None;
            };
            #[expect(clippy::cast_precision_loss, reason = "milliseconds of a tail")]
            let tail = live.tail.filter(|tail| *tail > 0)? as f64;
            Some(Service {
                run: *run,
                image,
                times: target.max(1.0) / tail,
            })
        });
        served.collect()
    }

    /// What filled there over the time that a report averages: fills begin and end within
    /// it more often than not.
    fn fills_of(&self, worker: &Worker, now: Now) -> Vec<NeighborFill> {
        let whole = whole_of(worker);
        let span = self.terms.report.as_secs_f64();
        let since = |at: Duration| now.at.saturating_sub(at).as_secs_f64() / span;
        let fills = worker.runs.iter().filter_map(|run| {
            let live = self.runs.get(run)?;
            let (RunSharing::Fills(image), Stage::Started(at)) = (live.share, live.stage) else {
                return None;
            };
            let share = live.asked * f64::from(live.pace) / 100.0 / whole;
            let share = share * since(at).min(1.0);
            Some(NeighborFill { image, share })
        });
        let left = worker.left.iter().filter_map(|(image, share, at)| {
            let share = share * (1.0 - since(*at));
            (share > 0.0).then_some(NeighborFill {
                image: *image,
                share,
            })
        });
        fills.chain(left).collect()
    }

    /// Notes a fill that has ended, for the reports that still show it.
    pub(super) fn note_fill_ended(&mut self, live: &LiveRun, now: Now) {
        let (RunSharing::Fills(image), Stage::Started(_)) = (live.share, live.stage) else {
            return;
        };
        let report = self.terms.report;
        let Some(worker) = self.workers.get_mut(&live.worker) else {
            return;
        };
        let share = live.asked * f64::from(live.pace) / 100.0 / whole_of(worker);
        worker.left.retain(|(_, _, at)| now.at < *at + report);
        worker.left.push((image, share, now.at));
    }

    /// Chooses the pace of each fill anew: all work in full, less what the services
    /// cannot bear by what is known of the pairs, the most harmful first.
    fn choose_paces(
        &mut self,
        id: &Incarnation,
        services: &[Service],
        beside: &[NeighborFill],
        over: Duration,
        now: Now,
    ) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let kept = kept_after(over);
        let whole = whole_of(worker);
        let fills = worker.runs.iter().filter_map(|run| {
            let live = self.runs.get(run)?;
            let RunSharing::Fills(image) = live.share else {
                return None;
            };
            Some(Fill {
                run: *run,
                image,
                full: live.asked / whole,
                part: 1.0,
                late: self.lateness_of(run.task, now),
            })
        });
        let mut fills: Vec<Fill> = fills.collect();
        for service in services {
            let pressure = self.interference.pressure(service.image, beside);
            let own = self.interference.headroom(service.image, service.times) + pressure;
            let follow = self.terms.switches.follow_slopes;
            let track = self.load_tracks.get_mut(&service.run.task.job);
            let track = track.filter(|_| follow);
            let slope = track
                .and_then(|track| track.trend(now.at))
                .map_or(0.0, |trend| trend.slope);
            let expected = own + slope * AHEAD;
            let floor = self.interference.floor(service.image);
            let room = expected - floor - kept * (1.0 - floor).max(0.0);
            self.relieve(service.image, room, &mut fills);
        }
        let still = over > STILL_AFTER;
        for fill in fills {
            let goal = if still { 0 } else { percent(fill.part * 100.0) };
            self.set_pace(fill.run, goal, now);
        }
    }

    /// Takes from the fills what a service cannot bear beyond `room`.
    fn relieve(&self, serves: Image, room: f64, fills: &mut [Fill]) {
        let factor = |fill: &Fill| self.interference.factor(serves, fill.image);
        let pressure: f64 = fills
            .iter()
            .map(|fill| factor(fill) * fill.full * fill.part)
            .sum();
        let mut excess = pressure - room;
        if excess <= 0.0 {
            return;
        }
        // What is late gives way first, then what is most harmful.
        fills.sort_by(|one, two| {
            two.late
                .cmp(&one.late)
                .then(factor(two).total_cmp(&factor(one)))
        });
        for fill in fills {
            let harm = (factor(fill) * fill.full).max(1e-6);
            let cut = (excess / harm).min(fill.part);
            fill.part -= cut;
            excess -= cut * harm;
            if excess <= 0.0 {
                return;
            }
        }
    }

    fn set_pace(&mut self, run: Run, goal: u32, now: Now) {
        let delay = self.terms.pace_delay;
        let Some(live) = self.runs.get_mut(&run) else {
            return;
        };
        let small = live.pace_goal.abs_diff(goal) < STEP && goal > 0 && goal < 100;
        if live.stop != Stop::None || live.pace_goal == goal || small {
            return;
        }
        tracing::debug!(task = %run.task, run = run.number, worker = %live.worker, from = live.pace_goal, to = goal, "pace changed");
        live.pace_goal = goal;
        live.slow = (goal < SLOW).then_some(live.slow.unwrap_or(now.at));
        if let Some(worker) = self.workers.get_mut(&live.worker) {
            // Reports are averages over half a second: older ones say nothing of it.
            worker.settled = now.at + delay + self.terms.report / 2;
            worker.wake();
        }
    }
}

fn whole_of(worker: &Worker) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "thousandths of processors")]
    let whole = worker.pool.capacity().processors as f64;
    whole.max(1.0)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "between 0 and 100"
)]
fn percent(value: f64) -> u32 {
    value.clamp(0.0, 100.0).floor() as u32
}
