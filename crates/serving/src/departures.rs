//! Which upstreams are about to stop, or have.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::UpstreamStart;

/// How long it is remembered that an upstream leaves while no entry names it. Entries lapse
/// with the store, and one that is put back may be older than the word.
const REMEMBERED: Duration = Duration::from_secs(60);
/// The most upstreams of which that is remembered.
const MOST: usize = 8_192;

/// Who told that an upstream leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DepartureSource {
    /// Its entry in the store, by what it said or by its removal. An entry that is written
    /// later may say otherwise: it was cut off from the store for a while.
    Entry,
    /// The upstream itself, in an answer. Nothing takes that back but a later start.
    Answer,
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    start: UpstreamStart,
    told_by: DepartureSource,
    /// When it was told, or last of use.
    noted: MonoTime,
}

/// Which upstreams are about to stop, or have, as far as this instance was told.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    by_id: HashMap<CompactString, Departure>,
}

impl Departures {
    /// A start of an upstream leaves.
    pub(crate) fn note(
        &mut self,
        now: MonoTime,
        id: &str,
        start: UpstreamStart,
        told_by: DepartureSource,
    ) {
        if self.by_id.len() >= MOST && !self.by_id.contains_key(id) {
            return;
        }
        let known = self.by_id.get(id);
        let same = known.filter(|k| !start.is_later_than(k.start));
        let departure = Departure {
            start,
            told_by: same.map_or(told_by, |k| k.told_by.max(told_by)),
            noted: now,
        };
        self.by_id.insert(id.into(), departure);
    }

    /// An entry that was written just now says that the upstream is ready.
    pub(crate) fn entry_says_ready(&mut self, id: &str) {
        let told = self.by_id.get(id);
        if told.is_some_and(|told| told.told_by == DepartureSource::Entry) {
            self.by_id.remove(id);
        }
    }

    /// True if this start of an upstream leaves.
    pub(crate) fn has_left(&self, id: &str, start: UpstreamStart) -> bool {
        let told = self.by_id.get(id);
        told.is_some_and(|told| !start.is_later_than(told.start))
    }

    /// Forgets those that no entry has named for long; `is_listed` tells whether one does.
    pub(crate) fn expire(&mut self, now: MonoTime, is_listed: impl Fn(&str) -> bool) {
        self.by_id.retain(|id, departure| {
            if is_listed(id) {
                departure.noted = now;
            }
            now.since(departure.noted) < REMEMBERED
        });
    }
}
