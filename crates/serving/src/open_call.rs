//! Calls of the desk that have not come back, and what they read.

use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::JobKey;
use crate::PieceKey;

/// Results that will have been read by then.
#[derive(Debug)]
pub(crate) struct PendingRelease {
    pub(crate) until: MonoTime,
    pub(crate) job: JobKey,
    pub(crate) stage: usize,
}

/// A call that has not come back.
#[derive(Debug)]
pub(crate) struct OpenCall {
    pub(crate) service: CompactString,
    pub(crate) upstream: CompactString,
    pub(crate) pieces: Vec<(JobKey, PieceKey)>,
    pub(crate) bytes: u64,
    pub(crate) began: MonoTime,
    pub(crate) expected: Duration,
    pub(crate) planned: Duration,
}
