//! What a run gives its caller, part by part.

use std::net::SocketAddr;

use jd_coord::RunAnswer;
use jd_types::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::Problem;

/// What a run gives its caller, in order.
#[derive(Debug, Clone)]
pub(crate) enum Output {
    /// Part of the last stage's output.
    Part(String),
    /// The parts so far are void: another attempt starts over.
    Restart,
    /// The end.
    End(RunAnswer),
}

/// One line of a streamed answer. A stream that does not end with `end` or
/// `refused` was cut off and is no answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StreamLine {
    /// More output.
    Part(String),
    /// Forget the parts so far; they come again.
    Restart,
    /// The answer is whole.
    End {
        /// The request that it answers.
        request: RequestId,
    },
    /// There is no whole answer.
    Refused(Problem),
}

/// Which upstream carried out an attempt, for the audit of costs.
pub(crate) fn upstream_text(address: SocketAddr) -> compact_str::CompactString {
    compact_str::format_compact!("{address}")
}
