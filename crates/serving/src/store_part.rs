//! The part of the store's records that can be read.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::StoreItem;
use crate::StoreRevision;

/// The records in the first pages of the store, while a page behind them cannot be read.
///
/// A page may be unreadable for as long as an entry of another writer stands. The pages before it are read
/// again and again meanwhile; this tells what has changed in them. Nothing is known of the records behind
/// them, so that none of these counts as missing.
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

    /// Takes the records from the first one up to the last of `read`, as they are at `revision`, and
    /// returns the changes since the reading before. What was read in another era is forgotten: records
    /// that a restored store lacks may be written again.
    pub fn update(&mut self, read: Vec<StoreItem>, revision: StoreRevision) -> Vec<StoreItem> {
        if self.era != revision.era {
            self.items.clear();
            self.era = revision.era;
        }
        let Some(last) = read.iter().map(|item| item.key.clone()).max() else {
            return Vec::new();
        };
        let behind = self.items.split_off(&last);
        let mut missing = std::mem::replace(&mut self.items, behind);
        missing.extend(self.items.remove_entry(&last));
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
