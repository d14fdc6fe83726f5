//! The outcome of the placement of a prompt.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::UpstreamStart;

/// The upstream that the owner of a shard selected for a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPlacement {
    /// The identity of the upstream.
    pub upstream: CompactString,
    /// The start that was selected.
    pub start: UpstreamStart,
    /// The upstream from which it is to fetch the tokens that the session shares.
    pub fetch_from: Option<SocketAddr>,
}

/// Why a prompt was placed at its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementReason {
    /// It is the first choice of the session.
    Preferred,
    /// It holds tokens of the session.
    Held,
    /// The first choice or the holder would have been worse.
    Moved,
    /// All upstreams are full, and this one is the least full.
    Full,
}

impl PlacementReason {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            PlacementReason::Preferred => "preferred",
            PlacementReason::Held => "held",
            PlacementReason::Moved => "moved",
            PlacementReason::Full => "full",
        }
    }
}

/// The placement of a prompt, with the estimates that it is based on.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementDecision {
    /// Where the prompt is sent.
    pub placement: PromptPlacement,
    /// Why it is sent there.
    pub reason: PlacementReason,
    /// Tokens that the upstream has to read.
    pub read_tokens: u32,
    /// The time until the first event, including prompts that are read before.
    pub first_event: Duration,
    /// The pause that the streams there have while the prompt is read.
    pub pause: Duration,
    /// Streams that run there.
    pub streams: u32,
    /// The estimated cost, in requests that are late.
    pub cost: f64,
}
