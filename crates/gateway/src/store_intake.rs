//! Taking in what the store holds.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::SystemTime;

use jd_serving::Content;
use jd_serving::News;
use jd_serving::Reading;
use jd_serving::Router;
use jd_serving::StoreItem;
use jd_serving::StoreRevision;
use jd_serving::UpstreamEntry;
use jd_types::Incarnation;
use jd_types::Name;

use crate::Change;
use crate::QuarantineRecord;
use crate::Record;
use crate::Store;
use crate::quarantine::Source;
use crate::quarantine::Told;
use crate::state::State;

/// Takes in what the store holds, whoever brings the news.
#[derive(Debug)]
pub(crate) struct StoreIntake {
    pub(crate) state: Arc<State>,
    pub(crate) store: Arc<dyn Store>,
}

impl StoreIntake {
    /// Takes news in; false if they are older than what is known, or of an era whose
    /// beginning is not known here.
    pub(crate) fn take(&self, news: News) -> bool {
        let News {
            whole,
            items,
            revision,
        } = news;
        let known = self.state.knowledge().mirror.revision();
        match whole {
            true if revision < known => {
                log::warn!(revision:%, known:%; "reading of the store is older than what is known, and passed over");
                return false;
            }
            false if !revision.is_same_era(known) => return false,
            true => self.replace(items, revision, known),
            false => self.apply(items, revision),
        }
        self.state.knowledge().freshness.applied(revision);
        self.state.news.notify(usize::MAX);
        true
    }

    /// Takes in which instances the store lists, before anything else is known.
    pub(crate) fn take_instances(&self, items: &[StoreItem]) {
        for (change, written) in self.decode(items) {
            if let Change::Put(record) = change {
                self.take_record(record, written);
            }
        }
        let now = self.state.now();
        self.state.knowledge().listed_at.get_or_insert(now);
        self.state.listed.set();
    }

    fn replace(&self, items: Vec<StoreItem>, revision: StoreRevision, known: StoreRevision) {
        let is_first = known == StoreRevision::NOTHING;
        let reading = match is_first || revision.is_same_era(known) {
            true => Reading::Complete,
            false => Reading::Restored,
        };
        let changes: Vec<(Change, StoreRevision)> = self.decode(&items);
        self.state.knowledge().mirror.replace(items, revision);
        let mut upstreams: Vec<UpstreamEntry> = Vec::new();
        let mut instances: Vec<Incarnation> = Vec::new();
        let mut quarantined: Vec<Content> = Vec::new();
        let mut evacuated: BTreeSet<Name> = BTreeSet::new();
        let mut changed = false;
        for (change, written) in changes {
            match change {
                Change::Put(Record::Upstream(entry)) => upstreams.push(entry),
                Change::UpstreamUnreadable { id, reason } => {
                    changed |= self.leave_out(&id, &reason, written);
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
                    self.take_record(record, written);
                }
                Change::UpstreamGone(_)
                | Change::InstanceGone(_)
                | Change::QuarantineGone(_)
                | Change::ZoneTakenBack(_) => {}
            }
        }
        self.state.quarantine.relist(&quarantined);
        let now = self.state.now();
        if reading == Reading::Restored {
            log::warn!(revision:%, known:%; "store was restored from a copy; what it lost is written again");
        }
        {
            let mut knowledge = self.state.knowledge();
            knowledge.instances.relist(&instances);
            changed |= knowledge.upstreams.replace(now, upstreams, reading);
            changed |= knowledge.evacuated.replace(now, evacuated, reading);
        }
        if changed {
            self.state.rebuild_upstreams();
        }
        let is_listed = || instances.contains(&self.state.me.incarnation);
        if !is_first && (reading == Reading::Restored || !is_listed()) {
            self.state.entry_gone.give();
        }
        log::info!(revision:%; "store read whole");
    }

    fn apply(&self, items: Vec<StoreItem>, revision: StoreRevision) {
        let items = self.state.knowledge().mirror.apply(items, revision);
        let now = self.state.now();
        let mut changed = false;
        for (change, written) in self.decode(&items) {
            match change {
                Change::Put(Record::Upstream(entry)) => {
                    let cold_ms = entry.cold_left.as_millis() as u64;
                    log::info!(upstream:% = entry.id, leaving = entry.leaving, cold_ms, revision:%; "upstream");
                    changed |= self.state.knowledge().upstreams.put(now, entry);
                }
                Change::Put(Record::EvacuatedZone(zone)) => {
                    log::info!(zone:% = zone, revision:%; "zone evacuated: nothing new goes to its upstreams");
                    changed |= self.state.knowledge().evacuated.evacuate(zone);
                }
                Change::ZoneTakenBack(zone) => {
                    log::info!(zone:% = zone, revision:%; "zone taken back");
                    changed |= self.state.knowledge().evacuated.take_back(now, &zone);
                }
                Change::Put(record) => self.take_record(record, written),
                Change::UpstreamGone(id) => {
                    log::info!(upstream:% = id, revision:%; "upstream entry removed");
                    changed |= self.state.knowledge().upstreams.remove(now, &id);
                }
                Change::UpstreamUnreadable { id, reason } => {
                    changed |= self.leave_out(&id, &reason, written);
                }
                Change::InstanceGone(id) if id == self.state.me.incarnation => {
                    self.state.entry_gone.give();
                }
                Change::InstanceGone(id) => self.state.knowledge().instances.unlist(id),
                Change::QuarantineGone(content) => self.state.quarantine.note_stored(content, None),
            }
        }
        if changed {
            self.state.rebuild_upstreams();
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
        self.state.knowledge().upstreams.leave_out(id)
    }

    /// What items say, and when they were written.
    fn decode(&self, items: &[StoreItem]) -> Vec<(Change, StoreRevision)> {
        let said = |i: &StoreItem| Some((self.store.decode(i)?, i.revision));
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
        let told = Told {
            content,
            state,
            left,
        };
        let quarantine = &self.state.quarantine;
        quarantine.take(self.state.now(), Source::Store, [told]);
        quarantine.note_stored(content, Some(state));
    }

    fn take_record(&self, record: Record, written: StoreRevision) {
        match record {
            Record::Deployment(deployment) => {
                let mut knowledge = self.state.knowledge();
                if deployment.version <= knowledge.deployment_version {
                    return;
                }
                let version = deployment.version;
                knowledge.deployment_version = version;
                self.state
                    .router
                    .store(Some(Arc::new(Router::new(*deployment))));
                drop(knowledge);
                self.state.divide_upstreams();
                log::info!(version; "configuration in force");
            }
            Record::Instance(entry) if entry.incarnation == self.state.me.incarnation => {}
            Record::Instance(entry) if entry.peers == self.state.me.peers => {
                let mut knowledge = self.state.knowledge();
                knowledge.earlier_starts.push(entry.incarnation);
            }
            Record::Instance(entry) => {
                let now = self.state.now();
                self.state.knowledge().instances.put(now, entry, written);
            }
            Record::Upstream(entry) => {
                let now = self.state.now();
                self.state.knowledge().upstreams.put(now, entry);
            }
            Record::EvacuatedZone(zone) => {
                self.state.knowledge().evacuated.evacuate(zone);
            }
            Record::Quarantine(record) => self.take_quarantine(record),
            Record::Unreadable { key, reason } => {
                log::error!(key:% = key, reason:% = reason; "record not understood, left out");
            }
        }
    }
}
