//! Decides when a request is sent to another upstream, and what that does to earlier attempts.

use std::time::Duration;

use jd_types::AttemptOutcome;

use crate::RetryMode;

/// How long the attempts at a request may be silent until the path to the upstreams is checked, and
/// until a path that is lost counts as evidence against them.
pub const PATH_CHECK_SILENCE: Duration = Duration::from_millis(1_000);
/// The interval at which the path of a silent request is looked at.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The pause after an attempt that was refused before it was sent, while others are pending or the
/// answer has begun. It doubles with each further refusal.
const REFUSAL_PAUSE: Duration = Duration::from_millis(250);
/// The largest number of doublings of that pause.
const MAX_PAUSE_DOUBLINGS: u32 = 3;
/// How long a stream may be silent until another upstream is tried beside it. Twice the longest gap
/// between events that the routes of the deployment still count as in time.
pub const EVENT_PATIENCE: Duration = Duration::from_millis(1_500);
/// The same for the head of a stream. Several times the time to read the longest prompts.
const STREAM_HEAD_PATIENCE: Duration = Duration::from_millis(2_500);
/// The same for a single answer, as a part of the time that is left when the request is sent.
const SINGLE_PATIENCE_PERCENT: u32 = 50;
/// The shortest gap in a stream after which its caller abandons it.
const MIN_ABANDON_GAP: Duration = Duration::from_secs(2);
/// The same in objectives of the route, and in its longest pauses between events. The longest of
/// these gaps applies.
const ABANDON_OBJECTIVES: u32 = 4;
const ABANDON_EVENT_GAPS: u32 = 8;

/// What is known against an upstream that a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The connection broke, or carried what is no answer to the request.
    Broken,
    /// This instance had no memory left for the answer because of others.
    NoRoom,
    /// The upstream refused the request, or answered that it failed.
    Refused,
    /// The upstream process has restarted since.
    Restarted,
    /// The path to the upstream is lost. A connection that is open may go on.
    PathLost,
    /// Nothing has arrived for a while. A sound upstream may be silent and go on.
    Silent,
}

impl Evidence {
    /// The name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Evidence::Broken => "broken",
            Evidence::NoRoom => "no-room",
            Evidence::Refused => "refused",
            Evidence::Restarted => "restarted",
            Evidence::PathLost => "path-lost",
            Evidence::Silent => "silent",
        }
    }

    /// True if no answer can come any more. Otherwise the attempt is kept until another one has
    /// begun to answer.
    pub const fn is_final(self) -> bool {
        matches!(
            self,
            Evidence::Broken | Evidence::NoRoom | Evidence::Refused | Evidence::Restarted
        )
    }

    /// The evidence of an attempt that has ended without an answer.
    pub const fn of_outcome(outcome: AttemptOutcome) -> Evidence {
        match outcome {
            AttemptOutcome::NotRun => Evidence::Refused,
            AttemptOutcome::Silent | AttemptOutcome::TimedOut => Evidence::Silent,
            _ => Evidence::Broken,
        }
    }
}

/// Attempts that were refused before they were sent, for example by the stages or by the retry
/// budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusals {
    /// How many there were in a row.
    pub count: u32,
    /// How long ago the latest was.
    pub latest: Duration,
}

impl Refusals {
    /// The time until another attempt.
    fn pause_left(self) -> Duration {
        let doublings = self.count.saturating_sub(1).min(MAX_PAUSE_DOUBLINGS);
        let pause = REFUSAL_PAUSE.saturating_mul(1 << doublings);
        pause.saturating_sub(self.latest)
    }
}

/// The attempts at a request that may still bring an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingAttempts {
    /// How many there are.
    pub count: usize,
    /// How long none of them has brought anything; zero if one is not sent yet.
    pub silent_for: Duration,
    /// The time until all of them have been silent for longer than expected.
    pub until_silent: Duration,
}

/// What the decision on another attempt is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptSituation {
    /// The pending attempts.
    pub pending: PendingAttempts,
    /// True if the route allows another run, and nothing else rules it out.
    pub may_run: bool,
    /// True while this instance can connect to no upstream.
    pub is_path_lost: bool,
    /// Attempts that were refused since the last one that was sent; none if there were none.
    pub refusals: Option<Refusals>,
    /// The time in which an answer is of use.
    pub left: Duration,
}

/// What follows from the attempts at a request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptDecision {
    /// Another attempt is made beside the pending ones, because of this evidence against them; none
    /// if nothing is pending.
    Attempt(Option<Evidence>),
    /// The pending attempts are waited for, at most this long.
    Wait(Duration),
    /// No answer can come any more.
    End,
}

impl AttemptSituation {
    /// Decides whether another attempt is made. Pending attempts are never ended by this: silence
    /// and a lost path leave the possibility that they go on.
    pub fn decide(&self) -> AttemptDecision {
        let AttemptSituation { pending, left, .. } = *self;
        let pause = self.refusals.map_or(Duration::ZERO, Refusals::pause_left);
        let is_silent = pending.until_silent.is_zero();
        let lost = self.is_path_lost && pending.silent_for >= PATH_CHECK_SILENCE;
        match pending.count {
            _ if left.is_zero() => AttemptDecision::End,
            0 if !self.may_run => AttemptDecision::End,
            _ if !self.may_run => AttemptDecision::Wait(left),
            _ if !pause.is_zero() => AttemptDecision::Wait(pause.min(left)),
            0 => AttemptDecision::Attempt(None),
            _ if lost => AttemptDecision::Attempt(Some(Evidence::PathLost)),
            _ if is_silent => AttemptDecision::Attempt(Some(Evidence::Silent)),
            _ => {
                let check = PATH_CHECK_SILENCE.saturating_sub(pending.silent_for);
                let check = match check.is_zero() {
                    true => PATH_CHECK_INTERVAL,
                    false => check,
                };
                AttemptDecision::Wait(pending.until_silent.min(check).min(left))
            }
        }
    }
}

/// How long an upstream may take to begin its answer until another one is tried beside it, if `left`
/// is left when the request is sent.
pub fn head_patience(retry_mode: RetryMode, left: Duration) -> Duration {
    match retry_mode.is_stream() {
        true => left.min(STREAM_HEAD_PATIENCE),
        false => left.saturating_mul(SINGLE_PATIENCE_PERCENT) / 100,
    }
}

/// The gap after which callers abandon a stream of a route with this objective and longest pause
/// between events.
pub fn abandon_gap(objective: Duration, event_gap: Option<Duration>) -> Duration {
    let objectives = objective.saturating_mul(ABANDON_OBJECTIVES);
    let pauses = event_gap.unwrap_or_default();
    let pauses = pauses.saturating_mul(ABANDON_EVENT_GAPS);
    MIN_ABANDON_GAP.max(objectives).max(pauses)
}
