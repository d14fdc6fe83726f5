//! Requests that come back after a refusal.

use std::collections::HashMap;

use jd_types::MonoTime;

use crate::Content;
use crate::StageJob;

/// Refusals that are kept in mind. A burst of several times what the upstreams can
/// do brings a few hundred a second, and each is kept for seconds.
const MOST: usize = 8_192;

/// Requests that were refused and may come back, known by what they are: each
/// attempt has an identity of its own.
///
/// The load that it answers: a burst beyond what the upstreams can do. Two of three
/// callers that are refused come back, as they are told to, and their objective
/// counts from when they first asked. Taken for new, each was served before
/// somebody who could still have been in time, and was late all the same: of a
/// burst's answers one in eight.
#[derive(Debug, Default)]
pub(crate) struct RefusedRequests {
    refused: HashMap<Content, Refused>,
}

/// When a refused request had to be done, and when nobody waits for it any more.
#[derive(Debug, Clone, Copy)]
struct Refused {
    objective: MonoTime,
    deadline: MonoTime,
}

impl RefusedRequests {
    /// The job was refused.
    pub(crate) fn refused(&mut self, now: MonoTime, job: &StageJob) {
        if self.refused.len() >= MOST {
            self.refused.retain(|_, r| r.deadline > now);
        }
        if self.refused.len() >= MOST {
            return;
        }
        let refused = Refused {
            objective: self.objective(now, job),
            deadline: job.deadline,
        };
        self.refused.insert(job.content, refused);
    }

    /// When the job has to be done to be in time, counted from when its caller first
    /// asked.
    pub(crate) fn objective(&self, now: MonoTime, job: &StageJob) -> MonoTime {
        let first = self.refused.get(&job.content);
        let first = first.filter(|r| r.deadline > now).map(|r| r.objective);
        first.map_or(job.objective, |first| first.min(job.objective))
    }
}
