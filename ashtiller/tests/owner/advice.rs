//! Steps that need advice: tasks start within seconds, whatever times the policy of their queue states
//! for the advisor, and whether many or few workers may run them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::agents::{Order, OrderReply, Refusal};
use ashtiller::workflow::core::Effect;
use ashtiller::workflow::core::advice::AdviceRequest;
use ashtiller::workflow::evacuations::Zones;
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::job::{Advice, Policy};

use crate::driver::{Driver, MS, job, policy, step};

const SECOND: Duration = Duration::from_secs(1);
/// Time without a run after which a job counts as lost, beyond one call about 30 workers.
const WAIT_MAX: Duration = Duration::from_secs(3);
/// Time of an answer on its way to the owner.
const TRANSIT: Duration = Duration::from_millis(10);

/// An owner with an advisor that handles one call at a time, in turn, and whose tickets hold from the
/// moment at which it answers.
struct Advised {
    driver: Driver,
    advice: Advice,
    /// Number of the workers `w0`, `w1` and so on that may run the steps.
    good: usize,
    /// Calls in the order in which they arrived, each with the time at which its answer is sent.
    calls: VecDeque<(Duration, AdviceRequest)>,
    idle_from: Duration,
    /// Starts that were rejected for their tickets.
    rejected: usize,
    /// Number of the next starts whose tickets are rejected, valid or not.
    rejections_left: usize,
    jobs: Vec<(String, Duration)>,
}

impl Advised {
    fn new(advice: Advice, workers: u16, good: usize) -> Self {
        let policy = Policy {
            advice: Some(advice),
            ..policy()
        };
        let driver = Driver::new(workers, policy);
        Self {
            idle_from: driver.now.at,
            driver,
            advice,
            good,
            calls: VecDeque::new(),
            rejected: 0,
            rejections_left: 0,
            jobs: Vec::new(),
        }
    }

    fn submit(&mut self, id: &str, tasks: u32) {
        self.driver.submit(job(id, vec![step(tasks)]));
        self.jobs.push((id.into(), self.driver.now.at));
    }

    /// Returns the time that one call about this many workers takes.
    fn call_time(&self, workers: usize) -> Duration {
        self.advice.decide + self.advice.each * u32::try_from(workers).unwrap()
    }

    fn tick(&mut self) {
        let driver = &mut self.driver;
        driver.now.at += 5 * MS;
        driver.now.wall += 5;
        driver.core.note_complete_listing(driver.now.at);
        let (zones, now) = (Zones::new(), driver.now);
        driver.core.note_evacuations(&zones, Duration::ZERO, now);
        for effect in driver.core.advance(now) {
            match effect {
                Effect::Advise(request) => {
                    let begins = self.idle_from.max(now.at + TRANSIT);
                    self.idle_from = begins + self.call_time(request.workers.len());
                    self.calls.push_back((self.idle_from, request));
                }
                Effect::Order(target, run, order) if !self.accepts(&order, now.at) => {
                    self.rejected += 1;
                    let reply = Ok(OrderReply::Refused(Refusal::Ticket));
                    let core = &mut self.driver.core;
                    core.handle_order_reply(&target.incarnation, run, &order, reply, now);
                }
                other => self.driver.carry_out(other),
            }
        }
        while let Some((sent, request)) = self.calls.pop_front_if(|it| it.0 + TRANSIT <= now.at) {
            let ends = (sent + self.advice.valid).as_millis().to_string();
            let good = |id: &&Incarnation| id.id()[1..].parse::<usize>().unwrap() < self.good;
            let tickets = request.workers.iter().filter(good);
            let tickets = tickets.map(|id| (id.clone(), Arc::from(ends.as_str())));
            let AdviceRequest { key, asked_at, .. } = request;
            let tickets = Ok(tickets.collect());
            let core = &mut self.driver.core;
            core.handle_advice(key, asked_at, tickets, now);
        }
    }

    /// Returns whether a worker accepts the ticket of a start, if the order is one.
    fn accepts(&mut self, order: &Order, now: Duration) -> bool {
        let Order::Start(start) = order else {
            return true;
        };
        if self.rejections_left > 0 {
            self.rejections_left -= 1;
            return false;
        }
        let ends: u128 = start.ticket.as_ref().unwrap().parse().unwrap();
        now.as_millis() < ends
    }

    /// Returns how long each job waits for its first start, up to `limit`.
    fn first_waits(&mut self, limit: Duration) -> Vec<Duration> {
        let mut waits: Vec<Option<Duration>> = vec![None; self.jobs.len()];
        let end = self.driver.now.at + limit;
        while self.driver.now.at < end && waits.contains(&None) {
            self.tick();
            for (wait, (id, since)) in waits.iter_mut().zip(&self.jobs) {
                let began = |(_, _, order): &(_, _, Order)| matches!(order, Order::Start(start) if *start.name.job == **id);
                if wait.is_none() && self.driver.orders.iter().any(began) {
                    *wait = Some(self.driver.now.at.saturating_sub(*since));
                }
            }
        }
        waits.into_iter().map(|it| it.unwrap_or(limit)).collect()
    }
}

fn advice(decide: Duration, each: Duration, valid: Duration) -> Advice {
    Advice {
        decide,
        each,
        valid,
    }
}

/// A call about 30 workers took 2.7 s, and its tickets held for 3 s from then on. They were taken to
/// hold from the question on, so none was ever used, and the job waited for ever.
#[test]
fn tickets_of_a_slow_advisor_are_used() {
    let mut advised = Advised::new(advice(300 * MS, 80 * MS, 3 * SECOND), 48, 36);
    advised.submit("1", 10);
    let waits = advised.first_waits(6 * SECOND);
    assert!(waits[0] < WAIT_MAX, "{waits:?}");
    assert_eq!(advised.rejected, 0);
}

/// The same with all times that an operator may state.
#[test]
fn the_first_task_starts_soon_whatever_times_are_stated() {
    let mut late = Vec::new();
    for decide in [0, 300, 2000] {
        for each in [0, 8, 80, 300] {
            for valid in [100, 600, 3000] {
                let stated = advice(decide * MS, each * MS, valid * MS);
                let mut advised = Advised::new(stated, 32, 24);
                advised.submit("1", 10);
                let limit = WAIT_MAX + advised.call_time(30);
                if advised.first_waits(limit)[0] >= limit {
                    late.push((decide, each, valid));
                }
            }
        }
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Calls wait for each other at the advisor. Their tickets hold from the answer on, which comes later
/// than the time that the call itself takes.
#[test]
fn tickets_of_calls_that_wait_at_the_advisor_are_used() {
    let mut advised = Advised::new(advice(300 * MS, 80 * MS, 3 * SECOND), 48, 36);
    for number in 0..6 {
        advised.submit(&number.to_string(), 4);
    }
    let limit = WAIT_MAX + 6 * advised.call_time(16);
    let waits = advised.first_waits(limit);
    let longest = waits.iter().max().unwrap();
    assert!(*longest < limit, "{waits:?}");
    assert_eq!(advised.rejected, 0);
}

/// Few of many workers may run the step, and the advisor is slow.
#[test]
fn few_good_workers_are_found_with_a_slow_advisor() {
    for each in [8, 80] {
        let mut advised = Advised::new(advice(300 * MS, each * MS, 3 * SECOND), 48, 2);
        advised.submit("1", 10);
        // All workers are asked about twice.
        let limit = WAIT_MAX + 2 * advised.call_time(48);
        let waits = advised.first_waits(limit);
        assert!(waits[0] < limit, "{waits:?}");
    }
}

/// A worker rejected the ticket of a start, and the next start there brought the same ticket.
#[test]
fn a_rejected_ticket_is_not_used_again() {
    let mut advised = Advised::new(advice(50 * MS, 8 * MS, 60 * SECOND), 1, 1);
    advised.rejections_left = 1;
    advised.submit("1", 1);
    let waits = advised.first_waits(10 * SECOND);
    assert!(waits[0] < WAIT_MAX, "{waits:?}");
    assert_eq!(advised.rejected, 1);
    assert!(advised.idle_from > advised.jobs[0].1 + 2 * advised.call_time(1));
}

/// No start can use a ticket that is over as it arrives. The owner says so once a step.
#[test]
fn tickets_that_are_over_as_they_arrive_are_counted() {
    let mut advised = Advised::new(advice(50 * MS, 8 * MS, MS), 4, 4);
    advised.submit("1", 2);
    let waits = advised.first_waits(5 * SECOND);
    assert_eq!(waits, [5 * SECOND]);
    assert!(advised.driver.core.counts().useless_tickets > 0);
    // The advisor answers other queues as well.
    assert!(advised.rejected < 50, "{} rejected", advised.rejected);
}
