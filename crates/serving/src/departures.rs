//! Remembers which upstreams are leaving.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::UpstreamStart;

/// Time for which a departure is remembered while no entry names the upstream. Entries expire
/// with the store, and an entry that returns may be older than the departure.
const RETENTION: Duration = Duration::from_secs(60);
/// Upstreams whose departures are remembered.
const MAX_DEPARTURES: usize = 8_192;

/// The origin of a departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DepartureSource {
    /// The upstream's entry in the store: it was marked as leaving or removed. An entry that is
    /// written later may revoke this, since the upstream may have been cut off from the store
    /// for a while.
    Entry,
    /// An answer of the upstream itself. Only a later start revokes it.
    Answer,
}

#[derive(Debug, Clone, Copy)]
struct Departure {
    start: UpstreamStart,
    source: DepartureSource,
    /// When it was recorded, or when the upstream was last found listed.
    last_used: MonoTime,
}

/// The upstreams that are about to stop or have stopped, as far as this instance knows.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    by_id: HashMap<CompactString, Departure>,
}

impl Departures {
    /// Records that a start of an upstream is leaving.
    pub(crate) fn record(
        &mut self,
        now: MonoTime,
        id: &str,
        start: UpstreamStart,
        source: DepartureSource,
    ) {
        if self.by_id.len() >= MAX_DEPARTURES && !self.by_id.contains_key(id) {
            return;
        }
        let known = self.by_id.get(id);
        let same = known.filter(|k| !start.is_later_than(k.start));
        let departure = Departure {
            start,
            source: same.map_or(source, |k| k.source.max(source)),
            last_used: now,
        };
        self.by_id.insert(id.into(), departure);
    }

    /// Revokes a departure that came from an entry, because an entry that was written just now
    /// says that the upstream is ready.
    pub(crate) fn revoke_by_entry(&mut self, id: &str) {
        let departure = self.by_id.get(id);
        if departure.is_some_and(|d| d.source == DepartureSource::Entry) {
            self.by_id.remove(id);
        }
    }

    /// True if this start of an upstream is leaving or gone.
    pub(crate) fn is_leaving(&self, id: &str, start: UpstreamStart) -> bool {
        let departure = self.by_id.get(id);
        departure.is_some_and(|d| !start.is_later_than(d.start))
    }

    /// Forgets departures of upstreams that have not been listed for a long time; `is_listed`
    /// tells whether an entry names an upstream.
    pub(crate) fn expire(&mut self, now: MonoTime, is_listed: impl Fn(&str) -> bool) {
        self.by_id.retain(|id, departure| {
            if is_listed(id) {
                departure.last_used = now;
            }
            now.since(departure.last_used) < RETENTION
        });
    }
}
