//! Events in virtual time.

use std::cmp::Ordering;

use jd_policy::QueueEntryId;
use jd_types::AttemptId;
use jd_types::MonoTime;

/// Something that happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Event {
    /// The next call arrives.
    Arrival,
    /// A server is done with a piece of work.
    Done { server: usize, job: usize },
    /// Nobody waits for an attempt any longer.
    GiveUp { request: usize, attempt: AttemptId },
    /// A ticket's latest start has come.
    Expire {
        instance: usize,
        pool: usize,
        ticket: QueueEntryId,
    },
    /// Instances exchange heartbeats.
    Beat,
}

/// An event with its time; earlier ones are greater, for a max-heap.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Timed {
    pub(super) at: MonoTime,
    pub(super) order: u64,
    pub(super) event: Event,
}

impl Ord for Timed {
    fn cmp(&self, other: &Timed) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Timed) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
