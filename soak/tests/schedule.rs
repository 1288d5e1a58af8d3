//! Guards against seeds that don't replay, because two draws of one seed differ, and against
//! kinds of events that no seed draws.

use std::time::Duration;

use soak::bursts::{self, Companion, Shape};
use soak::schedule::{self, Event, FaultSet, Links};
use soak::standin::store::Mode;

const SPAN: Duration = Duration::from_secs(12);

#[test]
fn a_seed_draws_the_same_each_time() {
    for seed in 0..20 {
        let one = schedule::draw(seed, SPAN, 3, 6);
        assert_eq!(one, schedule::draw(seed, SPAN, 3, 6));
        assert_eq!(
            one.is_empty(),
            schedule::fault_set(seed) == FaultSet::Others
        );
        assert!(one.is_sorted_by_key(|(at, _)| *at));
    }
}

#[test]
fn seeds_draw_each_kind() {
    let drawn: Vec<Event> = (0..50)
        .flat_map(|seed| schedule::draw(seed, SPAN, 3, 6))
        .map(|(_, event)| event)
        .collect();
    let has = |wanted: fn(&Event) -> bool| drawn.iter().any(wanted);
    assert!(has(|event| matches!(
        event,
        Event::Silence(Links::Store(_))
    )));
    assert!(has(|event| *event == Event::Silence(Links::Owner)));
    assert!(has(|event| matches!(
        event,
        Event::Silence(Links::Worker(_))
    )));
    assert!(has(|event| matches!(
        event,
        Event::Silence(Links::Clients(_))
    )));
    assert!(has(|event| *event == Event::Silence(Links::All)));
    assert!(has(|event| matches!(event, Event::Drain(_))));
    assert!(has(|event| matches!(event, Event::Leave(_))));
    assert!(has(|event| *event == Event::Configure));
    assert!(has(|event| matches!(event, Event::Kill(_))));
}

#[test]
fn bursts_are_drawn_the_same_each_time_and_of_each_kind() {
    let mut drawn = Vec::new();
    for seed in 0..50 {
        let bursts = bursts::draw(seed, SPAN, 3);
        assert_eq!(bursts, bursts::draw(seed, SPAN, 3));
        assert!(bursts.windows(2).all(|pair| pair[0].until < pair[1].from));
        drawn.extend(bursts);
    }
    for shape in [Shape::Small, Shape::Large, Shape::Fills] {
        assert!(drawn.iter().any(|burst| burst.shape == shape), "{shape:?}");
    }
    let has = |wanted: fn(&Companion) -> bool| drawn.iter().any(|burst| wanted(&burst.companion));
    assert!(has(|it| *it == Companion::Calm));
    assert!(has(|it| *it == Companion::Store(Mode::Unresponsive)));
    assert!(has(|it| *it == Companion::Store(Mode::Unavailable)));
    assert!(has(|it| *it == Companion::Store(Mode::LosesAnswers)));
    assert!(has(|it| *it == Companion::OwnerKilled));
    assert!(has(|it| *it == Companion::OwnerStopped));
    assert!(has(|it| *it == Companion::OwnerSuspended));
    assert!(has(|it| matches!(it, Companion::AnswersLost(_))));
    assert!(has(|it| *it == Companion::ClientsSilenced));
}
