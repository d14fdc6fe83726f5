//! Revisions of the store.

use std::fmt;

/// A revision of the store and the era that it belongs to.
///
/// A store that is restored from an older copy assigns the same revisions to other changes, in
/// a higher era. Revisions of different eras cannot be compared, but the higher era is the
/// later one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// Increases each time the store is restored from a copy; 0 if the store does not report
    /// it.
    pub era: u64,
    /// Increases with each change within an era.
    pub revision: u64,
}

impl StoreRevision {
    /// The revision before anything was read.
    pub const ZERO: StoreRevision = StoreRevision {
        era: 0,
        revision: 0,
    };

    /// True if both are of the same era, so that their revisions can be compared.
    pub fn is_same_era(self, other: StoreRevision) -> bool {
        self.era == other.era
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
