//! How the stages of a request end.

use std::time::Duration;

use compact_str::CompactString;

/// A job at the desk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub(crate) u64);

/// Why the stages of a request will not be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobFailure {
    /// They would end too late; there may be room after that time.
    WouldMiss(Duration),
    /// The time is over.
    TooLate,
    /// No upstream does one of the stages.
    NoUpstream,
    /// A piece failed too often.
    PieceFailed,
    /// Another instance fills the batches now and nothing has been done yet, or no
    /// upstream is left here. They are to be asked for elsewhere.
    Moved,
    /// The request ends the upstreams that run it, and is kept from them for that time.
    Quarantined(Duration),
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedJob {
    /// Which job.
    pub key: JobKey,
    /// The results that the request needs, or why there are none.
    pub outcome: Result<Vec<CompactString>, JobFailure>,
}
