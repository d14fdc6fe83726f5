//! The outcome of a job.

use std::time::Duration;

use compact_str::CompactString;

/// Identifies a job of the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub(crate) u64);

/// Why the stages of a request are not run to their end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobFailure {
    /// The stages would end too late. A retry after that time may succeed.
    WouldMiss(Duration),
    /// The deadline has passed, or cannot be met any more.
    TooLate,
    /// One of the stages has no upstream.
    NoUpstream,
    /// A piece failed too often.
    PieceFailed,
    /// Another instance has become the owner of the shard before the job was started, or a service
    /// has no upstreams left in this shard. The stages have to be submitted elsewhere.
    Moved,
    /// The request crashes the upstreams that run it, and is quarantined for that time.
    Quarantined(Duration),
}

/// A job that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedJob {
    /// The job.
    pub key: JobKey,
    /// The results that the request needs, or the reason of the failure.
    pub outcome: Result<Vec<CompactString>, JobFailure>,
}
