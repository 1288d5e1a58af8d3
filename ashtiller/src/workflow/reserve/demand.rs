//! Demand of short tasks, learned for each service and queue.
//!
//! The demand of a queue is what its runs use plus what its tasks wait for. Its peak is the maximum
//! over a window that is longer than the period of the traffic; older peaks decay. The shapes of
//! recent steps tell what a single step needs at once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::resources::Resources;
use crate::workflow::job::Step;
use crate::workflow::load::account::Usage;

/// Length of the parts of the window of peaks.
const PEAK_BUCKET: Duration = Duration::from_secs(2);
/// Number of these parts. Traffic varies with periods of 11 to 13 s, so that 16 s always hold the
/// peak of a wave. A shorter memory gives the reserve away in each trough.
const PEAK_BUCKETS: u32 = 8;
/// Time in which a peak that has left the window decays to 1/e.
const PEAK_DECAY: Duration = Duration::from_secs(8);
/// Time over which a rise of demand is measured. A burst reaches its height within about the run
/// time of a short task, which is 0.7 to 0.8 s.
const RISE_SPAN: Duration = Duration::from_secs(1);
/// Time ahead for which the fastest recent rise is added to the present demand: capacity that a
/// long-running task has taken does not come back while a burst builds up.
const RISE_LEAD: f64 = 1.0;
/// Factor on the peak, for a burst that is higher than those before. Bursts multiply traffic by 1.4
/// to 2.6, but of one queue at a time, and most waves are within the window.
const PEAK_MARGIN: f64 = 1.3;
/// The same factor for a queue that was first seen less than a window ago: its peak may be yet to
/// come. Traffic that varies by 55 % has peaks of 1.55 times the mean, before any burst.
const YOUNG_PEAK_MARGIN: f64 = 2.0;
/// Time for which the shape of a step counts as recent: several periods of the traffic.
const SHAPE_LIFETIME: Duration = Duration::from_secs(40);
/// Limit of the queues that are remembered.
const QUEUES_MAX: usize = 32;
/// Limit of the shapes that are remembered of a queue.
const SHAPES_MAX: usize = 6;
/// Longest label of a worker in bytes.
const LABEL_BYTES_MAX: usize = 200;
/// Number of tasks below which the peak of a queue is forgotten.
const PEAK_MIN: f64 = 0.5;
/// First byte of an encoded history. Histories with another one are ignored.
const VERSION: u8 = 1;

/// Number of tasks and the sums of what they request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Amounts {
    tasks: f64,
    processors: f64,
    memory: f64,
    accelerators: f64,
}

impl Amounts {
    #[expect(clippy::cast_precision_loss, reason = "sums of requests")]
    fn of(usage: &Usage) -> Self {
        Self {
            tasks: f64::from(usage.tasks),
            processors: usage.resources.processors as f64,
            memory: usage.resources.memory as f64,
            accelerators: f64::from(usage.resources.accelerators),
        }
    }

    fn map_with(&self, other: &Self, apply: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            tasks: apply(self.tasks, other.tasks),
            processors: apply(self.processors, other.processors),
            memory: apply(self.memory, other.memory),
            accelerators: apply(self.accelerators, other.accelerators),
        }
    }

    fn max(&self, other: &Self) -> Self {
        self.map_with(other, f64::max)
    }

    fn times(&self, factor: f64) -> Self {
        self.map_with(self, |amount, _| amount * factor)
    }
}

/// Maximum over a window of time, with a decaying tail.
#[derive(Clone, Debug, Default)]
struct Peak {
    buckets: [Amounts; PEAK_BUCKETS as usize],
    /// Number of the newest bucket, counted from time zero.
    newest: u64,
    /// Largest amounts before the window, at the end of the newest bucket.
    tail: Amounts,
}

impl Peak {
    /// Moves the window to `now`.
    fn advance(&mut self, now: Duration) {
        let newest = u64::try_from(now.as_millis() / PEAK_BUCKET.as_millis()).unwrap_or(u64::MAX);
        let skipped = newest
            .saturating_sub(self.newest)
            .min(u64::from(PEAK_BUCKETS));
        for step in (0..skipped).rev() {
            let bucket = &mut self.buckets[index_of(newest - step)];
            let left = std::mem::take(bucket);
            let decayed = self
                .tail
                .times((-PEAK_BUCKET.div_duration_f64(PEAK_DECAY)).exp());
            self.tail = decayed.max(&left);
        }
        self.newest = self.newest.max(newest);
    }

    fn note(&mut self, amounts: &Amounts) {
        let bucket = &mut self.buckets[index_of(self.newest)];
        *bucket = bucket.max(amounts);
    }

    fn value(&self) -> Amounts {
        self.buckets.iter().fold(self.tail, |peak, it| peak.max(it))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "less than the number of buckets"
)]
fn index_of(bucket: u64) -> usize {
    (bucket % u64::from(PEAK_BUCKETS)) as usize
}

/// A number of tasks of one size that a step needs to start at once.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Extent {
    count: u32,
    unit: Resources,
}

/// Extents of the steps with the largest tasks by processors, by memory and by accelerators, and of
/// the step with the most tasks.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Extents([Extent; 4]);

impl Extents {
    fn note(&mut self, extent: Extent) {
        let measures: [fn(&Extent) -> u64; 4] = [
            |it| it.unit.processors,
            |it| it.unit.memory,
            |it| it.unit.accelerators.into(),
            |it| it.count.into(),
        ];
        for (largest, measure) in self.0.iter_mut().zip(measures) {
            let order = |it: &Extent| (measure(it), it.count, it.unit.processors);
            if order(&extent) > order(largest) {
                *largest = extent;
            }
        }
    }

    fn merge(mut self, other: &Self) -> Self {
        for extent in other.0 {
            self.note(extent);
        }
        self
    }

    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Where the tasks of a step may run.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Place {
    /// Labels that a worker has to have, among them the rack that holds the data.
    pub labels: Vec<Arc<str>>,
    /// Largest number of tasks of a step on one worker; 0 for no limit.
    pub spread: u32,
}

impl Place {
    /// Returns where the tasks of a step may run without loss.
    #[must_use]
    pub fn of(step: &Step) -> Self {
        let labels = step.label.iter().chain(&step.rack);
        Self {
            labels: labels.cloned().collect(),
            spread: step.spread,
        }
    }

    fn is_restricted(&self) -> bool {
        !self.labels.is_empty() || self.spread > 0
    }
}

/// Recent steps with one kind of restriction.
#[derive(Clone, Debug)]
struct Shape {
    place: Place,
    /// Extents in the present and in the previous half of the lifetime.
    recent: Extents,
    earlier: Extents,
    turned_at: Duration,
    seen_at: Duration,
}

impl Shape {
    fn new(place: Place, now: Duration) -> Self {
        Self {
            place,
            recent: Extents::default(),
            earlier: Extents::default(),
            turned_at: now,
            seen_at: now,
        }
    }

    /// Forgets extents that are older than the lifetime. Returns false if none is left.
    fn expire(&mut self, now: Duration) -> bool {
        if now >= self.turned_at + SHAPE_LIFETIME / 2 {
            self.earlier = std::mem::take(&mut self.recent);
            self.turned_at = now;
        }
        !(self.recent.is_empty() && self.earlier.is_empty())
    }

    fn extents(&self) -> Extents {
        self.recent.merge(&self.earlier)
    }
}

/// Demand of the short tasks of one queue.
#[derive(Clone, Debug, Default)]
struct QueueDemand {
    present: Amounts,
    peak: Peak,
    /// Peak of the growth in a second.
    rise: Peak,
    /// Demand as of the last measurement of its growth.
    rise_base: Option<(Duration, Amounts)>,
    shapes: Vec<Shape>,
    /// Time until which the peak may be yet to come.
    young_until: Duration,
}

impl QueueDemand {
    fn new(now: Duration) -> Self {
        Self {
            young_until: now + PEAK_BUCKET * PEAK_BUCKETS,
            ..Self::default()
        }
    }

    fn observe(&mut self, usage: &Usage, now: Duration) {
        self.present = Amounts::of(usage);
        self.peak.advance(now);
        self.peak.note(&self.present);
        self.rise.advance(now);
        match self.rise_base {
            Some((at, base)) if now >= at + RISE_SPAN => {
                let seconds = now.saturating_sub(at).as_secs_f64();
                let growth = |now: f64, before: f64| (now - before).max(0.0) / seconds;
                self.rise.note(&self.present.map_with(&base, growth));
                self.rise_base = Some((now, self.present));
            }
            Some(_) => {}
            None => self.rise_base = Some((now, self.present)),
        }
        self.shapes.retain_mut(|shape| shape.expire(now));
    }

    fn note_shape(&mut self, place: Place, extent: Extent, now: Duration) {
        let known = self.shapes.iter().position(|shape| shape.place == place);
        let index = known.unwrap_or_else(|| {
            if self.shapes.len() >= SHAPES_MAX {
                let oldest = (0..self.shapes.len()).min_by_key(|it| self.shapes[*it].seen_at);
                self.shapes.swap_remove(oldest.unwrap_or_default());
            }
            self.shapes.push(Shape::new(place, now));
            self.shapes.len() - 1
        });
        let shape = &mut self.shapes[index];
        shape.seen_at = now;
        shape.recent.note(extent);
    }

    /// Returns the number of tasks to reserve for: the peak, or the present demand after the fastest
    /// recent rise if that is more, with a margin.
    fn expected_tasks(&self, now: Duration) -> f64 {
        let risen = self.present.tasks + self.rise.value().tasks * RISE_LEAD;
        let margin = if now < self.young_until {
            YOUNG_PEAK_MARGIN
        } else {
            PEAK_MARGIN
        };
        self.peak.value().tasks.max(risen) * margin
    }

    fn is_over(&self) -> bool {
        self.shapes.is_empty() && self.peak.value().tasks < PEAK_MIN
    }
}

/// Encoded demand of a queue.
#[derive(Debug, Deserialize, Serialize)]
struct QueueRecord {
    service: Arc<str>,
    queue: Arc<str>,
    /// Peak: thousandths of tasks, then sums of their requests.
    tasks: u64,
    processors: u64,
    memory: u64,
    accelerators: u64,
    /// Fastest rise, in thousandths of tasks per second.
    rise: u64,
    shapes: Vec<(Place, Extents)>,
}

/// Gaps that short tasks need: free space for a number of tasks of one size.
#[derive(Clone, Debug, PartialEq)]
pub struct GapNeed {
    /// Where the gaps have to be.
    pub place: Place,
    /// Size of a gap.
    pub unit: Resources,
    /// Number of gaps.
    pub count: u64,
    /// Whether they are for the whole demand of the service, not for a single step.
    pub covers_all: bool,
}

impl GapNeed {
    /// Returns whether meeting `other` meets this need as well.
    fn is_within(&self, other: &Self) -> bool {
        self.place == other.place && self.unit.fits_within(&other.unit) && self.count <= other.count
    }
}

/// Demand of short tasks by service and queue.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    queues: BTreeMap<(Arc<str>, Arc<str>), QueueDemand>,
}

/// Present demand of short tasks by service and queue.
pub type DemandReading = BTreeMap<(Arc<str>, Arc<str>), Usage>;

impl DemandHistory {
    /// Adds a reading. Queues that are not in it have no demand.
    pub fn observe(&mut self, reading: &DemandReading, now: Duration) {
        for (key, usage) in reading {
            if !self.queues.contains_key(key) && usage.tasks > 0 {
                self.add_queue(key, usage, now);
            }
        }
        let none = Usage::default();
        self.queues.retain(|key, demand| {
            demand.observe(reading.get(key).unwrap_or(&none), now);
            !demand.is_over()
        });
    }

    /// Adds a queue, in place of the one with the fewest tasks if there are too many.
    fn add_queue(&mut self, key: &(Arc<str>, Arc<str>), usage: &Usage, now: Duration) {
        if self.queues.len() >= QUEUES_MAX {
            let peaks = self
                .queues
                .iter()
                .map(|(key, it)| (it.peak.value().tasks, key));
            let Some((tasks, smallest)) = peaks.min_by(|a, b| a.0.total_cmp(&b.0)) else {
                return;
            };
            if tasks >= f64::from(usage.tasks) {
                return;
            }
            let smallest = smallest.clone();
            self.queues.remove(&smallest);
        }
        self.queues.insert(key.clone(), QueueDemand::new(now));
    }

    /// Records the shape of a short step that can start.
    pub fn note_step(&mut self, key: &(Arc<str>, Arc<str>), step: &Step, now: Duration) {
        let extent = Extent {
            count: step.count,
            unit: step.needs,
        };
        let place = Place::of(step);
        // No worker has such a label.
        if place
            .labels
            .iter()
            .any(|label| label.len() > LABEL_BYTES_MAX)
        {
            return;
        }
        if let Some(demand) = self.queues.get_mut(key) {
            demand.note_shape(place, extent, now);
        }
    }

    /// Returns the gaps that the short tasks of a service need: in sum at the expected peak, and
    /// for each shape of a recent step as many as that step needs at once.
    #[must_use]
    pub fn needs(&self, service: &str, now: Duration) -> Vec<GapNeed> {
        let queues = self.queues.iter();
        let queues = queues.filter(|((name, _), _)| **name == *service);
        let mut peaks = Amounts::default();
        let mut expected = 0.0;
        let mut needs: Vec<GapNeed> = Vec::new();
        for (_, demand) in queues {
            let peak = demand.peak.value();
            peaks = peaks.map_with(&peak, |sum, amount| sum + amount);
            expected += demand.expected_tasks(now);
            let mut accelerators = 0;
            for shape in &demand.shapes {
                let Extents([processors, memory, devices, widest]) = shape.extents();
                for extent in [processors, memory, devices] {
                    add_need(&mut needs, &shape.place, extent);
                }
                // The sum covers the widest step of those that may run anywhere.
                if shape.place.is_restricted() {
                    add_need(&mut needs, &shape.place, widest);
                }
                accelerators = accelerators.max(devices.unit.accelerators);
            }
            needs.extend(accelerator_need(&peak, accelerators));
        }
        if let Some(unit) = mean_task(&peaks) {
            needs.insert(
                0,
                GapNeed {
                    place: Place::default(),
                    unit,
                    count: whole(expected),
                    covers_all: true,
                },
            );
        }
        needs
    }

    /// Returns the services with demand.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        let services: BTreeSet<_> = self.queues.keys().map(|(service, _)| service).collect();
        services.into_iter()
    }

    /// Encodes the history for later owners; empty if there is none.
    #[must_use]
    pub fn export(&self) -> Vec<u8> {
        let records = self.queues.iter().map(|((service, queue), demand)| {
            let peak = demand.peak.value();
            let shapes = demand.shapes.iter();
            QueueRecord {
                service: service.clone(),
                queue: queue.clone(),
                tasks: whole(peak.tasks * 1000.0),
                processors: whole(peak.processors),
                memory: whole(peak.memory),
                accelerators: whole(peak.accelerators),
                rise: whole(demand.rise.value().tasks * 1000.0),
                shapes: shapes.map(|it| (it.place.clone(), it.extents())).collect(),
            }
        });
        let records: Vec<QueueRecord> = records.collect();
        if records.is_empty() {
            return Vec::new();
        }
        postcard::to_extend(&records, vec![VERSION]).unwrap_or_default()
    }

    /// Decodes a history that an earlier owner has encoded, and takes it as current. A history of
    /// another version, or one that cannot be decoded, counts as none.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "sums of requests")]
    pub fn import(bytes: &[u8], now: Duration) -> Self {
        let records = match bytes.split_first() {
            Some((&VERSION, rest)) => postcard::from_bytes::<Vec<QueueRecord>>(rest),
            _ => Ok(Vec::new()),
        };
        let records = records.unwrap_or_else(|error| {
            tracing::warn!(%error, "learned demand cannot be decoded: starting without");
            Vec::new()
        });
        let queues = records.into_iter().take(QUEUES_MAX).map(|record| {
            let mut demand = QueueDemand::default();
            demand.peak.advance(now);
            demand.peak.note(&Amounts {
                tasks: record.tasks as f64 / 1000.0,
                processors: record.processors as f64,
                memory: record.memory as f64,
                accelerators: record.accelerators as f64,
            });
            demand.rise.advance(now);
            demand.rise.note(&Amounts {
                tasks: record.rise as f64 / 1000.0,
                ..Amounts::default()
            });
            let shapes = record.shapes.into_iter().take(SHAPES_MAX);
            let shapes = shapes.map(|(place, extents)| Shape {
                recent: extents,
                ..Shape::new(place, now)
            });
            demand.shapes = shapes.collect();
            ((record.service, record.queue), demand)
        });
        Self {
            queues: queues.collect(),
        }
    }
}

/// Adds the need of a step unless another one covers it.
fn add_need(needs: &mut Vec<GapNeed>, place: &Place, extent: Extent) {
    let need = GapNeed {
        place: place.clone(),
        unit: extent.unit,
        count: extent.count.into(),
        covers_all: false,
    };
    if extent.count == 0 || needs.iter().any(|it| need.is_within(it)) {
        return;
    }
    needs.retain(|it| !it.is_within(&need));
    needs.push(need);
}

/// Returns the gaps with accelerators that a queue needs at its peak.
fn accelerator_need(peak: &Amounts, largest: u32) -> Option<GapNeed> {
    if peak.accelerators < PEAK_MIN {
        return None;
    }
    let accelerators = largest.max(1);
    let unit = mean_task(peak).unwrap_or_default();
    Some(GapNeed {
        place: Place::default(),
        unit: Resources {
            accelerators,
            ..unit
        },
        count: whole(peak.accelerators / f64::from(accelerators) * PEAK_MARGIN),
        covers_all: false,
    })
}

/// Returns the processors and memory of the mean task.
fn mean_task(peaks: &Amounts) -> Option<Resources> {
    (peaks.tasks >= PEAK_MIN).then(|| Resources {
        // Rounded up, a mean of equal tasks could exceed them by an error of the division.
        processors: whole((peaks.processors / peaks.tasks).round()),
        memory: whole((peaks.memory / peaks.tasks).round()),
        accelerators: 0,
    })
}

/// Returns the next whole number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "not negative, and saturating"
)]
fn whole(amount: f64) -> u64 {
    amount.ceil() as u64
}
