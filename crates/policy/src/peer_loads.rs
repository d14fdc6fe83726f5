//! What other instances have in flight at each upstream, added up.

use std::collections::HashMap;
use std::net::SocketAddr;

use jd_types::Incarnation;

/// What each other instance said last of its requests at upstreams, and the
/// sums over all of them.
#[derive(Debug, Default)]
pub struct PeerLoads {
    by_peer: HashMap<Incarnation, HashMap<SocketAddr, u32>>,
    sums: HashMap<SocketAddr, u32>,
}

impl PeerLoads {
    /// Replaces what `peer` said; returns the new sum of every upstream that
    /// this concerns.
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
        let fresh = loads.keys().filter(|a| !old.contains_key(*a));
        let concerned = old.keys().chain(fresh);
        let sum = |a: &SocketAddr| (*a, self.sums.get(a).copied().unwrap_or(0));
        let out = concerned.map(sum).collect();
        self.by_peer.insert(peer, loads);
        out
    }

    /// Forgets a peer that is gone.
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
