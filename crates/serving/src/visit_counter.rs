//! A counter of visited entries, for tests of complexity.

use std::cell::Cell;

/// Counts the entries of a list that were visited, so that tests notice work that grows with the
/// length of the list instead of the number of changes.
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
