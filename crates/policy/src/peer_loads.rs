//! In-flight requests of other instances at each upstream.

use std::collections::HashMap;
use std::net::SocketAddr;

use jd_types::Incarnation;

/// The latest in-flight counts that each other instance reported for its upstreams, and
/// their sums over all instances.
#[derive(Debug, Default)]
pub struct PeerLoads {
    by_peer: HashMap<Incarnation, HashMap<SocketAddr, u32>>,
    sums: HashMap<SocketAddr, u32>,
}

impl PeerLoads {
    /// Replaces the counts reported by `peer`. Returns the new sum of every upstream that
    /// the old or the new report contains.
    pub fn replace(
        &mut self,
        peer: Incarnation,
        loads: HashMap<SocketAddr, u32>,
    ) -> Vec<(SocketAddr, u32)> {
        let old = self.by_peer.remove(&peer).unwrap_or_default();
        for (address, load) in &old {
            self.subtract(*address, *load);
        }
        for (address, load) in &loads {
            *self.sums.entry(*address).or_insert(0) += load;
        }
        let added = loads.keys().filter(|a| !old.contains_key(*a));
        let changed = old.keys().chain(added);
        let sum = |a: &SocketAddr| (*a, self.sums.get(a).copied().unwrap_or(0));
        let updated = changed.map(sum).collect();
        self.by_peer.insert(peer, loads);
        updated
    }

    /// Removes a peer that is gone, and its counts.
    pub fn remove(&mut self, peer: Incarnation) {
        self.replace(peer, HashMap::new());
        self.by_peer.remove(&peer);
    }

    fn subtract(&mut self, address: SocketAddr, load: u32) {
        if let Some(sum) = self.sums.get_mut(&address) {
            *sum = sum.saturating_sub(load);
            if *sum == 0 {
                self.sums.remove(&address);
            }
        }
    }
}
