//! Which instances there are, and which of them callers are told of.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::Name;

use crate::SnapshotKind;
use crate::StoreRevision;
use crate::Strength;
use crate::visit_counter::VisitCounter;

/// How long an instance may stay silent before it is passed over. Three missed
/// heartbeats; a caller sent to a dead instance loses a second.
const SILENT_AFTER: Duration = Duration::from_millis(1_300);
/// How long an instance that the store lists and nobody has heard counts as
/// there: the pause between two beats and half as much again. Taken for as long as
/// one that was heard, entries of dead starts held stages up for 1.3 s each.
const UNHEARD_FOR: Duration = Duration::from_millis(600);
/// How long a watched instance is silent until its entry is to be removed: five beats
/// of 400 ms, so that one that stood still for a moment is not removed.
const REMOVE_AFTER: Duration = Duration::from_millis(2_000);
/// How long after a removal was tried it is tried again.
const REMOVE_AGAIN: Duration = Duration::from_millis(4_000);
/// How long an instance has to write an entry again that the store lost.
const WRITTEN_AGAIN_WITHIN: Duration = Duration::from_millis(3_000);
/// Addresses in one answer; the users' clients take no more.
const MAX_ADDRESSES: usize = 64;
/// Instances of the caller's own zone that suffice for an answer of only these.
const ENOUGH_NEAR: usize = 2;

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceEntry {
    /// The identity of this start of it.
    pub incarnation: Incarnation,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where other instances reach it.
    pub peer_address: SocketAddr,
    /// The availability zone that it stands in.
    pub zone: Name,
    /// What it can carry beside its own callers.
    pub strength: Strength,
    /// True once it takes no new callers.
    pub leaving: bool,
}

/// What an instance says of itself in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// True once it takes no new callers.
    pub leaving: bool,
    /// True if callers should come to it.
    pub ready: bool,
    /// True once it has read what is in force.
    pub store_loaded: bool,
}

/// A listed instance that does not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnresponsiveInstance {
    /// Which start of it.
    pub id: Incarnation,
    /// The store's revision when its entry was written.
    pub written: StoreRevision,
    /// For how long it has been silent.
    pub silent_for: Duration,
}

/// Which instances there are: those that the store lists, less those that say
/// they leave or do not answer heartbeats.
#[derive(Debug, Default)]
pub struct InstanceDirectory {
    known: HashMap<Incarnation, Known>,
    /// Which start of an instance is known at an address.
    by_peers: HashMap<SocketAddr, Incarnation>,
    /// Those that the store does not list.
    unlisted: HashSet<Incarnation>,
    visits: VisitCounter,
}

#[derive(Debug)]
struct Known {
    entry: InstanceEntry,
    written: StoreRevision,
    /// When it was last heard; until the first time when it was first listed.
    heard: MonoTime,
    ever_heard: bool,
    listed: bool,
    /// When it was found that the store had lost its entry.
    lost_at: Option<MonoTime>,
    ready: bool,
    has_read: bool,
    watched: bool,
    removal_tried: Option<MonoTime>,
}

impl Known {
    /// True if it is there as far as is known: by its heartbeats if these are
    /// exchanged with it, else by its entry.
    fn is_there(&self, now: MonoTime) -> bool {
        let silence = now.since(self.heard);
        match (self.watched, self.ever_heard) {
            (true, true) => silence < SILENT_AFTER,
            (true, false) => silence < UNHEARD_FOR,
            (false, _) => self.listed,
        }
    }
}

impl InstanceDirectory {
    /// The store lists it, in an entry that was written at this revision. A new
    /// one has until its first heartbeat is due.
    ///
    /// Guards against instances that count as there after they have started anew:
    /// their earlier entries stay until their leases run out, and stages were asked
    /// for at these for 1.3 s each. Of two at one address the one that was written
    /// later is there, in whatever order they are read; but one that answers is not
    /// displaced by what a copy of the store has of an earlier start.
    pub fn put(&mut self, now: MonoTime, entry: InstanceEntry, written: StoreRevision) {
        self.visits.add(1);
        let other = self.by_peers.get(&entry.peer_address).copied();
        let other = other.filter(|id| *id != entry.incarnation);
        let answers = |k: &Known| k.ever_heard && now.since(k.heard) < SILENT_AFTER;
        // One that was heard in place of a dead start has that start's revision.
        let is_later =
            |k: &Known| k.written >= written || (!k.written.is_same_era(written) && answers(k));
        match other.and_then(|id| self.known.get(&id)) {
            Some(other) if is_later(other) => return,
            _ => {}
        }
        if let Some(other) = other {
            self.forget(other);
        }
        self.unlisted.remove(&entry.incarnation);
        let known = self.known.entry(entry.incarnation).or_insert(Known {
            entry: entry.clone(),
            written,
            heard: now,
            ever_heard: false,
            listed: true,
            lost_at: None,
            ready: true,
            has_read: true,
            watched: true,
            removal_tried: None,
        });
        known.listed = true;
        known.lost_at = None;
        known.written = known.written.max(written);
        known.entry.leaving |= entry.leaving;
        self.by_peers
            .insert(known.entry.peer_address, entry.incarnation);
    }

    /// The store lists these and no others. Without this, an instance whose entry
    /// ran out while the history of changes was lost would be named for good.
    ///
    /// Those that a copy of the store lacks write their entries again, and stay listed
    /// until they had time for it. Else a large fleet, in which each is watched by a few,
    /// would lose all that started lately from sight at once.
    pub fn replace_listed(&mut self, now: MonoTime, ids: &[Incarnation], reading: SnapshotKind) {
        let ids: HashSet<Incarnation> = ids.iter().copied().collect();
        for (id, known) in &mut self.known {
            self.visits.add(1);
            match reading {
                _ if ids.contains(id) => known.lost_at = None,
                SnapshotKind::Restored => known.lost_at = Some(now),
                SnapshotKind::Complete if known.lost_at.is_some() => {}
                SnapshotKind::Complete => {
                    known.listed = false;
                    self.unlisted.insert(*id);
                }
            }
        }
    }

    /// The store lists it no more. While heartbeats arrive it is still there:
    /// its lease may have run out while the store was away.
    pub fn unlist(&mut self, id: Incarnation) {
        if let Some(known) = self.known.get_mut(&id) {
            known.listed = false;
            known.lost_at = None;
            self.unlisted.insert(id);
        }
    }

    /// It answered a heartbeat.
    pub fn record_heartbeat(&mut self, now: MonoTime, id: Incarnation, said: Heartbeat) {
        if let Some(known) = self.known.get_mut(&id) {
            known.heard = now;
            known.ever_heard = true;
            known.ready = said.ready;
            known.has_read = said.store_loaded;
            known.entry.leaving |= said.leaving;
        }
    }

    /// A later start of an instance answered a heartbeat in its place.
    ///
    /// Guards against the time between a start and the arrival of its entry, in
    /// which nobody asked it for anything: after all instances had started anew
    /// they did without each other for up to a second.
    pub fn record_restart(&mut self, now: MonoTime, earlier: Incarnation, later: Incarnation) {
        if let Some(mut known) = self.forget(earlier)
            && !self.known.contains_key(&later)
        {
            known.entry.incarnation = later;
            known.entry.leaving = false;
            known.heard = now;
            known.ever_heard = true;
            self.insert(known);
        }
    }

    /// Those that answer and that the store does not list.
    pub fn unlisted(&self, now: MonoTime) -> impl Iterator<Item = &InstanceEntry> {
        let heard = move |k: &&Known| k.ever_heard && now.since(k.heard) < SILENT_AFTER;
        let unlisted = self.unlisted.iter().inspect(|_| self.visits.add(1));
        let unlisted = unlisted.filter_map(|id| self.known.get(id));
        let unlisted = unlisted.filter(|k| !k.entry.leaving);
        unlisted.filter(heard).map(|k| &k.entry)
    }

    /// Another instance hears one that the store does not list.
    ///
    /// Guards against two owners of the same batches for as long as an instance is
    /// cut off from the store alone: its entry runs out, those that were there
    /// before go on hearing it, and one that starts meanwhile reads of all but it.
    pub fn add_reported(&mut self, now: MonoTime, entry: InstanceEntry) {
        self.visits.add(1);
        if self.by_peers.contains_key(&entry.peer_address) {
            return;
        }
        let known = Known {
            written: StoreRevision::ZERO,
            heard: now,
            ever_heard: false,
            listed: false,
            lost_at: None,
            ready: true,
            has_read: true,
            watched: true,
            removal_tried: None,
            entry,
        };
        self.insert(known);
    }

    /// Heartbeats are exchanged with these instances and no others.
    pub fn set_monitored(&mut self, now: MonoTime, ids: &[Incarnation]) {
        for (id, known) in &mut self.known {
            let watched = ids.contains(id);
            if watched && !known.watched {
                known.heard = now;
                known.ever_heard = false;
            }
            known.watched = watched;
        }
    }

    /// The watched ones that the store lists and that do not answer; none if nobody
    /// answers at all: then it is this instance that is cut off.
    pub fn unresponsive(&self, now: MonoTime) -> Vec<UnresponsiveInstance> {
        let watched = || self.known.values().filter(|k| k.watched);
        if !watched().any(|k| k.ever_heard && now.since(k.heard) < SILENT_AFTER) {
            return Vec::new();
        }
        let tried = |k: &Known| {
            let at = k.removal_tried;
            at.is_some_and(|at| now.since(at) < REMOVE_AGAIN)
        };
        let silent = watched().filter(|k| k.listed && !tried(k));
        let silent = silent.map(|k| UnresponsiveInstance {
            id: k.entry.incarnation,
            written: k.written,
            silent_for: now.since(k.heard),
        });
        silent.filter(|s| s.silent_for >= REMOVE_AFTER).collect()
    }

    /// The removal of a silent one's entry was tried.
    pub fn record_removal_attempt(&mut self, now: MonoTime, id: Incarnation) {
        if let Some(known) = self.known.get_mut(&id) {
            known.removal_tried = Some(now);
        }
    }

    /// Forgets those that are neither listed nor heard.
    pub fn expire(&mut self, now: MonoTime) {
        for (id, known) in &mut self.known {
            let lost = known.lost_at;
            if lost.is_some_and(|at| now.since(at) >= WRITTEN_AGAIN_WITHIN) {
                known.listed = false;
                known.lost_at = None;
                self.unlisted.insert(*id);
            }
        }
        let over = |id: &&Incarnation| match self.known.get(id) {
            Some(known) => now.since(known.heard) >= SILENT_AFTER * 4,
            None => true,
        };
        let over = self.unlisted.iter().filter(over).copied();
        let over: Vec<Incarnation> = over.collect();
        for id in over {
            self.forget(id);
        }
    }

    /// All that are known.
    pub fn entries(&self) -> impl Iterator<Item = &InstanceEntry> {
        self.known.values().map(|k| &k.entry)
    }

    /// Those that answer and do not leave.
    pub fn live(&self, now: MonoTime) -> impl Iterator<Item = &InstanceEntry> {
        self.known
            .values()
            .filter(move |k| k.is_there(now) && !k.entry.leaving)
            .map(|k| &k.entry)
    }

    /// Those of the live ones that can fill batches.
    ///
    /// Guards against an owner that has started while the store is away: it knows no
    /// upstream, each of those that asked it went on to another by itself, and three
    /// filled batches beside each other until the backlog of seconds was done.
    pub fn live_loaded(&self, now: MonoTime) -> impl Iterator<Item = &InstanceEntry> {
        let able = move |k: &&Known| k.is_there(now) && !k.entry.leaving && k.has_read;
        self.known.values().filter(able).map(|k| &k.entry)
    }

    /// True if the instance at this address is there, whichever start of it.
    pub fn is_present_at(&self, now: MonoTime, peers: SocketAddr) -> bool {
        let id = self.by_peers.get(&peers);
        let known = id.and_then(|id| self.known.get(id));
        known.is_some_and(|k| k.is_there(now))
    }

    /// What a start of an instance says of itself; none if it is not known.
    pub fn entry(&self, id: Incarnation) -> Option<&InstanceEntry> {
        self.known.get(&id).map(|k| &k.entry)
    }

    /// True if it answered a heartbeat lately.
    pub fn is_present(&self, now: MonoTime, id: Incarnation) -> bool {
        let known = self.known.get(&id);
        known.is_some_and(|k| k.is_there(now))
    }

    /// The addresses for a caller in `zone`: those of its own zone if there are
    /// enough, else all. `own` stands for the instance that answers.
    pub fn addresses(
        &self,
        now: MonoTime,
        zone: &str,
        own: Option<&InstanceEntry>,
    ) -> Vec<SocketAddr> {
        let others = self.known.values().filter(|k| k.is_there(now));
        let others = others.filter(|k| k.ready && !k.entry.leaving);
        let mut all: Vec<&InstanceEntry> = others.map(|k| &k.entry).chain(own).collect();
        all.sort_by_key(|e| (e.zone.as_str() != zone, e.caller_address));
        let near = all.iter().filter(|e| e.zone.as_str() == zone).count();
        if near >= ENOUGH_NEAR {
            all.truncate(near);
        }
        let addresses = all.into_iter().map(|e| e.caller_address);
        addresses.take(MAX_ADDRESSES).collect()
    }

    /// Instances that were looked at one by one since the start, but for the lists that
    /// are asked for as a whole.
    pub fn visited(&self) -> u64 {
        self.visits.count()
    }

    fn insert(&mut self, known: Known) {
        let id = known.entry.incarnation;
        self.by_peers.insert(known.entry.peer_address, id);
        if !known.listed {
            self.unlisted.insert(id);
        }
        self.known.insert(id, known);
    }

    fn forget(&mut self, id: Incarnation) -> Option<Known> {
        self.unlisted.remove(&id);
        let known = self.known.remove(&id)?;
        if self.by_peers.get(&known.entry.peer_address) == Some(&id) {
            self.by_peers.remove(&known.entry.peer_address);
        }
        Some(known)
    }
}
