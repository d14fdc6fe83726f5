//! The decoded head of a caller's request.

use std::time::Duration;

use compact_str::CompactString;

use crate::Prompt;
use crate::StreamId;

/// The head of a caller's request, decoded.
#[derive(Debug, Clone, Default)]
pub struct CallHead {
    /// The identity that the caller gave this attempt.
    pub request_id: Option<CompactString>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The caller's credential.
    pub credential: Option<CompactString>,
    /// The prompt, on routes that carry one.
    pub prompt: Option<Prompt>,
    /// Number of pieces of each stage, by the stage's index; 0 skips the stage.
    pub pieces: Vec<usize>,
    /// The key of the input of the first stages.
    pub piece_key: Option<CompactString>,
    /// The last event that the caller has received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// The stream that the caller resumes, if it names one that can be read.
    pub resumes: Option<StreamId>,
    /// Why the request cannot be acted on; `None` if all of its head can be read.
    pub invalid: Option<CompactString>,
}
