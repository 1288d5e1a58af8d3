//! Moments, by which proofs are judged.

use std::time::Duration;

use ashtiller::clock::Moment;
use tokio::time;

#[test]
fn moments_never_fall() {
    let mut last = Moment::now();
    for _ in 0..100_000 {
        let now = Moment::now();
        assert!(now >= last);
        last = now;
    }
}

#[tokio::test(start_paused = true)]
async fn moments_follow_timers_while_a_machine_is_awake() {
    let began = Moment::now();
    time::sleep(Duration::from_secs(10)).await;
    let spent = began.elapsed();
    assert!(spent >= Duration::from_secs(10), "{spent:?}");
    assert!(spent < Duration::from_secs(11), "{spent:?}");
}

#[test]
fn an_earlier_moment_is_no_time_after_a_later_one() {
    let now = Moment::now();
    let later = now.plus(Duration::from_secs(1));
    assert_eq!(now.since(later), Duration::ZERO);
    assert_eq!(later.since(now), Duration::from_secs(1));
}
