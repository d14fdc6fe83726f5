//! The jobs of a scheduler that callers wait for.

use async_channel::Sender;
use compact_str::CompactString;
use jd_serving::JobFailure;
use jd_serving::PromptDemand;
use jd_serving::PromptPlacement;
use jd_serving::StageJob;
use jd_types::MonoTime;

/// What the stages of a request brought.
#[derive(Debug, Default)]
pub(crate) struct StageOutcome {
    /// The results that the request reads.
    pub(crate) results: Vec<CompactString>,
    /// The upstream of its prompt, if the owner of the shard selected one.
    pub(crate) placement: Option<PromptPlacement>,
}

pub(crate) type JobOutcome = Result<StageOutcome, JobFailure>;

/// The prompt of a job, which is placed once its stages have ended.
#[derive(Debug)]
pub(crate) struct JobPrompt {
    pub(crate) request_id: CompactString,
    pub(crate) demand: PromptDemand,
    /// When the stages have to end for the request to be on time.
    pub(crate) objective: MonoTime,
}

impl JobPrompt {
    /// The prompt of a job, if its upstream is to be selected.
    pub(crate) fn of(job: &StageJob) -> Option<JobPrompt> {
        let demand = job.prompt.clone()?;
        Some(JobPrompt {
            request_id: job.request_id.clone(),
            demand,
            objective: job.objective,
        })
    }
}

/// A caller that waits for its job.
#[derive(Debug)]
pub(crate) struct JobWaiter {
    pub(crate) tx: Sender<JobOutcome>,
    /// The priority of the job; 0 is the most urgent.
    pub(crate) priority: u8,
    pub(crate) prompt: Option<JobPrompt>,
}

impl JobWaiter {
    pub(crate) fn new(tx: Sender<JobOutcome>, job: &StageJob) -> JobWaiter {
        JobWaiter {
            tx,
            priority: job.priority,
            prompt: JobPrompt::of(job),
        }
    }
}
