//! Load patterns against a link that carries so much and no more: what does not fit must
//! not cost what does.

use std::collections::VecDeque;
use std::time::Duration;

use ashtiller::workflow::agents::ORDER_TIMEOUT_MIN;
use ashtiller::workflow::congestion::Congestion;
use ashtiller::workflow::incarnation::Incarnation;

const MS: Duration = Duration::from_millis(1);
/// Workers that orders go to in turn.
const WORKERS: usize = 144;
/// Most that an order is waited for.
const MOST: Duration = Duration::from_millis(1600);
/// Way to a worker and back.
const WAY: Duration = Duration::from_millis(5);

/// Orders on a link that carries one at a time.
struct Link {
    pressure: Congestion,
    now: Duration,
    /// Orders that wait in the program.
    waiting: f64,
    /// Orders on the link, by when they were sent and until when they are waited for.
    queue: VecDeque<(Duration, Duration)>,
    /// Time that the link has worked off.
    served: f64,
    next: usize,
    /// Orders that were answered in time.
    good: u32,
}

impl Link {
    fn new() -> Self {
        Self {
            pressure: Congestion::default(),
            now: Duration::from_secs(1),
            waiting: 0.0,
            queue: VecDeque::new(),
            served: 0.0,
            next: 0,
            good: 0,
        }
    }

    fn worker(&mut self) -> Incarnation {
        self.next = (self.next + 1) % WORKERS;
        format!("w{}", self.next).into()
    }

    /// One millisecond in which `offered` orders a second come and `carried` go through.
    fn step(&mut self, offered: f64, carried: f64) {
        self.now += MS;
        self.waiting += offered / 1000.0;
        while self.waiting >= 1.0 && self.pressure.available_slots() > 0 {
            self.waiting -= 1.0;
            self.pressure.note_sent();
            let patience = self.pressure.timeout(ORDER_TIMEOUT_MIN, MOST);
            self.queue.push_back((self.now, self.now + patience));
        }
        self.served = (self.served + carried / 1000.0).min(8.0);
        while self.served >= 1.0 {
            let Some((sent, until)) = self.queue.pop_front() else {
                return;
            };
            self.served -= 1.0;
            let worker = self.worker();
            if self.now + WAY <= until {
                self.good += 1;
                let took = (self.now + WAY).saturating_sub(sent);
                self.pressure.note_order(&worker, took, self.now);
            } else {
                // Given up before, and sent again.
                let took = until.saturating_sub(sent);
                self.pressure.note_order(&worker, took, self.now);
                self.waiting += 1.0;
            }
        }
    }

    /// Orders answered a second over `span`.
    fn play(&mut self, offered: f64, carried: f64, span: Duration) -> f64 {
        let before = self.good;
        for _ in 0..span.as_millis() {
            self.step(offered, carried);
        }
        f64::from(self.good - before) / span.as_secs_f64()
    }
}

const CARRIED: f64 = 400.0;

#[test]
fn offered_more_than_it_carries_the_link_does_as_much_as_ever() {
    for factor in [1.0, 2.0, 4.0, 10.0] {
        let mut link = Link::new();
        let good = link.play(CARRIED * factor, CARRIED, Duration::from_secs(10));
        assert!(good > 0.9 * CARRIED, "{factor} times: {good} a second");
    }
}

#[test]
fn a_link_that_is_squeezed_keeps_doing_what_it_can() {
    let mut link = Link::new();
    link.play(300.0, CARRIED, Duration::from_secs(5));
    let squeezed = CARRIED / 8.0;
    let good = link.play(300.0, squeezed, Duration::from_secs(20));
    assert!(good > 0.9 * squeezed, "{good} a second");
}

#[test]
fn after_a_burst_answers_are_prompt_within_two_seconds_of_its_work() {
    let mut link = Link::new();
    link.play(200.0, CARRIED, Duration::from_secs(5));
    link.waiting += 2000.0;
    let done = 2000.0 / (CARRIED - 200.0);
    link.play(200.0, CARRIED, Duration::from_secs_f64(done + 2.0));
    assert!(link.waiting < 20.0, "{} wait", link.waiting);
    assert!(
        link.pressure.usual() < 40 * MS,
        "{:?}",
        link.pressure.usual()
    );
}

#[test]
fn twice_at_once_a_squeezed_link_and_a_burst_end_well() {
    let mut link = Link::new();
    link.play(200.0, CARRIED, Duration::from_secs(5));
    link.waiting += 2000.0;
    let good = link.play(200.0, 100.0, Duration::from_secs(10));
    assert!(good > 90.0, "{good} a second");
    link.play(200.0, CARRIED, Duration::from_secs(30));
    assert!(link.waiting < 20.0, "{} wait", link.waiting);
}

#[test]
fn a_few_silent_workers_change_neither_window_nor_patience() {
    let mut pressure = Congestion::default();
    let mut now = Duration::from_secs(1);
    for round in 0..2000u32 {
        now += 5 * MS;
        let silent = round % 3 == 0;
        let worker = if silent { round % 9 } else { 9 + round % 135 };
        pressure.note_sent();
        let took = if silent { ORDER_TIMEOUT_MIN } else { WAY };
        pressure.note_order(&format!("w{worker}").into(), took, now);
    }
    assert!(!pressure.is_congested());
    assert_eq!(pressure.timeout(ORDER_TIMEOUT_MIN, MOST), ORDER_TIMEOUT_MIN);
}

#[test]
fn slowness_that_most_workers_share_is_waited_out() {
    let mut pressure = Congestion::default();
    let mut now = Duration::from_secs(1);
    for (count, took) in [(100, WAY), (100, ORDER_TIMEOUT_MIN)] {
        for round in 0..count {
            now += 5 * MS;
            pressure.note_sent();
            pressure.note_order(&format!("w{round}").into(), took, now);
        }
    }
    assert!(pressure.is_congested());
    assert_eq!(
        pressure.timeout(ORDER_TIMEOUT_MIN, MOST),
        4 * ORDER_TIMEOUT_MIN
    );
    assert_eq!(pressure.timeout(ORDER_TIMEOUT_MIN, 800 * MS), 800 * MS);
}
