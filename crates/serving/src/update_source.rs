//! Selects the source from which an instance receives store updates.

use jd_types::Incarnation;

use crate::InstanceEntry;
use crate::Shard;
use crate::rank_owners;

/// The fleet size up to which every instance watches the store itself and exchanges heartbeats
/// with all others. In a fleet of 75 each instance would send and answer 370 heartbeats a
/// second, more than the requests it serves.
pub const SMALL_FLEET: usize = 16;
/// Instances that watch the store for the whole fleet: two, as one may be gone or rejected by
/// the store.
const READERS: usize = 2;
/// Instances of each zone that follow the readers and pass updates on within the zone.
const RELAYS: usize = 2;
/// Instances that may replace readers or relays, in order. Where the store rejects a third of
/// all instances, all of the candidates are among these in one case of a hundred; more
/// candidates would only add calls to a store that is unavailable.
const CANDIDATES: usize = 4;

/// The source from which an instance receives store updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// The store itself.
    Store,
    /// A reader: an instance that watches the store and serves the relays of all zones.
    Reader(Incarnation),
    /// A relay of the instance's own zone.
    Relay(Incarnation),
}

impl UpdateSource {
    /// The source instance, or `None` for the store itself.
    pub fn instance(self) -> Option<Incarnation> {
        match self {
            UpdateSource::Store => None,
            UpdateSource::Reader(id) | UpdateSource::Relay(id) => Some(id),
        }
    }
}

/// The recent state of an instance as an update source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceHealth {
    /// No failure is known.
    Available,
    /// It reports that the store does not answer.
    StoreUnavailable,
    /// It did not answer, or sent no updates.
    Unresponsive,
}

/// Selects the update source of `me` among the `others` that are present; `health` gives the
/// health of each instance as a source, including `me`.
///
/// Each change in the store answers every watch, so that calls grow with instances times
/// changes, and an instance that the store rejects retries again and again. For this reason two
/// readers watch the store for a fleet of any size, two relays of each zone follow the readers,
/// and all other instances follow the relays of their zone. A source that does not answer or
/// has lost the store is replaced by the next candidate of the same order. While all candidates
/// report that the store is unavailable, the other instances do not query the store either.
pub fn update_source<'a>(
    me: &'a InstanceEntry,
    others: impl Iterator<Item = &'a InstanceEntry>,
    health: impl Fn(Incarnation) -> SourceHealth,
) -> UpdateSource {
    let others: Vec<&InstanceEntry> = others.collect();
    if others.len() < SMALL_FLEET {
        return UpdateSource::Store;
    }
    let all = || others.iter().copied().chain([me]);
    let relays = candidates(all().filter(|e| e.zone == me.zone));
    match role(me.incarnation, &relays, RELAYS, &health) {
        Role::Follows(id) => return UpdateSource::Relay(id),
        Role::Unserved => return UpdateSource::Store,
        Role::Serving => {}
    }
    let readers = candidates(all());
    match role(me.incarnation, &readers, READERS, &health) {
        Role::Follows(id) if health(id) == SourceHealth::Available => UpdateSource::Reader(id),
        // A relay does not rely on readers that report the store as unavailable: the store may
        // reject only these readers, and the relay's whole zone depends on its answer.
        Role::Follows(_) | Role::Serving | Role::Unserved => UpdateSource::Store,
    }
}

/// The instances that may be readers or relays, in order of preference.
fn candidates<'a>(instances: impl Iterator<Item = &'a InstanceEntry>) -> Vec<Incarnation> {
    let whole_fleet = Shard {
        zone: None,
        part: 0,
        parts: 1,
    };
    let order = rank_owners(&whole_fleet, instances, CANDIDATES).into_iter();
    order.map(|e| e.incarnation).collect()
}

/// The role of an instance with respect to a list of candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Serving,
    Follows(Incarnation),
    /// No candidate answers.
    Unserved,
}

/// The role of `me` while the first `count` available candidates serve the other instances.
fn role(
    me: Incarnation,
    candidates: &[Incarnation],
    count: usize,
    health: &impl Fn(Incarnation) -> SourceHealth,
) -> Role {
    let with_health = |wanted| {
        let mut found = candidates.iter().copied();
        std::iter::from_fn(move || found.find(|id| health(*id) == wanted))
    };
    let available: Vec<Incarnation> = with_health(SourceHealth::Available).take(count).collect();
    let index = me.get() as usize % available.len().max(1);
    match available.get(index) {
        _ if available.contains(&me) => Role::Serving,
        Some(id) => Role::Follows(*id),
        // The candidates keep querying the store, so that its recovery is noticed.
        None if candidates.contains(&me) => Role::Serving,
        None => match with_health(SourceHealth::StoreUnavailable).next() {
            Some(id) => Role::Follows(id),
            None => Role::Unserved,
        },
    }
}
