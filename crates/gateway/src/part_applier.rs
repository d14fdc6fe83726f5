//! Applies what can be read of the store while other records cannot.

use jd_net::lock;
use jd_serving::StoreItem;
use jd_serving::StorePart;
use jd_serving::StoreRevision;
use jd_types::MonoTime;

use crate::RecordFilter;
use crate::store_applier::DecodedChange;
use crate::store_applier::StoreApplier;

/// Records that were read while others could not be.
#[derive(Debug)]
pub(crate) struct PartRead {
    /// The kind of all of them.
    pub(crate) kind: RecordFilter,
    pub(crate) items: Vec<StoreItem>,
    /// The store's revision when the first of them was read.
    pub(crate) revision: StoreRevision,
    /// When they were asked for.
    pub(crate) asked: MonoTime,
    /// True if these are all of their kind.
    pub(crate) is_whole: bool,
}

impl StoreApplier {
    /// Applies records while others cannot be read. Other instances do not get them from here, and no
    /// record that was not read counts as missing.
    ///
    /// Guards against an entry of another writer that keeps a page from being read for as long as it
    /// stands, and with it everything else.
    pub(crate) fn apply_part(&self, read: PartRead) {
        let PartRead {
            kind,
            items,
            revision,
            asked,
            is_whole,
        } = read;
        let known = self.state.cluster().mirror.revision();
        if known != StoreRevision::ZERO && !revision.is_same_era(known) {
            return;
        }
        let count = items.len();
        let has_deployment = self.decode(&items).iter().any(DecodedChange::is_deployment);
        let changes = {
            let mut parts = lock(&self.parts);
            let part = parts
                .entry(kind)
                .or_insert_with(|| self.known_part(kind, known));
            part.update(items, revision, is_whole)
        };
        let changed = changes.len();
        self.apply_each(changes, revision);
        let now = self.state.now();
        {
            let mut cluster = self.state.cluster();
            cluster.instances_listed_at.get_or_insert(now);
            if has_deployment {
                cluster.freshness.record_deployment(asked);
            }
        }
        if has_deployment {
            self.state.part_read.set();
        }
        self.state.instances_listed.set();
        self.state.changes.notify(usize::MAX);
        if changed > 0 {
            log::warn!(kind:?, read = count, whole = is_whole, changed, revision:%; "only a part of the store can be read; it is used");
        }
    }

    /// The records of a kind, as the last reading of everything found them.
    fn known_part(&self, kind: RecordFilter, known: StoreRevision) -> StorePart {
        let cluster = self.state.cluster();
        let items = cluster.mirror.items();
        let of_kind = items.filter(|item| self.store.kind(item) == Some(kind));
        StorePart::of(of_kind.cloned(), known)
    }
}
