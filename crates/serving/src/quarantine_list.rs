//! Tracks requests that are suspected, quarantined or released.

use std::collections::HashMap;
use std::time::Duration;

use jd_types::MonoTime;

use crate::Content;
use crate::Finding;

/// The lifetime of an entry: long enough for operators to act, and short enough that a mistaken
/// quarantine ends while the caller still remembers the request. A request that is let through
/// afterwards is quarantined again after one more crash.
pub const QUARANTINE_TTL: Duration = Duration::from_secs(600);
/// Requests in the list. Each has crashed several upstreams, so that more of them within
/// [`QUARANTINE_TTL`] indicate another fault. With 24 bytes each, all fit into one heartbeat.
const MAX_ENTRIES: usize = 128;

/// The phase of an entry; of two phases in the same round the later one takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuarantinePhase {
    /// The request was in progress at consecutive crashes of upstreams. Instances that saw it
    /// complete report this.
    Suspected,
    /// The request crashes the upstreams that run it and is not sent to any of them.
    Quarantined,
    /// The request was suspected or quarantined by mistake.
    Released,
}

impl QuarantinePhase {
    /// The name in logs and in the store.
    pub const fn as_str(self) -> &'static str {
        match self {
            QuarantinePhase::Suspected => "suspected",
            QuarantinePhase::Quarantined => "quarantined",
            QuarantinePhase::Released => "released",
        }
    }
}

/// A phase and its round. A later round takes precedence over an earlier one, and a later phase
/// within a round over an earlier phase, so that all instances converge to the same state, in
/// whatever order they receive updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuarantineState {
    /// Counts from 1 and increases when a released request is suspected or quarantined again.
    pub round: u32,
    /// The phase in this round.
    pub phase: QuarantinePhase,
}

impl QuarantineState {
    /// The state of the first round.
    pub fn first(phase: QuarantinePhase) -> QuarantineState {
        QuarantineState { round: 1, phase }
    }

    /// The state of what was quarantined and may not be the cause: its runs begin one at a time until one
    /// is sound. None if it is not quarantined.
    pub fn tried_again(self) -> Option<QuarantineState> {
        let is_held = self.phase == QuarantinePhase::Quarantined;
        is_held.then_some(QuarantineState {
            round: self.round + 1,
            phase: QuarantinePhase::Suspected,
        })
    }

    /// True unless the request was released.
    pub fn is_active(self) -> bool {
        self.phase != QuarantinePhase::Released
    }
}

/// The entries of all suspected, quarantined or released requests that an instance knows.
#[derive(Debug, Clone, Default)]
pub struct QuarantineList {
    entries: HashMap<Content, QuarantineEntry>,
}

/// The entry of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The current state.
    pub state: QuarantineState,
    /// When this instance recorded the state.
    pub recorded_at: MonoTime,
    /// When the entry expires.
    pub expires_at: MonoTime,
    /// The state that the store is known to hold.
    pub stored: Option<QuarantineState>,
}

impl QuarantineEntry {
    /// When the entry was first recorded by any instance, up to the delay of messages.
    pub fn first_recorded(&self) -> MonoTime {
        self.expires_at.before(QUARANTINE_TTL)
    }
}

impl QuarantineList {
    /// Merges a state received from another instance, the store or this instance's own
    /// findings; returns true if it was new.
    pub fn merge(
        &mut self,
        now: MonoTime,
        content: Content,
        state: QuarantineState,
        remaining: Duration,
    ) -> bool {
        self.remove_expired(now);
        let expires_at = now + remaining.min(QUARANTINE_TTL);
        let known = self.entries.get(&content);
        if remaining.is_zero() || known.is_some_and(|e| e.state >= state) {
            return false;
        }
        let stored = known.and_then(|e| e.stored);
        if known.is_none() && self.entries.len() >= MAX_ENTRIES {
            self.evict_one();
        }
        let entry = QuarantineEntry {
            state,
            recorded_at: now,
            expires_at,
            stored,
        };
        self.entries.insert(content, entry);
        true
    }

    /// Records the state that the store holds for a request, if any.
    pub fn set_stored(&mut self, content: Content, state: Option<QuarantineState>) {
        if let Some(entry) = self.entries.get_mut(&content) {
            entry.stored = state;
        }
    }

    /// Records that the store holds the states of these requests and no others. Without this,
    /// entries that expired in the store while its change history was lost would not be
    /// rewritten.
    pub fn replace_stored(&mut self, stored: &[Content]) {
        let gone = |c: &Content| !stored.contains(c);
        let entries = self.entries.iter_mut().filter(|(c, _)| gone(c));
        entries.for_each(|(_, e)| e.stored = None);
    }

    /// The entry of a request.
    pub fn get(&self, now: MonoTime, content: Content) -> Option<QuarantineEntry> {
        let entry = self.entries.get(&content).copied();
        entry.filter(|e| e.expires_at > now)
    }

    /// The state to record for a request after a finding; `None` if it is recorded already.
    ///
    /// Guards against crashes that are kept longer than the entries that they caused: when they
    /// are evaluated again after another upstream has crashed, they would renew an expired
    /// quarantine or undo a release, for a request that nobody has sent since.
    pub fn next_state(
        &self,
        now: MonoTime,
        finding: &Finding,
        phase: QuarantinePhase,
    ) -> Option<QuarantineState> {
        let entry = self.get(now, finding.content);
        let next = match entry {
            None if now.since(finding.last_crash) >= QUARANTINE_TTL => return None,
            None => QuarantineState::first(phase),
            Some(e) if e.state.is_active() => QuarantineState { phase, ..e.state },
            Some(e) if finding.last_crash <= e.recorded_at => return None,
            Some(e) => QuarantineState {
                round: e.state.round + 1,
                phase,
            },
        };
        entry.is_none_or(|e| e.state < next).then_some(next)
    }

    /// The remaining time of a request's quarantine; `None` if it is not quarantined.
    pub fn quarantine_remaining(&self, now: MonoTime, content: Content) -> Option<Duration> {
        let entry = self.get(now, content)?;
        let quarantined = entry.state.phase == QuarantinePhase::Quarantined;
        quarantined.then(|| entry.expires_at.since(now))
    }

    /// True if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All entries that have not expired.
    pub fn entries(&self, now: MonoTime) -> impl Iterator<Item = (Content, QuarantineEntry)> {
        let entries = self.entries.iter().map(|(content, e)| (*content, *e));
        entries.filter(move |(_, e)| e.expires_at > now)
    }

    fn remove_expired(&mut self, now: MonoTime) {
        self.entries.retain(|_, e| e.expires_at > now);
    }

    /// Evicts the least important entry: suspicions first, then the entry that expires first.
    fn evict_one(&mut self) {
        let least = |(_, e): &(&Content, &QuarantineEntry)| {
            let quarantined = e.state.phase == QuarantinePhase::Quarantined;
            (quarantined, e.expires_at)
        };
        let least = self.entries.iter().min_by_key(least);
        if let Some(content) = least.map(|(content, _)| *content) {
            self.entries.remove(&content);
        }
    }
}
