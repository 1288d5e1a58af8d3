//! The list of instances. Each change sent the whole list to every instance: 28 restarts in a
//! fleet of 587 cost 0.5 GB between availability zones.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::membership::member::{Member, Version};
use ashtiller::workflow::membership::members::Members;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time;

use crate::{SIZES, fleet, member};

/// Bytes that one restart of one instance may cost all others together, for each of them.
const RESTART: usize = 500;

/// An owner that has heard of all members, and the version that all of them know.
fn open(size: u32) -> (Members, Version) {
    let mut owner = Members::default();
    owner.begin_ownership(5);
    for member in fleet(size) {
        owner.record_heartbeat(member);
    }
    let version = owner.version();
    (owner, version)
}

/// Bytes of what a follower that knows `version` is told; it knows the newest one then.
fn tell(owner: &Members, version: &mut Version) -> usize {
    let news = owner.changes_since(*version);
    *version = owner.version();
    news.map_or(0, |news| postcard::to_stdvec(&news).unwrap().len())
}

#[tokio::test(start_paused = true)]
async fn a_restart_costs_each_follower_a_few_entries() {
    for size in SIZES {
        let (mut owner, mut known) = open(size);
        let mut bytes = 0;
        let leaves = Member {
            leaving: true,
            ..member(7)
        };
        owner.record_heartbeat(leaves);
        bytes += tell(&owner, &mut known);
        for _ in 0..10 {
            time::advance(Duration::from_millis(250)).await;
            for other in fleet(size)
                .into_iter()
                .filter(|it| it.name != member(7).name)
            {
                owner.record_heartbeat(other);
            }
            bytes += tell(&owner, &mut known);
        }
        owner.record_heartbeat(member(7));
        bytes += tell(&owner, &mut known);
        assert!(bytes > 0 && bytes < RESTART, "{bytes} in a fleet of {size}");
    }
}

/// An owner whose process stood still has heard nobody, which says nothing of them.
#[tokio::test(start_paused = true)]
async fn an_owner_that_stood_still_forgets_nobody() {
    let (mut owner, mut known) = open(300);
    time::advance(Duration::from_secs(5)).await;
    owner.record_heartbeat(member(0));
    assert_eq!(tell(&owner, &mut known), 0);
    assert_eq!(owner.iter().count(), 300);
}

#[tokio::test(start_paused = true)]
async fn a_heartbeat_without_news_costs_nothing() {
    let (mut owner, mut known) = open(300);
    time::advance(Duration::from_millis(250)).await;
    for member in fleet(300) {
        owner.record_heartbeat(Member {
            store_age: member.store_age + 200,
            ..member
        });
    }
    assert_eq!(tell(&owner, &mut known), 0);
}

/// A follower becomes the owner. Those who know as much as it did are told of changes only; one
/// that was told more by the owner before gets the whole list.
#[tokio::test(start_paused = true)]
async fn a_take_over_costs_no_lists() {
    let (mut former, known) = open(300);
    let mut heir = Members::default();
    heir.apply_update(former.changes_since(Version::default()).unwrap(), known);
    heir.begin_ownership(9);
    let mut version = known;
    heir.record_heartbeat(Member {
        leaving: true,
        ..member(3)
    });
    let bytes = tell(&heir, &mut version);
    assert!(bytes < RESTART, "{bytes}");
    former.record_heartbeat(member(300));
    let mut ahead = former.version();
    assert!(tell(&heir, &mut ahead) > 300 * 20);
}

/// One instance with the list as it knows it.
struct Instance {
    member: Member,
    list: Members,
    up: bool,
}

impl Instance {
    fn new(number: u32) -> Self {
        Self {
            member: member(number),
            list: Members::default(),
            up: true,
        }
    }

    fn names(&self) -> BTreeMap<Arc<str>, bool> {
        let members = self.list.iter();
        members
            .map(|it| (it.name.clone(), it.is_eligible()))
            .collect()
    }
}

/// One round of heartbeats; some are lost, or their answers are.
fn greet(instances: &mut [Instance], owner: usize, lossy: bool, random: &mut Pcg64Mcg) {
    for number in 0..instances.len() {
        let lost = |random: &mut Pcg64Mcg| lossy && random.random_range(0..4) == 0;
        if number == owner || !instances[number].up || lost(random) {
            continue;
        }
        let member = instances[number].member.clone();
        let known = instances[number].list.version();
        let kept = &mut instances[owner].list;
        kept.record_heartbeat(member);
        let (news, version) = (kept.changes_since(known), kept.version());
        if let Some(news) = news.filter(|_| !lost(random)) {
            instances[number].list.apply_update(news, version);
        }
    }
}

/// Instances restart, lose the store and become owners at random, and heartbeats get lost. Once
/// all is quiet each follower knows what the owner knows.
#[tokio::test(start_paused = true)]
async fn followers_know_what_the_owner_knows() {
    for seed in 0..60 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut instances: Vec<Instance> = (0..24).map(Instance::new).collect();
        let (mut owner, mut epoch) = (0, 1);
        instances[0].list.begin_ownership(epoch);
        for _ in 0..120 {
            time::advance(Duration::from_millis(250)).await;
            let chosen = random.random_range(0..24);
            match random.random_range(0..12) {
                0 | 1 => {
                    instances[chosen] = Instance::new(u32::try_from(chosen).unwrap());
                    instances[chosen].up = chosen == owner;
                    if chosen == owner {
                        epoch += 1;
                        instances[owner].list.begin_ownership(epoch);
                    }
                }
                2 | 3 => instances[chosen].up = true,
                4 => instances[chosen].member.store_age = random.random_range(0..3000),
                5 if instances[chosen].up && chosen != owner => {
                    epoch += 1;
                    owner = chosen;
                    instances[owner].list.begin_ownership(epoch);
                }
                _ => {}
            }
            greet(&mut instances, owner, true, &mut random);
        }
        for _ in 0..20 {
            time::advance(Duration::from_millis(250)).await;
            greet(&mut instances, owner, false, &mut random);
        }
        let known = instances[owner].names();
        for other in instances.iter().filter(|it| it.up) {
            if other.member.name != instances[owner].member.name {
                assert_eq!(other.names(), known, "seed {seed}");
                assert!(known.contains_key(&other.member.name), "seed {seed}");
            }
        }
    }
}
