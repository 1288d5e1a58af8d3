//! Moments, from which the ages of proofs (of ownership, for example) are computed.

use std::time::Duration;

use ashtiller::clock::Moment;
use tokio::time;

#[test]
fn moments_never_decrease() {
    let mut last = Moment::now();
    for _ in 0..100_000 {
        let now = Moment::now();
        assert!(now >= last);
        last = now;
    }
}

#[tokio::test(start_paused = true)]
async fn moments_follow_timers_while_a_machine_is_awake() {
    let started = Moment::now();
    time::sleep(Duration::from_secs(10)).await;
    let elapsed = started.elapsed();
    assert!(elapsed >= Duration::from_secs(10), "{elapsed:?}");
    assert!(elapsed < Duration::from_secs(11), "{elapsed:?}");
}

#[test]
fn the_time_since_a_later_moment_is_zero() {
    let now = Moment::now();
    let later = now.plus(Duration::from_secs(1));
    assert_eq!(now.since(later), Duration::ZERO);
    assert_eq!(later.since(now), Duration::from_secs(1));
}
