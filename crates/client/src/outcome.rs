//! How a call ended.

use std::time::Duration;

use compact_str::CompactString;
use jd_entry::Problem;

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came.
    Answered {
        /// The request, as the system numbered it.
        request: CompactString,
        /// The answer.
        output: String,
    },
    /// The system will do it; nobody waits.
    Accepted {
        /// The request, as the system numbered it.
        request: CompactString,
    },
    /// The system refused.
    Refused(Problem),
    /// No answer came, and it may have run.
    Unknown,
    /// No instance could be reached; it has not run.
    Unreached,
}

/// How a call ended, and what it took.
#[derive(Debug, Clone)]
pub struct CallReport {
    /// The end.
    pub outcome: Outcome,
    /// From the call to the end.
    pub took: Duration,
    /// Times that a request was sent.
    pub sends: u32,
    /// Connections that broke with a request on them.
    pub broken: u32,
    /// Every key used, in order, and what was last said of it: true if the
    /// system said that it has not run.
    pub keys: Vec<(CompactString, bool)>,
}
