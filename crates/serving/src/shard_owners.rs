//! The instances that own a shard, in order of preference.

use std::cmp::Reverse;

use jd_types::Name;
use jd_types::spread;
use jd_types::spread_address;

use crate::InstanceEntry;
use crate::Shard;

/// The capacity of an instance for work beside that of its own callers, on a logarithmic scale:
/// each step is a doubling.
///
/// A fleet may have a few instances with many times the processor time and the bandwidth of the
/// others. If one of the others owned a shard, its requests would be late for all callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Strength(u32);

impl Strength {
    /// The strength of an instance with this part of a core, in percent, and this bandwidth. The
    /// smaller of the two numbers decides.
    pub fn new(core_percent: u32, link_mbps: u32) -> Strength {
        let limiting = core_percent.min(link_mbps).max(1);
        Strength(limiting.ilog2())
    }

    /// The step on the scale.
    pub fn step(self) -> u32 {
        self.0
    }

    /// The strength at a step of the scale.
    pub fn from_step(step: u32) -> Strength {
        Strength(step)
    }
}

/// Returns the first `limit` instances in the order in which they are asked to run the stages of a
/// request of `shard`: the strongest first, among these the ones in the shard's zone, and then by
/// rendezvous hashing of their addresses. All instances so agree on the owner without messages, and
/// the loss of an instance moves only the shards that it owned.
///
/// Addresses are hashed because they outlive a restart, so that the order stays the same. When all
/// instances were killed and restarted at once, and their identities were hashed, which are new at
/// each start, every instance ranked its own mixture of dead and new instances, and six of nine
/// instances acted as owners for three seconds.
///
/// No lease is needed: two owners at a time only fill smaller batches, and a piece that is run
/// twice does no harm.
pub fn rank_owners<'a>(
    shard: &Shard,
    instances: impl Iterator<Item = &'a InstanceEntry>,
    limit: usize,
) -> Vec<&'a InstanceEntry> {
    let hash = shard.hash();
    let far = |zone: &Name| shard.zone.as_ref().is_some_and(|z| z != zone);
    let mut ranked: Vec<_> = instances
        .map(|e| {
            let rank = spread(hash ^ spread_address(e.peer_address));
            (Reverse(e.strength), far(&e.zone), rank, e)
        })
        .collect();
    let order = |(strength, far, rank, e): &(_, _, _, &InstanceEntry)| {
        (*strength, *far, *rank, e.incarnation)
    };
    // Called often and over all instances, mostly for the first few: avoid sorting all of them.
    if limit < ranked.len() {
        ranked.select_nth_unstable_by_key(limit, order);
        ranked.truncate(limit);
    }
    ranked.sort_unstable_by_key(order);
    ranked.into_iter().map(|(_, _, _, e)| e).collect()
}
