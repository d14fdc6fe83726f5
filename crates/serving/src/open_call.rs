//! Calls in progress, and the inputs that they read.

use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::JobKey;
use crate::PieceKey;

/// The results of a stage, which all pieces that need them will have read by `due`.
#[derive(Debug)]
pub(crate) struct PendingRelease {
    pub(crate) due: MonoTime,
    pub(crate) job: JobKey,
    pub(crate) stage: usize,
}

/// A call that has not ended yet.
#[derive(Debug)]
pub(crate) struct OpenCall {
    pub(crate) service: CompactString,
    pub(crate) upstream: CompactString,
    pub(crate) pieces: Vec<(JobKey, PieceKey)>,
    /// Storage at the upstream that is reserved for the results.
    pub(crate) reserved_bytes: u64,
    pub(crate) started_at: MonoTime,
    /// The expected duration, from the configured one and recent calls.
    pub(crate) expected_time: Duration,
    /// The duration by configuration.
    pub(crate) configured_time: Duration,
}
