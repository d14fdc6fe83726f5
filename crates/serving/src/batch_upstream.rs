//! What the desk knows of one upstream that works on batches.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;
use jd_types::Name;

use crate::CallResult;
use crate::UpstreamStart;
use crate::untracked_storage::UntrackedStorage;

/// How long an upstream is left alone after a first failure; doubled with each
/// further one. A little more than two calls.
const BLOCK_FIRST: Duration = Duration::from_millis(700);
/// The longest time that it is left alone.
const BLOCK_MOST: Duration = Duration::from_millis(4_000);
/// How long it is left alone when it was full: about a call.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Beyond this many times its expected time a call counts as stuck. Calls that
/// wait behind one of another owner take up to twice as long.
const PATIENCE_FACTOR: f64 = 2.2;
/// When a call that should have ended is expected to. A fifth of the shortest call.
const OVERDUE: Duration = Duration::from_millis(30);
/// What patience adds for networks and wakeups.
const PATIENCE_SLACK: Duration = Duration::from_millis(120);

/// An upstream that works on batches, as it is announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageUpstream {
    /// Its identity.
    pub id: CompactString,
    /// Which start of it this is.
    pub start: UpstreamStart,
    /// Where it answers.
    pub address: SocketAddr,
    /// The availability zone that it stands in.
    pub zone: Name,
}

#[derive(Debug)]
pub(crate) struct BatchUpstream {
    pub(crate) id: CompactString,
    pub(crate) start: UpstreamStart,
    pub(crate) address: SocketAddr,
    pub(crate) zone: Name,
    open_calls: u32,
    room_used: u64,
    busy_until: MonoTime,
    pub(crate) others: UntrackedStorage,
    failures: u32,
    blocked_until: MonoTime,
    /// Until when it takes nothing by its own word.
    withheld_until: MonoTime,
}

impl BatchUpstream {
    pub(crate) fn new(announced: StageUpstream) -> BatchUpstream {
        BatchUpstream {
            id: announced.id,
            start: announced.start,
            address: announced.address,
            zone: announced.zone,
            open_calls: 0,
            room_used: 0,
            busy_until: MonoTime::ZERO,
            others: UntrackedStorage::new(),
            failures: 0,
            blocked_until: MonoTime::ZERO,
            withheld_until: MonoTime::ZERO,
        }
    }

    /// True if this is known to be another start of the upstream than the one known
    /// here: a later one by its own word, or one elsewhere that is not an earlier one.
    pub(crate) fn is_replaced_by(&self, announced: &StageUpstream) -> bool {
        let earlier = self.start.is_later_than(announced.start);
        let elsewhere = self.address != announced.address;
        announced.start.is_later_than(self.start) || (elsewhere && !earlier)
    }

    pub(crate) fn open_calls(&self) -> u32 {
        self.open_calls
    }

    /// Bytes of results that lie there or are being made, others' included.
    pub(crate) fn room_used(&self) -> u64 {
        self.room_used.saturating_add(self.others.taken())
    }

    /// The upstream told its free room, of `all`.
    pub(crate) fn told_room(&mut self, free: Option<u64>, all: u64) {
        match free {
            Some(free) => self
                .others
                .told(all.saturating_sub(free).saturating_sub(self.room_used)),
            None => self.others.did_not_tell(),
        }
    }

    pub(crate) fn take_room(&mut self, bytes: u64) {
        self.room_used += bytes;
    }

    pub(crate) fn give_room(&mut self, bytes: u64) {
        self.room_used = self.room_used.saturating_sub(bytes);
    }

    pub(crate) fn is_blocked(&self, now: MonoTime) -> bool {
        now < self.blocked_until
    }

    /// How much longer it takes nothing by its own word.
    pub(crate) fn withheld_for(&self, now: MonoTime) -> Duration {
        self.withheld_until.since(now)
    }

    /// A call was made that should end at `until`.
    pub(crate) fn started(&mut self, until: MonoTime) {
        self.open_calls += 1;
        self.busy_until = until;
    }

    /// How long it takes until it can take the next call, of `slots` at a time.
    pub(crate) fn free_in(&self, now: MonoTime, slots: u32) -> Duration {
        match self.open_calls < slots {
            true => Duration::ZERO,
            false => self.busy_until.since(now).max(OVERDUE),
        }
    }

    /// How long to wait for a call that should take `expected`.
    pub(crate) fn patience(&self, expected: Duration) -> Duration {
        expected.mul_f64(PATIENCE_FACTOR) + PATIENCE_SLACK
    }

    /// A call ended. One that answered is trusted again at once; one that did
    /// not is left alone for a while, so that a slow or dead upstream costs its
    /// pieces one wait and not each of them.
    pub(crate) fn finished(
        &mut self,
        now: MonoTime,
        took: Duration,
        expected: Duration,
        result: &CallResult,
    ) {
        self.open_calls = self.open_calls.saturating_sub(1);
        match result {
            CallResult::Answered(_) if took < self.patience(expected) => self.failures = 0,
            CallResult::Answered(_) => {}
            CallResult::Full => {
                self.blocked_until = now + FULL_PAUSE;
                self.others.doubt();
            }
            CallResult::Withheld(wait) => {
                self.withheld_until = now + *wait;
                self.blocked_until = self.blocked_until.max(self.withheld_until);
            }
            // A broken connection says little of the upstream, which goes on with
            // the call: it is free again when that would have ended.
            CallResult::Broken if self.failures == 0 => {
                self.failures = 1;
                self.blocked_until = now + expected.saturating_sub(took);
            }
            CallResult::Gone | CallResult::Broken | CallResult::Failed => {
                let block = BLOCK_FIRST * (1 << self.failures.min(4));
                self.failures += 1;
                self.blocked_until = now + block.min(BLOCK_MOST);
            }
        }
    }
}
