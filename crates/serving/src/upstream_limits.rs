//! Which upstreams have named a limit of what they take.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::RequestRate;
use crate::UpstreamStart;

/// How far apart two answers may have been heard and still have crossed on their way.
const MAY_HAVE_CROSSED: Duration = Duration::from_millis(500);
/// How much later the same limit has to be heard again to count as heard again: more
/// than a message between instances takes.
const HEARD_AGAIN: Duration = Duration::from_millis(100);
/// How long others are told that an upstream names no limit any more. Longer than one
/// that was away for a moment takes to hear from others again.
const END_TOLD_FOR: Duration = Duration::from_secs(30);
/// How long the limit of an upstream that is not listed is remembered: entries lapse
/// with the store and come back with it.
const GONE_FOR: Duration = Duration::from_secs(60);
/// The most upstreams that are remembered.
const MOST: usize = 2_048;

/// What an upstream said, in one answer, of the requests that it takes from all
/// instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitNotice {
    /// Which start of it said so.
    pub start: UpstreamStart,
    /// Its limit; none if it names none.
    pub limit: Option<RequestRate>,
    /// When the answer was heard, at whichever instance.
    pub received_at: MonoTime,
}

impl LimitNotice {
    /// True if this counts and not `known`. Of two answers that may have crossed the
    /// one with the lower limit does.
    fn replaces(&self, known: &LimitNotice) -> bool {
        let stricter = match (self.limit, known.limit) {
            (Some(own), Some(known)) => own < known,
            (own, known) => own.is_some() && known.is_none(),
        };
        match self.received_at {
            _ if self.start.is_later_than(known.start) => true,
            _ if known.start.is_later_than(self.start) => false,
            heard if heard >= known.received_at + MAY_HAVE_CROSSED => true,
            heard if known.received_at >= heard + MAY_HAVE_CROSSED => false,
            _ if stricter => true,
            heard => self.limit == known.limit && heard >= known.received_at + HEARD_AGAIN,
        }
    }
}

/// A limit that an upstream names from now on, or no more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// What it named before.
    pub before: Option<RequestRate>,
    /// What it names now.
    pub now: Option<RequestRate>,
}

/// The limits that upstreams have named, as far as this instance has heard, from them
/// or from other instances.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLimits {
    known: HashMap<CompactString, LimitNotice>,
}

impl UpstreamLimits {
    /// Takes in what an upstream said; the change, if that is one.
    pub fn record(&mut self, id: &str, said: LimitNotice) -> Option<LimitChange> {
        let known = self.known.get(id);
        let counts = known.map_or(said.limit.is_some(), |known| said.replaces(known));
        if !counts || (known.is_none() && self.known.len() >= MOST) {
            return None;
        }
        let earlier = known.filter(|k| !said.start.is_later_than(k.start));
        let before = earlier.and_then(|k| k.limit);
        self.known.insert(id.into(), said);
        let change = LimitChange {
            before,
            now: said.limit,
        };
        (change.before != change.now).then_some(change)
    }

    /// What an upstream last said that counts; none if it never named a limit.
    pub fn notice(&self, id: &str) -> Option<LimitNotice> {
        self.known.get(id).copied()
    }

    /// The limit that an upstream names.
    pub fn limit(&self, id: &str) -> Option<RequestRate> {
        self.notice(id)?.limit
    }

    /// True if no upstream ever named a limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// How many upstreams name a limit.
    pub fn count(&self) -> usize {
        self.known.values().filter(|n| n.limit.is_some()).count()
    }

    /// Forgets the upstreams that have started again, and those that are gone for long;
    /// `start_of` tells the start of one that is there.
    pub fn remove_gone(&mut self, now: MonoTime, start_of: impl Fn(&str) -> Option<UpstreamStart>) {
        self.known.retain(|id, notice| match start_of(id) {
            Some(start) => !start.is_later_than(notice.start),
            None => now.since(notice.received_at) < GONE_FOR,
        });
    }

    /// What others are told: the limits, and which have ended lately.
    pub fn announced(&self, now: MonoTime) -> impl Iterator<Item = (&str, LimitNotice)> {
        let told =
            move |n: &LimitNotice| n.limit.is_some() || now.since(n.received_at) < END_TOLD_FOR;
        let known = self.known.iter().map(|(id, notice)| (id.as_str(), *notice));
        known.filter(move |(_, notice)| told(notice))
    }
}
