//! Outcomes of attempts and requests.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request that got no answer may have had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunState {
    /// Nothing was dispatched, or it is proven for every upstream that it ran nothing.
    NotRun,
    /// Something was dispatched, and there is no proof that it did not run.
    MayHaveRun,
}

impl RunState {
    /// The wording in refusals.
    pub const fn as_str(self) -> &'static str {
        match self {
            RunState::NotRun => "not run",
            RunState::MayHaveRun => "may have run",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// The outcome of one attempt at a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The upstream sent a complete answer to this attempt.
    Answered,
    /// The upstream reported, or the connection's state proved, that nothing ran.
    NotRun,
    /// No connection could be opened, so nothing ran.
    Unreachable,
    /// The upstream failed, and the failure does not show whether the request ran.
    Failed,
    /// The connection made no progress for too long.
    Silent,
    /// The time allowed for the attempt ran out.
    TimedOut,
    /// The answer belonged to a different request or attempt.
    Crossed,
    /// The answer ended without its explicit end marker.
    Truncated,
    /// The answer is no longer needed.
    Cancelled,
}

impl AttemptOutcome {
    /// All outcomes, for reports and metrics.
    pub const ALL: [AttemptOutcome; 9] = [
        AttemptOutcome::Answered,
        AttemptOutcome::NotRun,
        AttemptOutcome::Unreachable,
        AttemptOutcome::Failed,
        AttemptOutcome::Silent,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Crossed,
        AttemptOutcome::Truncated,
        AttemptOutcome::Cancelled,
    ];

    /// The name in reports and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            AttemptOutcome::Answered => "answered",
            AttemptOutcome::NotRun => "not-run",
            AttemptOutcome::Unreachable => "unreachable",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::Silent => "silent",
            AttemptOutcome::TimedOut => "timed-out",
            AttemptOutcome::Crossed => "crossed",
            AttemptOutcome::Truncated => "truncated",
            AttemptOutcome::Cancelled => "cancelled",
        }
    }

    /// Whether the request may have run at the upstream, given the outcome.
    pub const fn run_state(self) -> RunState {
        match self {
            AttemptOutcome::NotRun | AttemptOutcome::Unreachable => RunState::NotRun,
            _ => RunState::MayHaveRun,
        }
    }
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
