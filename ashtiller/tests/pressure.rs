//! Load patterns against a link of limited throughput: excess load must not reduce goodput.

use std::collections::VecDeque;
use std::time::Duration;

use ashtiller::workflow::agents::ORDER_TIMEOUT_MIN;
use ashtiller::workflow::congestion::Congestion;
use ashtiller::workflow::incarnation::Incarnation;

const MS: Duration = Duration::from_millis(1);
/// Workers that receive orders in turn.
const WORKERS: usize = 144;
/// Longest timeout of an order.
const ORDER_TIMEOUT_MAX: Duration = Duration::from_millis(1600);
/// Round trip to a worker.
const ROUND_TRIP: Duration = Duration::from_millis(5);

/// A simulated link that carries one order at a time.
struct Link {
    congestion: Congestion,
    now: Duration,
    /// Orders that are not sent yet.
    waiting: f64,
    /// Orders on the link: when they were sent and when they time out.
    queue: VecDeque<(Duration, Duration)>,
    /// Orders that the link may carry now; unused capacity accumulates up to 8.
    send_credit: f64,
    next: usize,
    /// Orders that were answered before their timeout.
    goodput: u32,
}

impl Link {
    fn new() -> Self {
        Self {
            congestion: Congestion::default(),
            now: Duration::from_secs(1),
            waiting: 0.0,
            queue: VecDeque::new(),
            send_credit: 0.0,
            next: 0,
            goodput: 0,
        }
    }

    fn worker(&mut self) -> Incarnation {
        self.next = (self.next + 1) % WORKERS;
        format!("w{}", self.next).into()
    }

    /// Simulates one millisecond at `offered` orders arriving and `carried` passing per second.
    fn step(&mut self, offered: f64, carried: f64) {
        self.now += MS;
        self.waiting += offered / 1000.0;
        while self.waiting >= 1.0 && self.congestion.available_slots() > 0 {
            self.waiting -= 1.0;
            self.congestion.note_sent();
            let timeout = self
                .congestion
                .timeout(ORDER_TIMEOUT_MIN, ORDER_TIMEOUT_MAX);
            self.queue.push_back((self.now, self.now + timeout));
        }
        self.send_credit = (self.send_credit + carried / 1000.0).min(8.0);
        while self.send_credit >= 1.0 {
            let Some((sent, until)) = self.queue.pop_front() else {
                return;
            };
            self.send_credit -= 1.0;
            let worker = self.worker();
            if self.now + ROUND_TRIP <= until {
                self.goodput += 1;
                let took = (self.now + ROUND_TRIP).saturating_sub(sent);
                self.congestion.note_order(&worker, took, self.now);
            } else {
                // Timed out before, so it is sent again.
                let took = until.saturating_sub(sent);
                self.congestion.note_order(&worker, took, self.now);
                self.waiting += 1.0;
            }
        }
    }

    /// Runs for `span` and returns the orders answered in time per second.
    fn run(&mut self, offered: f64, carried: f64, span: Duration) -> f64 {
        let before = self.goodput;
        for _ in 0..span.as_millis() {
            self.step(offered, carried);
        }
        f64::from(self.goodput - before) / span.as_secs_f64()
    }
}

/// Orders per second that the link carries.
const CARRIED_PER_SECOND: f64 = 400.0;

#[test]
fn overload_does_not_reduce_goodput() {
    for factor in [1.0, 2.0, 4.0, 10.0] {
        let mut link = Link::new();
        let goodput = link.run(
            CARRIED_PER_SECOND * factor,
            CARRIED_PER_SECOND,
            Duration::from_secs(10),
        );
        assert!(
            goodput > 0.9 * CARRIED_PER_SECOND,
            "{factor} times: {goodput} per second"
        );
    }
}

#[test]
fn a_throttled_link_keeps_its_goodput() {
    let mut link = Link::new();
    link.run(300.0, CARRIED_PER_SECOND, Duration::from_secs(5));
    let throttled = CARRIED_PER_SECOND / 8.0;
    let goodput = link.run(300.0, throttled, Duration::from_secs(20));
    assert!(goodput > 0.9 * throttled, "{goodput} per second");
}

#[test]
fn latency_recovers_within_two_seconds_of_working_off_a_burst() {
    let mut link = Link::new();
    link.run(200.0, CARRIED_PER_SECOND, Duration::from_secs(5));
    link.waiting += 2000.0;
    let done = 2000.0 / (CARRIED_PER_SECOND - 200.0);
    link.run(
        200.0,
        CARRIED_PER_SECOND,
        Duration::from_secs_f64(done + 2.0),
    );
    assert!(link.waiting < 20.0, "{} wait", link.waiting);
    assert!(
        link.congestion.usual() < 40 * MS,
        "{:?}",
        link.congestion.usual()
    );
}

#[test]
fn a_burst_on_a_throttled_link_is_worked_off() {
    let mut link = Link::new();
    link.run(200.0, CARRIED_PER_SECOND, Duration::from_secs(5));
    link.waiting += 2000.0;
    let goodput = link.run(200.0, 100.0, Duration::from_secs(10));
    assert!(goodput > 90.0, "{goodput} per second");
    link.run(200.0, CARRIED_PER_SECOND, Duration::from_secs(30));
    assert!(link.waiting < 20.0, "{} wait", link.waiting);
}

#[test]
fn a_few_silent_workers_change_neither_window_nor_timeout() {
    let mut congestion = Congestion::default();
    let mut now = Duration::from_secs(1);
    for round in 0..2000u32 {
        now += 5 * MS;
        let silent = round % 3 == 0;
        let worker = if silent { round % 9 } else { 9 + round % 135 };
        congestion.note_sent();
        let took = if silent {
            ORDER_TIMEOUT_MIN
        } else {
            ROUND_TRIP
        };
        congestion.note_order(&format!("w{worker}").into(), took, now);
    }
    assert!(!congestion.is_congested());
    assert_eq!(
        congestion.timeout(ORDER_TIMEOUT_MIN, ORDER_TIMEOUT_MAX),
        ORDER_TIMEOUT_MIN
    );
}

#[test]
fn slowness_of_most_workers_extends_the_timeout() {
    let mut congestion = Congestion::default();
    let mut now = Duration::from_secs(1);
    for (count, took) in [(100, ROUND_TRIP), (100, ORDER_TIMEOUT_MIN)] {
        for round in 0..count {
            now += 5 * MS;
            congestion.note_sent();
            congestion.note_order(&format!("w{round}").into(), took, now);
        }
    }
    assert!(congestion.is_congested());
    assert_eq!(
        congestion.timeout(ORDER_TIMEOUT_MIN, ORDER_TIMEOUT_MAX),
        4 * ORDER_TIMEOUT_MIN
    );
    assert_eq!(congestion.timeout(ORDER_TIMEOUT_MIN, 800 * MS), 800 * MS);
}
