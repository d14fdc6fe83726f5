//! From whom an instance hears what the store holds.

use jd_types::Incarnation;

use crate::InstanceEntry;
use crate::Shard;
use crate::rank_owners;

/// Up to this many instances each watches the store by itself and exchanges
/// heartbeats with all others. Of 75, each would make and answer 370 heartbeats
/// a second, more than the requests it has.
pub const SMALL_FLEET: usize = 16;
/// Instances that watch the store for the whole fleet: one may be gone or turned
/// away by the store.
const READERS: usize = 2;
/// Instances of a zone that hear these and tell the others of the zone.
const RELAYS: usize = 2;
/// Instances that may stand in for readers or relays, one after the other. Where the
/// store turns a third of all away, one in a hundred times all of these are among
/// them; more would only ask a store that is away.
const CANDIDATES: usize = 4;

/// From whom an instance hears what the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateSource {
    /// From the store itself.
    Store,
    /// From this one that reads the store, to tell it to the instances of a zone.
    Reader(Incarnation),
    /// From this one that relays in its zone.
    Relay(Incarnation),
}

impl UpdateSource {
    /// The instance that it is; none if it is the store itself.
    pub fn instance(self) -> Option<Incarnation> {
        match self {
            UpdateSource::Store => None,
            UpdateSource::Reader(id) | UpdateSource::Relay(id) => Some(id),
        }
    }
}

/// What an instance was lately like as a source of news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceHealth {
    /// Nothing is known against it.
    Available,
    /// It says that the store does not answer.
    StoreUnavailable,
    /// It did not answer, or brought nothing.
    Unresponsive,
}

/// From whom `me` hears, of the `others` that are there; `state` tells what each is
/// like as a source, `me` included.
///
/// The load that it answers: every change in the store answers every watch, so that
/// calls grow with instances times changes, and an instance that the store turns away
/// asks again and again. So two read the store for the whole fleet, whatever its size,
/// two of each zone hear these, and the others hear those of their zone. One that is
/// silent or has lost the store is passed over for the next of the same order. While
/// all say that the store is away the others take their word and do not ask it too.
pub fn update_source<'a>(
    me: &'a InstanceEntry,
    others: impl Iterator<Item = &'a InstanceEntry>,
    state: impl Fn(Incarnation) -> SourceHealth,
) -> UpdateSource {
    let others: Vec<&InstanceEntry> = others.collect();
    if others.len() < SMALL_FLEET {
        return UpdateSource::Store;
    }
    let all = || others.iter().copied().chain([me]);
    let relays = candidates(all().filter(|e| e.zone == me.zone));
    match place(me.incarnation, &relays, RELAYS, &state) {
        Place::Follows(id) => return UpdateSource::Relay(id),
        Place::LeftAlone => return UpdateSource::Store,
        Place::OneOfThem => {}
    }
    let readers = candidates(all());
    match place(me.incarnation, &readers, READERS, &state) {
        Place::Follows(id) if state(id) == SourceHealth::Available => UpdateSource::Reader(id),
        // A relay does not take the readers' word that the store is away: it may be
        // that the store turns just these away, and its zone goes by what it says.
        Place::Follows(_) | Place::OneOfThem | Place::LeftAlone => UpdateSource::Store,
    }
}

/// The instances that may read or relay, in the order in which they do.
fn candidates<'a>(instances: impl Iterator<Item = &'a InstanceEntry>) -> Vec<Incarnation> {
    let everywhere = Shard {
        zone: None,
        part: 0,
        parts: 1,
    };
    let order = rank_owners(&everywhere, instances, CANDIDATES).into_iter();
    order.map(|e| e.incarnation).collect()
}

/// Where an instance stands among candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    OneOfThem,
    Follows(Incarnation),
    /// None of the candidates answers.
    LeftAlone,
}

/// Where `me` stands while the first `count` able candidates serve the others.
fn place(
    me: Incarnation,
    candidates: &[Incarnation],
    count: usize,
    state: &impl Fn(Incarnation) -> SourceHealth,
) -> Place {
    let in_state = |wanted| {
        let mut found = candidates.iter().copied();
        std::iter::from_fn(move || found.find(|id| state(*id) == wanted))
    };
    let able: Vec<Incarnation> = in_state(SourceHealth::Available).take(count).collect();
    let mine = me.get() as usize % able.len().max(1);
    match able.get(mine) {
        _ if able.contains(&me) => Place::OneOfThem,
        Some(id) => Place::Follows(*id),
        // Somebody has to notice the store's return.
        None if candidates.contains(&me) => Place::OneOfThem,
        None => match in_state(SourceHealth::StoreUnavailable).next() {
            Some(id) => Place::Follows(id),
            None => Place::LeftAlone,
        },
    }
}
