//! Jobs whose objective leaves no time to wait for a call.

use std::time::Duration;

use jd_types::MonoTime;

use crate::StageScheduler;
use crate::job_progress::JobProgress;

/// A job can't wait if its slack is less than this part of a full call's time, in percent.
///
/// With less, a full call in progress makes the job late; with more, smaller calls would make other
/// jobs late and help none.
const SHORT_SLACK_PERCENT: u32 = 75;

impl StageScheduler {
    /// True if the objective of a job leaves too little time beside its own calls to wait for a
    /// full call. Waits at later stages don't count: in a backlog every job would seem to be one of
    /// these, and smaller calls would make the backlog longer.
    ///
    /// Calls that hold pieces of such jobs are filled up only as far as these stay on time.
    pub(crate) fn cannot_wait(&self, now: MonoTime, progress: &JobProgress, stage: usize) -> bool {
        let spec = &progress.job().stages[stage];
        let Some(queue) = self.queues.get(&spec.service) else {
            return false;
        };
        let call_time = |service: &str, pieces: usize| {
            let queue = self.queues.get(service);
            queue.map_or(Duration::ZERO, |q| q.call_time(pieces))
        };
        let own_calls = progress.critical_path(stage, &call_time);
        let slack = progress.job().objective.before(own_calls).since(now);
        spec.after.is_empty()
            && slack < queue.call_time(queue.spec.pieces) * SHORT_SLACK_PERCENT / 100
    }
}
