//! The order in which instances own a shard.

use std::net::SocketAddr;

use jd_serving::InstanceEntry;
use jd_serving::Shard;
use jd_serving::Strength;
use jd_serving::rank_owners;
use jd_types::Incarnation;
use jd_types::Name;

/// The order in which these instances own the only shard.
pub(crate) fn owner_order(peers: &[SocketAddr]) -> Vec<SocketAddr> {
    let instances: Vec<InstanceEntry> = peers
        .iter()
        .map(|address| InstanceEntry {
            incarnation: Incarnation::new(1),
            caller_address: *address,
            peer_address: *address,
            zone: Name::try_from("a").expect("a name"),
            strength: Strength::default(),
            leaving: false,
        })
        .collect();
    let shard = Shard {
        zone: None,
        part: 0,
        parts: 1,
    };
    let order = rank_owners(&shard, instances.iter(), peers.len());
    order.into_iter().map(|e| e.peer_address).collect()
}
