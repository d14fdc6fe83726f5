//! One call on its way.

use std::sync::Arc;
use std::time::Duration;

use jd_policy::PipelineRun;
use jd_policy::Upstream;
use jd_types::AttemptId;
use jd_types::MonoTime;
use jd_types::UpstreamKey;

use crate::experiment::arrivals::Arrival;

/// One call on its way.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) call: Arrival,
    pub(super) deadline: MonoTime,
    pub(super) run: PipelineRun,
    /// The attempt that is under way or waits for a slot.
    pub(super) now_at: Option<UnderWay>,
    pub(super) ended: bool,
    /// Upstream time of all its attempts.
    pub(super) spent: Duration,
}

/// An attempt that is under way.
#[derive(Debug, Clone)]
pub(super) struct UnderWay {
    pub(super) attempt: AttemptId,
    pub(super) pool: usize,
    pub(super) patience: Duration,
    pub(super) sent: Option<Sent>,
}

/// Where and when it was sent.
#[derive(Debug, Clone)]
pub(super) struct Sent {
    pub(super) key: UpstreamKey,
    pub(super) upstream: Arc<Upstream>,
    pub(super) at: MonoTime,
}
