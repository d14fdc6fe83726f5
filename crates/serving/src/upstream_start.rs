//! Which start of an upstream somebody speaks of.

/// Which start of an upstream somebody speaks of: the moment at which it began, in
/// milliseconds since 1970 by the upstream's own clock; none where it does not tell.
///
/// An upstream may start again under the identity that it had. It then holds and
/// knows nothing of before, so that identity and start together name it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct UpstreamStart(Option<u64>);

impl UpstreamStart {
    /// A start that nothing was told of.
    pub const UNKNOWN: UpstreamStart = UpstreamStart(None);

    /// The start at that many milliseconds since 1970.
    pub fn at_millis(ms: u64) -> UpstreamStart {
        UpstreamStart(Some(ms))
    }

    /// Milliseconds since 1970; none where it was not told.
    pub fn millis(self) -> Option<u64> {
        self.0
    }

    /// True if the upstream told it.
    pub fn is_known(self) -> bool {
        self.0.is_some()
    }

    /// True if this is known to be a later start than the other.
    pub fn is_later_than(self, other: UpstreamStart) -> bool {
        matches!((self.0, other.0), (Some(own), Some(other)) if own > other)
    }

    /// The later of two; one that was told if the other was not.
    pub fn later(self, other: UpstreamStart) -> UpstreamStart {
        UpstreamStart(self.0.max(other.0))
    }
}
