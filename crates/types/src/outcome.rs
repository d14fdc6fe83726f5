//! How an attempt or a request ended.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request that got no answer can have had an effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunState {
    /// Nothing was dispatched, or every upstream proved that it did nothing.
    NotRun,
    /// Something was dispatched and nobody proved that it did nothing.
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

/// How one attempt at a stage ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The upstream gave its whole answer to this attempt.
    Answered,
    /// The upstream said, or the connection proved, that nothing ran.
    NotRun,
    /// No connection could be opened, so nothing ran.
    Unreachable,
    /// The upstream failed in a way that proves nothing.
    Failed,
    /// No progress on the connection for too long.
    Silent,
    /// The time allowed for the attempt ran out.
    TimedOut,
    /// An answer to some other request or attempt came.
    Crossed,
    /// The answer ended before its explicit end.
    Truncated,
    /// Nobody needs the answer any more.
    Cancelled,
}

impl AttemptOutcome {
    /// Every outcome, for reports and metrics.
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

    /// What the outcome proves about the upstream's work.
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
