//! The list of instances, as the owner of a log keeps it and its followers copy it.
//!
//! The owner numbers each change, and tells a follower what has changed since the number that it
//! knows: a change costs an entry for each follower, not a list. A follower that becomes the owner
//! goes on from the number at which it stood, so a take-over costs no lists either.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Moment;
use crate::workflow::membership::member::{Member, MembershipUpdate, Version};

/// Silence after which a member is forgotten: eight heartbeats.
const SILENT: Duration = Duration::from_secs(2);
/// Time between two searches for members that are silent.
const SWEEP: Duration = Duration::from_millis(100);
/// Members that are gone whose names are kept: all of a large fleet, restarted once.
const GONE_MAX: usize = 4096;

/// One member.
#[derive(Debug)]
struct Known {
    member: Member,
    heard: Moment,
    /// When it last changed, or later.
    changed: Version,
}

/// The members.
#[derive(Debug, Default)]
pub struct Members {
    known: BTreeMap<Arc<str>, Known>,
    /// Members that are gone, oldest first.
    gone: VecDeque<(Version, Arc<str>)>,
    version: Version,
    /// Up to where this process knew the changes of the owner before it.
    inherited: Version,
    /// Of changes up to this, not each one is known.
    complete_since: Version,
    swept: Option<Moment>,
}

/// What others should know of a member, without what changes all the time.
fn visible(member: &Member) -> (SocketAddr, bool) {
    (member.address, member.is_eligible())
}

impl Members {
    /// Goes on with the list as its owner at this epoch.
    pub fn begin_ownership(&mut self, epoch: u64) {
        self.inherited = self.version;
        self.version = Version { epoch, count: 0 };
        // They had no reason to greet this process before.
        self.hear_all(Moment::now());
    }

    fn hear_all(&mut self, now: Moment) {
        for known in self.known.values_mut() {
            known.heard = now;
        }
    }

    /// A member has sent a heartbeat to this process, the owner.
    pub fn record_heartbeat(&mut self, member: Member) {
        let now = Moment::now();
        let swept = self.swept.get_or_insert(now);
        let since = now.since(*swept);
        if since >= SWEEP {
            *swept = now;
        }
        match since {
            // This process stood still, and heard nobody meanwhile.
            _ if since >= SILENT / 2 => self.hear_all(now),
            _ if since >= SWEEP => self.forget_silent(now),
            _ => {}
        }
        self.insert(member, now);
    }

    fn insert(&mut self, member: Member, heard: Moment) {
        let former = self.known.get(&member.name);
        let changed = match former {
            Some(known) if visible(&known.member) == visible(&member) => known.changed,
            _ => self.advance(),
        };
        let known = Known {
            member,
            heard,
            changed,
        };
        self.known.insert(known.member.name.clone(), known);
    }

    fn forget_silent(&mut self, now: Moment) {
        let silent = self.known.values();
        let silent = silent.filter(|known| now.since(known.heard) >= SILENT);
        let silent: Vec<Arc<str>> = silent.map(|known| known.member.name.clone()).collect();
        for name in silent {
            self.known.remove(&name);
            let version = self.advance();
            self.note_gone(name, version);
        }
    }

    fn advance(&mut self) -> Version {
        self.version.count += 1;
        self.version
    }

    fn note_gone(&mut self, name: Arc<str>, version: Version) {
        self.gone.push_back((version, name));
        if self.gone.len() > GONE_MAX
            && let Some((version, _)) = self.gone.pop_front()
        {
            self.complete_since = self.complete_since.max(version);
        }
    }

    /// What a follower that knows the list as of `since` has missed.
    #[must_use]
    pub fn changes_since(&self, since: Version) -> Option<MembershipUpdate> {
        if since == self.version {
            return None;
        }
        if !self.is_followed_from(since) {
            return Some(MembershipUpdate::All(self.iter().cloned().collect()));
        }
        let changed = self.known.values().filter(|known| known.changed > since);
        let gone = self.gone.iter();
        let gone = gone.filter(|(at, name)| *at > since && !self.known.contains_key(name));
        Some(MembershipUpdate::Changes {
            changed: changed.map(|known| known.member.clone()).collect(),
            gone: gone.map(|(_, name)| name.clone()).collect(),
        })
    }

    /// Whether each change after `since` is known.
    fn is_followed_from(&self, since: Version) -> bool {
        let own = since.epoch == self.version.epoch;
        // The owner before may have told others of later changes than this process.
        let former = since.epoch == self.inherited.epoch && since <= self.inherited;
        since >= self.complete_since && (own || former)
    }

    /// Takes what the owner tells, after which the list is as of `version`.
    pub fn apply_update(&mut self, news: MembershipUpdate, version: Version) {
        let now = Moment::now();
        self.version = version;
        let changed = match news {
            MembershipUpdate::All(members) => {
                self.known.clear();
                self.gone.clear();
                self.complete_since = version;
                members
            }
            MembershipUpdate::Changes { changed, gone } => {
                for name in gone {
                    self.known.remove(&name);
                    self.note_gone(name, version);
                }
                changed
            }
        };
        for member in changed {
            let known = Known {
                member,
                heard: now,
                changed: version,
            };
            self.known.insert(known.member.name.clone(), known);
        }
    }

    /// The members, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member)
    }

    /// Number of the newest change.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }
}
