//! Applies records and changes of the store to the state of this instance.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use jd_net::lock;
use jd_policy::KeyedLines;
use jd_policy::shortened;
use jd_serving::Content;
use jd_serving::InstanceEntry;
use jd_serving::SnapshotKind;
use jd_serving::StoreItem;
use jd_serving::StorePart;
use jd_serving::StoreRevision;
use jd_serving::StoreUpdate;
use jd_serving::UpdateSource;
use jd_serving::UpstreamEntry;
use jd_types::Incarnation;
use jd_types::Name;

use crate::Change;
use crate::QuarantineRecord;
use crate::Record;
use crate::RecordFilter;
use crate::Store;
use crate::quarantine::QuarantineSource;
use crate::quarantine::QuarantineUpdate;
use crate::state::State;

/// Number of changes in one batch up to which an instance logs each upstream although it
/// got the batch from another instance, which logs them as well.
const MAX_LINES_PER_BATCH: usize = 8;

/// How long an update may occupy the thread that also passes answers on, without a warning.
const SLOW_UPDATE: Duration = Duration::from_millis(20);

/// Logs the upstreams of one batch of changes.
///
/// Guards against one line for each upstream on each instance of a fleet: when 10,000
/// upstreams start before 1,000 instances, that is ten million lines, which cost more
/// than the changes themselves.
#[derive(Debug)]
struct UpstreamLog {
    each: bool,
    written: usize,
    removed: usize,
}

impl UpstreamLog {
    fn written(&mut self, entry: &UpstreamEntry, revision: StoreRevision) {
        self.written += 1;
        if self.each {
            let cold_ms = entry.cold_left.as_millis() as u64;
            log::info!(upstream:% = entry.id, software = entry.software.as_str(), leaving = entry.leaving, cold_ms, revision:%; "upstream");
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

/// A change that was decoded from an item of the store.
#[derive(Debug)]
pub(crate) struct DecodedChange {
    change: Change,
    item: StoreItem,
    /// How long decoding it took.
    took: Duration,
}

impl DecodedChange {
    pub(crate) fn is_deployment(&self) -> bool {
        matches!(self.change, Change::Put(Record::Deployment(_)))
    }
}

/// Applies records and changes of the store, whichever source they come from.
#[derive(Debug)]
pub(crate) struct StoreApplier {
    pub(crate) state: Arc<State>,
    pub(crate) store: Arc<dyn Store>,
    /// The lines on entries that cannot be read.
    pub(crate) unreadable: Mutex<KeyedLines>,
    /// What was read of each kind since a page could not be; empty if everything could.
    pub(crate) parts: Mutex<HashMap<RecordFilter, StorePart>>,
}

impl StoreApplier {
    /// Applies an update; false if it is older than the current state, or if it holds
    /// changes of an era whose records have not been read here.
    pub(crate) fn apply(&self, update: StoreUpdate) -> bool {
        let StoreUpdate {
            is_full: whole,
            items,
            revision,
        } = update;
        let (began, count) = (self.state.now(), items.len());
        let known = self.state.cluster().mirror.revision();
        match whole {
            true if revision < known => {
                log::warn!(revision:%, known:%; "snapshot of the store is older than the current state; ignored");
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
        let took = self.state.now().since(began);
        if took >= SLOW_UPDATE {
            let ms = took.as_millis() as u64;
            log::warn!(items = count, whole, revision:%, ms; "update of the store was applied slowly; answers waited for it");
        }
        true
    }

    /// Applies the list of instances alone, before everything else is loaded.
    pub(crate) fn apply_instances(&self, items: &[StoreItem]) {
        for decoded in self.decode(items) {
            if let Change::Put(record) = decoded.change {
                self.apply_record(record, &decoded.item, decoded.took);
            }
        }
        let now = self.state.now();
        self.state.cluster().instances_listed_at.get_or_insert(now);
        self.state.instances_listed.set();
    }

    /// The other instances among the items.
    pub(crate) fn decode_sample(&self, items: &[StoreItem]) -> Vec<InstanceEntry> {
        let me = &self.state.own_entry;
        let entries = self.decode(items).into_iter();
        let entries = entries.filter_map(|decoded| match decoded.change {
            Change::Put(Record::Instance(entry)) if entry.peer_address != me.peer_address => {
                Some(entry)
            }
            _ => None,
        });
        entries.collect()
    }

    /// Applies only the configuration among another instance's records.
    pub(crate) fn apply_deployment(&self, items: &[StoreItem]) {
        for decoded in self.decode(items) {
            if let Change::Put(record @ Record::Deployment(_)) = decoded.change {
                self.apply_record(record, &decoded.item, decoded.took);
            }
        }
    }

    fn apply_snapshot(&self, items: Vec<StoreItem>, revision: StoreRevision, known: StoreRevision) {
        let (began, count) = (self.state.now(), items.len());
        let is_first = known == StoreRevision::ZERO;
        let reading = match is_first || revision.is_same_era(known) {
            true => SnapshotKind::Complete,
            false => SnapshotKind::Restored,
        };
        let items = self.retain_newer_deployment(items, revision, true);
        let changes = self.decode(&items);
        {
            let mut cluster = self.state.cluster();
            cluster.mirror.replace(items, revision);
            cluster.version_record_written = None;
        }
        let mut upstreams: Vec<UpstreamEntry> = Vec::new();
        let mut instances: Vec<Incarnation> = Vec::new();
        let mut quarantined: Vec<Content> = Vec::new();
        let mut evacuated: BTreeSet<Name> = BTreeSet::new();
        let mut changed = false;
        for DecodedChange { change, item, took } in changes {
            match change {
                Change::Put(Record::Upstream(entry)) => upstreams.push(entry),
                Change::UpstreamUnreadable { id, reason } => {
                    changed |= self.exclude_upstream(&id, &reason, &item);
                }
                Change::Put(Record::EvacuatedZone(zone)) => {
                    evacuated.insert(zone);
                }
                Change::Put(record) => {
                    match &record {
                        Record::Versions(_) => changed = true,
                        Record::Instance(entry) => instances.push(entry.incarnation),
                        Record::Quarantine(q) => quarantined.push(q.content),
                        _ => {}
                    }
                    self.apply_record(record, &item, took);
                }
                Change::UpstreamRemoved(_)
                | Change::InstanceRemoved(_)
                | Change::QuarantineRemoved(_)
                | Change::EvacuationEnded(_) => {}
            }
        }
        lock(&self.parts).clear();
        self.state.quarantine.retain_stored(&quarantined);
        let now = self.state.now();
        if reading == SnapshotKind::Restored {
            log::warn!(revision:%, known:%; "store was restored from a copy; records that it lost are written again");
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
        let ms = self.state.now().since(began).as_millis() as u64;
        log::info!(revision:%, items = count, ms; "full snapshot of the store applied");
    }

    fn apply_changes(&self, items: Vec<StoreItem>, revision: StoreRevision) {
        let items = self.retain_newer_deployment(items, revision, false);
        let items = self.state.cluster().mirror.apply(items, revision);
        self.apply_each(items, revision);
    }

    /// Applies changes in their order.
    pub(crate) fn apply_each(&self, items: Vec<StoreItem>, revision: StoreRevision) {
        let now = self.state.now();
        let mut changed = false;
        let mut upstream_log = self.upstream_log(items.len());
        for DecodedChange { change, item, took } in self.decode(&items) {
            match change {
                Change::Put(Record::Upstream(entry)) => {
                    upstream_log.written(&entry, revision);
                    changed |= self.state.cluster().upstreams.put(now, entry);
                }
                Change::Put(Record::EvacuatedZone(zone)) => {
                    log::info!(zone:% = zone, revision:%; "zone evacuated; its upstreams get no new requests");
                    changed |= self.state.cluster().evacuated_zones.evacuate(zone);
                }
                Change::EvacuationEnded(zone) => {
                    log::info!(zone:% = zone, revision:%; "zone no longer evacuated");
                    changed |= self
                        .state
                        .cluster()
                        .evacuated_zones
                        .end_evacuation(now, &zone);
                }
                Change::Put(record) => {
                    changed |= matches!(record, Record::Versions(_));
                    self.apply_record(record, &item, took);
                }
                Change::UpstreamRemoved(id) => {
                    upstream_log.removed(&id, revision);
                    changed |= self.state.cluster().upstreams.remove(now, &id);
                }
                Change::UpstreamUnreadable { id, reason } => {
                    changed |= self.exclude_upstream(&id, &reason, &item);
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
        upstream_log.end(revision);
        if changed {
            self.state.rebuild_upstreams();
        }
    }

    /// Decides how a batch of changes is logged: line by line if this instance reads the
    /// store itself or the changes are few, else as a summary.
    fn upstream_log(&self, changes: usize) -> UpstreamLog {
        let each =
            changes <= MAX_LINES_PER_BATCH || self.state.update_source() == UpdateSource::Store;
        UpstreamLog {
            each,
            written: 0,
            removed: 0,
        }
    }

    /// Excludes an upstream whose entry another writer has left or overwritten; true if
    /// that changes anything.
    fn exclude_upstream(&self, id: &str, reason: &str, item: &StoreItem) -> bool {
        if self.is_line_due(item) {
            log::warn!(
                upstream = shortened(id),
                reason = shortened(reason),
                written:% = item.revision;
                "entry does not describe an upstream; its owner has to write it again"
            );
        }
        self.state.cluster().upstreams.discard(id)
    }

    /// True if a line is to be written on an item that cannot be read.
    fn is_line_due(&self, item: &StoreItem) -> bool {
        let StoreRevision { era, revision } = item.revision;
        let line = lock(&self.unreadable).decide(self.state.now(), &item.key, [era, revision]);
        let left_out = line.map_or(0, |l| l.left_out);
        if left_out > 0 {
            log::warn!(count = left_out; "further entries that cannot be read and are not logged");
        }
        line.is_some_and(|l| l.is_written)
    }

    /// Decodes items; those that do not concern this system are left out.
    pub(crate) fn decode(&self, items: &[StoreItem]) -> Vec<DecodedChange> {
        let decode = |item: &StoreItem| {
            let began = self.state.now();
            let change = self.store.decode(item)?;
            Some(DecodedChange {
                change,
                item: item.clone(),
                took: self.state.now().since(began),
            })
        };
        items.iter().filter_map(decode).collect()
    }

    fn apply_quarantine(&self, record: QuarantineRecord) {
        let QuarantineRecord {
            content,
            state,
            until,
        } = record;
        // A record that has already expired has no time left.
        let left = until.duration_since(SystemTime::now()).unwrap_or_default();
        let update = QuarantineUpdate {
            content,
            state,
            left,
        };
        let quarantine = &self.state.quarantine;
        quarantine.apply(self.state.now(), QuarantineSource::Store, [update]);
        quarantine.set_stored(content, Some(state));
    }

    fn apply_record(&self, record: Record, item: &StoreItem, decode_time: Duration) {
        match record {
            Record::Deployment(deployment) => {
                self.apply_newer_deployment(*deployment, item, decode_time)
            }
            Record::Instance(entry) if entry.incarnation == self.state.own_entry.incarnation => {}
            Record::Instance(entry) if entry.peer_address == self.state.own_entry.peer_address => {
                let mut cluster = self.state.cluster();
                cluster.previous_incarnations.push(entry.incarnation);
                cluster.has_run_before = true;
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
            Record::Quarantine(record) => self.apply_quarantine(record),
            Record::Versions(record) => {
                let mut cluster = self.state.cluster();
                cluster.version_record = Some(record);
                cluster.version_record_written = Some(item.revision);
            }
            Record::Unreadable { reason } if self.is_line_due(item) => {
                let (key, reason) = (shortened(&item.key), shortened(&reason));
                log::error!(key, reason; "record cannot be decoded; ignored");
            }
            Record::Unreadable { .. } => {}
        }
    }
}
