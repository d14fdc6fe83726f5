//! Services: pools of upstreams of one kind.

use std::time::Duration;

use compact_str::CompactString;

use crate::ColdSpec;

/// A pool of upstreams of one kind.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: CompactString,
    /// Connections that one of its upstreams takes from all instances together.
    pub max_connections: u32,
    /// Set if its upstreams work on pieces of stages.
    pub batch: Option<BatchSpec>,
    /// Set if its upstreams bear less for a while after their start.
    pub cold: Option<ColdSpec>,
    /// Set if its upstreams generate from prompts.
    pub generation: Option<GenerationSpec>,
}

/// How an upstream works on pieces of stages.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BatchSpec {
    /// Calls in progress at a time.
    pub slots: u32,
    /// Calls that may wait.
    pub queue: u32,
    /// Pieces in one call.
    pub pieces: usize,
    /// What a call takes however little it holds.
    pub base_time: Duration,
    /// What each piece adds, about.
    pub piece_time: Duration,
    /// Room for results, in bytes.
    pub room_bytes: u64,
    /// How long a result is kept.
    pub result_ttl: Duration,
}

impl BatchSpec {
    /// How long a call of `pieces` takes, about.
    pub fn call_time(&self, pieces: usize) -> Duration {
        self.base_time + self.piece_time * u32::try_from(pieces).unwrap_or(u32::MAX)
    }
}

/// How an upstream generates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationSpec {
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
}
