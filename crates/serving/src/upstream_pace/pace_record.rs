//! What became of a report on an upstream's pace.

/// What became of a report on an upstream's pace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PaceRecord {
    /// It was merged.
    Merged,
    /// It was merged, and showed a lasting change of the upstream's pace by a large factor, so that
    /// earlier figures no longer count.
    Changed {
        /// The pace before, relative to the median.
        before: f64,
        /// The pace now, relative to the median.
        now: f64,
    },
    /// The upstream is not listed, or its service's pace is not tracked.
    UnknownUpstream,
    /// It is about another start than the listed one.
    OtherStart,
    /// It is too old.
    Expired,
}

impl PaceRecord {
    /// A label for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            PaceRecord::Merged => "merged",
            PaceRecord::Changed { .. } => "changed",
            PaceRecord::UnknownUpstream => "unknown-upstream",
            PaceRecord::OtherStart => "other-start",
            PaceRecord::Expired => "expired",
        }
    }
}
