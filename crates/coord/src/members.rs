//! Who is there.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use jd_types::Incarnation;
use jd_types::MemberState;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::Revision;

use crate::Member;
use crate::Pulse;

/// Without a new heartbeat for that long a member is not named to callers.
const STALE_AFTER: Duration = Duration::from_secs(3);
/// Without a new heartbeat for that long a member counts as gone.
const GONE_AFTER: Duration = Duration::from_secs(10);
/// How long a gone member is remembered, so that a lagging peer's report does
/// not bring it back.
const TOMBSTONE_LIFE: Duration = Duration::from_secs(60);
/// Strangers that are asked for at once.
const MAX_STRANGERS: usize = 64;

/// A change in what is known of the members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// A life that was not known.
    Joined(Incarnation),
    /// A known life moved on.
    Moved(Incarnation, MemberState),
    /// A life is over: stopped, silent for too long, or replaced at its address.
    Gone(Incarnation),
}

/// What is remembered of a member that is gone.
#[derive(Debug, Clone, Copy)]
struct Buried {
    when: MonoTime,
    state: MemberState,
    beat: u64,
}

#[derive(Debug)]
struct Seen {
    member: Member,
    heard: MonoTime,
    exchanged: Option<MonoTime>,
}

/// The table of members of one instance, filled by heartbeats.
///
/// A report counts if its state or beat is later than what is known. Beats are
/// counted by the member itself, so a report that travels through many others,
/// late, doubled or in the wrong order, never makes a member look more alive
/// than it is.
#[derive(Debug)]
pub struct Members {
    me: Member,
    others: BTreeMap<Incarnation, Seen>,
    buried: BTreeMap<Incarnation, Buried>,
    strangers: BTreeSet<Incarnation>,
}

impl Members {
    /// A table that knows only its own instance.
    pub fn new(me: Member) -> Members {
        Members {
            me,
            others: BTreeMap::new(),
            buried: BTreeMap::new(),
            strangers: BTreeSet::new(),
        }
    }

    /// This instance.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Counts this instance's next heartbeat and states its present condition.
    pub fn beat(
        &mut self,
        state: MemberState,
        revision: Revision,
        in_flight: u32,
        epoch: u64,
    ) -> &Member {
        self.me.beat += 1;
        self.me.epoch = epoch;
        self.me.state = self.me.state.max(state);
        self.me.revision = self.me.revision.max(revision);
        self.me.in_flight = in_flight;
        &self.me
    }

    /// Takes in a report, first hand or passed on.
    pub fn hear(&mut self, now: MonoTime, report: Member) -> Option<News> {
        let who = report.incarnation;
        if who == self.me.incarnation || self.is_old_news(&report) {
            return None;
        }
        match self.others.get_mut(&who) {
            None if report.state == MemberState::Stopped => None,
            None => Some(self.join(now, report)),
            Some(seen) if report.is_newer_than(&seen.member) => {
                let moved = report.state != seen.member.state;
                seen.heard = now;
                seen.member = report;
                let state = seen.member.state;
                match state {
                    MemberState::Stopped => Some(self.bury(now, who)),
                    _ => moved.then_some(News::Moved(who, state)),
                }
            }
            Some(_) => None,
        }
    }

    /// Takes in what somebody passes on of another member. One that is not
    /// known is remembered as a stranger, to be asked for.
    pub fn hear_pulse(&mut self, now: MonoTime, pulse: &Pulse) -> Option<News> {
        let who = pulse.incarnation;
        match self.others.get(&who).map(|s| s.member.with(pulse)) {
            Some(report) => self.hear(now, report),
            None if who == self.me.incarnation || self.is_buried_at(pulse) => None,
            None if pulse.state == MemberState::Stopped => None,
            None => {
                if self.strangers.len() < MAX_STRANGERS {
                    self.strangers.insert(who);
                }
                None
            }
        }
    }

    /// Strangers to ask for. Asked anew until they are known or not spoken of
    /// any more.
    pub fn take_strangers(&mut self) -> Vec<Incarnation> {
        std::mem::take(&mut self.strangers).into_iter().collect()
    }

    /// A round trip with `who` succeeded: both have heard each other.
    pub fn exchanged(&mut self, now: MonoTime, who: Incarnation) {
        if let Some(seen) = self.others.get_mut(&who) {
            seen.exchanged = Some(now);
        }
    }

    /// Drops members that have been silent for too long.
    pub fn tick(&mut self, now: MonoTime) -> Vec<News> {
        self.buried
            .retain(|_, b| now.since(b.when) < TOMBSTONE_LIFE);
        let silent = |s: &Seen| now.since(s.heard) >= GONE_AFTER;
        let gone: Vec<Incarnation> = self
            .others
            .iter()
            .filter(|(_, s)| silent(s))
            .map(|(i, _)| *i)
            .collect();
        gone.into_iter().map(|who| self.bury(now, who)).collect()
    }

    /// A member, this instance included.
    pub fn get(&self, who: Incarnation) -> Option<&Member> {
        match who == self.me.incarnation {
            true => Some(&self.me),
            false => self.others.get(&who).map(|s| &s.member),
        }
    }

    /// Every other member that is known and not gone.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.others.values().map(|s| &s.member)
    }

    /// Members that may be named to callers, this instance included.
    ///
    /// One whose last heartbeat is old is left out even if its state was
    /// "serving": it may have withdrawn since. With that bound, an instance
    /// that withdraws knows when the last answer naming it was given.
    pub fn nameable(&self, now: MonoTime) -> impl Iterator<Item = &Member> {
        let fresh = move |s: &&Seen| now.since(s.heard) < STALE_AFTER;
        let others = self.others.values().filter(fresh).map(|s| &s.member);
        std::iter::once(&self.me)
            .chain(others)
            .filter(|m| m.state == MemberState::Serving)
    }

    /// True if the last round trip with `who` is no older than `span`.
    pub fn in_touch(&self, now: MonoTime, who: Incarnation, span: Duration) -> bool {
        let last = self.others.get(&who).and_then(|s| s.exchanged);
        who == self.me.incarnation || last.is_some_and(|t| now.since(t) <= span)
    }

    /// True if any round trip succeeded within `span`.
    pub fn any_in_touch(&self, now: MonoTime, span: Duration) -> bool {
        self.others.keys().any(|who| self.in_touch(now, *who, span))
    }

    /// How long nothing new has been heard of `who`; none if it is not known.
    pub fn silence(&self, now: MonoTime, who: Incarnation) -> Option<Duration> {
        self.others.get(&who).map(|s| now.since(s.heard))
    }

    /// The longest that another instance goes on naming this one after it has
    /// withdrawn.
    pub const fn stale_after() -> Duration {
        STALE_AFTER
    }

    /// Whom to exchange with now: up to `near` of the own hall and `far` of
    /// others, at random. When there are no more than that, everybody.
    pub fn partners(&self, near: usize, far: usize, rng: &mut fastrand::Rng) -> Vec<Member> {
        let same = |m: &&Member| m.hall == self.me.hall;
        let mut own: Vec<Member> = self.others().filter(same).cloned().collect();
        let mut rest: Vec<Member> = self.others().filter(|m| !same(m)).cloned().collect();
        rng.shuffle(&mut own);
        rng.shuffle(&mut rest);
        own.truncate(near);
        rest.truncate(far);
        own.extend(rest);
        own
    }

    /// What to pass on to a member of `hall`: everything within the own hall,
    /// only this instance beyond it.
    ///
    /// Otherwise the traffic of one heartbeat would grow with the whole fleet.
    pub fn pulses_for(&self, hall: &Name, small_fleet: usize) -> Vec<Pulse> {
        let whole = self.others.len() < small_fleet;
        let own = |m: &&Member| m.hall == self.me.hall;
        match (whole, *hall == self.me.hall) {
            (true, _) => self.others().map(Member::pulse).collect(),
            (false, true) => self.others().filter(own).map(Member::pulse).collect(),
            (false, false) => Vec::new(),
        }
    }

    /// True if the report tells nothing that was not known when its member was
    /// given up.
    ///
    /// Guards against two failures: a lagging peer's report brings a dead member
    /// back; and one that was only paused is shut out when it goes on, although
    /// it beats, since everybody took it for dead. A beat later than the last
    /// one heard can only come from a member that lives.
    fn is_old_news(&self, report: &Member) -> bool {
        self.is_buried_at(&report.pulse())
    }

    fn is_buried_at(&self, pulse: &Pulse) -> bool {
        let later = |b: &Buried| b.state < MemberState::Stopped && pulse.beat > b.beat;
        self.buried
            .get(&pulse.incarnation)
            .is_some_and(|b| !later(b))
    }

    fn join(&mut self, now: MonoTime, report: Member) -> News {
        let who = report.incarnation;
        // One address has one life: a new one there ends the old one, whether
        // or not the old one's silence has been noticed yet.
        let same = |s: &Seen| s.member.peers == report.peers;
        let old = self.others.iter().find(|(_, s)| same(s)).map(|(i, _)| *i);
        if let Some(old) = old {
            self.bury(now, old);
        }
        self.buried.remove(&who);
        self.others.insert(
            who,
            Seen {
                member: report,
                heard: now,
                exchanged: None,
            },
        );
        News::Joined(who)
    }

    fn bury(&mut self, now: MonoTime, who: Incarnation) -> News {
        if let Some(seen) = self.others.remove(&who) {
            let (state, beat) = (seen.member.state, seen.member.beat);
            self.buried.insert(
                who,
                Buried {
                    when: now,
                    state,
                    beat,
                },
            );
        }
        News::Gone(who)
    }
}
