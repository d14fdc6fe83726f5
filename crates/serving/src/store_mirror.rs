//! What the store holds, as far as this instance has been told.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;
use compact_str::CompactString;

use crate::StoreRevision;

/// Removals that are remembered. A follower that is further behind is sent
/// everything; each takes some 60 bytes.
const REMOVALS_KEPT: usize = 1_024;

/// A record as the store keeps it, or that it was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Where it lies.
    pub key: CompactString,
    /// What it says; empty if it was removed.
    pub value: Bytes,
    /// The store's revision when it was written or removed.
    pub revision: StoreRevision,
    /// True if it was removed.
    pub removed: bool,
}

/// What an instance is sent that follows another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct News {
    /// True if the items are all records and not only those that changed.
    pub whole: bool,
    /// In the order in which they were written.
    pub items: Vec<StoreItem>,
    /// Nothing up to this revision is missing.
    pub revision: StoreRevision,
}

/// What the store holds, kept so that other instances can be told of it.
///
/// Guards against a fleet in which every instance watches the store by itself:
/// each change is then answered to every one of them, calls grow with instances
/// times changes, and the store's rate and its price grow with them. A few watch
/// and the others follow these.
#[derive(Debug, Default)]
pub struct StoreMirror {
    items: BTreeMap<CompactString, StoreItem>,
    removed: VecDeque<StoreItem>,
    /// Removals up to this revision may have been forgotten.
    forgotten: StoreRevision,
    revision: StoreRevision,
}

impl StoreMirror {
    /// The revision up to which nothing is missing.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Takes in everything that the store held at `revision`. Older than what is
    /// here it is passed over, and false: knowledge never goes back.
    pub fn replace(&mut self, items: Vec<StoreItem>, revision: StoreRevision) -> bool {
        if revision < self.revision {
            return false;
        }
        self.items = items.into_iter().map(|i| (i.key.clone(), i)).collect();
        self.removed.clear();
        self.forgotten = revision;
        self.revision = revision;
        true
    }

    /// Takes in what changed up to `revision`; returns what of it is news. Two
    /// ways may lead to the same news, and the slower one brings it again. Changes of
    /// another era than the one that is known here are no news: what came between is
    /// missing.
    pub fn apply(&mut self, mut items: Vec<StoreItem>, revision: StoreRevision) -> Vec<StoreItem> {
        if !revision.is_same_era(self.revision) {
            return Vec::new();
        }
        items.retain(|i| i.revision > self.revision);
        for item in &items {
            match item.removed {
                false => {
                    self.items.insert(item.key.clone(), item.clone());
                }
                true => {
                    self.items.remove(&item.key);
                    self.removed.push_back(item.clone());
                }
            }
        }
        while self.removed.len() > REMOVALS_KEPT {
            let oldest = self.removed.pop_front();
            self.forgotten = oldest.map_or(self.forgotten, |i| i.revision);
        }
        self.revision = self.revision.max(revision);
        items
    }

    /// True if somebody who knows everything up to `after` has to be sent all records:
    /// of what was removed since some may be forgotten.
    pub fn is_behind(&self, after: StoreRevision) -> bool {
        after < self.forgotten
    }

    /// How many records were written after a revision.
    pub fn written_after(&self, after: StoreRevision) -> usize {
        let newer = self.items.values().filter(|i| i.revision > after);
        newer.count()
    }

    /// What somebody lacks who knows everything up to `after`.
    pub fn since(&self, after: StoreRevision) -> News {
        let whole = self.is_behind(after);
        let newer = |i: &&StoreItem| whole || i.revision > after;
        let removed = self.removed.iter().filter(|_| !whole);
        let all = self.items.values().chain(removed);
        let mut items: Vec<StoreItem> = all.filter(newer).cloned().collect();
        items.sort_by_key(|i| i.revision);
        News {
            whole,
            items,
            revision: self.revision,
        }
    }
}
