//! What a caller says beside its body.

use std::time::Duration;

use compact_str::CompactString;

use crate::Prompt;

/// What the head of a caller's request says, decoded.
#[derive(Debug, Clone, Default)]
pub struct CallHead {
    /// The identity that the caller gave this attempt.
    pub request_id: Option<CompactString>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The credential that the caller shows.
    pub credential: Option<CompactString>,
    /// The prompt, on routes that carry one.
    pub prompt: Option<Prompt>,
    /// Pieces of each stage, by the stage's number; 0 leaves a stage out.
    pub pieces: Vec<usize>,
    /// What first stages work on.
    pub piece_key: Option<CompactString>,
    /// The last event that the caller has, when it goes on with a stream.
    pub last_event: Option<u64>,
}
