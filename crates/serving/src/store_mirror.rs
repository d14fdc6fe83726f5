//! What the store holds, as far as this instance has been told.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use bytes::Bytes;
use compact_str::CompactString;

use crate::StoreRevision;
use crate::visit_counter::VisitCounter;

/// Removals that are remembered at least. A follower that is further behind is sent
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
pub struct StoreUpdate {
    /// True if the items are all records and not only those that changed.
    pub is_full: bool,
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
    /// The keys of all items by when they were written.
    written: BTreeSet<(StoreRevision, CompactString)>,
    removed: VecDeque<StoreItem>,
    /// Removals up to this revision may have been forgotten.
    forgotten: StoreRevision,
    revision: StoreRevision,
    visits: VisitCounter,
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
        self.items.clear();
        self.written.clear();
        for item in items {
            self.insert(item);
        }
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
                false => self.insert(item.clone()),
                true => {
                    self.forget(&item.key);
                    self.removed.push_back(item.clone());
                }
            }
        }
        // All that is here may be removed at once, and no follower is sent everything for it.
        while self.removed.len() > REMOVALS_KEPT.max(self.items.len()) {
            let oldest = self.removed.pop_front();
            self.forgotten = oldest.map_or(self.forgotten, |i| i.revision);
        }
        self.revision = self.revision.max(revision);
        items
    }

    /// True if somebody who knows everything up to `after` has to be sent all records:
    /// of what was removed since some may be forgotten.
    pub fn needs_full_update(&self, after: StoreRevision) -> bool {
        after < self.forgotten
    }

    /// How many records there are.
    pub fn record_count(&self) -> usize {
        self.items.len()
    }

    /// How many records were written after a revision.
    pub fn written_after(&self, after: StoreRevision) -> usize {
        self.newer(after).count()
    }

    /// What somebody lacks who knows everything up to `after`. Only that is looked at.
    pub fn updates_since(&self, after: StoreRevision) -> StoreUpdate {
        if self.needs_full_update(after) {
            return self.all();
        }
        let mut written: Vec<&StoreItem> = self.newer(after).collect();
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

    /// Records and removals that were looked at one by one since the start.
    pub fn visited(&self) -> u64 {
        self.visits.count()
    }

    fn all(&self) -> StoreUpdate {
        let items = self.written.iter().inspect(|_| self.visits.add(1));
        let items = items.filter_map(|(_, key)| self.items.get(key));
        StoreUpdate {
            is_full: true,
            items: items.cloned().collect(),
            revision: self.revision,
        }
    }

    /// What was written after a revision, the latest first.
    fn newer(&self, after: StoreRevision) -> impl Iterator<Item = &StoreItem> {
        let written = self.written.iter().rev();
        let written = written.inspect(|_| self.visits.add(1));
        let written = written.take_while(move |(at, _)| *at > after);
        written.filter_map(|(_, key)| self.items.get(key))
    }

    fn insert(&mut self, item: StoreItem) {
        self.forget(&item.key);
        self.written.insert((item.revision, item.key.clone()));
        self.items.insert(item.key.clone(), item);
    }

    fn forget(&mut self, key: &str) {
        if let Some(before) = self.items.remove(key) {
            self.written.remove(&(before.revision, before.key));
        }
    }
}
