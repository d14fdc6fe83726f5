//! How many entries of a list were looked at.

use std::cell::Cell;

/// Counts the entries of a list that were looked at, so that work shows that grows
/// with the list and not with what changes.
#[derive(Debug, Default)]
pub(crate) struct VisitCounter(Cell<u64>);

impl VisitCounter {
    pub(crate) fn add(&self, entries: u64) {
        self.0.set(self.0.get().wrapping_add(entries));
    }

    pub(crate) fn count(&self) -> u64 {
        self.0.get()
    }
}
