//! One request on its way through its pipeline.

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

/// The most attempts at one stage.
const MAX_ATTEMPTS: u8 = 3;
/// An idempotent attempt is given up for silence after its mean plus this many
/// mean deviations.
const TIMEOUT_DEVIATIONS: u32 = 8;
/// The least patience with an attempt.
const MIN_PATIENCE: Duration = Duration::from_millis(100);
/// When to come back after a failure that was nobody's overload.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// What is expected of one stage now.
#[derive(Debug, Clone, Copy, Default)]
pub struct StageTiming {
    /// The mean time of an attempt.
    pub mean: Duration,
    /// The mean plus [`PipelineRun::TIMEOUT_DEVIATIONS`] deviations.
    pub timeout: Duration,
}

/// What to do next for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunStep {
    /// Get a slot, choose an upstream and send.
    Dispatch {
        /// The attempt; the answer must name it.
        attempt: AttemptId,
        /// The last moment at which starting makes sense.
        latest_start: MonoTime,
        /// How long to wait for it once it is sent.
        timeout: Duration,
    },
    /// Ask an upstream whether the key has run; the attempt's answer was lost.
    LookUp {
        /// The attempt whose fate is unknown.
        attempt: AttemptId,
    },
    /// The request is over.
    End(RunEnd),
}

/// How a request is over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// Every stage has answered.
    Answered,
    /// There is no answer.
    Refused(Refusal),
}

/// One request on its way through its pipeline: which stage, which attempt, and
/// what can be said truthfully if it ends here.
///
/// Owned by the task that serves the request, so it needs no lock.
#[derive(Debug)]
pub struct PipelineRun {
    request: RequestId,
    deadline: MonoTime,
    stages: Vec<CompiledStage>,
    timings: Vec<StageTiming>,
    at: usize,
    attempt: u8,
    tried: Vec<UpstreamKey>,
    state: RunState,
    waiting: Option<AttemptId>,
}

impl PipelineRun {
    /// Deviations in [`StageTiming::timeout`].
    pub const TIMEOUT_DEVIATIONS: u32 = TIMEOUT_DEVIATIONS;

    /// A request that has not started. `timings` has one entry for each stage.
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
            at: 0,
            attempt: 0,
            tried: Vec::new(),
            state: RunState::NotRun,
            waiting: None,
        }
    }

    /// The stage that is to be done now; none at the end.
    pub fn stage(&self) -> Option<CompiledStage> {
        self.stages.get(self.at).copied()
    }

    /// Upstreams that the present stage has tried.
    pub fn tried(&self) -> &[UpstreamKey] {
        &self.tried
    }

    /// Whether anything can have run so far.
    pub fn state(&self) -> RunState {
        self.state
    }

    /// The first step, or the next stage's.
    pub fn start(&mut self, now: MonoTime) -> RunStep {
        match self.stage() {
            None => RunStep::End(RunEnd::Answered),
            Some(_) => self.dispatch(now),
        }
    }

    /// An attempt goes out to `upstream`: from here on it may run.
    pub fn attempt_sent(&mut self, upstream: UpstreamKey) {
        self.tried.push(upstream);
    }

    /// No slot or no upstream could be had for the present attempt.
    pub fn attempt_not_sent(
        &mut self,
        kind: RefusalKind,
        detail: &str,
        after: Option<Duration>,
    ) -> RunStep {
        self.waiting = None;
        self.refuse(kind, detail, after)
    }

    /// An attempt ended. One that is not waited for any more changes nothing.
    ///
    /// Guards against late and crossed answers: after a retry the first
    /// attempt's answer still comes, or one connection's answers come in
    /// another order. Only the attempt in `waiting` can move the request, so
    /// neither can stand in for another's answer or advance a stage twice.
    pub fn attempt_ended(
        &mut self,
        now: MonoTime,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        budget: &RetryBudget,
    ) -> Option<RunStep> {
        if self.waiting != Some(attempt) {
            return None;
        }
        self.waiting = None;
        Some(self.step_after(now, attempt, outcome, budget))
    }

    /// The upstream told whether the key ran. `None`: it could not be asked.
    pub fn lookup_finished(&mut self, now: MonoTime, ran: Option<bool>) -> RunStep {
        match ran {
            Some(true) => self.advance(now),
            // Proved not run, yet not tried again: the first call may still be
            // on its way to the upstream, behind the look-up.
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
        let harmless = idempotent || outcome.run_state() == RunState::NotRun;
        let expected = self.expected_rest();
        match outcome {
            AttemptOutcome::Answered => self.advance(now),
            AttemptOutcome::Cancelled => {
                self.refuse(RefusalKind::DeadlinePassed, "the caller went away", None)
            }
            _ if now >= self.deadline => {
                self.refuse(RefusalKind::DeadlinePassed, outcome.as_str(), None)
            }
            _ if !harmless && lookup => RunStep::LookUp { attempt },
            _ if !harmless => self.failed(attempt, outcome, "it must not run twice"),
            _ if self.attempt >= MAX_ATTEMPTS => self.failed(attempt, outcome, "no tries left"),
            _ if now + expected > self.deadline => self.failed(attempt, outcome, "no time left"),
            _ if !budget.withdraw() => {
                self.failed(attempt, outcome, "no retries left in the budget")
            }
            _ => self.dispatch(now),
        }
    }

    fn advance(&mut self, now: MonoTime) -> RunStep {
        self.at += 1;
        self.attempt = 0;
        self.tried.clear();
        self.start(now)
    }

    fn dispatch(&mut self, now: MonoTime) -> RunStep {
        self.attempt += 1;
        let stage = u8::try_from(self.at).unwrap_or(u8::MAX);
        let attempt = AttemptId {
            request: self.request,
            stage,
            attempt: self.attempt,
        };
        self.waiting = Some(attempt);
        let latest_start = self.deadline.before(self.expected_rest());
        RunStep::Dispatch {
            attempt,
            latest_start,
            timeout: self.attempt_timeout(now),
        }
    }

    /// How long to wait for an attempt. One that must not be repeated has all
    /// the time there is: giving up early gains nothing and loses the answer.
    fn attempt_timeout(&self, now: MonoTime) -> Duration {
        let left = self.deadline.since(now);
        let timing = self.timings.get(self.at).copied().unwrap_or_default();
        match self.stage() {
            Some(s) if s.idempotent && self.attempt < MAX_ATTEMPTS && !timing.mean.is_zero() => {
                timing.timeout.max(MIN_PATIENCE).min(left)
            }
            _ => left,
        }
    }

    fn expected_rest(&self) -> Duration {
        self.timings.iter().skip(self.at).map(|t| t.mean).sum()
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
