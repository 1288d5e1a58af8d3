//! Distribution of the list of members to followers.
//!
//! Guards against excessive traffic: each change sent the whole list to every instance, and 28
//! restarts in a fleet of 587 cost 0.5 GB between availability zones.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ashtiller::workflow::membership::member::{Member, Version};
use ashtiller::workflow::membership::members::Members;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time;

use crate::{SIZES, fleet, member};

/// Limit of the bytes sent to each other instance for one restart of an instance.
const RESTART_BYTES_MAX: usize = 500;

/// Returns an owner's list with all members, and the version that all of them know.
fn open(size: u32) -> (Members, Version) {
    let mut owner = Members::default();
    owner.begin_ownership(5);
    for member in fleet(size) {
        owner.record_heartbeat(member);
    }
    let version = owner.version();
    (owner, version)
}

/// Returns the bytes of the update for a follower that knows `version`, which becomes the newest
/// version.
fn send_update(owner: &Members, version: &mut Version) -> usize {
    let update = owner.changes_since(*version);
    *version = owner.version();
    update.map_or(0, |update| postcard::to_stdvec(&update).unwrap().len())
}

#[tokio::test(start_paused = true)]
async fn a_restart_costs_each_follower_a_few_entries() {
    for size in SIZES {
        let (mut owner, mut known) = open(size);
        let mut bytes = 0;
        let leaving = Member {
            leaving: true,
            ..member(7)
        };
        owner.record_heartbeat(leaving);
        bytes += send_update(&owner, &mut known);
        for _ in 0..10 {
            time::advance(Duration::from_millis(250)).await;
            for other in fleet(size)
                .into_iter()
                .filter(|it| it.name != member(7).name)
            {
                owner.record_heartbeat(other);
            }
            bytes += send_update(&owner, &mut known);
        }
        owner.record_heartbeat(member(7));
        bytes += send_update(&owner, &mut known);
        assert!(
            bytes > 0 && bytes < RESTART_BYTES_MAX,
            "{bytes} in a fleet of {size}"
        );
    }
}

/// An owner whose process was paused has heard from no member, which does not mean that they are
/// gone.
#[tokio::test(start_paused = true)]
async fn a_paused_owner_keeps_all_members() {
    let (mut owner, mut known) = open(300);
    time::advance(Duration::from_secs(5)).await;
    owner.record_heartbeat(member(0));
    assert_eq!(send_update(&owner, &mut known), 0);
    assert_eq!(owner.iter().count(), 300);
}

#[tokio::test(start_paused = true)]
async fn an_unchanged_heartbeat_sends_no_update() {
    let (mut owner, mut known) = open(300);
    time::advance(Duration::from_millis(250)).await;
    for member in fleet(300) {
        owner.record_heartbeat(Member {
            store_age: member.store_age + 200,
            ..member
        });
    }
    assert_eq!(send_update(&owner, &mut known), 0);
}

/// When a follower becomes the owner, followers with the same version get only changes; one that
/// got a newer version from the previous owner gets the whole list.
#[tokio::test(start_paused = true)]
async fn a_takeover_sends_changes_instead_of_lists() {
    let (mut previous, known) = open(300);
    let mut successor = Members::default();
    successor.apply_update(previous.changes_since(Version::default()).unwrap(), known);
    successor.begin_ownership(9);
    let mut version = known;
    successor.record_heartbeat(Member {
        leaving: true,
        ..member(3)
    });
    let bytes = send_update(&successor, &mut version);
    assert!(bytes < RESTART_BYTES_MAX, "{bytes}");
    previous.record_heartbeat(member(300));
    let mut ahead = previous.version();
    assert!(send_update(&successor, &mut ahead) > 300 * 20);
}

/// An instance with its view of the list.
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

/// Plays one round of heartbeats. If `lossy`, some heartbeats and answers are lost.
fn exchange_heartbeats(
    instances: &mut [Instance],
    owner: usize,
    lossy: bool,
    random: &mut Pcg64Mcg,
) {
    for number in 0..instances.len() {
        let lost = |random: &mut Pcg64Mcg| lossy && random.random_range(0..4) == 0;
        if number == owner || !instances[number].up || lost(random) {
            continue;
        }
        let member = instances[number].member.clone();
        let known = instances[number].list.version();
        let owner_list = &mut instances[owner].list;
        owner_list.record_heartbeat(member);
        let (update, version) = (owner_list.changes_since(known), owner_list.version());
        if let Some(update) = update.filter(|_| !lost(random)) {
            instances[number].list.apply_update(update, version);
        }
    }
}

/// Instances restart, lose the store and become owners at random, and heartbeats get lost. Once
/// the faults end, each follower's list must match the owner's.
#[tokio::test(start_paused = true)]
async fn followers_converge_to_the_list_of_the_owner() {
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
            exchange_heartbeats(&mut instances, owner, true, &mut random);
        }
        for _ in 0..20 {
            time::advance(Duration::from_millis(250)).await;
            exchange_heartbeats(&mut instances, owner, false, &mut random);
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
