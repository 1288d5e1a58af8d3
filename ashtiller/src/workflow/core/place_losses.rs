//! Losses of workers by what they have in common: their availability zone and their labels, of which
//! the rack is one. When most workers of such a place are lost at once, the place is the cause.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::workflow::incarnation::Incarnation;
use crate::workflow::record::Run;
use crate::workflow::worker::Worker;

/// Number of workers of a place that must be lost together for the place to be the cause.
const PLACE_WORKERS_MIN: usize = 3;
/// Part of a place's workers that must be lost together, as a divisor.
const PLACE_DIVISOR: usize = 2;
/// Uncertainty of the time of a loss that is noticed at once.
const NOTICE_DELAY: Duration = Duration::from_millis(125);
/// The same for a worker that has never answered this owner.
const UNHEARD_DELAY: Duration = Duration::from_secs(1);
/// Time for which losses are remembered. Workers that fell silent together are given up together,
/// after the longest lease.
const MEMORY: Duration = Duration::from_secs(30);
/// Time for which the numbers of workers are kept.
const SIZES_AGE_MAX: Duration = Duration::from_millis(20);

/// A zone or a label of a service's workers.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Place {
    service: Arc<str>,
    name: Arc<str>,
}

impl Place {
    /// Returns the name of the zone, or the label.
    pub fn name(&self) -> &Arc<str> {
        &self.name
    }
}

/// The time within which a worker was lost.
#[derive(Clone, Copy, Debug)]
struct LossInterval {
    from: Duration,
    to: Duration,
}

impl LossInterval {
    /// Returns the interval of a worker that fell silent or is found lost now.
    fn of(worker: &Worker, now: Duration) -> Self {
        let to = worker.silent_since.unwrap_or(now);
        // A connection that breaks shows the loss at once.
        let at_once = worker.broken_since.is_some() && worker.broken_since == worker.silent_since;
        let from = match worker.last_answer {
            _ if at_once => to.saturating_sub(NOTICE_DELAY),
            Duration::ZERO => to.saturating_sub(UNHEARD_DELAY),
            last => last.min(to),
        };
        Self { from, to }
    }

    fn at(moment: Duration) -> Self {
        Self {
            from: moment,
            to: moment,
        }
    }

    fn overlaps(self, other: Self) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

#[derive(Debug)]
struct Loss {
    interval: LossInterval,
    places: Vec<Place>,
    /// Runs whose loss tells against their tasks.
    runs: Vec<Run>,
}

/// The loss of most workers of a place at one moment.
#[derive(Clone, Debug)]
pub(super) struct PlaceLoss {
    pub place: Place,
    moment: Duration,
    /// Number of workers that were known to be lost when it was found.
    pub workers: usize,
}

/// Recent losses by place.
#[derive(Debug, Default)]
pub(super) struct PlaceLosses {
    losses: BTreeMap<Incarnation, Loss>,
    /// Lost workers of each place, by the end of the interval of their loss.
    by_place: BTreeMap<Place, BTreeSet<(Duration, Incarnation)>>,
    /// Numbers of workers by place, and when they were counted.
    sizes: (Option<Duration>, HashMap<Place, usize>),
    /// The last loss of most workers of each place.
    causes: BTreeMap<Place, PlaceLoss>,
}

fn places_of(worker: &Worker) -> Vec<Place> {
    let listed = &worker.listed;
    let names = std::iter::once(&listed.zone).chain(listed.labels.iter());
    let places = names.map(|name| Place {
        service: listed.service.clone(),
        name: name.clone(),
    });
    places.collect()
}

impl PlaceLosses {
    /// Adds a worker that fell silent or was found lost.
    pub fn note(&mut self, worker: &Worker, now: Duration) {
        let id = worker.incarnation();
        let interval = LossInterval::of(worker, now);
        let known = self.losses.get(id).map(|loss| loss.interval.to);
        if known == Some(interval.to) {
            return;
        }
        self.remove(id);
        let places = places_of(worker);
        for place in &places {
            let lost = self.by_place.entry(place.clone()).or_default();
            lost.insert((interval.to, id.clone()));
        }
        let runs = Vec::new();
        let loss = Loss {
            interval,
            places,
            runs,
        };
        self.losses.insert(id.clone(), loss);
    }

    /// Removes a worker that answers again.
    pub fn remove(&mut self, id: &Incarnation) {
        let Some(loss) = self.losses.remove(id) else {
            return;
        };
        for place in loss.places {
            if let Some(lost) = self.by_place.get_mut(&place) {
                lost.remove(&(loss.interval.to, id.clone()));
                if lost.is_empty() {
                    self.by_place.remove(&place);
                }
            }
        }
    }

    /// Forgets losses from before `limit`.
    fn forget_before(&mut self, limit: Duration) {
        let losses = self.losses.iter();
        let old = losses.filter(|(_, loss)| loss.interval.to < limit);
        for id in old.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.remove(&id);
        }
    }

    /// Counts the workers of each place, if they were not counted just now.
    pub fn count_workers<'a>(&mut self, workers: impl Iterator<Item = &'a Worker>, now: Duration) {
        if self.sizes.0.is_some_and(|at| now < at + SIZES_AGE_MAX) {
            return;
        }
        let limit = now.saturating_sub(MEMORY);
        self.forget_before(limit);
        self.causes.retain(|_, cause| cause.moment >= limit);
        let mut sizes = HashMap::new();
        let mut services = HashMap::new();
        let mut last = None;
        for worker in workers {
            // Former incarnations are kept for a while.
            let id = worker.incarnation();
            if last.replace(id).is_some_and(|last| last.is_same_worker(id)) {
                continue;
            }
            let service = worker.listed.service.clone();
            *services.entry(service).or_insert(0) += 1;
            for place in places_of(worker) {
                *sizes.entry(place).or_insert(0) += 1;
            }
        }
        // What all workers of a service have in common tells no loss from another.
        sizes.retain(|place, size| services.get(&place.service) != Some(size));
        self.sizes = (Some(now), sizes);
    }

    /// Returns what explains the loss of a worker, if most workers of a place were lost at the same
    /// moment, and whether that was found just now.
    pub fn find_cause(&mut self, id: &Incarnation) -> Option<(PlaceLoss, bool)> {
        let loss = self.losses.get(id)?;
        let known = loss
            .places
            .iter()
            .filter_map(|place| self.causes.get(place));
        let mut known =
            known.filter(|cause| loss.interval.overlaps(LossInterval::at(cause.moment)));
        if let Some(cause) = known.next() {
            return Some((cause.clone(), false));
        }
        let cause = loss.places.iter().find_map(|place| {
            let size = *self.sizes.1.get(place)?;
            let most = size.div_ceil(PLACE_DIVISOR).max(PLACE_WORKERS_MIN);
            let (moment, workers) = self.common_moment(place, loss.interval, most)?;
            Some(PlaceLoss {
                place: place.clone(),
                moment,
                workers,
            })
        })?;
        self.causes.insert(cause.place.clone(), cause.clone());
        Some((cause, true))
    }

    /// Adds runs whose loss with a worker tells against their tasks.
    pub fn note_runs(&mut self, id: &Incarnation, runs: impl Iterator<Item = Run>) {
        if let Some(loss) = self.losses.get_mut(id) {
            loss.runs.extend(runs);
        }
    }

    /// Removes and returns the runs, by worker, whose loss with a place tells against their tasks.
    pub fn take_runs(&mut self, cause: &PlaceLoss) -> Vec<(Incarnation, Vec<Run>)> {
        let workers = self.lost_in(&cause.place, LossInterval::at(cause.moment));
        let workers: Vec<Incarnation> = workers.map(|(id, _)| id.clone()).collect();
        let runs = workers.into_iter().filter_map(|id| {
            let runs = std::mem::take(&mut self.losses.get_mut(&id)?.runs);
            (!runs.is_empty()).then_some((id, runs))
        });
        runs.collect()
    }

    /// Returns the moment of an interval at which most workers of a place may have been lost, and
    /// their number, if at least `most` of them may have been at once.
    fn common_moment(
        &self,
        place: &Place,
        interval: LossInterval,
        most: usize,
    ) -> Option<(Duration, usize)> {
        if self.lost_in(place, interval).take(most).count() < most {
            return None;
        }
        let lost = self.lost_in(place, interval);
        let bounds = lost.flat_map(|(_, other)| {
            let from = other.from.max(interval.from);
            [(from, false), (other.to, true)]
        });
        let mut bounds: Vec<(Duration, bool)> = bounds.collect();
        // At one time, beginnings come before ends.
        bounds.sort_unstable();
        let (mut open, mut best) = (0, (0, interval.from));
        for (at, ends) in bounds {
            if ends {
                open -= 1;
            } else {
                open += 1;
                best = best.max((open, at));
            }
        }
        let (count, moment) = best;
        (count >= most).then_some((moment, count))
    }

    /// Returns the workers of a place that may have been lost within an interval.
    fn lost_in(
        &self,
        place: &Place,
        interval: LossInterval,
    ) -> impl Iterator<Item = (&Incarnation, LossInterval)> {
        let lost = self.by_place.get(place).into_iter();
        let lost = lost.flat_map(move |lost| lost.range((interval.from, Incarnation::from(""))..));
        let lost = lost.filter_map(|(_, id)| Some((id, self.losses.get(id)?.interval)));
        lost.filter(move |(_, other)| other.overlaps(interval))
    }
}
