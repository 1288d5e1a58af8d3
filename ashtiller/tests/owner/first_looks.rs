//! One owner of a log was lost and 3,000 workers stayed without any for the rest of the day: a
//! new one came each 2 s, and none of them gave an order. Work lapsed, and lasting tasks ran
//! nowhere. Each new owner looked at all workers in one turn of its loop. Until that was done it
//! answered no heartbeat and wrote no entry, so the others took it for lost and replaced it by
//! one that did the same.
//!
//! Its log shows it: `log replayed` at 6.64 s, the last entry at 7.1 s, `owner lost` of 317
//! instances at 7.9 s, `store answers again` with 6.7 s of waiting at 13.8 s, then `no longer the
//! owner of the log` with `looks: 3000, orders: 0`. With 890 workers it came and went: one of six
//! days alike had six owners within 8 s, the other five had one or two.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::agents::Looked;
use ashtiller::workflow::book::Book;
use ashtiller::workflow::config::{Config, Queue};
use ashtiller::workflow::core::{Core, Effect, Now};
use ashtiller::workflow::fact::{Fact, Run, Task};
use ashtiller::workflow::job::Step;
use ashtiller::workflow::life::Life;
use ashtiller::workflow::terms::Terms;

use crate::driver::{MS, job, listed, policy, step};

const WORKERS: u16 = 3000;
/// Every so many workers one has a run of the former owner.
const BUSY: u16 = 5;
/// What a look over a new connection takes of an instance with half a core: 3,000 of them
/// kept an owner for 6.7 s.
const LOOK_COST: Duration = Duration::from_micros(2200);
/// The same over an open connection: 0.38 ms of processor time.
const NEXT_COST: Duration = Duration::from_micros(760);
/// After this time without an answer to its heartbeat, a follower doubts the owner.
const DOUBT: Duration = Duration::from_millis(250);
/// A lease of 6 s less the 2 s for which its last renewal may be old and 1 s to the take-over.
const LEASE_LEFT: Duration = Duration::from_secs(3);

/// An owner that has just taken over, on an instance that pays for what it does.
struct Fresh {
    core: Core,
    now: Now,
    /// The longest turn of its loop.
    longest: Duration,
    /// Entry that will be durable by the next turn.
    entry: Option<u64>,
    looked: BTreeSet<Life>,
    renewed: Vec<(Duration, Life)>,
}

impl Fresh {
    fn take_over() -> Self {
        let now = Now {
            at: Duration::from_mins(10),
            wall: 1_000_000,
        };
        let tasks = WORKERS / BUSY;
        let lasting = Step {
            lasting: true,
            ..step(tasks.into())
        };
        let mut book = Book::default();
        let accepted = Fact::Accepted(Box::new(job("1", vec![lasting])), policy(), now.wall);
        book.apply(&accepted, now.at);
        for index in 0..tasks {
            let task = Task {
                job: 0,
                time: 0,
                step: 0,
                index,
            };
            let life = listed(index * BUSY).life;
            let placed = Fact::Placed(Run { task, number: 1 }, life, Arc::from(""));
            book.apply(&placed, now.at);
        }
        let mut core = Core::new(Terms::default(), 5, book, 1, now);
        core.set_config(Arc::new(Config {
            version: 1,
            queues: vec![Queue {
                host: "jobs".into(),
                prefix: "/q/".into(),
                policy: policy(),
            }],
            ..Config::default()
        }));
        core.list_all((0..WORKERS).map(listed).collect(), now);
        core.clear_former(0, now);
        Self {
            core,
            now,
            longest: Duration::ZERO,
            entry: None,
            looked: BTreeSet::new(),
            renewed: Vec::new(),
        }
    }

    /// One turn of the loop; looks that need not wait are answered by the next one.
    fn turn(&mut self) {
        self.now.at += 2 * MS;
        let began = self.now.at;
        self.core.note_listing(began);
        if let Some(position) = self.entry.take() {
            self.core.note_durable(position, began, self.now);
        }
        let mut answered = Vec::new();
        for effect in self.core.poll(self.now) {
            match effect {
                Effect::Look(target, look) => {
                    let known = self.looked.contains(&target.life);
                    self.now.at += if known { NEXT_COST } else { LOOK_COST };
                    if look.until.is_some() {
                        self.renewed.push((self.now.at, target.life.clone()));
                    }
                    self.looked.insert(target.life.clone());
                    if look.wait.is_zero() {
                        answered.push(target.life);
                    }
                }
                Effect::Append(position, _) => self.entry = Some(position),
                _ => {}
            }
        }
        self.longest = self.longest.max(self.now.at.saturating_sub(began));
        for life in answered {
            let looked = Looked::Report {
                clock: u64::try_from(self.now.at.as_millis()).unwrap(),
                active: Vec::new(),
                finished: Vec::new(),
            };
            self.core.take_look(&life, Ok(looked), self.now);
        }
    }

    fn pass(&mut self, span: Duration) {
        let end = self.now.at + span;
        while self.now.at < end {
            self.turn();
        }
    }
}

#[test]
fn an_owner_that_meets_a_large_fleet_is_never_silent_for_long() {
    let mut owner = Fresh::take_over();
    owner.pass(Duration::from_secs(10));
    assert!(owner.longest < DOUBT, "a turn of {:?}", owner.longest);
    assert_eq!(owner.looked.len(), usize::from(WORKERS));
}

#[test]
fn workers_with_runs_of_the_former_owner_keep_their_leases() {
    let mut owner = Fresh::take_over();
    let began = owner.now.at;
    owner.pass(Duration::from_secs(10));
    let in_time = |(at, _): &&(Duration, Life)| *at < began + LEASE_LEFT;
    let mut kept: Vec<&Life> = owner
        .renewed
        .iter()
        .filter(in_time)
        .map(|it| &it.1)
        .collect();
    kept.sort_unstable();
    kept.dedup();
    assert_eq!(kept.len(), usize::from(WORKERS / BUSY));
}
