//! What the placement of a prompt depends on.

use std::time::Duration;

use compact_str::CompactString;

/// The prompt of a request, as far as it matters for its placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptDemand {
    /// The service whose upstreams generate the answer.
    pub service: CompactString,
    /// A hash of the prompt parts that requests of one session share.
    pub session: u64,
    /// The prompt's length in tokens.
    pub tokens_in: u32,
    /// The number of tokens that may be generated.
    pub tokens_out: u32,
    /// The number of prompt tokens that the session shares.
    pub shared_tokens: u32,
    /// The longest pause between two events of the answer that counts as timely.
    pub max_pause: Duration,
}
