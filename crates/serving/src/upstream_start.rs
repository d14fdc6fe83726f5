//! Identifies one start of an upstream.

/// One start of an upstream: its time in milliseconds since 1970 by the upstream's clock, or
/// unknown if the upstream does not report it.
///
/// An upstream may restart under the same identity. It has then lost all earlier state, so that
/// only identity and start together identify it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct UpstreamStart(Option<u64>);

impl UpstreamStart {
    /// A start that was not reported.
    pub const UNKNOWN: UpstreamStart = UpstreamStart(None);

    /// The start at this number of milliseconds since 1970.
    pub fn at_millis(ms: u64) -> UpstreamStart {
        UpstreamStart(Some(ms))
    }

    /// Milliseconds since 1970, if known.
    pub fn millis(self) -> Option<u64> {
        self.0
    }

    /// True if the upstream reported its start.
    pub fn is_known(self) -> bool {
        self.0.is_some()
    }

    /// True if this is known to be a later start than `other`.
    pub fn is_later_than(self, other: UpstreamStart) -> bool {
        matches!((self.0, other.0), (Some(own), Some(other)) if own > other)
    }

    /// The later of two starts; a known one if the other is unknown.
    pub fn later(self, other: UpstreamStart) -> UpstreamStart {
        UpstreamStart(self.0.max(other.0))
    }
}
