//! Which instance fills the batches of a shard.

use std::cmp::Reverse;

use jd_types::Name;
use jd_types::hash_address;
use jd_types::splitmix64;

use crate::InstanceEntry;
use crate::Shard;

/// What an instance can carry beside its own callers, as a step of a scale on
/// which each step is a doubling.
///
/// The load that it answers: a fleet has a few instances with many times the
/// processor and the link of the others. An owner of batches on one of the
/// others is late for everybody.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Strength(u32);

impl Strength {
    /// The strength of an instance with this part of a core, in hundredths, and
    /// this link. The scarcer of the two decides.
    pub fn new(core_percent: u32, link_mbps: u32) -> Strength {
        let scarcer = core_percent.min(link_mbps).max(1);
        Strength(scarcer.ilog2())
    }

    /// The step as a number.
    pub fn step(self) -> u32 {
        self.0
    }

    /// The strength of that step.
    pub fn from_step(step: u32) -> Strength {
        Strength(step)
    }
}

/// The first `most` instances in the order in which they are asked to run the stages of
/// a request of `shard`: the strongest first, of these the ones in the shard's own
/// zone, and then by rendezvous hashing of their addresses, so that all instances
/// agree without a message, and the loss of one moves only what it had.
///
/// The load that it answers: all instances are killed and start anew at once. By
/// their identities, new at each start, every instance ranked a mixture of dead
/// and new ones, each its own, and six of nine filled batches for three seconds.
/// An address outlives a start, so the order stays what it was before.
///
/// No lease is needed. Two owners for a moment fill smaller batches; no piece
/// does harm when it is done twice.
pub fn rank_owners<'a>(
    shard: &Shard,
    instances: impl Iterator<Item = &'a InstanceEntry>,
    most: usize,
) -> Vec<&'a InstanceEntry> {
    let hash = shard.hash();
    let far = |zone: &Name| shard.zone.as_ref().is_some_and(|z| z != zone);
    let mut ranked: Vec<_> = instances
        .map(|e| {
            let rank = splitmix64(hash ^ hash_address(e.peer_address));
            (Reverse(e.strength), far(&e.zone), rank, e)
        })
        .collect();
    let order = |(strength, far, rank, e): &(_, _, _, &InstanceEntry)| {
        (*strength, *far, *rank, e.incarnation)
    };
    // Asked for often, of all instances, for the first few of them.
    if most < ranked.len() {
        ranked.select_nth_unstable_by_key(most, order);
        ranked.truncate(most);
    }
    ranked.sort_unstable_by_key(order);
    ranked.into_iter().map(|(_, _, _, e)| e).collect()
}
