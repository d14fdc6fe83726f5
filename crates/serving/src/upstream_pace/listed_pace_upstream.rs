//! An upstream whose pace is tracked.

use compact_str::CompactString;

use crate::UpstreamStart;

/// An upstream whose pace is tracked, as listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedPaceUpstream {
    /// Its service. Paces are relative to the median of a service.
    pub service: CompactString,
    /// Its identity.
    pub id: CompactString,
    /// The listed start. Reports about other starts are dropped.
    pub start: UpstreamStart,
}
