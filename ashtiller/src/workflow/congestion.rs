//! Congestion control for the orders of a log owner: limits the orders in flight and adapts
//! timeouts to the delays of workers' answers.
//!
//! An owner that sends more than its link or processor carries builds up a queue of its own orders.
//! If it mistook that for unresponsive workers, it would drop good connections and send again,
//! which keeps the queue full and makes useful work slower. So orders wait in the program
//! ([`Congestion::available_slots`]), and a delay that most workers share is attributed to the
//! owner itself: it waits longer ([`Congestion::timeout`]).

use std::collections::VecDeque;
use std::time::Duration;

use crate::workflow::incarnation::Incarnation;

/// Number of workers whose latest answers are compared; a few slow ones do not move the median.
const SAMPLES_MAX: usize = 33;
/// Time for which an answer predicts the delay of others; a queue lasts for less or shows again.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(2);
/// Multiple of the median delay that an answer may take; queues vary by less within a second.
const TIMEOUT_FACTOR: u32 = 4;
/// Delay above the recent minimum that counts as a queue. A round trip to another zone takes about
/// 3 ms, and one of a busy instance up to 100 ms. With 60 ms, an owner short of processor time held
/// back orders that it could carry: it reached 0.46 instead of 0.89 of the work of a calm day.
const QUEUE_DELAY: Duration = Duration::from_millis(150);
/// Time after which the minimum delay is measured anew.
const MINIMUM_LIFETIME: Duration = Duration::from_secs(10);
/// Orders that may always be in flight: enough for 200 a second at 150 ms each, and a queue of
/// 0.6 s on a link that carries 50 a second.
const WINDOW_MIN: f64 = 32.0;
/// Initial window, before anything was measured.
const WINDOW_FIRST: f64 = 64.0;
/// Largest window: one order for each of some thousand workers.
const WINDOW_MAX: f64 = 4096.0;
/// Growth of the window while as many orders are answered as it holds.
const WINDOW_GROWTH: f64 = 2.0;
/// Factor that shrinks the window when there is a queue.
const WINDOW_SHRINK: f64 = 0.7;

/// Delay of one answer.
#[derive(Clone, Debug)]
struct Sample {
    worker: Incarnation,
    took: Duration,
    at: Duration,
}

/// Delays of the answers to one owner, and the window and timeouts derived from them.
#[derive(Clone, Debug)]
pub struct Congestion {
    /// Latest answers of some workers, oldest first.
    samples: VecDeque<Sample>,
    /// Median delay of the samples.
    usual: Duration,
    /// Minimum of the median in the current measuring period, and in the one before.
    minimum: [Duration; 2],
    period_start: Duration,
    window: f64,
    shrunk_at: Duration,
    under_way: usize,
    /// Last time at which an order had to wait for the window.
    limited_at: Option<Duration>,
}

impl Default for Congestion {
    fn default() -> Self {
        Self {
            samples: VecDeque::new(),
            usual: Duration::ZERO,
            minimum: [Duration::MAX; 2],
            period_start: Duration::ZERO,
            window: WINDOW_FIRST,
            shrunk_at: Duration::ZERO,
            under_way: 0,
            limited_at: None,
        }
    }
}

impl Congestion {
    /// Counts an order that is sent.
    pub fn note_sent(&mut self) {
        self.under_way += 1;
    }

    /// Records that an order was answered, or abandoned, after this delay.
    pub fn note_order(&mut self, worker: &Incarnation, took: Duration, now: Duration) {
        let used = self.under_way * 2 >= self.window_slots();
        self.under_way = self.under_way.saturating_sub(1);
        self.note_delay(worker, took, now);
        if self.is_congested() {
            self.shrink_window(now);
        } else if used {
            // A window that is not used tells nothing about the capacity.
            self.window = (self.window + WINDOW_GROWTH / self.window).min(WINDOW_MAX);
        }
    }

    /// Records the end of an order to a worker that is gone.
    pub fn note_end(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// Records the delay of a worker's answer, without the time that it was asked to wait.
    pub fn note_delay(&mut self, worker: &Incarnation, took: Duration, now: Duration) {
        if let Some(place) = self.samples.iter().position(|it| it.worker == *worker) {
            self.samples.remove(place);
        } else if self.samples.len() >= SAMPLES_MAX {
            self.samples.pop_front();
        }
        let worker = worker.clone();
        let at = now;
        self.samples.push_back(Sample { worker, took, at });
        self.update_median();
        if now >= self.period_start + MINIMUM_LIFETIME {
            self.period_start = now;
            self.minimum = [Duration::MAX, self.minimum[0]];
        }
        self.minimum[0] = self.minimum[0].min(self.usual);
    }

    fn update_median(&mut self) {
        let mut delays: Vec<Duration> = self.samples.iter().map(|it| it.took).collect();
        let middle = delays.len() / 2;
        self.usual = if delays.is_empty() {
            Duration::ZERO
        } else {
            *delays.select_nth_unstable(middle).1
        };
    }

    /// Drops samples that are too old.
    pub fn forget_old(&mut self, now: Duration) {
        let old = self
            .samples
            .iter()
            .take_while(|it| it.at + SAMPLE_LIFETIME < now);
        let old = old.count();
        if old > 0 {
            self.samples.drain(..old);
            self.update_median();
        }
    }

    fn shrink_window(&mut self, now: Duration) {
        // Orders sent before the last reduction tell nothing about its effect.
        if now < self.shrunk_at + self.usual {
            return;
        }
        self.shrunk_at = now;
        self.window = (self.window * WINDOW_SHRINK).max(WINDOW_MIN);
    }

    /// Returns the median delay of an answer.
    #[must_use]
    pub fn usual(&self) -> Duration {
        self.usual
    }

    /// Reports whether answers are delayed by a queue that most workers share.
    #[must_use]
    pub fn is_congested(&self) -> bool {
        let least = self.minimum[0].min(self.minimum[1]);
        self.usual > least.saturating_add(QUEUE_DELAY)
    }

    /// Returns the timeout for an answer: `least`, or up to `most` when the median delay is high.
    #[must_use]
    pub fn timeout(&self, least: Duration, most: Duration) -> Duration {
        (self.usual * TIMEOUT_FACTOR).clamp(least, most.max(least))
    }

    /// Returns the number of further orders that may be sent.
    #[must_use]
    pub fn available_slots(&self) -> usize {
        self.window_slots().saturating_sub(self.under_way)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "bounded by WINDOW_MIN and WINDOW_MAX"
    )]
    fn window_slots(&self) -> usize {
        self.window as usize
    }

    /// Returns the window: the number of orders that may be in flight.
    #[must_use]
    pub fn window(&self) -> f64 {
        self.window
    }

    /// Returns the number of orders in flight.
    #[must_use]
    pub fn under_way(&self) -> usize {
        self.under_way
    }

    /// Records that an order has to wait for the window.
    pub fn note_limit(&mut self, now: Duration) {
        self.limited_at = Some(now);
    }

    /// Reports whether an order had to wait within `span`.
    #[must_use]
    pub fn was_limited(&self, span: Duration, now: Duration) -> bool {
        self.limited_at.is_some_and(|at| now < at + span)
    }
}
