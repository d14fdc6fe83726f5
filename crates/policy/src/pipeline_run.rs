//! State machine of one request passing through the stages of its pipeline.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use jd_types::AttemptId;
use jd_types::AttemptOutcome;
use jd_types::CompiledStage;
use jd_types::MonoTime;
use jd_types::Refusal;
use jd_types::RefusalKind;
use jd_types::RequestId;
use jd_types::RunState;
use jd_types::UpstreamKey;

use crate::RetryBudget;

/// Maximum number of attempts at one stage.
const MAX_ATTEMPTS: u8 = 3;
/// An attempt at an idempotent stage times out after the mean latency plus this many
/// mean deviations.
const TIMEOUT_DEVIATIONS: u32 = 8;
/// Minimum timeout of an attempt.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Retry delay given to callers after a failure that is not due to overload.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Current latency estimates of one stage.
#[derive(Debug, Clone, Copy, Default)]
pub struct StageTiming {
    /// Mean latency of an attempt.
    pub mean: Duration,
    /// The mean plus [`PipelineRun::TIMEOUT_DEVIATIONS`] deviations.
    pub timeout: Duration,
}

/// The next action for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunStep {
    /// Acquire a slot, choose an upstream and send the attempt.
    Dispatch {
        /// The attempt, which the response must identify.
        attempt: AttemptId,
        /// The latest time at which the attempt can start and still meet the deadline.
        latest_start: MonoTime,
        /// How long to wait for the response once the attempt is sent.
        timeout: Duration,
    },
    /// Query the upstream for whether the request with this key ran, because the response
    /// to the attempt was lost.
    LookUp {
        /// The attempt whose outcome is unknown.
        attempt: AttemptId,
    },
    /// The request has ended.
    End(RunEnd),
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// Every stage was answered.
    Answered,
    /// The request was refused and has no response.
    Refused(Refusal),
}

/// One request passing through the stages of its pipeline.
///
/// Tracks the current stage, the current attempt, and whether any upstream may have run
/// the request, which a refusal must report correctly. Owned by the task that serves the
/// request, so it needs no lock.
#[derive(Debug)]
pub struct PipelineRun {
    request: RequestId,
    deadline: MonoTime,
    stages: Vec<CompiledStage>,
    timings: Vec<StageTiming>,
    stage_index: usize,
    attempt: u8,
    tried: Vec<UpstreamKey>,
    state: RunState,
    outstanding: Option<AttemptId>,
}

impl PipelineRun {
    /// Number of mean deviations in [`StageTiming::timeout`].
    pub const TIMEOUT_DEVIATIONS: u32 = TIMEOUT_DEVIATIONS;

    /// Creates a run that has not started. `timings` has one entry for each stage.
    pub fn new(
        request: RequestId,
        deadline: MonoTime,
        stages: Vec<CompiledStage>,
        timings: Vec<StageTiming>,
    ) -> PipelineRun {
        PipelineRun {
            request,
            deadline,
            stages,
            timings,
            stage_index: 0,
            attempt: 0,
            tried: Vec::new(),
            state: RunState::NotRun,
            outstanding: None,
        }
    }

    /// The current stage, or none if all stages are done.
    pub fn stage(&self) -> Option<CompiledStage> {
        self.stages.get(self.stage_index).copied()
    }

    /// Upstreams that were tried for the current stage.
    pub fn tried(&self) -> &[UpstreamKey] {
        &self.tried
    }

    /// Whether an upstream may have run any part of the request so far.
    pub fn state(&self) -> RunState {
        self.state
    }

    /// Starts the current stage, or ends the request if all stages are done.
    pub fn start(&mut self, now: MonoTime) -> RunStep {
        match self.stage() {
            None => RunStep::End(RunEnd::Answered),
            Some(_) => self.dispatch(now),
        }
    }

    /// Records that an attempt is sent to `upstream`, which may run it from now on.
    pub fn attempt_sent(&mut self, upstream: UpstreamKey) {
        self.tried.push(upstream);
    }

    /// Ends the request because no slot or upstream was available for the current attempt.
    pub fn attempt_not_sent(
        &mut self,
        kind: RefusalKind,
        detail: &str,
        after: Option<Duration>,
    ) -> RunStep {
        self.outstanding = None;
        self.refuse(kind, detail, after)
    }

    /// Handles the end of an attempt. Returns none if the attempt is not the outstanding
    /// one.
    ///
    /// The response to a first attempt can arrive after a retry was sent, and responses on
    /// one connection can arrive out of order. Only the outstanding attempt changes the
    /// state, so that such a response is neither taken for that of another attempt nor
    /// advances the request by two stages.
    pub fn attempt_ended(
        &mut self,
        now: MonoTime,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        budget: &RetryBudget,
    ) -> Option<RunStep> {
        if self.outstanding != Some(attempt) {
            return None;
        }
        self.outstanding = None;
        Some(self.step_after(now, attempt, outcome, budget))
    }

    /// Handles the result of a lookup. `ran` is none if the upstream could not be queried.
    pub fn lookup_finished(&mut self, now: MonoTime, ran: Option<bool>) -> RunStep {
        match ran {
            Some(true) => self.advance(now),
            // `Some(false)` is not retried either: the attempt may still be in transit and
            // reach the upstream after the lookup.
            Some(false) | None => self.refuse(
                RefusalKind::UpstreamFailed,
                "the answer was lost and the upstream does not vouch for it",
                None,
            ),
        }
    }

    fn step_after(
        &mut self,
        now: MonoTime,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        budget: &RetryBudget,
    ) -> RunStep {
        if outcome.run_state() == RunState::MayHaveRun {
            self.state = RunState::MayHaveRun;
        }
        let stage = self.stage();
        let idempotent = stage.is_some_and(|s| s.idempotent);
        let lookup = stage.is_some_and(|s| s.lookup);
        let safe_to_retry = idempotent || outcome.run_state() == RunState::NotRun;
        let expected = self.expected_remaining();
        match outcome {
            AttemptOutcome::Answered => self.advance(now),
            AttemptOutcome::Cancelled => {
                self.refuse(RefusalKind::DeadlinePassed, "the caller went away", None)
            }
            _ if now >= self.deadline => {
                self.refuse(RefusalKind::DeadlinePassed, outcome.as_str(), None)
            }
            _ if !safe_to_retry && lookup => RunStep::LookUp { attempt },
            _ if !safe_to_retry => self.failed(attempt, outcome, "it must not run twice"),
            _ if self.attempt >= MAX_ATTEMPTS => self.failed(attempt, outcome, "no tries left"),
            _ if now + expected > self.deadline => self.failed(attempt, outcome, "no time left"),
            _ if !budget.withdraw() => {
                self.failed(attempt, outcome, "no retries left in the budget")
            }
            _ => self.dispatch(now),
        }
    }

    fn advance(&mut self, now: MonoTime) -> RunStep {
        self.stage_index += 1;
        self.attempt = 0;
        self.tried.clear();
        self.start(now)
    }

    fn dispatch(&mut self, now: MonoTime) -> RunStep {
        self.attempt += 1;
        let stage = u8::try_from(self.stage_index).unwrap_or(u8::MAX);
        let attempt = AttemptId {
            request: self.request,
            stage,
            attempt: self.attempt,
        };
        self.outstanding = Some(attempt);
        let latest_start = self.deadline.before(self.expected_remaining());
        RunStep::Dispatch {
            attempt,
            latest_start,
            timeout: self.attempt_timeout(now),
        }
    }

    /// The timeout of the current attempt.
    ///
    /// An attempt that cannot be retried gets all the time left: timing out early would
    /// lose its response without any benefit.
    fn attempt_timeout(&self, now: MonoTime) -> Duration {
        let left = self.deadline.since(now);
        let timing = self
            .timings
            .get(self.stage_index)
            .copied()
            .unwrap_or_default();
        match self.stage() {
            Some(s) if s.idempotent && self.attempt < MAX_ATTEMPTS && !timing.mean.is_zero() => {
                timing.timeout.max(MIN_TIMEOUT).min(left)
            }
            _ => left,
        }
    }

    fn expected_remaining(&self) -> Duration {
        self.timings
            .iter()
            .skip(self.stage_index)
            .map(|t| t.mean)
            .sum()
    }

    fn failed(&self, attempt: AttemptId, outcome: AttemptOutcome, why: &str) -> RunStep {
        let detail = format_compact!("stage {} {}; {why}", attempt.stage + 1, outcome);
        self.refuse(RefusalKind::UpstreamFailed, &detail, Some(RETRY_AFTER))
    }

    fn refuse(&self, kind: RefusalKind, detail: &str, after: Option<Duration>) -> RunStep {
        let detail = CompactString::from(detail);
        let refusal = Refusal {
            kind,
            run: self.state,
            detail,
            retry_after: after,
        };
        RunStep::End(RunEnd::Refused(refusal))
    }
}
