//! From whom an instance hears what the store holds.

use jd_types::Incarnation;

use crate::InstanceEntry;
use crate::Shard;
use crate::owners;

/// Up to this many instances each watches the store by itself and exchanges
/// heartbeats with all others. Of 75, each would make and answer 370 heartbeats
/// a second, more than the requests it has.
pub const SMALL_FLEET: usize = 16;
/// Instances of a zone that watch the store for the others: one may be gone or
/// turned away by the store.
const WATCHERS: usize = 2;

/// From whom an instance hears what the store holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewsSource {
    /// From the store itself.
    Store,
    /// From this instance.
    Instance(Incarnation),
}

/// From whom `me` hears, of the `others` that are there. One that `lost` says has
/// lost the store is passed over: while the store turns some instances away, it
/// may serve this one.
///
/// The load that it answers: every change in the store answers every watch, so
/// that calls grow with instances times changes. On a day of 75 instances with
/// trouble they were 150 a second, and cost 7 hundredths of all that was earned.
pub fn news_source<'a>(
    me: &InstanceEntry,
    others: impl Iterator<Item = &'a InstanceEntry>,
    lost: impl Fn(Incarnation) -> bool,
) -> NewsSource {
    let others: Vec<&InstanceEntry> = others.collect();
    if others.len() < SMALL_FLEET {
        return NewsSource::Store;
    }
    let mut watchers = watchers(me, others.into_iter());
    if watchers.contains(&me.incarnation) {
        return NewsSource::Store;
    }
    watchers.retain(|id| !lost(*id));
    let mine = me.incarnation.get() as usize % watchers.len().max(1);
    let watcher = watchers.get(mine).copied();
    watcher.map_or(NewsSource::Store, NewsSource::Instance)
}

/// The instances that watch the store for the zone of `me`.
pub fn watchers<'a>(
    me: &'a InstanceEntry,
    others: impl Iterator<Item = &'a InstanceEntry>,
) -> Vec<Incarnation> {
    let near = others.filter(|e| e.zone == me.zone);
    let zone = Shard {
        zone: Some(me.zone.clone()),
        part: 0,
        parts: 1,
    };
    let order = owners(&zone, near.chain([me]));
    let watchers = order.into_iter().take(WATCHERS);
    watchers.map(|e| e.incarnation).collect()
}
