//! How much the owner of a log may have under way at workers, and how long it waits for
//! their answers, by how long answers take.
//!
//! An owner that sends more than its link or processor carries queues its own orders. If it
//! took that for silence of the workers it would drop good connections and send again, which
//! keeps the queue full: more work for less. So what waits, waits in the program
//! ([`Pressure::free`]), and slowness that most workers share is the owner's own: it is
//! waited out ([`Pressure::patience`]).

use std::collections::VecDeque;
use std::time::Duration;

use crate::workflow::incarnation::Incarnation;

/// Workers whose last answers are compared; a few that are slow do not move the middle.
const SAMPLES: usize = 33;
/// Time for which an answer says how long others take; a queue lasts for less or shows again.
const FRESH: Duration = Duration::from_secs(2);
/// How many times the usual delay an answer may take: queues vary by less within a second.
const PATIENCE: u32 = 4;
/// Delay that counts as a queue, above the least seen lately. The way to another zone and
/// back takes some 3 ms, a busy instance up to 100 ms. At 60 ms an owner short of processor
/// held back what it could carry: it served 0.46 in place of 0.89 of a calm day.
const QUEUED: Duration = Duration::from_millis(150);
/// Time after which the least delay is measured anew.
const MEMORY: Duration = Duration::from_secs(10);
/// Orders that may always be under way: enough for 200 a second at 150 ms each, and a
/// queue of 0.6 s on a link that carries 50 a second.
const WINDOW_MIN: f64 = 32.0;
/// Orders that may be under way before anything was measured.
const WINDOW_FIRST: f64 = 64.0;
/// More are never under way: one for each of some thousand workers.
const WINDOW_MAX: f64 = 4096.0;
/// By how much the window grows while as many orders are answered as it holds.
const GROWTH: f64 = 2.0;
/// What is left of the window when there is a queue.
const SHRINK: f64 = 0.7;

/// One answer.
#[derive(Clone, Debug)]
struct Sample {
    worker: Incarnation,
    took: Duration,
    at: Duration,
}

/// Delays of the answers to one owner, and what follows from them.
#[derive(Clone, Debug)]
pub struct Congestion {
    /// Last answers of some workers, oldest first.
    samples: VecDeque<Sample>,
    /// The middle of them.
    usual: Duration,
    /// Least `usual` of the spell under way, and of the one before it.
    least: [Duration; 2],
    spell: Duration,
    window: f64,
    shrunk: Duration,
    under_way: usize,
    /// When something last had to wait for the window.
    limited: Option<Duration>,
}

impl Default for Congestion {
    fn default() -> Self {
        Self {
            samples: VecDeque::new(),
            usual: Duration::ZERO,
            least: [Duration::MAX; 2],
            spell: Duration::ZERO,
            window: WINDOW_FIRST,
            shrunk: Duration::ZERO,
            under_way: 0,
            limited: None,
        }
    }
}

impl Congestion {
    /// An order goes out.
    pub fn note_sent(&mut self) {
        self.under_way += 1;
    }

    /// An order was answered, or given up, after this delay.
    pub fn note_order(&mut self, worker: &Incarnation, took: Duration, now: Duration) {
        let used = self.under_way * 2 >= self.open();
        self.under_way = self.under_way.saturating_sub(1);
        self.note_delay(worker, took, now);
        if self.is_congested() {
            self.shrink(now);
        } else if used {
            // A window that nothing fills says nothing of what could be carried.
            self.window = (self.window + GROWTH / self.window).min(WINDOW_MAX);
        }
    }

    /// An order to a worker that is gone by now has ended.
    pub fn note_end(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// A worker took this long for an answer, beyond what it was asked to wait.
    pub fn note_delay(&mut self, worker: &Incarnation, took: Duration, now: Duration) {
        if let Some(place) = self.samples.iter().position(|it| it.worker == *worker) {
            self.samples.remove(place);
        } else if self.samples.len() >= SAMPLES {
            self.samples.pop_front();
        }
        let worker = worker.clone();
        let at = now;
        self.samples.push_back(Sample { worker, took, at });
        self.measure();
        if now >= self.spell + MEMORY {
            self.spell = now;
            self.least = [Duration::MAX, self.least[0]];
        }
        self.least[0] = self.least[0].min(self.usual);
    }

    fn measure(&mut self) {
        let mut delays: Vec<Duration> = self.samples.iter().map(|it| it.took).collect();
        let middle = delays.len() / 2;
        self.usual = if delays.is_empty() {
            Duration::ZERO
        } else {
            *delays.select_nth_unstable(middle).1
        };
    }

    /// Forgets answers of long ago.
    pub fn forget_old(&mut self, now: Duration) {
        let old = self.samples.iter().take_while(|it| it.at + FRESH < now);
        let old = old.count();
        if old > 0 {
            self.samples.drain(..old);
            self.measure();
        }
    }

    fn shrink(&mut self, now: Duration) {
        // What was sent before the last cut tells nothing of it.
        if now < self.shrunk + self.usual {
            return;
        }
        self.shrunk = now;
        self.window = (self.window * SHRINK).max(WINDOW_MIN);
    }

    /// What most workers take for an answer.
    #[must_use]
    pub fn usual(&self) -> Duration {
        self.usual
    }

    /// Whether answers wait in a queue that most workers share.
    #[must_use]
    pub fn is_congested(&self) -> bool {
        let least = self.least[0].min(self.least[1]);
        self.usual > least.saturating_add(QUEUED)
    }

    /// How long to wait for an answer: `least`, or longer when most take long.
    #[must_use]
    pub fn timeout(&self, least: Duration, most: Duration) -> Duration {
        (self.usual * PATIENCE).clamp(least, most.max(least))
    }

    /// How many more orders may go out.
    #[must_use]
    pub fn available_slots(&self) -> usize {
        self.open().saturating_sub(self.under_way)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between its least and its most"
    )]
    fn open(&self) -> usize {
        self.window as usize
    }

    /// Orders that may be under way.
    #[must_use]
    pub fn window(&self) -> f64 {
        self.window
    }

    /// Orders under way.
    #[must_use]
    pub fn under_way(&self) -> usize {
        self.under_way
    }

    /// Something has to wait.
    pub fn note_limit(&mut self, now: Duration) {
        self.limited = Some(now);
    }

    /// Whether something had to wait within `span`.
    #[must_use]
    pub fn was_limited(&self, span: Duration, now: Duration) -> bool {
        self.limited.is_some_and(|at| now < at + span)
    }
}
