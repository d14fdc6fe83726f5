//! The rates in the middle of several.

/// The rates in the middle of several: the same one twice, or the two beside the middle.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Middle {
    pub(crate) lower: f64,
    pub(crate) upper: f64,
}

impl Middle {
    /// The geometric mean of both.
    pub(crate) fn mean(self) -> f64 {
        f64::sqrt(self.lower * self.upper)
    }

    /// The rate that differs less from `other`, or `other` itself if it is between them.
    pub(crate) fn closest_to(self, other: f64) -> f64 {
        other.clamp(self.lower, self.upper)
    }
}
