//! Numbers and samples of the upstreams of services.

use std::net::SocketAddr;

use crate::upstream_table::ServiceTable;
use crate::upstream_table::UpstreamTable;

impl UpstreamTable {
    /// The slots of each upstream of a service, and the number of its upstreams.
    pub(crate) fn capacity(&self, service: &str) -> (u32, u32) {
        let table = self.services.get(service);
        table.map_or((1, 0), |t| {
            (t.slots, u32::try_from(t.ids.len()).unwrap_or(u32::MAX))
        })
    }

    /// Requests of this instance in progress at the upstreams of a service.
    pub(crate) fn in_flight(&self, service: &str) -> u32 {
        let table = self.services.get(service).into_iter();
        let upstreams = table.flat_map(|t| t.pool.upstreams());
        upstreams.map(|u| u.in_flight()).sum()
    }

    /// Number of upstreams that may be selected.
    pub(crate) fn count(&self) -> usize {
        self.services.values().map(|t| t.ids.len()).sum()
    }

    /// The addresses of at most `count` upstreams of different services, other than those
    /// `excluded`. Of these one is returned if there are no others.
    pub(crate) fn sample_addresses(
        &self,
        count: usize,
        excluded: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let mut sample: Vec<SocketAddr> = Vec::with_capacity(count);
        let tables: Vec<&ServiceTable> = self.services.values().collect();
        let offset = fastrand::usize(..tables.len().max(1));
        // Several rounds, so that a deployment with few services is sampled as well.
        for n in 0..tables.len() * count {
            let upstreams = tables[(offset + n) % tables.len()].pool.upstreams();
            let drawn = fastrand::choice(upstreams).map(|u| u.address);
            let drawn = drawn.filter(|a| !excluded.contains(a) && !sample.contains(a));
            sample.extend(drawn);
            if sample.len() == count {
                break;
            }
        }
        if sample.is_empty() {
            sample.extend(fastrand::choice(excluded));
        }
        sample
    }
}
