//! The changes that an owner sends to its successor.

use compact_str::CompactString;

use crate::StoredResult;

/// The results in one update at most, about 70 kB, so that an update does not delay heartbeats on
/// the same connection.
pub const MAX_RESULTS_PER_UPDATE: usize = 512;

/// Changes of the results that an owner tracks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReplicaUpdate {
    /// True if the results replace everything that this owner sent before.
    pub whole: bool,
    /// The results that have been stored.
    pub results: Vec<StoredResult>,
    /// The handles of results that are no longer tracked.
    pub removed: Vec<CompactString>,
}
