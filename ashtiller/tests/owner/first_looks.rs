//! An owner takes over on a link of 2 Mbit/s. It looked at all 192 workers at once; their answers,
//! which list all that runs there, needed 1.2 s of its link, so most came after the limit of a
//! look and were asked for again. Relays counted as failed for the same reason (`relay fails`, all
//! six within 10 ms), and direct calls came on top.

use std::collections::BTreeSet;
use std::time::Duration;

use ashtiller::failure::Failure;
use ashtiller::workflow::agents::{POLL_TIMEOUT_MIN, PollReply};
use ashtiller::workflow::core::{Core, Effect, Now};
use ashtiller::workflow::incarnation::Incarnation;
use ashtiller::workflow::log_state::LogState;
use ashtiller::workflow::tuning::Tuning;

use crate::driver::{MS, listed};

/// Time that one answer takes on the link.
const ANSWER: Duration = Duration::from_micros(5500);

/// What an owner needed to hear of all workers.
struct TakeOver {
    took: Duration,
    looks: u32,
}

/// An owner takes over so many workers, of which each `silent`-th says nothing, if that is not 0.
fn take_over(workers: u16, silent: u16) -> TakeOver {
    let mut now = Now {
        at: Duration::from_mins(10),
        wall: 1_000_000,
    };
    let began = now.at;
    let mut core = Core::new(Tuning::default(), 5, LogState::default(), 1, now);
    core.list_all((0..workers).map(listed).collect(), now);
    let says = |life: &Incarnation| {
        let number: u16 = life.id()[1..].parse().unwrap();
        silent == 0 || !number.is_multiple_of(silent)
    };
    let (mut free, mut under_way) = (now.at, Vec::new());
    let mut heard = BTreeSet::new();
    let mut looks = 0;
    let expected = (0..workers).filter(|number| silent == 0 || !number.is_multiple_of(silent));
    let expected = expected.count();
    while heard.len() < expected && now.at < began + Duration::from_secs(30) {
        now.at += MS;
        for effect in core.advance(now) {
            match effect {
                Effect::Append(position, _) => core.note_durable(position, now.at, now),
                Effect::Poll(target, _) if !heard.contains(&target.incarnation) => {
                    looks += 1;
                    let limit = now.at + POLL_TIMEOUT_MIN;
                    if says(&target.incarnation) {
                        free = free.max(now.at) + ANSWER;
                        under_way.push((free, limit, target.incarnation));
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
        for (answered, limit, life) in over {
            let looked = if answered <= limit {
                heard.insert(life.clone());
                Ok(PollReply::Report {
                    clock: 5000,
                    active: Vec::new(),
                    finished: Vec::new(),
                })
            } else {
                Err(Failure::unknown_effect("look", &life, "no answer in time"))
            };
            core.handle_poll_reply(&life, looked, now);
        }
    }
    assert_eq!(heard.len(), expected, "all that answer are heard of");
    TakeOver {
        took: now.at.saturating_sub(began),
        looks,
    }
}

#[test]
fn a_take_over_on_a_thin_link_asks_for_nothing_twice() {
    let whole = take_over(192, 0);
    let least = ANSWER * 192;
    assert!(whole.looks <= 192 + 8, "{} looks", whole.looks);
    assert!(whole.took <= least + 100 * MS, "{:?}", whole.took);
}

/// Workers that say nothing must not keep the others waiting.
#[test]
fn silent_workers_hold_up_a_take_over_for_three_looks_at_most() {
    for silent in [2, 7] {
        let whole = take_over(90, silent);
        let most = ANSWER * 90 + POLL_TIMEOUT_MIN * 3;
        assert!(whole.took <= most, "{:?}", whole.took);
    }
}
