//! Keeps a copy of the store's records.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use bytes::Bytes;
use compact_str::CompactString;

use crate::StoreRevision;
use crate::visit_counter::VisitCounter;

/// The least number of removals that are kept, some 60 bytes each. A follower that is further
/// behind is sent all records.
const MIN_REMOVALS_KEPT: usize = 1_024;

/// A record of the store, or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// The record's key.
    pub key: CompactString,
    /// The record's value; empty if it was removed.
    pub value: Bytes,
    /// The store's revision when the record was written or removed.
    pub revision: StoreRevision,
    /// True if the record was removed.
    pub removed: bool,
}

/// The update that an instance receives from the instance it follows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreUpdate {
    /// True if the items are all records, not only the changed ones.
    pub is_full: bool,
    /// The items in the order in which they were written.
    pub items: Vec<StoreItem>,
    /// The update is complete up to this revision.
    pub revision: StoreRevision,
}

/// A copy of the store's records, from which other instances are updated.
///
/// If every instance of a fleet watched the store itself, each change would be sent to all of
/// them: calls would grow with instances times changes, and the load and cost of the store with
/// them. Instead, a few instances watch the store and the others follow these.
#[derive(Debug, Default)]
pub struct StoreMirror {
    items: BTreeMap<CompactString, StoreItem>,
    /// The keys of all items by their revisions.
    by_revision: BTreeSet<(StoreRevision, CompactString)>,
    removed: VecDeque<StoreItem>,
    /// Removals up to this revision may have been dropped.
    dropped_up_to: StoreRevision,
    revision: StoreRevision,
    visits: VisitCounter,
}

impl StoreMirror {
    /// The revision up to which the copy is complete.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Replaces the copy by all records of the store at `revision`. Returns false and changes
    /// nothing if that is older than the copy.
    pub fn replace(&mut self, items: Vec<StoreItem>, revision: StoreRevision) -> bool {
        if revision < self.revision {
            return false;
        }
        self.items.clear();
        self.by_revision.clear();
        for item in items {
            self.insert(item);
        }
        self.removed.clear();
        self.dropped_up_to = revision;
        self.revision = revision;
        true
    }

    /// Applies the changes up to `revision` and returns those that are new here. The same
    /// changes may arrive twice, by a faster and a slower path. Changes of another era than the
    /// copy's are ignored, because the changes in between are missing.
    pub fn apply(&mut self, mut items: Vec<StoreItem>, revision: StoreRevision) -> Vec<StoreItem> {
        if !revision.is_same_era(self.revision) {
            return Vec::new();
        }
        items.retain(|i| i.revision > self.revision);
        for item in &items {
            match item.removed {
                false => self.insert(item.clone()),
                true => {
                    self.remove(&item.key);
                    self.removed.push_back(item.clone());
                }
            }
        }
        // Keeps as many removals as there are records, so that removing all records at once
        // does not force followers to load everything.
        while self.removed.len() > MIN_REMOVALS_KEPT.max(self.items.len()) {
            let oldest = self.removed.pop_front();
            self.dropped_up_to = oldest.map_or(self.dropped_up_to, |i| i.revision);
        }
        self.revision = self.revision.max(revision);
        items
    }

    /// True if a follower that has everything up to `after` has to be sent all records, because
    /// removals since then may have been dropped.
    pub fn needs_full_update(&self, after: StoreRevision) -> bool {
        after < self.dropped_up_to
    }

    /// All records, in the order of their keys.
    pub fn items(&self) -> impl Iterator<Item = &StoreItem> {
        self.items.values()
    }

    /// Number of records.
    pub fn record_count(&self) -> usize {
        self.items.len()
    }

    /// Number of records written after a revision.
    pub fn written_after(&self, after: StoreRevision) -> usize {
        self.newer_than(after).count()
    }

    /// The changes that a follower lacks that has everything up to `after`. Only these are
    /// visited.
    pub fn updates_since(&self, after: StoreRevision) -> StoreUpdate {
        if self.needs_full_update(after) {
            return self.all();
        }
        let mut written: Vec<&StoreItem> = self.newer_than(after).collect();
        written.reverse();
        let removed = self.removed.iter().rev().inspect(|_| self.visits.add(1));
        let removed = removed.take_while(|i| i.revision > after);
        let mut removed: Vec<&StoreItem> = removed.collect();
        removed.reverse();
        let mut items: Vec<StoreItem> = written.into_iter().chain(removed).cloned().collect();
        items.sort_by_key(|i| i.revision);
        StoreUpdate {
            is_full: false,
            items,
            revision: self.revision,
        }
    }

    /// Records and removals visited since the start.
    pub fn visited(&self) -> u64 {
        self.visits.count()
    }

    fn all(&self) -> StoreUpdate {
        let items = self.by_revision.iter().inspect(|_| self.visits.add(1));
        let items = items.filter_map(|(_, key)| self.items.get(key));
        StoreUpdate {
            is_full: true,
            items: items.cloned().collect(),
            revision: self.revision,
        }
    }

    /// The records written after a revision, the latest first.
    fn newer_than(&self, after: StoreRevision) -> impl Iterator<Item = &StoreItem> {
        let written = self.by_revision.iter().rev();
        let written = written.inspect(|_| self.visits.add(1));
        let written = written.take_while(move |(at, _)| *at > after);
        written.filter_map(|(_, key)| self.items.get(key))
    }

    fn insert(&mut self, item: StoreItem) {
        self.remove(&item.key);
        self.by_revision.insert((item.revision, item.key.clone()));
        self.items.insert(item.key.clone(), item);
    }

    fn remove(&mut self, key: &str) {
        if let Some(before) = self.items.remove(key) {
            self.by_revision.remove(&(before.revision, before.key));
        }
    }
}
