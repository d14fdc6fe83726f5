//! The part of the store's records that can be read.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::StoreItem;
use crate::StoreRevision;

/// Records of one kind, of which the first can be read, while a page behind them may not be.
///
/// A page may be unreadable for as long as an entry of another writer stands. What can be read is read
/// again and again meanwhile; this tells what has changed in it. Nothing is known of the records behind the
/// page, so that none of these counts as missing.
#[derive(Debug, Default)]
pub struct StorePart {
    items: BTreeMap<CompactString, StoreItem>,
    era: u64,
}

impl StorePart {
    /// The part that is known from an earlier reading of all records, at `revision`.
    pub fn of(items: impl Iterator<Item = StoreItem>, revision: StoreRevision) -> StorePart {
        StorePart {
            items: items.map(|item| (item.key.clone(), item)).collect(),
            era: revision.era,
        }
    }

    /// Takes the records from the first one up to the last of `read`, as they are at `revision`, or all if
    /// the reading is whole, and returns the changes since the reading before. What was read in another era
    /// is forgotten: records that a restored store lacks may be written again.
    pub fn update(
        &mut self,
        read: Vec<StoreItem>,
        revision: StoreRevision,
        is_whole: bool,
    ) -> Vec<StoreItem> {
        if self.era != revision.era {
            self.items.clear();
            self.era = revision.era;
        }
        let last = read.iter().map(|item| &item.key).max();
        let mut missing = std::mem::take(&mut self.items);
        if !is_whole {
            let is_behind = |key: &CompactString| last.is_none_or(|last| key > last);
            self.items = missing.extract_if(.., |key, _| is_behind(key)).collect();
        }
        let mut changes = Vec::new();
        for item in read {
            let before = missing.remove(&item.key);
            if before.as_ref() != Some(&item) {
                changes.push(item.clone());
            }
            self.items.insert(item.key.clone(), item);
        }
        changes.extend(missing.into_values().map(|item| StoreItem {
            value: Default::default(),
            revision,
            removed: true,
            ..item
        }));
        changes
    }
}
