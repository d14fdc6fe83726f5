//! Which instance fills the batches of a request's stages.

use jd_types::Incarnation;
use jd_types::spread;

/// Upstreams of one service that one owner fills calls for. An owner at the
/// users' small sites has five and spends 0.01 of a core on 48 jobs a second.
const UPSTREAMS_PER_OWNER: usize = 6;

/// How many owners share the upstreams, by the most that one service has.
pub fn shard_count(most_upstreams: usize) -> u64 {
    u64::try_from(most_upstreams.div_ceil(UPSTREAMS_PER_OWNER)).map_or(1, |n| n.max(1))
}

/// The shard, of `count`, that upstream number `place` of its service or the
/// request hashed to `place` belongs to.
pub const fn shard_of(place: u64, count: u64) -> u64 {
    place % if count == 0 { 1 } else { count }
}

/// The instances in the order in which they are asked to run the stages of a
/// request of `shard`: rendezvous hashing, so that all instances agree without
/// a message, and the loss of one moves only what it had.
///
/// No lease is needed. Two owners for a moment fill smaller batches; no piece
/// does harm when it is done twice.
pub fn owners(shard: u64, instances: impl Iterator<Item = Incarnation>) -> Vec<Incarnation> {
    let mut ranked: Vec<(u64, Incarnation)> = instances
        .map(|id| (spread(shard ^ spread(id.get())), id))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, id)| id).collect()
}
