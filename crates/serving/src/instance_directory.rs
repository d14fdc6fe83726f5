//! Tracks the instances of the fleet and selects the addresses that callers are given.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use jd_types::Incarnation;
use jd_types::MonoTime;

use crate::Heartbeat;
use crate::InstanceEntry;
use crate::SnapshotKind;
use crate::StoreRevision;
use crate::UnresponsiveInstance;
use crate::UpstreamPath;
use crate::fleet_size::FleetSize;
use crate::visit_counter::VisitCounter;

/// Time without a heartbeat reply after which an instance counts as absent: three missed
/// heartbeats. A caller that is sent to a dead instance loses about a second.
pub(crate) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Time for which a listed instance counts as present before its first heartbeat reply: one and
/// a half heartbeat intervals. With the full [`HEARTBEAT_TIMEOUT`], stale entries of earlier
/// incarnations delayed stages by 1.3 s each.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without a heartbeat reply after which the entry of a monitored instance is removed:
/// five intervals of 400 ms, so that a short pause of the instance does not remove it.
const REMOVE_AFTER: Duration = Duration::from_millis(2_000);
/// Interval between two attempts to remove the same entry.
const REMOVAL_RETRY_INTERVAL: Duration = Duration::from_millis(4_000);
/// Time that an instance has to rewrite an entry that a restored store lacks.
const REWRITE_GRACE: Duration = Duration::from_millis(3_000);

/// The instances of the fleet: those that the store lists, without those that are leaving or do
/// not answer heartbeats.
#[derive(Debug, Default)]
pub struct InstanceDirectory {
    pub(crate) known: HashMap<Incarnation, Instance>,
    /// The known incarnation at each peer address.
    by_address: HashMap<SocketAddr, Incarnation>,
    /// Instances that the store does not list.
    unlisted: HashSet<Incarnation>,
    /// The number of known instances, without this one.
    size: FleetSize,
    visits: VisitCounter,
}

/// An instance as far as it is known.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) entry: InstanceEntry,
    written: StoreRevision,
    /// The last heartbeat reply; before the first reply, the time of registration.
    pub(crate) last_reply: MonoTime,
    pub(crate) responded: bool,
    listed: bool,
    /// When a restored store was first seen to lack the entry.
    missing_since: Option<MonoTime>,
    pub(crate) ready: bool,
    pub(crate) store_loaded: bool,
    pub(crate) upstream_path: UpstreamPath,
    monitored: bool,
    removal_tried_at: Option<MonoTime>,
}

impl Instance {
    /// True if the instance counts as present: by its heartbeats if it is monitored, else by
    /// its entry in the store.
    pub(crate) fn is_present(&self, now: MonoTime) -> bool {
        let silence = now.since(self.last_reply);
        match (self.monitored, self.responded) {
            (true, true) => silence < HEARTBEAT_TIMEOUT,
            (true, false) => silence < FIRST_HEARTBEAT_TIMEOUT,
            (false, _) => self.listed,
        }
    }
}

impl InstanceDirectory {
    /// Adds an instance from a store entry that was written at the given revision. A new
    /// instance counts as present until its first heartbeat is due.
    ///
    /// A restarted instance leaves an earlier entry behind until its lease expires; while these
    /// counted as present, stages were sent to them for 1.3 s each. Of two entries with the
    /// same address the later one wins, in any order of reading, except that a responsive
    /// instance is not displaced by an older entry from a restored store.
    pub fn put(&mut self, now: MonoTime, entry: InstanceEntry, written: StoreRevision) {
        self.visits.add(1);
        let other = self.by_address.get(&entry.peer_address).copied();
        let other = other.filter(|id| *id != entry.incarnation);
        let answers = |k: &Instance| k.responded && now.since(k.last_reply) < HEARTBEAT_TIMEOUT;
        // `record_restart` leaves an instance with the revision of its earlier incarnation.
        let is_later =
            |k: &Instance| k.written >= written || (!k.written.is_same_era(written) && answers(k));
        match other.and_then(|id| self.known.get(&id)) {
            Some(other) if is_later(other) => return,
            _ => {}
        }
        if let Some(other) = other {
            self.remove(other);
        }
        self.unlisted.remove(&entry.incarnation);
        let known = self.known.entry(entry.incarnation).or_insert(Instance {
            entry: entry.clone(),
            written,
            last_reply: now,
            responded: false,
            listed: true,
            missing_since: None,
            ready: true,
            store_loaded: true,
            upstream_path: UpstreamPath::Unknown,
            monitored: true,
            removal_tried_at: None,
        });
        known.listed = true;
        known.missing_since = None;
        known.written = known.written.max(written);
        known.entry.leaving |= entry.leaving;
        self.by_address
            .insert(known.entry.peer_address, entry.incarnation);
        self.size.record(now, self.known.len());
    }

    /// Marks all instances outside `ids` as not listed. Without this, an instance whose entry
    /// expired while the change history was lost would stay listed forever.
    ///
    /// Instances that a restored store lacks rewrite their entries, and stay listed until they
    /// have had time to do so. Otherwise a large fleet, in which only a few instances monitor
    /// each instance, would lose all recently started instances at once.
    pub fn replace_listed(&mut self, now: MonoTime, ids: &[Incarnation], kind: SnapshotKind) {
        let ids: HashSet<Incarnation> = ids.iter().copied().collect();
        for (id, known) in &mut self.known {
            self.visits.add(1);
            match kind {
                _ if ids.contains(id) => known.missing_since = None,
                SnapshotKind::Restored => known.missing_since = Some(now),
                SnapshotKind::Complete if known.missing_since.is_some() => {}
                SnapshotKind::Complete => {
                    known.listed = false;
                    self.unlisted.insert(*id);
                }
            }
        }
    }

    /// Marks an instance as not listed. It stays present while it answers heartbeats: its lease
    /// may have expired while the store was unavailable.
    pub fn unlist(&mut self, id: Incarnation) {
        if let Some(known) = self.known.get_mut(&id) {
            known.listed = false;
            known.missing_since = None;
            self.unlisted.insert(id);
        }
    }

    /// Records that an instance answered a heartbeat.
    pub fn record_heartbeat(&mut self, now: MonoTime, id: Incarnation, heartbeat: Heartbeat) {
        if let Some(known) = self.known.get_mut(&id) {
            known.last_reply = now;
            known.responded = true;
            known.ready = heartbeat.ready;
            known.store_loaded = heartbeat.store_loaded;
            known.upstream_path = heartbeat.upstream_path;
            known.entry.leaving |= heartbeat.leaving;
        }
    }

    /// Replaces an incarnation by a later one that answered a heartbeat at its address.
    ///
    /// Without this, a restarted instance receives no work until its entry arrives: after a
    /// restart of the whole fleet, the instances did not use each other for up to a second.
    pub fn record_restart(&mut self, now: MonoTime, earlier: Incarnation, later: Incarnation) {
        if let Some(mut known) = self.remove(earlier)
            && !self.known.contains_key(&later)
        {
            known.entry.incarnation = later;
            known.entry.leaving = false;
            known.last_reply = now;
            known.responded = true;
            known.upstream_path = UpstreamPath::Unknown;
            self.insert(known);
        }
    }

    /// Instances that answer heartbeats but are not listed in the store.
    pub fn unlisted(&self, now: MonoTime) -> impl Iterator<Item = &InstanceEntry> {
        let responsive =
            move |k: &&Instance| k.responded && now.since(k.last_reply) < HEARTBEAT_TIMEOUT;
        let unlisted = self.unlisted.iter().inspect(|_| self.visits.add(1));
        let unlisted = unlisted.filter_map(|id| self.known.get(id));
        let unlisted = unlisted.filter(|k| !k.entry.leaving);
        unlisted.filter(responsive).map(|k| &k.entry)
    }

    /// Adds an instance that another instance reports and the store does not list.
    ///
    /// Guards against two owners of the same batches while an instance is cut off from the
    /// store alone: its entry expires, running instances still receive its heartbeats, and a
    /// newly started instance finds every entry but this one.
    pub fn add_reported(&mut self, now: MonoTime, entry: InstanceEntry) {
        self.visits.add(1);
        if self.by_address.contains_key(&entry.peer_address) {
            return;
        }
        let known = Instance {
            written: StoreRevision::ZERO,
            last_reply: now,
            responded: false,
            listed: false,
            missing_since: None,
            ready: true,
            store_loaded: true,
            upstream_path: UpstreamPath::Unknown,
            monitored: true,
            removal_tried_at: None,
            entry,
        };
        self.insert(known);
        self.size.record(now, self.known.len());
    }

    /// Sets the instances that heartbeats are exchanged with.
    pub fn set_monitored(&mut self, now: MonoTime, ids: &[Incarnation]) {
        for (id, known) in &mut self.known {
            let monitored = ids.contains(id);
            if monitored && !known.monitored {
                known.last_reply = now;
                known.responded = false;
                known.upstream_path = UpstreamPath::Unknown;
            }
            known.monitored = monitored;
        }
    }

    /// Monitored instances that are listed and do not answer heartbeats. Empty if no instance
    /// answers, since this instance is then the one that is cut off.
    pub fn unresponsive(&self, now: MonoTime) -> Vec<UnresponsiveInstance> {
        let monitored = || self.known.values().filter(|k| k.monitored);
        if !monitored().any(|k| k.responded && now.since(k.last_reply) < HEARTBEAT_TIMEOUT) {
            return Vec::new();
        }
        let tried = |k: &Instance| {
            let at = k.removal_tried_at;
            at.is_some_and(|at| now.since(at) < REMOVAL_RETRY_INTERVAL)
        };
        let unresponsive = monitored().filter(|k| k.listed && !tried(k));
        let unresponsive = unresponsive.map(|k| UnresponsiveInstance {
            id: k.entry.incarnation,
            written: k.written,
            silent_for: now.since(k.last_reply),
        });
        unresponsive
            .filter(|s| s.silent_for >= REMOVE_AFTER)
            .collect()
    }

    /// Records an attempt to remove the entry of an unresponsive instance.
    pub fn record_removal_attempt(&mut self, now: MonoTime, id: Incarnation) {
        if let Some(known) = self.known.get_mut(&id) {
            known.removal_tried_at = Some(now);
        }
    }

    /// Removes instances that are neither listed nor answering heartbeats.
    pub fn expire(&mut self, now: MonoTime) {
        self.size.record(now, self.known.len());
        for (id, known) in &mut self.known {
            let lost = known.missing_since;
            if lost.is_some_and(|at| now.since(at) >= REWRITE_GRACE) {
                known.listed = false;
                known.missing_since = None;
                self.unlisted.insert(*id);
            }
        }
        let expired = |id: &&Incarnation| match self.known.get(id) {
            Some(known) => now.since(known.last_reply) >= HEARTBEAT_TIMEOUT * 4,
            None => true,
        };
        let expired = self.unlisted.iter().filter(expired).copied();
        let expired: Vec<Incarnation> = expired.collect();
        for id in expired {
            self.remove(id);
        }
    }

    /// The largest number of instances that was known lately, including this one. Instances that
    /// are not heard, or that are no longer listed, count.
    pub fn largest_size(&self) -> usize {
        self.size.largest() + 1
    }

    /// All known instances.
    pub fn entries(&self) -> impl Iterator<Item = &InstanceEntry> {
        self.known.values().map(|k| &k.entry)
    }

    /// True if any incarnation of the instance at this address is present.
    pub fn is_present_at(&self, now: MonoTime, peer_address: SocketAddr) -> bool {
        let id = self.by_address.get(&peer_address);
        let known = id.and_then(|id| self.known.get(id));
        known.is_some_and(|k| k.is_present(now))
    }

    /// The entry of an incarnation, if it is known.
    pub fn entry(&self, id: Incarnation) -> Option<&InstanceEntry> {
        self.known.get(&id).map(|k| &k.entry)
    }

    /// True if the store lists this incarnation.
    pub fn is_listed(&self, id: Incarnation) -> bool {
        self.known.get(&id).is_some_and(|k| k.listed)
    }

    /// True if this incarnation is present.
    pub fn is_present(&self, now: MonoTime, id: Incarnation) -> bool {
        let known = self.known.get(&id);
        known.is_some_and(|k| k.is_present(now))
    }

    /// Number of instances visited since the start, without iterations over a whole list that a
    /// caller asked for.
    pub fn visited(&self) -> u64 {
        self.visits.count()
    }

    fn insert(&mut self, known: Instance) {
        let id = known.entry.incarnation;
        self.by_address.insert(known.entry.peer_address, id);
        if !known.listed {
            self.unlisted.insert(id);
        }
        self.known.insert(id, known);
    }

    fn remove(&mut self, id: Incarnation) -> Option<Instance> {
        self.unlisted.remove(&id);
        let known = self.known.remove(&id)?;
        if self.by_address.get(&known.entry.peer_address) == Some(&id) {
            self.by_address.remove(&known.entry.peer_address);
        }
        Some(known)
    }
}
