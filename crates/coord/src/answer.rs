//! What a caller gets.

use bytes::Bytes;
use jd_types::Refusal;
use jd_types::RequestId;

/// The whole answer to one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The request that it answers.
    pub request: RequestId,
    /// What the last stage gave.
    pub output: Bytes,
}

/// How a run ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunAnswer {
    /// The whole answer.
    Whole(Answer),
    /// A refusal.
    Refused(Refusal),
}
