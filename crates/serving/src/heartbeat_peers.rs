//! Selects the instances that heartbeats are exchanged with.

use std::collections::HashMap;
use std::time::Duration;

use jd_types::Incarnation;
use jd_types::MonoTime;

use crate::InstanceEntry;
use crate::SMALL_FLEET;
use crate::Shard;
use crate::ShardMap;
use crate::rank_owners;

/// Owners of each shard that are monitored: the owner that is asked first and its successor.
const OWNERS_PER_SHARD: usize = 2;
/// Shards whose owners an instance monitors at most. If there are no more shards than this, the
/// owners of all are monitored.
const MAX_SHARDS: usize = 8;
/// Time for which the owners of a shard are monitored after it was last used.
const RECENT_USE: Duration = Duration::from_secs(5);
/// Successors in the order of incarnations that an instance monitors.
const SUCCESSORS: usize = 3;
/// Instances that are asked at a time while this one looks for some to forward requests to.
const CANDIDATES_PER_ROUND: usize = 8;

/// The shards that this instance used recently.
///
/// Keeps heartbeats cheap where many instances with few requests each use many shards. When
/// every instance monitored the owners of all shards, heartbeats took more processor time than
/// requests, and each owner answered every instance of the fleet.
#[derive(Debug, Default)]
pub struct RecentShards {
    used: HashMap<Shard, MonoTime>,
}

impl RecentShards {
    /// Records that stages of a request are run in a shard, by its owner or by this instance.
    /// Returns true if the shard was not in use recently.
    pub fn record_use(&mut self, now: MonoTime, shard: &Shard) -> bool {
        match self.used.get_mut(shard) {
            Some(at) => now.since(std::mem::replace(at, now)) >= RECENT_USE,
            None => self.used.insert(shard.clone(), now).is_none(),
        }
    }

    /// The shards whose owners are monitored: all if they are few, else the most recently used.
    pub fn monitored(&mut self, now: MonoTime, all: &ShardMap) -> Vec<Shard> {
        if all.count() <= MAX_SHARDS {
            return all.shards().cloned().collect();
        }
        self.used
            .retain(|shard, at| now.since(*at) < RECENT_USE && all.contains(shard));
        let mut used: Vec<(MonoTime, Shard)> = self
            .used
            .iter()
            .map(|(shard, at)| (*at, shard.clone()))
            .collect();
        used.sort_unstable_by(|a, b| b.cmp(a));
        used.truncate(MAX_SHARDS);
        used.into_iter().map(|(_, shard)| shard).collect()
    }
}

/// The instances that `me` exchanges heartbeats with. In a small fleet these are all others; in
/// a larger one the owners of `shards`, the update `source`, and the few successors in the
/// order of incarnations, so that every instance is monitored by some other. The number of
/// monitored instances depends neither on the size of the fleet nor on the number of shards.
pub fn heartbeat_peers<'a>(
    me: &'a InstanceEntry,
    others: &'a [InstanceEntry],
    shards: &[Shard],
    source: Option<Incarnation>,
) -> Vec<Incarnation> {
    if others.len() <= SMALL_FLEET {
        return others.iter().map(|e| e.incarnation).collect();
    }
    let fleet = || others.iter().chain([me]);
    let mut ids: Vec<Incarnation> = Vec::new();
    for shard in shards {
        let first = rank_owners(shard, fleet(), OWNERS_PER_SHARD);
        ids.extend(first.into_iter().map(|e| e.incarnation));
    }
    ids.extend(source);
    ids.extend(successors(me.incarnation, others));
    ids.sort_unstable();
    ids.dedup();
    ids.retain(|id| *id != me.incarnation);
    ids
}

/// Instances to exchange heartbeats with in addition while this one has lost its path to the
/// upstreams and knows too few that requests can be forwarded to. Each `round` names the next ones
/// in the order of incarnations, since those that are monitored anyway may have lost it as well.
pub fn forward_candidates(
    me: Incarnation,
    others: &[InstanceEntry],
    round: u64,
) -> impl Iterator<Item = Incarnation> {
    let mut ring: Vec<Incarnation> = others.iter().map(|e| e.incarnation).collect();
    ring.sort_unstable_by_key(|id| (*id < me, *id));
    let count = ring.len();
    let rounds = (count / CANDIDATES_PER_ROUND).max(1) as u64;
    let skipped = usize::try_from(round % rounds).unwrap_or(0) * CANDIDATES_PER_ROUND;
    ring.into_iter().skip(skipped).take(CANDIDATES_PER_ROUND)
}

/// The instances whose incarnations follow that of `me`, wrapping around after the highest.
fn successors(me: Incarnation, others: &[InstanceEntry]) -> Vec<Incarnation> {
    let position = |e: &InstanceEntry| (e.incarnation < me, e.incarnation);
    let mut ring: Vec<&InstanceEntry> = others.iter().collect();
    if SUCCESSORS < ring.len() {
        ring.select_nth_unstable_by_key(SUCCESSORS, |e| position(e));
        ring.truncate(SUCCESSORS);
    }
    ring.into_iter().map(|e| e.incarnation).collect()
}
