//! Which upstreams there are.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;
use jd_types::Name;

use crate::SnapshotKind;
use crate::UpstreamStart;
use crate::departures::DepartureSource;
use crate::departures::Departures;
use crate::visit_counter::VisitCounter;

/// How long after the store's return an entry that lapsed may still come back.
/// The users' platform puts entries of live upstreams back within two seconds.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Its identity.
    pub id: CompactString,
    /// Which start of it this is.
    pub start: UpstreamStart,
    /// The service that it belongs to.
    pub service: CompactString,
    /// Where it answers.
    pub address: SocketAddr,
    /// The availability zone that it stands in.
    pub zone: Name,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// True once it is about to stop.
    pub leaving: bool,
    /// How much longer it is cold, from when the entry was written.
    pub cold_left: Duration,
}

/// An upstream in use.
#[derive(Debug, Clone, Copy)]
pub struct ListedUpstream<'a> {
    /// What it says of itself.
    pub entry: &'a UpstreamEntry,
    /// Until when it is cold by its own word. Its entry is older than its reading, so
    /// that it is warm by then at the latest.
    pub cold_until: MonoTime,
}

/// Which upstreams there are, as the store tells and tolerating its absence.
///
/// Guards against losing a whole service with the store: leases of entries run
/// out while nobody can renew them, so after an absence every entry may be
/// missing although every upstream is well. An entry that lapsed then stays in
/// use until shortly after the store's return.
///
/// An upstream that said in an answer that it leaves does so, whatever is read of it
/// later.
#[derive(Debug, Default)]
pub struct UpstreamDirectory {
    known: HashMap<CompactString, Known>,
    /// How many of these tell their start.
    told: usize,
    /// How many of these have lapsed with the store.
    lapsed: usize,
    departures: Departures,
    away: bool,
    back: Option<MonoTime>,
    visits: VisitCounter,
}

#[derive(Debug)]
struct Known {
    entry: UpstreamEntry,
    lapsed: bool,
    cold_until: MonoTime,
}

impl UpstreamDirectory {
    /// The store does not answer.
    pub fn mark_store_unavailable(&mut self) {
        self.away = true;
    }

    /// True while the store does not answer.
    pub fn is_store_unavailable(&self) -> bool {
        self.away
    }

    /// The store answers; true if it did not before.
    pub fn mark_store_available(&mut self, now: MonoTime) -> bool {
        let news = std::mem::take(&mut self.away);
        if news {
            self.back = Some(now);
        }
        news
    }

    /// An entry was written; true if it changes anything. One of an earlier start
    /// than the one that is known is news that comes late, and changes nothing; one
    /// that does not tell its start, where upstreams do, is another writer's and names
    /// no upstream.
    pub fn put(&mut self, now: MonoTime, entry: UpstreamEntry) -> bool {
        let most_tell = self.told > self.known.len() - self.told;
        self.take(now, entry, most_tell, SnapshotKind::Complete)
    }

    fn take(
        &mut self,
        now: MonoTime,
        entry: UpstreamEntry,
        most_tell: bool,
        reading: SnapshotKind,
    ) -> bool {
        self.visits.add(1);
        if most_tell && !entry.start.is_known() {
            return self.discard(&entry.id);
        }
        let known = self.known.get(&entry.id);
        if known.is_some_and(|k| k.entry.start.is_later_than(entry.start)) {
            return false;
        }
        let (id, start) = (entry.id.clone(), entry.start);
        match reading {
            _ if entry.leaving => self
                .departures
                .note(now, &id, start, DepartureSource::Entry),
            SnapshotKind::Complete => self.departures.entry_says_ready(&id),
            SnapshotKind::Restored => {}
        }
        let leaving = entry.leaving || self.departures.has_left(&id, start);
        let entry = UpstreamEntry { leaving, ..entry };
        if known.is_some_and(|k| k.entry == entry && !k.lapsed) {
            return false;
        }
        let known = Known {
            cold_until: now + entry.cold_left,
            lapsed: false,
            entry,
        };
        self.insert(id, known);
        true
    }

    /// This start of an upstream said in an answer that it leaves; true if that changes
    /// anything. One that has started again since takes requests.
    pub fn mark_leaving(&mut self, now: MonoTime, id: &str, start: UpstreamStart) -> bool {
        let known = self.known.get_mut(id);
        let is_old = |k: &&mut Known| k.entry.start.is_later_than(start);
        if known.as_ref().is_some_and(is_old) {
            return false;
        }
        self.departures
            .note(now, id, start, DepartureSource::Answer);
        known.is_some_and(|k| !std::mem::replace(&mut k.entry.leaving, true))
    }

    /// Another upstream answered at the address of this start of one; true if that changes
    /// anything. It gets nothing more until its entry is written again.
    ///
    /// Guards against entries that outlast their upstreams, as in a copy of the store: all
    /// that is sent there comes back, and a caller whose tries are used up is refused.
    pub fn mark_address_reused(
        &mut self,
        now: MonoTime,
        id: &str,
        start: UpstreamStart,
        address: SocketAddr,
    ) -> bool {
        let known = self.known.get_mut(id);
        let same =
            |k: &&mut Known| k.entry.address == address && !k.entry.start.is_later_than(start);
        let Some(known) = known.filter(same) else {
            return false;
        };
        self.departures.note(now, id, start, DepartureSource::Entry);
        !std::mem::replace(&mut known.entry.leaving, true)
    }

    /// Nothing names this upstream any more; true if that changes anything. Unlike
    /// one that is missing it does not count as lapsed with the store: there is an
    /// entry, and it is not the upstream's.
    pub fn discard(&mut self, id: &str) -> bool {
        self.forget(id)
    }

    /// An entry is missing; true if that changes anything. One that had said
    /// that it leaves is gone at once.
    pub fn remove(&mut self, now: MonoTime, id: &str) -> bool {
        let may_return = self.may_return(now);
        match self.known.get_mut(id) {
            None => false,
            Some(known) if may_return && !known.entry.leaving => {
                let was_there = !std::mem::replace(&mut known.lapsed, true);
                self.lapsed += usize::from(was_there);
                false
            }
            Some(known) => {
                let start = known.entry.start;
                self.departures.note(now, id, start, DepartureSource::Entry);
                self.forget(id)
            }
        }
    }

    /// Takes in the whole list; true if that changes anything. In a copy an entry may be
    /// older than what is known, so that it takes back no word of an upstream.
    pub fn replace(
        &mut self,
        now: MonoTime,
        entries: Vec<UpstreamEntry>,
        reading: SnapshotKind,
    ) -> bool {
        if reading == SnapshotKind::Restored {
            self.back = Some(now);
        }
        let listed: HashSet<&str> = entries.iter().map(|e| e.id.as_str()).collect();
        let missing = self.known.keys().inspect(|_| self.visits.add(1));
        let missing = missing.filter(|id| !listed.contains(id.as_str()));
        let missing: Vec<CompactString> = missing.cloned().collect();
        let mut changed = false;
        for id in missing {
            changed |= self.remove(now, &id);
        }
        let most_tell = most_tell_start(entries.iter());
        for entry in entries {
            changed |= self.take(now, entry, most_tell, reading);
        }
        changed
    }

    /// Gives up entries that lapsed and did not come back; true if any did.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        let known = &self.known;
        let is_listed = |id: &str| known.contains_key(id);
        self.departures.expire(now, is_listed);
        if self.lapsed == 0 || self.may_return(now) {
            return false;
        }
        let known = self.known.iter().inspect(|_| self.visits.add(1));
        let lapsed = known.filter(|(_, k)| k.lapsed).map(|(id, _)| id.clone());
        let lapsed: Vec<CompactString> = lapsed.collect();
        for id in &lapsed {
            self.forget(id);
        }
        true
    }

    /// All upstreams in use.
    pub fn entries(&self) -> impl Iterator<Item = ListedUpstream<'_>> {
        let known = self.known.values().inspect(|_| self.visits.add(1));
        known.map(|k| ListedUpstream {
            entry: &k.entry,
            cold_until: k.cold_until,
        })
    }

    /// Entries that were looked at one by one since the start. What changes is looked
    /// at, and the whole list only when it is read whole.
    pub fn visited(&self) -> u64 {
        self.visits.count()
    }

    fn insert(&mut self, id: CompactString, known: Known) {
        self.told += usize::from(known.entry.start.is_known());
        if let Some(before) = self.known.insert(id, known) {
            self.uncount(&before);
        }
    }

    fn forget(&mut self, id: &str) -> bool {
        let Some(before) = self.known.remove(id) else {
            return false;
        };
        self.uncount(&before);
        true
    }

    fn uncount(&mut self, known: &Known) {
        self.told -= usize::from(known.entry.start.is_known());
        self.lapsed -= usize::from(known.lapsed);
    }

    fn may_return(&self, now: MonoTime) -> bool {
        self.away || self.back.is_some_and(|back| now.since(back) < LAPSE_GRACE)
    }
}

/// True if more of the entries tell their start than do not. One alone that tells it
/// may be another writer's, and must not cost the others their place.
fn most_tell_start<'a>(entries: impl Iterator<Item = &'a UpstreamEntry>) -> bool {
    let (told, untold): (Vec<_>, Vec<_>) = entries.partition(|e| e.start.is_known());
    told.len() > untold.len()
}
