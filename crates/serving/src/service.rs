//! Services: pools of upstreams of one kind.

use std::num::NonZeroU32;
use std::time::Duration;

use compact_str::CompactString;

use crate::ColdSpec;

/// A pool of upstreams of one kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: CompactString,
    /// Connections that each of its upstreams accepts from all instances together.
    pub max_connections: u32,
    /// Set if its upstreams run pieces of stages.
    pub batch: Option<BatchSpec>,
    /// Set if its upstreams have less capacity for a while after their start.
    pub cold: Option<ColdSpec>,
    /// Set if its upstreams generate from prompts.
    pub generation: Option<GenerationSpec>,
}

/// How an upstream runs pieces of stages.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchSpec {
    /// Calls that run concurrently.
    pub slots: u32,
    /// Calls that may be queued.
    pub queue: u32,
    /// Pieces in one call.
    pub pieces: usize,
    /// The fixed time of a call.
    pub base_time: Duration,
    /// The approximate time that each piece adds.
    pub piece_time: Duration,
    /// Memory for results, in bytes.
    pub room_bytes: u64,
    /// How long a result is kept.
    pub result_ttl: Duration,
}

impl BatchSpec {
    /// The approximate time of a call with this number of pieces.
    pub fn call_time(&self, pieces: usize) -> Duration {
        self.base_time + self.piece_time * u32::try_from(pieces).unwrap_or(u32::MAX)
    }
}

/// How an upstream generates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationSpec {
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream; none if unknown.
    pub tokens_per_event: Option<NonZeroU32>,
    /// Bytes that one token occupies in memory; 0 if unknown.
    pub token_bytes: u64,
    /// Bandwidth of its link in bits a second; 0 if unknown.
    pub link_bits_per_s: u64,
}
