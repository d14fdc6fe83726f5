//! An upstream that a prompt may be placed at.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::SoftwareVersion;
use crate::UpstreamStart;

/// An upstream that a prompt may be placed at, with its pace.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementCandidate {
    /// Its identity.
    pub id: CompactString,
    /// Its start.
    pub start: UpstreamStart,
    /// The version of its software. Tokens are fetched only from upstreams of the same version.
    pub software: SoftwareVersion,
    /// The address that it answers at.
    pub address: SocketAddr,
    /// Prompt tokens that it reads in a millisecond.
    pub read_tokens_per_ms: f64,
    /// The time between two events of one of its streams while it reads no prompt.
    pub event_interval: Duration,
    /// Streams that instances reported in progress there.
    pub running: u32,
    /// True if an instance observed it a moment ago, so that others may fetch tokens from it.
    pub observed: bool,
}
