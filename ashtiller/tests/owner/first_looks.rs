//! An owner takes over on a link of 2 Mbit/s. It polled all 192 workers at once; their replies,
//! which list every run on each worker, needed 1.2 s of its link, so most arrived after the poll
//! timeout and were requested again. Relays counted as failed for the same reason (`relay excluded;
//! its zone uses another relay or direct calls`, all six within 10 ms), and direct calls added to
//! the load.

use std::collections::BTreeSet;
use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::workflow::agents::{POLL_TIMEOUT_MIN, PollReply};
use ashtiller::workflow::core::{Core, Effect, Now};
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::tuning::Tuning;

use crate::driver::{MS, listed};

/// Transmission time of one reply on the link.
const ANSWER: Duration = Duration::from_micros(5500);

/// Time and polls that an owner needed to get replies from all workers.
struct TakeoverCost {
    took: Duration,
    polls: u32,
}

/// Takes over this many workers; every `silent`-th of them does not reply, unless `silent` is 0.
fn take_over(workers: u16, silent: u16) -> TakeoverCost {
    let mut now = Now {
        at: Duration::from_mins(10),
        wall: 1_000_000,
    };
    let began = now.at;
    let mut core = Core::new(Tuning::default(), 5, LogState::default(), 1, now);
    core.list_all((0..workers).map(listed).collect(), now);
    let responds = |incarnation: &Incarnation| {
        let number: u16 = incarnation.id()[1..].parse().unwrap();
        silent == 0 || !number.is_multiple_of(silent)
    };
    let (mut link_free, mut under_way) = (now.at, Vec::new());
    let mut heard = BTreeSet::new();
    let mut polls = 0;
    let expected = (0..workers).filter(|number| silent == 0 || !number.is_multiple_of(silent));
    let expected = expected.count();
    while heard.len() < expected && now.at < began + Duration::from_secs(30) {
        now.at += MS;
        for effect in core.advance(now) {
            match effect {
                Effect::Append(position, _) => core.note_durable(position, now.at, now),
                Effect::Poll(target, _) if !heard.contains(&target.incarnation) => {
                    polls += 1;
                    let limit = now.at + POLL_TIMEOUT_MIN;
                    if responds(&target.incarnation) {
                        link_free = link_free.max(now.at) + ANSWER;
                        under_way.push((link_free, limit, target.incarnation));
                    } else {
                        under_way.push((Duration::MAX, limit, target.incarnation));
                    }
                }
                _ => {}
            }
        }
        let (over, left): (Vec<_>, Vec<_>) = under_way
            .into_iter()
            .partition(|(answered, limit, _)| (*answered).min(*limit) <= now.at);
        under_way = left;
        for (answered, limit, incarnation) in over {
            let reply = if answered <= limit {
                heard.insert(incarnation.clone());
                Ok(PollReply::Report {
                    clock: 5000,
                    active: Vec::new(),
                    finished: Vec::new(),
                    more_ends: false,
                })
            } else {
                Err(Failure::unknown_effect(
                    "look",
                    &incarnation,
                    "no answer in time",
                ))
            };
            core.handle_poll_reply(&incarnation, reply, now);
        }
    }
    assert_eq!(heard.len(), expected, "all workers that reply are known");
    TakeoverCost {
        took: now.at.saturating_sub(began),
        polls,
    }
}

#[test]
fn a_takeover_on_a_slow_link_repeats_no_poll() {
    let whole = take_over(192, 0);
    let least = ANSWER * 192;
    assert!(whole.polls <= 192 + 8, "{} polls", whole.polls);
    assert!(whole.took <= least + 100 * MS, "{:?}", whole.took);
}

/// Silent workers must not delay the others.
#[test]
fn silent_workers_delay_a_takeover_by_three_polls_at_most() {
    for silent in [2, 7] {
        let whole = take_over(90, silent);
        let most = ANSWER * 90 + POLL_TIMEOUT_MIN * 3;
        assert!(whole.took <= most, "{:?}", whole.took);
    }
}
