//! What one instance observed of one upstream.

use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::UpstreamStart;

/// What one instance observed of one upstream, as sums over a period.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamPace {
    /// The upstream's identity.
    pub upstream: CompactString,
    /// The start that was observed.
    pub start: UpstreamStart,
    /// Events of streams after the first.
    pub events: u32,
    /// The time in which these events arrived, summed over streams.
    pub streaming: Duration,
    /// Prompts whose first event arrived, and which had enough new tokens to tell how fast the
    /// upstream reads.
    pub prompts: u32,
    /// The new tokens of these prompts.
    pub prompt_tokens: u32,
    /// The time from the send of these prompts to their first events.
    pub reading: Duration,
    /// Streams of the instance that are in progress there.
    pub running: u32,
    /// When the period ended.
    pub observed_at: MonoTime,
}
