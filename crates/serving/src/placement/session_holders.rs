//! Which upstreams hold the tokens of a session.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::UpstreamStart;

/// How long after its last use the tokens of a session are taken as held. Upstreams evict the least
/// recently used tokens; at the usual rates of prompts, that takes about twice as long.
pub(crate) const HELD_FOR: Duration = Duration::from_secs(20);
/// How long after its last use the tokens of a session may be fetched by another upstream. A fetch
/// of tokens that are gone costs more than reading them.
const FETCHABLE_FOR: Duration = Duration::from_secs(8);
/// Upstreams that are remembered for one session. A session that runs at more is evenly spread
/// anyway.
const MAX_HOLDERS: usize = 4;
/// Sessions in one of the two generations, so that 8,192 are remembered at most.
const MAX_SESSIONS: usize = 4_096;

/// An upstream that holds tokens of a session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) upstream: CompactString,
    pub(crate) start: UpstreamStart,
    /// When it has read the tokens.
    pub(crate) held_from: MonoTime,
    used_at: MonoTime,
}

impl Holder {
    /// True if other upstreams may fetch the tokens from this one.
    pub(crate) fn may_be_source(&self, now: MonoTime) -> bool {
        self.held_from <= now && now.since(self.used_at) < FETCHABLE_FOR
    }
}

/// The upstreams that hold the tokens of sessions.
///
/// Sessions are kept in two generations. A generation is dropped as a whole once it is too old or
/// the next one is full, so that no prompt pays for a search for old sessions.
#[derive(Debug, Default)]
pub(crate) struct SessionHolders {
    recent: HashMap<u64, Vec<Holder>>,
    earlier: HashMap<u64, Vec<Holder>>,
    recent_since: MonoTime,
}

impl SessionHolders {
    /// The upstreams that have used the tokens of a session within [`HELD_FOR`].
    pub(crate) fn holders(&self, now: MonoTime, session: u64) -> impl Iterator<Item = &Holder> {
        let known = self.recent.get(&session);
        let known = known.or_else(|| self.earlier.get(&session));
        let all = known.into_iter().flatten();
        all.filter(move |h| now.since(h.used_at) < HELD_FOR)
    }

    /// Records that an upstream uses the tokens of a session, and has read them at `held_from`.
    pub(crate) fn record(
        &mut self,
        now: MonoTime,
        session: u64,
        upstream: &CompactString,
        start: UpstreamStart,
        held_from: MonoTime,
    ) {
        if self.recent.len() >= MAX_SESSIONS || now.since(self.recent_since) >= HELD_FOR {
            self.earlier = std::mem::take(&mut self.recent);
            self.recent_since = now;
        }
        if let Some(moved) = self.earlier.remove(&session) {
            self.recent.entry(session).or_insert(moved);
        }
        let holders = self.recent.entry(session).or_default();
        holders.retain(|h| now.since(h.used_at) < HELD_FOR);
        let held_earlier = holders.iter().position(|h| h.upstream == *upstream);
        let held_earlier = held_earlier.map(|n| holders.remove(n));
        let same_start = held_earlier.filter(|h| h.start == start);
        if holders.len() >= MAX_HOLDERS {
            // The least recently used one, as the order is that of use.
            holders.remove(0);
        }
        holders.push(Holder {
            upstream: upstream.clone(),
            start,
            held_from: same_start.map_or(held_from, |h| h.held_from.min(held_from)),
            used_at: now,
        });
    }

    /// The number of sessions that are remembered.
    pub(crate) fn len(&self) -> usize {
        self.recent.len() + self.earlier.len()
    }
}
