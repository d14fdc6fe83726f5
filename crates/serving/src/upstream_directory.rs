//! Tracks the upstreams that requests may be sent to.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;
use jd_types::Name;
use jd_types::UpstreamId;

use crate::SnapshotKind;
use crate::SoftwareVersion;
use crate::UpstreamStart;
use crate::departures::DepartureSource;
use crate::departures::Departures;
use crate::visit_counter::VisitCounter;

/// Time after the store becomes available again in which an expired entry may still return. The
/// platform rewrites entries of live upstreams within two seconds.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// The description that an upstream publishes of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Its identity.
    pub id: UpstreamId,
    /// The start that the entry belongs to.
    pub start: UpstreamStart,
    /// The version of its software.
    pub software: SoftwareVersion,
    /// The service that it belongs to.
    pub service: CompactString,
    /// The address that it answers at.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// True once it is about to stop.
    pub leaving: bool,
    /// Time until it is no longer cold, counted from when the entry was written.
    pub cold_left: Duration,
}

/// An upstream in use.
#[derive(Debug, Clone, Copy)]
pub struct ListedUpstream<'a> {
    /// Its entry.
    pub entry: &'a UpstreamEntry,
    /// The end of its cold period according to its entry, counted from when the entry was read.
    /// The entry is older than that, so that the upstream is warm by then at the latest.
    pub cold_until: MonoTime,
}

/// The upstreams that the store lists, tolerating outages of the store.
///
/// Guards against losing all upstreams of a service together with the store: leases cannot be
/// renewed during an outage, so that afterwards every entry may be missing although every
/// upstream is healthy. An entry that expired in this way stays in use until shortly after the
/// store is available again.
///
/// An upstream that reported in an answer that it is leaving stays marked as leaving, whatever
/// is read from the store afterwards.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    known: HashMap<UpstreamId, KnownUpstream>,
    /// Number of known upstreams whose start is known.
    with_start: usize,
    /// Number of known upstreams whose entries expired with the store.
    expired: usize,
    departures: Departures,
    store_unavailable: bool,
    store_back_at: Option<MonoTime>,
    visits: VisitCounter,
}

#[derive(Debug)]
struct KnownUpstream {
    entry: UpstreamEntry,
    expired: bool,
    cold_until: MonoTime,
}

impl UpstreamDirectory {
    /// Records that the store does not answer.
    pub fn mark_store_unavailable(&mut self) {
        self.store_unavailable = true;
    }

    /// True while the store does not answer.
    pub fn is_store_unavailable(&self) -> bool {
        self.store_unavailable
    }

    /// Records that the store answers; returns true if it did not before.
    pub fn mark_store_available(&mut self, now: MonoTime) -> bool {
        let was_unavailable = std::mem::take(&mut self.store_unavailable);
        if was_unavailable {
            self.store_back_at = Some(now);
        }
        was_unavailable
    }

    /// Applies a written entry; returns true if anything changed. An entry of an earlier start
    /// than the known one arrives late and is ignored. Where most entries name a start, an
    /// entry without one comes from another writer and removes the upstream of that name.
    pub fn put(&mut self, now: MonoTime, entry: UpstreamEntry) -> bool {
        let most_have_start = self.with_start > self.known.len() - self.with_start;
        self.apply(now, entry, most_have_start, SnapshotKind::Complete)
    }

    fn apply(
        &mut self,
        now: MonoTime,
        entry: UpstreamEntry,
        most_have_start: bool,
        kind: SnapshotKind,
    ) -> bool {
        self.visits.add(1);
        if most_have_start && !entry.start.is_known() {
            return self.discard(&entry.id);
        }
        let known = self.known.get(&entry.id);
        if known.is_some_and(|k| k.entry.start.is_later_than(entry.start)) {
            return false;
        }
        let (id, start) = (entry.id.clone(), entry.start);
        match kind {
            _ if entry.leaving => self
                .departures
                .record(now, &id, start, DepartureSource::Entry),
            SnapshotKind::Complete => self.departures.revoke_by_entry(&id),
            SnapshotKind::Restored => {}
        }
        let leaving = entry.leaving || self.departures.is_leaving(&id, start);
        let entry = UpstreamEntry { leaving, ..entry };
        if known.is_some_and(|k| k.entry == entry && !k.expired) {
            return false;
        }
        let known = KnownUpstream {
            cold_until: now + entry.cold_left,
            expired: false,
            entry,
        };
        self.insert(id, known);
        true
    }

    /// Records that this start of an upstream reported in an answer that it is leaving; returns
    /// true if anything changed. An upstream that has restarted since still receives requests.
    pub fn mark_leaving(&mut self, now: MonoTime, id: &str, start: UpstreamStart) -> bool {
        let known = self.known.get_mut(id);
        let is_old = |k: &&mut KnownUpstream| k.entry.start.is_later_than(start);
        if known.as_ref().is_some_and(is_old) {
            return false;
        }
        self.departures
            .record(now, id, start, DepartureSource::Answer);
        known.is_some_and(|k| !std::mem::replace(&mut k.entry.leaving, true))
    }

    /// Records that another upstream answered at the address of this start of an upstream;
    /// returns true if anything changed. The upstream receives no more requests until its entry
    /// is written again.
    ///
    /// Guards against entries that outlive their upstreams, as in a restored store: every
    /// request sent to the address is returned, and a caller whose attempts are used up is
    /// refused.
    pub fn mark_address_reused(
        &mut self,
        now: MonoTime,
        id: &str,
        start: UpstreamStart,
        address: SocketAddr,
    ) -> bool {
        let known = self.known.get_mut(id);
        let same = |k: &&mut KnownUpstream| {
            k.entry.address == address && !k.entry.start.is_later_than(start)
        };
        let Some(known) = known.filter(same) else {
            return false;
        };
        self.departures
            .record(now, id, start, DepartureSource::Entry);
        !std::mem::replace(&mut known.entry.leaving, true)
    }

    /// Removes an upstream that no valid entry names; returns true if anything changed. Unlike
    /// a missing upstream it does not count as expired with the store, because there is an
    /// entry and it is not the upstream's own.
    pub fn discard(&mut self, id: &str) -> bool {
        self.remove_known(id)
    }

    /// Records that an entry is missing; returns true if anything changed. An upstream that
    /// reported that it is leaving is removed at once.
    pub fn remove(&mut self, now: MonoTime, id: &str) -> bool {
        let may_return = self.may_return(now);
        match self.known.get_mut(id) {
            None => false,
            Some(known) if may_return && !known.entry.leaving => {
                let newly_expired = !std::mem::replace(&mut known.expired, true);
                self.expired += usize::from(newly_expired);
                false
            }
            Some(known) => {
                let start = known.entry.start;
                self.departures
                    .record(now, id, start, DepartureSource::Entry);
                self.remove_known(id)
            }
        }
    }

    /// Applies a complete list; returns true if anything changed. In a restored store an entry
    /// may be older than what is known, so that it does not revoke a reported departure.
    pub fn replace(
        &mut self,
        now: MonoTime,
        entries: Vec<UpstreamEntry>,
        kind: SnapshotKind,
    ) -> bool {
        if kind == SnapshotKind::Restored {
            self.store_back_at = Some(now);
        }
        let listed: HashSet<&str> = entries.iter().map(|e| e.id.as_str()).collect();
        let missing = self.known.keys().inspect(|_| self.visits.add(1));
        let missing = missing.filter(|id| !listed.contains(id.as_str()));
        let missing: Vec<UpstreamId> = missing.cloned().collect();
        let mut changed = false;
        for id in missing {
            changed |= self.remove(now, &id);
        }
        let most_have_start = most_have_known_start(entries.iter());
        for entry in entries {
            changed |= self.apply(now, entry, most_have_start, kind);
        }
        changed
    }

    /// Removes upstreams whose entries expired and did not return; returns true if there were
    /// any.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        let known = &self.known;
        let is_listed = |id: &str| known.contains_key(id);
        self.departures.expire(now, is_listed);
        if self.expired == 0 || self.may_return(now) {
            return false;
        }
        let known = self.known.iter().inspect(|_| self.visits.add(1));
        let expired = known.filter(|(_, k)| k.expired).map(|(id, _)| id.clone());
        let expired: Vec<UpstreamId> = expired.collect();
        for id in &expired {
            self.remove_known(id);
        }
        true
    }

    /// True if an upstream in use is leaving.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.known.get(id).is_some_and(|k| k.entry.leaving)
    }

    /// All upstreams in use.
    pub fn entries(&self) -> impl Iterator<Item = ListedUpstream<'_>> {
        let known = self.known.values().inspect(|_| self.visits.add(1));
        known.map(|k| ListedUpstream {
            entry: &k.entry,
            cold_until: k.cold_until,
        })
    }

    /// Entries visited since the start. A change visits the changed entries; the whole list is
    /// visited only when it is read whole.
    pub fn visited(&self) -> u64 {
        self.visits.count()
    }

    fn insert(&mut self, id: UpstreamId, known: KnownUpstream) {
        self.with_start += usize::from(known.entry.start.is_known());
        if let Some(before) = self.known.insert(id, known) {
            self.uncount(&before);
        }
    }

    fn remove_known(&mut self, id: &str) -> bool {
        let Some(before) = self.known.remove(id) else {
            return false;
        };
        self.uncount(&before);
        true
    }

    fn uncount(&mut self, known: &KnownUpstream) {
        self.with_start -= usize::from(known.entry.start.is_known());
        self.expired -= usize::from(known.expired);
    }

    fn may_return(&self, now: MonoTime) -> bool {
        self.store_unavailable
            || self
                .store_back_at
                .is_some_and(|at| now.since(at) < RETURN_GRACE)
    }
}

/// True if most entries name their start. A single entry that names one may come from another
/// writer and must not remove the others.
fn most_have_known_start<'a>(entries: impl Iterator<Item = &'a UpstreamEntry>) -> bool {
    let (with_start, without_start): (Vec<_>, Vec<_>) = entries.partition(|e| e.start.is_known());
    with_start.len() > without_start.len()
}
