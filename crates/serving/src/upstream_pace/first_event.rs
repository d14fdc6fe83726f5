//! The first event of a stream.

use std::time::Duration;

/// The first event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstEvent {
    /// The new tokens of the prompt.
    pub tokens: u32,
    /// The time from the send of the prompt.
    pub took: Duration,
}
