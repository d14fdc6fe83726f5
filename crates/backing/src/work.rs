//! What upstreams are asked, and what they answer.
//!
//! One JSON object over HTTP each way; a stream is one JSON object a line. The
//! users' own upstreams speak their own protocols, to be learned later: only
//! these types and the one call that sends them would be replaced.

use compact_str::CompactString;
use jd_types::AttemptId;
use jd_types::Name;
use jd_types::StageKind;
use serde::Deserialize;
use serde::Serialize;

/// On an answer: the upstream is leaving and wants nothing new.
pub const HEADER_LEAVING: &str = "x-leaving";
/// On an answer: requests that the upstream is working on.
pub const HEADER_LOAD: &str = "x-load";
/// On a refusal: the upstream vouches that nothing ran.
pub const HEADER_NOT_RUN: &str = "x-not-run";

/// One piece of work. Sent as the body of `POST /work`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRequest {
    /// The attempt; every answer names it.
    pub attempt: AttemptId,
    /// What to do.
    pub kind: StageKind,
    /// The idempotency key, if the work must not be done twice.
    pub key: Option<CompactString>,
    /// A hash of the prompt's prefix, for engines that cache prefixes.
    pub prefix: Option<u64>,
    /// The input: the caller's body, or the stage before's output.
    pub input: String,
    /// True if the answer is to come part by part.
    pub stream: bool,
}

/// The whole answer to a piece of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkDone {
    /// The attempt that this answers.
    pub attempt: AttemptId,
    /// The output.
    pub output: String,
    /// Units to be billed.
    pub units: u64,
}

/// One line of a streamed answer. Only a line with `done` ends it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkPart {
    /// More output.
    Part(String),
    /// The end. Its output is empty: the parts were it.
    Done(WorkDone),
}

/// What an engine serves. Answers `GET /engine`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The model.
    pub model: Name,
    /// The version that it serves.
    pub version: u32,
    /// The version that it is loading, if it is.
    pub loading: Option<u32>,
}

/// What an engine is to serve. Sent as the body of `POST /order`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The model.
    pub model: Name,
    /// The version.
    pub version: u32,
    /// The fencing token; engines that check it refuse a lower one than seen.
    pub token: u64,
}
