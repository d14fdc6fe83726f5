//! With which instances heartbeats are exchanged.

use std::collections::HashMap;
use std::time::Duration;

use jd_types::Incarnation;
use jd_types::MonoTime;

use crate::InstanceEntry;
use crate::SMALL_FLEET;
use crate::Shard;
use crate::ShardMap;
use crate::rank_owners;

/// Owners of a shard that are watched: the one that is asked, and the one that is asked
/// next.
const OWNERS: usize = 2;
/// Shards whose owners an instance watches at most. Where there are no more, it watches
/// those of all.
const MOST_SHARDS: usize = 8;
/// How long the owners of a shard are watched after it was last used.
const USED_FOR: Duration = Duration::from_secs(5);
/// Others that an instance watches.
const NEXT: usize = 3;

/// Which shards this instance used lately.
///
/// The load that it answers: many instances with few requests each before many shards.
/// Where each watched the owners of all shards, heartbeats took more of the processor
/// than requests, and the owners answered each instance of the fleet.
#[derive(Debug, Default)]
pub struct RecentShards {
    used: HashMap<Shard, MonoTime>,
}

impl RecentShards {
    /// A request's stages are asked for at a shard, or done here; true if that was not
    /// so lately.
    pub fn record_use(&mut self, now: MonoTime, shard: &Shard) -> bool {
        match self.used.get_mut(shard) {
            Some(at) => now.since(std::mem::replace(at, now)) >= USED_FOR,
            None => self.used.insert(shard.clone(), now).is_none(),
        }
    }

    /// The shards whose owners are watched: all if they are few, else those that were
    /// used last.
    pub fn monitored(&mut self, now: MonoTime, all: &ShardMap) -> Vec<Shard> {
        if all.count() <= MOST_SHARDS {
            return all.shards().cloned().collect();
        }
        self.used
            .retain(|shard, at| now.since(*at) < USED_FOR && all.contains(shard));
        let mut used: Vec<(MonoTime, Shard)> = self
            .used
            .iter()
            .map(|(shard, at)| (*at, shard.clone()))
            .collect();
        used.sort_unstable_by(|a, b| b.cmp(a));
        used.truncate(MOST_SHARDS);
        used.into_iter().map(|(_, shard)| shard).collect()
    }
}

/// The instances that `me` exchanges heartbeats with: all of a small fleet; of a larger
/// one the owners of `shards`, the `source` from which it hears of the store, and the few
/// that follow it in the order of their numbers, so that everybody is watched by somebody.
/// How many these are grows neither with the fleet nor with its shards.
pub fn heartbeat_peers<'a>(
    me: &'a InstanceEntry,
    others: &'a [InstanceEntry],
    shards: &[Shard],
    source: Option<Incarnation>,
) -> Vec<Incarnation> {
    if others.len() <= SMALL_FLEET {
        return others.iter().map(|e| e.incarnation).collect();
    }
    let everybody = || others.iter().chain([me]);
    let mut ids: Vec<Incarnation> = Vec::new();
    for shard in shards {
        let first = rank_owners(shard, everybody(), OWNERS);
        ids.extend(first.into_iter().map(|e| e.incarnation));
    }
    ids.extend(source);
    ids.extend(next_after(me.incarnation, others));
    ids.sort_unstable();
    ids.dedup();
    ids.retain(|id| *id != me.incarnation);
    ids
}

/// Those whose numbers follow that of `me`, the lowest after the highest.
fn next_after(me: Incarnation, others: &[InstanceEntry]) -> Vec<Incarnation> {
    let place = |e: &InstanceEntry| (e.incarnation < me, e.incarnation);
    let mut ring: Vec<&InstanceEntry> = others.iter().collect();
    if NEXT < ring.len() {
        ring.select_nth_unstable_by_key(NEXT, |e| place(e));
        ring.truncate(NEXT);
    }
    ring.into_iter().map(|e| e.incarnation).collect()
}
