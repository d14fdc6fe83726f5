//! Taking in what the store holds.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::SystemTime;

use jd_serving::Content;
use jd_serving::Deployment;
use jd_serving::InstanceEntry;
use jd_serving::Router;
use jd_serving::SnapshotKind;
use jd_serving::StoreItem;
use jd_serving::StoreRevision;
use jd_serving::StoreUpdate;
use jd_serving::UpdateSource;
use jd_serving::UpstreamEntry;
use jd_types::Incarnation;
use jd_types::Name;

use crate::Change;
use crate::QuarantineRecord;
use crate::Record;
use crate::Store;
use crate::cluster_state::ActiveDeployment;
use crate::quarantine::QuarantineSource;
use crate::quarantine::QuarantineUpdate;
use crate::state::State;

/// Changes of upstreams in one batch that an instance logs one by one though it hears of
/// them from another, which logs them as well.
const LINES_A_BATCH: usize = 8;

/// The lines on upstreams of one batch of changes.
///
/// Guards against a line for each upstream on each instance of a fleet: when 10,000 start
/// before 1,000 instances they are ten million, and cost more than the changes.
#[derive(Debug)]
struct UpstreamLines {
    each: bool,
    written: usize,
    removed: usize,
}

impl UpstreamLines {
    fn written(&mut self, entry: &UpstreamEntry, revision: StoreRevision) {
        self.written += 1;
        if self.each {
            let cold_ms = entry.cold_left.as_millis() as u64;
            log::info!(upstream:% = entry.id, leaving = entry.leaving, cold_ms, revision:%; "upstream");
        }
    }

    fn removed(&mut self, id: &str, revision: StoreRevision) {
        self.removed += 1;
        if self.each {
            log::info!(upstream:% = id, revision:%; "upstream entry removed");
        }
    }

    fn end(self, revision: StoreRevision) {
        if !self.each && self.written + self.removed > 0 {
            let Self {
                written, removed, ..
            } = self;
            log::info!(written, removed, revision:%; "upstreams changed");
        }
    }
}

/// Takes in what the store holds, whoever brings the news.
#[derive(Debug)]
pub(crate) struct StoreApplier {
    pub(crate) state: Arc<State>,
    pub(crate) store: Arc<dyn Store>,
}

impl StoreApplier {
    /// Takes news in; false if they are older than what is known, or of an era whose
    /// beginning is not known here.
    pub(crate) fn apply(&self, news: StoreUpdate) -> bool {
        let StoreUpdate {
            is_full: whole,
            items,
            revision,
        } = news;
        let known = self.state.cluster().mirror.revision();
        match whole {
            true if revision < known => {
                log::warn!(revision:%, known:%; "reading of the store is older than what is known, and passed over");
                return false;
            }
            false if !revision.is_same_era(known) => return false,
            true => self.apply_snapshot(items, revision, known),
            false => self.apply_changes(items, revision),
        }
        let now = self.state.now();
        {
            let mut cluster = self.state.cluster();
            cluster.freshness.record_applied(revision);
            cluster.instances_listed_at.get_or_insert(now);
        }
        self.state.instances_listed.set();
        self.state.changes.notify(usize::MAX);
        true
    }

    /// Takes in which instances the store lists, before anything else is known.
    pub(crate) fn apply_instances(&self, items: &[StoreItem]) {
        for (change, item) in self.decode(items) {
            if let Change::Put(record) = change {
                self.take_record(record, &item);
            }
        }
        let now = self.state.now();
        self.state.cluster().instances_listed_at.get_or_insert(now);
        self.state.instances_listed.set();
    }

    /// The other instances that items name.
    pub(crate) fn decode_sample(&self, items: &[StoreItem]) -> Vec<InstanceEntry> {
        let me = &self.state.own_entry;
        let entries = self.decode(items).into_iter();
        let entries = entries.filter_map(|(change, _)| match change {
            Change::Put(Record::Instance(entry)) if entry.peer_address != me.peer_address => {
                Some(entry)
            }
            _ => None,
        });
        entries.collect()
    }

    /// Takes the configuration alone out of another instance's records.
    pub(crate) fn apply_deployment(&self, items: &[StoreItem]) {
        for (change, item) in self.decode(items) {
            if let Change::Put(record @ Record::Deployment(_)) = change {
                self.take_record(record, &item);
            }
        }
    }

    fn apply_snapshot(&self, items: Vec<StoreItem>, revision: StoreRevision, known: StoreRevision) {
        let is_first = known == StoreRevision::ZERO;
        let reading = match is_first || revision.is_same_era(known) {
            true => SnapshotKind::Complete,
            false => SnapshotKind::Restored,
        };
        let items = self.keep_deployment(items, revision, true);
        let changes: Vec<(Change, StoreItem)> = self.decode(&items);
        self.state.cluster().mirror.replace(items, revision);
        let mut upstreams: Vec<UpstreamEntry> = Vec::new();
        let mut instances: Vec<Incarnation> = Vec::new();
        let mut quarantined: Vec<Content> = Vec::new();
        let mut evacuated: BTreeSet<Name> = BTreeSet::new();
        let mut changed = false;
        for (change, item) in changes {
            match change {
                Change::Put(Record::Upstream(entry)) => upstreams.push(entry),
                Change::UpstreamUnreadable { id, reason } => {
                    changed |= self.leave_out(&id, &reason, item.revision);
                }
                Change::Put(Record::EvacuatedZone(zone)) => {
                    evacuated.insert(zone);
                }
                Change::Put(record) => {
                    match &record {
                        Record::Instance(entry) => instances.push(entry.incarnation),
                        Record::Quarantine(q) => quarantined.push(q.content),
                        _ => {}
                    }
                    self.take_record(record, &item);
                }
                Change::UpstreamRemoved(_)
                | Change::InstanceRemoved(_)
                | Change::QuarantineRemoved(_)
                | Change::EvacuationEnded(_) => {}
            }
        }
        self.state.quarantine.retain_stored(&quarantined);
        let now = self.state.now();
        if reading == SnapshotKind::Restored {
            log::warn!(revision:%, known:%; "store was restored from a copy; what it lost is written again");
        }
        {
            let mut cluster = self.state.cluster();
            cluster.instances.replace_listed(now, &instances, reading);
            changed |= cluster.upstreams.replace(now, upstreams, reading);
            changed |= cluster.evacuated_zones.replace(now, evacuated, reading);
        }
        if changed {
            self.state.rebuild_upstreams();
        }
        let is_listed = || instances.contains(&self.state.own_entry.incarnation);
        if !is_first && (reading == SnapshotKind::Restored || !is_listed()) {
            self.state.own_entry_removed.notify();
        }
        log::info!(revision:%; "store read whole");
    }

    fn apply_changes(&self, items: Vec<StoreItem>, revision: StoreRevision) {
        let items = self.keep_deployment(items, revision, false);
        let items = self.state.cluster().mirror.apply(items, revision);
        let now = self.state.now();
        let mut changed = false;
        let mut lines = self.upstream_lines(items.len());
        for (change, item) in self.decode(&items) {
            match change {
                Change::Put(Record::Upstream(entry)) => {
                    lines.written(&entry, revision);
                    changed |= self.state.cluster().upstreams.put(now, entry);
                }
                Change::Put(Record::EvacuatedZone(zone)) => {
                    log::info!(zone:% = zone, revision:%; "zone evacuated: nothing new goes to its upstreams");
                    changed |= self.state.cluster().evacuated_zones.evacuate(zone);
                }
                Change::EvacuationEnded(zone) => {
                    log::info!(zone:% = zone, revision:%; "zone taken back");
                    changed |= self
                        .state
                        .cluster()
                        .evacuated_zones
                        .end_evacuation(now, &zone);
                }
                Change::Put(record) => self.take_record(record, &item),
                Change::UpstreamRemoved(id) => {
                    lines.removed(&id, revision);
                    changed |= self.state.cluster().upstreams.remove(now, &id);
                }
                Change::UpstreamUnreadable { id, reason } => {
                    changed |= self.leave_out(&id, &reason, item.revision);
                }
                Change::InstanceRemoved(id) if id == self.state.own_entry.incarnation => {
                    self.state.own_entry_removed.notify();
                }
                Change::InstanceRemoved(id) => self.state.cluster().instances.unlist(id),
                Change::QuarantineRemoved(content) => {
                    self.state.quarantine.set_stored(content, None)
                }
            }
        }
        lines.end(revision);
        if changed {
            self.state.rebuild_upstreams();
        }
    }

    /// What is logged of a batch of changes: each upstream where this instance reads the
    /// store, or where they are few.
    fn upstream_lines(&self, changes: usize) -> UpstreamLines {
        let each = changes <= LINES_A_BATCH || self.state.news_source() == UpdateSource::Store;
        UpstreamLines {
            each,
            written: 0,
            removed: 0,
        }
    }

    /// Leaves an upstream out whose entry another writer left or wrote over; true if
    /// that changes anything. A line for each writing and not for each reading.
    fn leave_out(&self, id: &str, reason: &str, written: StoreRevision) -> bool {
        log::warn!(
            upstream = id,
            reason = reason,
            written:%;
            "entry names no upstream; its own writer has to write it again"
        );
        self.state.cluster().upstreams.discard(id)
    }

    /// The items with the configuration in force here in the place of an older one, and of
    /// a missing one if they are `whole`.
    ///
    /// Guards against instances that are told an older version by this one, which it
    /// read from a copy of the store.
    fn keep_deployment(
        &self,
        mut items: Vec<StoreItem>,
        revision: StoreRevision,
        whole: bool,
    ) -> Vec<StoreItem> {
        let Some(known) = self.state.cluster().deployment.clone() else {
            return items;
        };
        let mut is_missing = whole;
        for item in items.iter_mut().filter(|i| i.key == known.item.key) {
            is_missing = false;
            let is_older = match self.store.decode(item) {
                Some(Change::Put(Record::Deployment(d))) => d.version < known.version,
                _ => item.removed,
            };
            if is_older {
                item.value = known.item.value.clone();
                item.removed = false;
            }
        }
        if is_missing {
            items.push(StoreItem {
                revision,
                ..known.item
            });
        }
        items
    }

    /// What items say.
    fn decode(&self, items: &[StoreItem]) -> Vec<(Change, StoreItem)> {
        let said = |i: &StoreItem| Some((self.store.decode(i)?, i.clone()));
        items.iter().filter_map(said).collect()
    }

    fn take_quarantine(&self, record: QuarantineRecord) {
        let QuarantineRecord {
            content,
            state,
            until,
        } = record;
        // One whose time is over has none left.
        let left = until.duration_since(SystemTime::now()).unwrap_or_default();
        let told = QuarantineUpdate {
            content,
            state,
            left,
        };
        let quarantine = &self.state.quarantine;
        quarantine.apply(self.state.now(), QuarantineSource::Store, [told]);
        quarantine.set_stored(content, Some(state));
    }

    fn take_record(&self, record: Record, item: &StoreItem) {
        match record {
            Record::Deployment(deployment) => self.take_newer_deployment(*deployment, item),
            Record::Instance(entry) if entry.incarnation == self.state.own_entry.incarnation => {}
            Record::Instance(entry) if entry.peer_address == self.state.own_entry.peer_address => {
                let mut cluster = self.state.cluster();
                cluster.previous_incarnations.push(entry.incarnation);
            }
            Record::Instance(entry) => {
                let now = self.state.now();
                let mut cluster = self.state.cluster();
                cluster.instances.put(now, entry, item.revision);
            }
            Record::Upstream(entry) => {
                let now = self.state.now();
                self.state.cluster().upstreams.put(now, entry);
            }
            Record::EvacuatedZone(zone) => {
                self.state.cluster().evacuated_zones.evacuate(zone);
            }
            Record::Quarantine(record) => self.take_quarantine(record),
            Record::Unreadable { key, reason } => {
                log::error!(key:% = key, reason:% = reason; "record not understood, left out");
            }
        }
    }

    /// Puts a configuration in force if it is newer than the one that is. Of two with one
    /// version, which a store that came back from a copy may hold one after the other, the
    /// one that was written later is.
    fn take_newer_deployment(&self, deployment: Deployment, item: &StoreItem) {
        let version = deployment.version;
        let mut cluster = self.state.cluster();
        let is_newer = match &cluster.deployment {
            None => true,
            Some(known) if version == known.version => {
                let later = item.revision > known.item.revision;
                later && item.value != known.item.value
            }
            Some(known) => version > known.version,
        };
        if !is_newer {
            return;
        }
        let item = item.clone();
        cluster.deployment = Some(ActiveDeployment { version, item });
        cluster.newer_peer = None;
        let router = Router::new(deployment);
        self.state.router.store(Some(Arc::new(router)));
        drop(cluster);
        self.state.rebuild_shards();
        log::info!(version; "configuration in force");
    }
}
