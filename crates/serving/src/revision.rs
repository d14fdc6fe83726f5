//! Moments in the life of the store.

use std::fmt;

/// A moment in the life of the store: its era, and its revision in that era.
///
/// A store that comes back from an older copy gives out revisions again for other
/// changes, in a higher era. Revisions of different eras say nothing of each other; of
/// the two moments the one in the higher era is the later one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// Rises each time the store comes back from a copy; 0 where it does not tell.
    pub era: u64,
    /// Rises with each change in one era.
    pub revision: u64,
}

impl StoreRevision {
    /// Before anything was read.
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
