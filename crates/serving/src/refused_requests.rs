//! Requests that are retried after a refusal.

use std::collections::HashMap;

use jd_types::MonoTime;

use crate::Content;
use crate::StageJob;

/// The number of refusals that are remembered. A burst of several times the upstreams' capacity
/// brings a few hundred refusals a second, and each is kept for seconds.
const MAX_ENTRIES: usize = 8_192;

/// Requests that were refused and may be retried. They are recognised by their content, since each
/// attempt has its own request id.
///
/// In a burst beyond the capacity of the upstreams, two of three refused callers retry, as they are
/// told to, and their objective counts from their first attempt. If retries were treated as new
/// requests, each would be served before one that could still be on time, and be late all the
/// same: that was one in eight answers of a burst.
#[derive(Debug, Default)]
pub(crate) struct RefusedRequests {
    entries: HashMap<Content, Entry>,
}

/// The objective and the deadline of a refused request.
#[derive(Debug, Clone, Copy)]
struct Entry {
    objective: MonoTime,
    deadline: MonoTime,
}

impl RefusedRequests {
    /// Records the refusal of a job.
    pub(crate) fn record(&mut self, now: MonoTime, job: &StageJob) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|_, r| r.deadline > now);
        }
        if self.entries.len() >= MAX_ENTRIES {
            return;
        }
        let entry = Entry {
            objective: self.objective(now, job),
            deadline: job.deadline,
        };
        self.entries.insert(job.content, entry);
    }

    /// Returns when the job has to end to be on time, counted from the first attempt of its caller.
    pub(crate) fn objective(&self, now: MonoTime, job: &StageJob) -> MonoTime {
        let first = self.entries.get(&job.content);
        let first = first.filter(|r| r.deadline > now).map(|r| r.objective);
        first.map_or(job.objective, |first| first.min(job.objective))
    }
}
