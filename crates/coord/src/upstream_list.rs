//! Which upstreams there are.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use jd_backing::Listed;
use jd_backing::ListedState;
use jd_types::MonoTime;
use jd_types::Name;

/// How long an upstream that is missing from the list is kept.
const MISSING_GRACE: Duration = Duration::from_secs(5);
/// How long a hint stands against a list that goes on saying "live".
const HINT_LIFE: Duration = Duration::from_secs(60);
/// A list that lost more than one in this many at once is not believed at once.
const PLAUSIBLE_LOSS: usize = 2;

/// One upstream as the list and the hints together have it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListEntry {
    /// Where it answers.
    pub address: SocketAddr,
    /// The pool that it belongs to.
    pub pool: Name,
    /// The hall that it stands in.
    pub hall: Name,
    /// True if nothing new may go there.
    pub leaving: bool,
    /// When this life of it was first seen.
    pub since: MonoTime,
}

#[derive(Debug)]
struct Known {
    entry: ListEntry,
    missing_since: Option<MonoTime>,
    hinted: Option<MonoTime>,
    listed_leaving: bool,
}

/// The upstreams, from the platform's lagging list and from hints of those who
/// saw one leave.
///
/// Guards against new work for an upstream that is leaving: a hint from anybody
/// counts at once, whatever the list says, and until the list has shown it
/// leaving or gone and live again, which is another life. A hint that the list
/// never bears out runs out. And against a list that is wrong: an entry that is
/// missing stays for a while, and one that halves at once is not believed until
/// it has said so for that while; an upstream that is really gone shows by
/// failing.
#[derive(Debug, Default)]
pub struct UpstreamList {
    known: BTreeMap<SocketAddr, Known>,
    read_once: bool,
}

impl UpstreamList {
    /// Takes in the list as read; true if something changed.
    pub fn read(&mut self, now: MonoTime, list: &[Listed]) -> bool {
        let since = if self.read_once { now } else { MonoTime::ZERO };
        let mut changed = false;
        for listed in list {
            if let Some(pool) = &listed.pool {
                changed |= self.take(now, since, pool, listed);
            }
        }
        changed |= self.miss(now, list);
        self.read_once = true;
        changed
    }

    /// Somebody saw that an upstream is leaving; true if that is news.
    pub fn hint(&mut self, now: MonoTime, address: SocketAddr) -> bool {
        match self.known.get_mut(&address) {
            Some(k) if !k.entry.leaving => {
                k.entry.leaving = true;
                k.hinted = Some(now);
                true
            }
            _ => false,
        }
    }

    /// Every upstream, in order of addresses.
    pub fn entries(&self) -> Vec<ListEntry> {
        self.known.values().map(|k| k.entry.clone()).collect()
    }

    /// Takes in one line of the list; true if something changed.
    fn take(&mut self, now: MonoTime, since: MonoTime, pool: &Name, listed: &Listed) -> bool {
        let fresh = || Known {
            entry: ListEntry {
                address: listed.address,
                pool: pool.clone(),
                hall: listed.hall.clone(),
                leaving: false,
                since,
            },
            missing_since: None,
            hinted: None,
            listed_leaving: false,
        };
        let known = match self.known.get_mut(&listed.address) {
            Some(known) => known,
            None => {
                let mut known = fresh();
                known.entry.leaving = listed.state == ListedState::Leaving;
                known.listed_leaving = known.entry.leaving;
                self.known.insert(listed.address, known);
                return true;
            }
        };
        let was_missing = known.missing_since.take().is_some();
        let hint_over = known.hinted.is_none_or(|h| now.since(h) >= HINT_LIFE);
        let another_life = known.listed_leaving || was_missing || hint_over;
        match listed.state {
            ListedState::Leaving => {
                known.listed_leaving = true;
                !std::mem::replace(&mut known.entry.leaving, true)
            }
            ListedState::Live if known.entry.leaving && another_life => {
                *known = fresh();
                true
            }
            ListedState::Live => false,
        }
    }

    /// Ages what is missing from the list; true if something was dropped.
    fn miss(&mut self, now: MonoTime, list: &[Listed]) -> bool {
        let present: HashSet<SocketAddr> = list.iter().map(|l| l.address).collect();
        let listed = |a: &SocketAddr| present.contains(a);
        let before = self.known.len();
        let missing = self.known.keys().filter(|a| !listed(a)).count();
        let plausible = missing * PLAUSIBLE_LOSS <= self.known.len();
        let grace = if plausible {
            MISSING_GRACE
        } else {
            MISSING_GRACE * 4
        };
        self.known.retain(|address, known| {
            if !listed(address) {
                let since = *known.missing_since.get_or_insert(now);
                return now.since(since) < grace;
            }
            true
        });
        before != self.known.len()
    }
}
