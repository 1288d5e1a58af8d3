//! The list of members, maintained by the owner of the log and replicated to its followers.
//!
//! The owner numbers each change, and sends a follower only the changes since the version that it
//! holds. A change thus costs one entry for each follower instead of a whole list. A follower that
//! becomes the owner continues from the version that it holds, so a takeover needs no whole lists
//! either.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::workflow::membership::member::{Member, MembershipUpdate, Version};

/// Time without a heartbeat after which a member is removed: eight heartbeats.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two checks for members whose heartbeats stopped.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// Removed members whose names are kept: enough for one restart of a large fleet.
const MAX_GONE: usize = 4096;

/// One member, with its last heartbeat.
#[derive(Debug)]
struct TrackedMember {
    member: Member,
    last_heartbeat: Moment,
    /// Version of its last change, or a later one.
    changed: Version,
}

/// The list of members.
#[derive(Debug, Default)]
pub struct Members {
    by_name: BTreeMap<Arc<str>, TrackedMember>,
    /// Removed members, oldest first.
    gone: VecDeque<(Version, Arc<str>)>,
    version: Version,
    /// Version up to which this process knew the changes of the previous owner.
    inherited: Version,
    /// Version from which on all changes are known; some of the earlier ones are not.
    complete_since: Version,
    last_expiry: Option<Moment>,
}

/// Returns the state of a member whose change is published; the rest changes with each heartbeat.
fn published_state(member: &Member) -> (SocketAddr, bool) {
    (member.address, member.is_eligible())
}

impl Members {
    /// Continues the list as its owner at this epoch.
    pub fn begin_ownership(&mut self, epoch: u64) {
        self.inherited = self.version;
        self.version = Version { epoch, count: 0 };
        // Members sent no heartbeats to this process before it became the owner.
        self.refresh_all(Moment::now());
    }

    fn refresh_all(&mut self, now: Moment) {
        for tracked in self.by_name.values_mut() {
            tracked.last_heartbeat = now;
        }
    }

    /// Records a heartbeat that a member sent to this process, the owner.
    pub fn record_heartbeat(&mut self, member: Member) {
        let now = Moment::now();
        let last_expiry = self.last_expiry.get_or_insert(now);
        let since = now.since(*last_expiry);
        if since >= EXPIRY_INTERVAL {
            *last_expiry = now;
        }
        match since {
            // This process was suspended and received no heartbeats meanwhile.
            _ if since >= MEMBER_TIMEOUT / 2 => self.refresh_all(now),
            _ if since >= EXPIRY_INTERVAL => self.expire_silent(now),
            _ => {}
        }
        self.insert(member, now);
    }

    fn insert(&mut self, member: Member, last_heartbeat: Moment) {
        let previous = self.by_name.get(&member.name);
        let changed = match previous {
            Some(tracked) if published_state(&tracked.member) == published_state(&member) => {
                tracked.changed
            }
            _ => self.next_version(),
        };
        let tracked = TrackedMember {
            member,
            last_heartbeat,
            changed,
        };
        self.by_name.insert(tracked.member.name.clone(), tracked);
    }

    fn expire_silent(&mut self, now: Moment) {
        let silent = self.by_name.values();
        let silent = silent.filter(|tracked| now.since(tracked.last_heartbeat) >= MEMBER_TIMEOUT);
        let silent: Vec<Arc<str>> = silent.map(|tracked| tracked.member.name.clone()).collect();
        for name in silent {
            self.by_name.remove(&name);
            let version = self.next_version();
            self.record_gone(name, version);
        }
    }

    fn next_version(&mut self) -> Version {
        self.version.count += 1;
        self.version
    }

    fn record_gone(&mut self, name: Arc<str>, version: Version) {
        self.gone.push_back((version, name));
        if self.gone.len() > MAX_GONE
            && let Some((version, _)) = self.gone.pop_front()
        {
            self.complete_since = self.complete_since.max(version);
        }
    }

    /// Returns the update for a follower that holds the list as of `since`; `None` if that is the
    /// current version.
    #[must_use]
    pub fn changes_since(&self, since: Version) -> Option<MembershipUpdate> {
        if since == self.version {
            return None;
        }
        if !self.has_changes_since(since) {
            return Some(MembershipUpdate::All(self.iter().cloned().collect()));
        }
        let changed = self
            .by_name
            .values()
            .filter(|tracked| tracked.changed > since);
        let gone = self.gone.iter();
        let gone = gone.filter(|(at, name)| *at > since && !self.by_name.contains_key(name));
        Some(MembershipUpdate::Changes {
            changed: changed.map(|tracked| tracked.member.clone()).collect(),
            gone: gone.map(|(_, name)| name.clone()).collect(),
        })
    }

    /// Returns whether each change after `since` is known.
    fn has_changes_since(&self, since: Version) -> bool {
        let own = since.epoch == self.version.epoch;
        // The previous owner may have sent later changes to others than to this process.
        let former = since.epoch == self.inherited.epoch && since <= self.inherited;
        since >= self.complete_since && (own || former)
    }

    /// Applies an update of the owner, after which the list is as of `version`.
    pub fn apply_update(&mut self, update: MembershipUpdate, version: Version) {
        let now = Moment::now();
        self.version = version;
        let changed = match update {
            MembershipUpdate::All(members) => {
                self.by_name.clear();
                self.gone.clear();
                self.complete_since = version;
                members
            }
            MembershipUpdate::Changes { changed, gone } => {
                for name in gone {
                    self.by_name.remove(&name);
                    self.record_gone(name, version);
                }
                changed
            }
        };
        for member in changed {
            let tracked = TrackedMember {
                member,
                last_heartbeat: now,
                changed: version,
            };
            self.by_name.insert(tracked.member.name.clone(), tracked);
        }
    }

    /// Iterates over the members in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_name.values().map(|tracked| &tracked.member)
    }

    /// Returns the version of the newest change.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }
}
