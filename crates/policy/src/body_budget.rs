//! Which bodies of requests are kept in memory while it is short.

use std::collections::BTreeSet;
use std::time::Duration;

use jd_types::MonoTime;
use slab::Slab;

/// Bytes up to which a body counts as small.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// The part of the memory that large bodies may use. The rest is for small ones.
const LARGE_PERCENT: usize = 75;
/// The bytes that a body has to gain to count as making progress.
const PROGRESS_BYTES: usize = 16 << 10;
/// The time without progress after which an unfinished body loses its memory if another body needs
/// it.
pub const BODY_STALL_TIME: Duration = Duration::from_secs(1);

/// Identifies an unfinished body in a [`BodyBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyKey(usize);

/// The answer to a body that needs memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyGrant {
    /// The memory is taken.
    Granted,
    /// These bodies have to return theirs, and the body has to ask again whenever memory has been
    /// returned. None are named if enough have been told before.
    Wait(Vec<BodyKey>),
    /// There is no memory, and no body that has to return any.
    Refused,
}

/// The memory for bodies of requests, and the bodies that are not complete yet.
///
/// Memory is taken before bytes are kept. Bodies that stall lose theirs first, those that have stalled
/// longest before others. Complete bodies keep theirs until their last owner returns it.
#[derive(Debug)]
pub struct BodyBudget {
    capacity: usize,
    used: usize,
    /// The part of the used memory whose bodies were told to return it.
    returning: usize,
    unfinished: Slab<Unfinished>,
    /// The unfinished bodies that were not told, by the time of their last progress.
    by_progress: BTreeSet<(MonoTime, BodyKey)>,
}

#[derive(Debug)]
struct Unfinished {
    /// Bytes of memory that the body has taken.
    taken: usize,
    received: usize,
    progress_at: MonoTime,
    /// The bytes that had been received at the last progress.
    progress_bytes: usize,
    is_revoked: bool,
}

impl BodyBudget {
    /// A budget of so many bytes.
    pub fn new(capacity: usize) -> BodyBudget {
        BodyBudget {
            capacity,
            used: 0,
            returning: 0,
            unfinished: Slab::new(),
            by_progress: BTreeSet::new(),
        }
    }

    /// The memory that is taken, in bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// The memory for all bodies, in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Adds a body of which something has been received.
    pub fn begin(&mut self, now: MonoTime) -> BodyKey {
        let key = BodyKey(self.unfinished.insert(Unfinished {
            taken: 0,
            received: 0,
            progress_at: now,
            progress_bytes: 0,
            is_revoked: false,
        }));
        self.by_progress.insert((now, key));
        key
    }

    /// Takes `bytes` of memory for an unfinished body.
    pub fn take(&mut self, key: BodyKey, bytes: usize, now: MonoTime) -> BodyGrant {
        let body = &self.unfinished[key.0];
        let limit = match body.taken + bytes {
            ..=SMALL_BODY_BYTES => self.capacity,
            _ => self.capacity * LARGE_PERCENT / 100,
        };
        if body.is_revoked || bytes > limit {
            return BodyGrant::Refused;
        }
        if self.used + bytes <= limit {
            self.used += bytes;
            self.unfinished[key.0].taken += bytes;
            return BodyGrant::Granted;
        }
        let mut missing = (self.used + bytes - limit).saturating_sub(self.returning);
        let mut revoked = Vec::new();
        for (_, stalled) in self.stalled(key, now) {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(self.unfinished[stalled.0].taken);
            revoked.push(stalled);
        }
        if missing > 0 {
            return BodyGrant::Refused;
        }
        for revoked in &revoked {
            self.revoke(*revoked);
        }
        BodyGrant::Wait(revoked)
    }

    /// The other bodies that hold memory and have stalled, the longest first.
    fn stalled(
        &self,
        asking: BodyKey,
        now: MonoTime,
    ) -> impl Iterator<Item = (MonoTime, BodyKey)> + '_ {
        let ordered = self.by_progress.iter().copied();
        let stalled = ordered.take_while(move |(at, _)| now.since(*at) >= BODY_STALL_TIME);
        stalled.filter(move |(_, key)| *key != asking && self.unfinished[key.0].taken > 0)
    }

    fn revoke(&mut self, key: BodyKey) {
        let body = &mut self.unfinished[key.0];
        body.is_revoked = true;
        self.returning += body.taken;
        self.by_progress.remove(&(body.progress_at, key));
    }

    /// Records that an unfinished body has received `bytes`.
    pub fn received(&mut self, key: BodyKey, bytes: usize, now: MonoTime) {
        let body = &mut self.unfinished[key.0];
        body.received += bytes;
        if body.is_revoked || body.received - body.progress_bytes < PROGRESS_BYTES {
            return;
        }
        self.by_progress.remove(&(body.progress_at, key));
        body.progress_at = now;
        body.progress_bytes = body.received;
        self.by_progress.insert((now, key));
    }

    /// Removes a body that is complete or given up. Its memory remains taken until it is returned.
    pub fn end(&mut self, key: BodyKey) {
        let body = self.unfinished.remove(key.0);
        match body.is_revoked {
            true => self.returning -= body.taken,
            false => {
                self.by_progress.remove(&(body.progress_at, key));
            }
        }
    }

    /// Returns memory that a body has taken.
    pub fn give_back(&mut self, bytes: usize) {
        self.used -= bytes;
    }
}
