//! The state that the scheduler keeps for one upstream that processes batches.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;
use jd_types::Name;

use crate::CallResult;
use crate::UpstreamLoad;
use crate::UpstreamStart;
use crate::stage_flow::CallPace;
use crate::stage_flow::MAX_RATIO;
use crate::stage_flow::ReportedLoad;
use crate::untracked_storage::UntrackedStorage;

/// How long an upstream is sent nothing after a first failure, a little more than the duration of
/// two calls. Doubled with each further failure.
const INITIAL_BLOCK: Duration = Duration::from_millis(700);
/// The longest time that an upstream is sent nothing after failures.
const MAX_BLOCK: Duration = Duration::from_millis(4_000);
/// How long an upstream is sent nothing after it rejected a call as full: about the duration of a
/// call.
const FULL_BLOCK: Duration = Duration::from_millis(150);
/// The time-out of a call, relative to its expected duration. A call that waits behind one of
/// another owner takes up to twice as long as expected.
const TIMEOUT_FACTOR: f64 = 2.2;
/// How soon a call that is overdue is expected to end: a fifth of the shortest call.
const OVERDUE_CALL_WAIT: Duration = Duration::from_millis(30);
/// Added to the time-out of a call for the network and for scheduling delays of the processes.
const TIMEOUT_SLACK: Duration = Duration::from_millis(120);

/// An upstream that processes batches, as it is announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageUpstream {
    /// Its identity.
    pub id: CompactString,
    /// The start of the upstream that announced itself.
    pub start: UpstreamStart,
    /// The address that it serves.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
}

/// An upstream that processes batches, and its state as seen by the scheduler.
#[derive(Debug)]
pub(crate) struct BatchUpstream {
    pub(crate) id: CompactString,
    pub(crate) start: UpstreamStart,
    pub(crate) address: SocketAddr,
    pub(crate) zone: Name,
    open_calls: u32,
    /// Bytes of results that the scheduler tracks, stored or in progress.
    storage_used: u64,
    /// When the last call is expected to end.
    busy_until: MonoTime,
    pub(crate) untracked: UntrackedStorage,
    failures: u32,
    blocked_until: MonoTime,
    /// Until when the upstream has asked to be sent nothing.
    backoff_until: MonoTime,
    /// The pace of the last calls.
    pace: CallPace,
    /// The load that the upstream reported last.
    reported: Option<ReportedLoad>,
}

impl BatchUpstream {
    pub(crate) fn new(announced: StageUpstream) -> BatchUpstream {
        BatchUpstream {
            id: announced.id,
            start: announced.start,
            address: announced.address,
            zone: announced.zone,
            open_calls: 0,
            storage_used: 0,
            busy_until: MonoTime::ZERO,
            untracked: UntrackedStorage::new(),
            failures: 0,
            blocked_until: MonoTime::ZERO,
            backoff_until: MonoTime::ZERO,
            pace: CallPace::default(),
            reported: None,
        }
    }

    /// True if `announced` is a restart of this upstream: its start is later, or its address
    /// differs and its start is not known to be earlier.
    pub(crate) fn is_replaced_by(&self, announced: &StageUpstream) -> bool {
        let is_earlier = self.start.is_later_than(announced.start);
        let has_moved = self.address != announced.address;
        announced.start.is_later_than(self.start) || (has_moved && !is_earlier)
    }

    pub(crate) fn open_calls(&self) -> u32 {
        self.open_calls
    }

    /// Bytes of results that are stored there or in progress, including untracked ones.
    pub(crate) fn storage_used(&self) -> u64 {
        self.storage_used.saturating_add(self.untracked.bytes())
    }

    /// Records the free storage that the upstream reported, out of `capacity`; `None` if it did not
    /// answer.
    pub(crate) fn record_free_storage(&mut self, free: Option<u64>, capacity: u64) {
        match free {
            Some(free) => self.untracked.record_bytes(
                capacity
                    .saturating_sub(free)
                    .saturating_sub(self.storage_used),
            ),
            None => self.untracked.record_no_answer(),
        }
    }

    pub(crate) fn reserve_storage(&mut self, bytes: u64) {
        self.storage_used += bytes;
    }

    pub(crate) fn free_storage(&mut self, bytes: u64) {
        self.storage_used = self.storage_used.saturating_sub(bytes);
    }

    pub(crate) fn is_blocked(&self, now: MonoTime) -> bool {
        now < self.blocked_until
    }

    /// For how much longer the upstream has asked to be sent nothing.
    pub(crate) fn backoff_left(&self, now: MonoTime) -> Duration {
        self.backoff_until.since(now)
    }

    /// Records the duration of a call relative to its configured one. `mean` is that of all
    /// upstreams of the service.
    pub(crate) fn record_pace(&mut self, now: MonoTime, ratio: f64, mean: f64) {
        self.pace.record(now, ratio, mean);
    }

    /// Records the load that the upstream reported with an answer.
    pub(crate) fn record_load(&mut self, now: MonoTime, load: UpstreamLoad) {
        self.reported = Some(ReportedLoad {
            load,
            at: now,
            own_calls: self.open_calls,
        });
    }

    /// The age of the load that the upstream reported last.
    pub(crate) fn load_age(&self, now: MonoTime) -> Option<Duration> {
        self.reported.map(|r| now.since(r.at))
    }

    /// The expected duration of a call relative to the configured one, where `mean` is that of all
    /// upstreams of the service. A report changes many times per second and a call takes longer, so
    /// a report that is better than the last calls counts only by half.
    pub(crate) fn slowness(&self, now: MonoTime, mean: f64) -> f64 {
        let pace = self.pace.ratio(now, mean);
        let reported = self.reported.as_ref().and_then(|r| r.slowness(now));
        match reported.map(|r| (r * mean).min(MAX_RATIO)) {
            Some(reported) if reported >= pace => reported,
            Some(reported) => (pace + reported) / 2.0,
            None => pace,
        }
    }

    /// For how much longer calls of other owners occupy the upstream if each takes `call_time`.
    pub(crate) fn occupied_for(&self, now: MonoTime, call_time: Duration) -> Duration {
        let occupied = |r: &ReportedLoad| r.occupied_for(now, call_time);
        self.reported.as_ref().map(occupied).unwrap_or_default()
    }

    /// Records a call that is expected to end at `until`.
    pub(crate) fn call_started(&mut self, until: MonoTime) {
        self.open_calls += 1;
        self.busy_until = until;
    }

    /// How long it takes until the upstream can take the next call, if it processes `slots` at a
    /// time.
    pub(crate) fn available_in(&self, now: MonoTime, slots: u32) -> Duration {
        match self.open_calls < slots {
            true => Duration::ZERO,
            false => self.busy_until.since(now).max(OVERDUE_CALL_WAIT),
        }
    }

    /// The time-out of a call that is expected to take `expected`.
    pub(crate) fn call_timeout(&self, expected: Duration) -> Duration {
        expected.mul_f64(TIMEOUT_FACTOR) + TIMEOUT_SLACK
    }

    /// Records the end of a call. An upstream that answered in time can be used again at once. One
    /// that did not is sent nothing for a while, so that a slow or dead upstream delays the pieces
    /// of one call and not those of each call.
    pub(crate) fn call_finished(
        &mut self,
        now: MonoTime,
        took: Duration,
        expected: Duration,
        result: &CallResult,
    ) {
        self.open_calls = self.open_calls.saturating_sub(1);
        match result {
            CallResult::Answered(_) if took < self.call_timeout(expected) => self.failures = 0,
            CallResult::Answered(_) => {}
            CallResult::Full => {
                self.blocked_until = now + FULL_BLOCK;
                self.untracked.mark_unknown();
            }
            CallResult::Withheld(wait) => {
                self.backoff_until = now + *wait;
                self.blocked_until = self.blocked_until.max(self.backoff_until);
            }
            // A broken connection says little about the upstream. It probably goes on with the
            // call, and is available when that would have ended.
            CallResult::Broken if self.failures == 0 => {
                self.failures = 1;
                self.blocked_until = now + expected.saturating_sub(took);
            }
            CallResult::Gone | CallResult::Broken | CallResult::Failed => {
                let block = INITIAL_BLOCK * (1 << self.failures.min(4));
                self.failures += 1;
                self.blocked_until = now + block.min(MAX_BLOCK);
            }
        }
    }
}
