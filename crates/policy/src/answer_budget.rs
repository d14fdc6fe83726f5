//! Which answers of upstreams are kept in memory while it is short.

use std::collections::BTreeSet;

use slab::Slab;

/// Bytes up to which an answer counts as small.
const SMALL_ANSWER_BYTES: usize = 64 << 10;
/// The part of the memory that larger answers may use. The rest is for small ones.
const LARGE_PERCENT: usize = 75;

/// Identifies an unfinished answer in an [`AnswerBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AnswerKey(usize);

/// Why an answer cannot be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// It is the largest unfinished one. This counts against its upstream.
    Largest,
    /// Others hold the memory. This does not count against its upstream.
    NoRoom,
}

/// The answer to an unfinished answer that needs memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerGrant {
    /// The memory is taken.
    Granted,
    /// These answers have to return theirs, and the one that asked has to ask again when memory has
    /// been returned. None are named if enough have been told before.
    Wait(Vec<AnswerKey>),
    /// The answer has to end and to return its memory.
    Refused(AnswerEnd),
}

/// The memory for answers that are held before they are passed on.
///
/// Memory is taken before bytes are kept. Without room, the largest unfinished answer loses its own.
/// Finished ones keep theirs until their callers have read them.
#[derive(Debug)]
pub struct AnswerBudget {
    capacity: usize,
    used: usize,
    /// The part of the used memory that finished answers hold.
    finished: usize,
    /// The part of the used memory whose answers were told to return it.
    returning: usize,
    unfinished: Slab<Unfinished>,
    /// The unfinished answers that were not told, by their size.
    by_size: BTreeSet<(usize, AnswerKey)>,
}

#[derive(Debug)]
struct Unfinished {
    taken: usize,
    is_revoked: bool,
}

impl AnswerBudget {
    /// A budget of so many bytes.
    pub fn new(capacity: usize) -> AnswerBudget {
        AnswerBudget {
            capacity,
            used: 0,
            finished: 0,
            returning: 0,
            unfinished: Slab::new(),
            by_size: BTreeSet::new(),
        }
    }

    /// The memory that is taken, in bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// The memory for all answers, in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Adds an answer that holds nothing yet.
    pub fn begin(&mut self) -> AnswerKey {
        let key = AnswerKey(self.unfinished.insert(Unfinished {
            taken: 0,
            is_revoked: false,
        }));
        self.by_size.insert((0, key));
        key
    }

    /// Takes `bytes` of memory for an unfinished answer.
    pub fn take(&mut self, key: AnswerKey, bytes: usize) -> AnswerGrant {
        let size = self.unfinished[key.0].taken.saturating_add(bytes);
        let limit = match size {
            ..=SMALL_ANSWER_BYTES => self.capacity,
            _ => self.capacity / 100 * LARGE_PERCENT,
        };
        match self.used.saturating_add(bytes).checked_sub(limit) {
            _ if self.unfinished[key.0].is_revoked => AnswerGrant::Refused(AnswerEnd::Largest),
            None | Some(0) => {
                self.used += bytes;
                self.resize(key, size);
                AnswerGrant::Granted
            }
            // Would not fit beside the finished ones alone either.
            Some(_) if self.finished.saturating_add(size) > limit && size <= limit => {
                AnswerGrant::Refused(AnswerEnd::NoRoom)
            }
            Some(missing) => self.make_room(key, size, missing),
        }
    }

    /// Has larger answers than the one that asks return `missing` bytes. Small ones keep theirs.
    fn make_room(&mut self, asking: AnswerKey, size: usize, missing: usize) -> AnswerGrant {
        let mut missing = missing.saturating_sub(self.returning);
        let kept = size.max(SMALL_ANSWER_BYTES);
        let mut revoked = Vec::new();
        while missing > 0 {
            let largest = self.by_size.iter().rev();
            let mut larger = largest.take_while(|(taken, _)| *taken > kept);
            match larger.find(|(_, key)| *key != asking).copied() {
                Some((taken, key)) => {
                    missing = missing.saturating_sub(taken);
                    self.revoke(key);
                    revoked.push(key);
                }
                None if !revoked.is_empty() => break,
                None if size <= SMALL_ANSWER_BYTES => {
                    return AnswerGrant::Refused(AnswerEnd::NoRoom);
                }
                None => return AnswerGrant::Refused(AnswerEnd::Largest),
            }
        }
        AnswerGrant::Wait(revoked)
    }

    fn revoke(&mut self, key: AnswerKey) {
        let answer = &mut self.unfinished[key.0];
        answer.is_revoked = true;
        self.returning += answer.taken;
        self.by_size.remove(&(answer.taken, key));
    }

    fn resize(&mut self, key: AnswerKey, size: usize) {
        let answer = &mut self.unfinished[key.0];
        let before = std::mem::replace(&mut answer.taken, size);
        match answer.is_revoked {
            true => self.returning = self.returning - before + size,
            false => {
                self.by_size.remove(&(before, key));
                self.by_size.insert((size, key));
            }
        }
    }

    /// Returns a part of the memory of an unfinished answer, so that it holds at most `bytes`.
    pub fn shrink(&mut self, key: AnswerKey, bytes: usize) {
        let taken = self.unfinished[key.0].taken;
        if taken > bytes {
            self.used -= taken - bytes;
            self.resize(key, bytes);
        }
    }

    /// Removes an answer that is complete, and returns the memory that it holds on to.
    pub fn finish(&mut self, key: AnswerKey) -> usize {
        let taken = self.unfinished[key.0].taken;
        self.resize(key, 0);
        self.by_size.remove(&(0, key));
        self.unfinished.remove(key.0);
        self.finished += taken;
        taken
    }

    /// Removes an answer that is given up, and returns its memory.
    pub fn abandon(&mut self, key: AnswerKey) {
        let taken = self.finish(key);
        self.give_back(taken);
    }

    /// Returns memory of a finished answer.
    pub fn give_back(&mut self, bytes: usize) {
        self.used -= bytes;
        self.finished -= bytes;
    }
}
