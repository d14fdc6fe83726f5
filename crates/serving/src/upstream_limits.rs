//! Tracks the rate limits that upstreams announce in their answers.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::RequestRate;
use crate::UpstreamStart;

/// The time within which two answers may have been received out of order.
const REORDER_WINDOW: Duration = Duration::from_millis(500);
/// The least time between two receipts of the same limit that counts as a renewal: more than a
/// message between instances takes.
const MIN_RENEWAL_GAP: Duration = Duration::from_millis(100);
/// Time for which other instances are told that a limit has ended. It is longer than an
/// instance that was briefly cut off takes to receive heartbeats again.
const END_ANNOUNCED_FOR: Duration = Duration::from_secs(30);
/// Time for which the limit of an unlisted upstream is kept: entries expire with the store and
/// return with it.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);
/// Upstreams whose limits are kept.
const MAX_UPSTREAMS: usize = 2_048;

/// The rate limit that an upstream announces in one answer, as the total for all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitNotice {
    /// The start of the upstream that announced it.
    pub start: UpstreamStart,
    /// The limit, if there is one.
    pub limit: Option<RequestRate>,
    /// When an instance received the answer.
    pub received_at: MonoTime,
}

impl LimitNotice {
    /// True if this notice replaces `known`. Of two answers that may have been received out of
    /// order, the one with the lower limit counts.
    fn replaces(&self, known: &LimitNotice) -> bool {
        let stricter = match (self.limit, known.limit) {
            (Some(own), Some(known)) => own < known,
            (own, known) => own.is_some() && known.is_none(),
        };
        match self.received_at {
            _ if self.start.is_later_than(known.start) => true,
            _ if known.start.is_later_than(self.start) => false,
            received_at if received_at >= known.received_at + REORDER_WINDOW => true,
            received_at if known.received_at >= received_at + REORDER_WINDOW => false,
            _ if stricter => true,
            received_at => {
                self.limit == known.limit && received_at >= known.received_at + MIN_RENEWAL_GAP
            }
        }
    }
}

/// A change of an upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The limit before the change.
    pub before: Option<RequestRate>,
    /// The limit after the change.
    pub now: Option<RequestRate>,
}

/// The limits of upstreams, as received from them or from other instances.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLimits {
    known: HashMap<CompactString, LimitNotice>,
}

impl UpstreamLimits {
    /// Records a notice; returns the change of the limit, if there is one.
    pub fn record(&mut self, id: &str, said: LimitNotice) -> Option<LimitChange> {
        let known = self.known.get(id);
        let counts = known.map_or(said.limit.is_some(), |known| said.replaces(known));
        if !counts || (known.is_none() && self.known.len() >= MAX_UPSTREAMS) {
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

    /// The notice in force, if the upstream ever announced a limit.
    pub fn notice(&self, id: &str) -> Option<LimitNotice> {
        self.known.get(id).copied()
    }

    /// The limit in force.
    pub fn limit(&self, id: &str) -> Option<RequestRate> {
        self.notice(id)?.limit
    }

    /// True if no limit was ever announced.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Number of upstreams with a limit.
    pub fn count(&self) -> usize {
        self.known.values().filter(|n| n.limit.is_some()).count()
    }

    /// Forgets upstreams that have restarted since, and those that have been unlisted for a
    /// long time; `start_of` gives the start of a listed upstream.
    pub fn remove_gone(&mut self, now: MonoTime, start_of: impl Fn(&str) -> Option<UpstreamStart>) {
        self.known.retain(|id, notice| match start_of(id) {
            Some(start) => !start.is_later_than(notice.start),
            None => now.since(notice.received_at) < UNLISTED_RETENTION,
        });
    }

    /// The notices to send to other instances: current limits, and limits that ended recently.
    pub fn announced(&self, now: MonoTime) -> impl Iterator<Item = (&str, LimitNotice)> {
        let is_announced = move |n: &LimitNotice| {
            n.limit.is_some() || now.since(n.received_at) < END_ANNOUNCED_FOR
        };
        let known = self.known.iter().map(|(id, notice)| (id.as_str(), *notice));
        known.filter(move |(_, notice)| is_announced(notice))
    }
}
