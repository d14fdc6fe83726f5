//! Requests that are suspected, quarantined or released.

use std::collections::HashMap;
use std::time::Duration;

use jd_types::MonoTime;

use crate::Content;
use crate::Finding;

/// How long something is held against a request: long enough for operators to act, short
/// enough that what was wrongly held is over while its caller still remembers it. A
/// request that is let through afterwards needs one more end to be quarantined again.
pub const QUARANTINE_TTL: Duration = Duration::from_secs(600);
/// The most requests that something is held against. Each has cost several upstreams, so
/// that more of them within [`QUARANTINE_TTL`] mean another trouble. With 24 bytes each, all fit
/// into one heartbeat.
const MOST: usize = 128;

/// What is held against a request, from the weakest to what overrules the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuarantinePhase {
    /// It was at upstreams that ended, one after the other. Who has seen it run to its end
    /// is to say so.
    Suspected,
    /// It ends the upstreams that run it, and is kept from all of them.
    Quarantined,
    /// It was held against it wrongly.
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

/// A phase and how often there has been one before: a later round goes before an
/// earlier one, and within a round the later phase. So all instances come to hold the
/// same, in whatever order they hear of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuarantineState {
    /// Counts from 1, anew after each release.
    pub round: u32,
    /// What is held against it in this round.
    pub phase: QuarantinePhase,
}

impl QuarantineState {
    /// The first round's.
    pub fn first(phase: QuarantinePhase) -> QuarantineState {
        QuarantineState { round: 1, phase }
    }

    /// True while it may turn out to be innocent.
    pub fn is_active(self) -> bool {
        self.phase != QuarantinePhase::Released
    }
}

/// What one instance holds against requests.
#[derive(Debug, Clone, Default)]
pub struct QuarantineList {
    held: HashMap<Content, QuarantineEntry>,
}

/// What is held against one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// What is held against it now.
    pub state: QuarantineState,
    /// When this instance came to hold it.
    pub recorded_at: MonoTime,
    /// When it is forgotten.
    pub expires_at: MonoTime,
    /// What the store is known to have.
    pub stored: Option<QuarantineState>,
}

impl QuarantineEntry {
    /// When it was first held anywhere, to within the time that messages take.
    pub fn first_recorded(&self) -> MonoTime {
        self.expires_at.before(QUARANTINE_TTL)
    }
}

impl QuarantineList {
    /// Takes in what somebody holds against a request; true if that is news.
    pub fn merge(
        &mut self,
        now: MonoTime,
        content: Content,
        told: QuarantineState,
        left: Duration,
    ) -> bool {
        self.forget(now);
        let lapses = now + left.min(QUARANTINE_TTL);
        let known = self.held.get(&content);
        if left.is_zero() || known.is_some_and(|h| h.state >= told) {
            return false;
        }
        let stored = known.and_then(|h| h.stored);
        if known.is_none() && self.held.len() >= MOST {
            self.give_up_one();
        }
        let held = QuarantineEntry {
            state: told,
            recorded_at: now,
            expires_at: lapses,
            stored,
        };
        self.held.insert(content, held);
        true
    }

    /// The store has this of a request; none once it has nothing any more.
    pub fn set_stored(&mut self, content: Content, state: Option<QuarantineState>) {
        if let Some(held) = self.held.get_mut(&content) {
            held.stored = state;
        }
    }

    /// The store has something of these requests and of no others. Without this, what it
    /// gave up while its changes were lost would not be written again.
    pub fn replace_stored(&mut self, stored: &[Content]) {
        let gone = |c: &Content| !stored.contains(c);
        let held = self.held.iter_mut().filter(|(c, _)| gone(c));
        held.for_each(|(_, h)| h.stored = None);
    }

    /// What is held against a request.
    pub fn get(&self, now: MonoTime, content: Content) -> Option<QuarantineEntry> {
        let held = self.held.get(&content).copied();
        held.filter(|h| h.expires_at > now)
    }

    /// What is to be held against a request after this finding; none if that is so already.
    ///
    /// Guards against ends that outlive what was held for them: looked at again whenever
    /// another upstream ends, they would renew a quarantine that has lapsed, or undo a
    /// release, for a request that nobody has sent since.
    pub fn next_state(
        &self,
        now: MonoTime,
        finding: &Finding,
        phase: QuarantinePhase,
    ) -> Option<QuarantineState> {
        let held = self.get(now, finding.content);
        let next = match held {
            None if now.since(finding.last_crash) >= QUARANTINE_TTL => return None,
            None => QuarantineState::first(phase),
            Some(h) if h.state.is_active() => QuarantineState { phase, ..h.state },
            Some(h) if finding.last_crash <= h.recorded_at => return None,
            Some(h) => QuarantineState {
                round: h.state.round + 1,
                phase,
            },
        };
        held.is_none_or(|h| h.state < next).then_some(next)
    }

    /// For how long a request is still kept from upstreams; none if it is not.
    pub fn quarantine_remaining(&self, now: MonoTime, content: Content) -> Option<Duration> {
        let held = self.get(now, content)?;
        let quarantined = held.state.phase == QuarantinePhase::Quarantined;
        quarantined.then(|| held.expires_at.since(now))
    }

    /// True if nothing is held against anybody.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// All that has not lapsed.
    pub fn entries(&self, now: MonoTime) -> impl Iterator<Item = (Content, QuarantineEntry)> {
        let held = self.held.iter().map(|(content, held)| (*content, *held));
        held.filter(move |(_, h)| h.expires_at > now)
    }

    fn forget(&mut self, now: MonoTime) {
        self.held.retain(|_, h| h.expires_at > now);
    }

    /// Gives up what matters least: a mere suspicion first, then what lapses soonest.
    fn give_up_one(&mut self) {
        let least = |(_, h): &(&Content, &QuarantineEntry)| {
            let quarantined = h.state.phase == QuarantinePhase::Quarantined;
            (quarantined, h.expires_at)
        };
        let least = self.held.iter().min_by_key(least);
        if let Some(content) = least.map(|(content, _)| *content) {
            self.held.remove(&content);
        }
    }
}
