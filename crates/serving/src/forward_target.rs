//! Selects the instance that a request is forwarded to.

use std::net::SocketAddr;

use jd_types::Name;

/// Requests that one instance has forwarded to another at a time. A target may be asked by all
/// other instances of its zone at once, and refuses what is beyond its own bound.
const MAX_IN_FLIGHT: u32 = 64;

/// An instance that can connect to upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardTarget {
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Requests that this instance has forwarded to it and that have not ended.
    pub in_flight: u32,
}

impl ForwardTarget {
    /// Selects a target for an instance in `zone`: the less used of two random ones, in its own
    /// zone if one there has capacity left. Returns none if all are used to the bound.
    ///
    /// All instances that have lost their path choose from the same targets; the first or the least
    /// used one would get the requests of all.
    pub fn select<'a>(
        targets: &'a [ForwardTarget],
        zone: &Name,
        rng: &mut fastrand::Rng,
    ) -> Option<&'a ForwardTarget> {
        let usable = targets.iter().filter(|t| t.in_flight < MAX_IN_FLIGHT);
        let (near, far): (Vec<_>, Vec<_>) = usable.partition(|t| t.zone == *zone);
        let preferred = match near.is_empty() {
            true => far,
            false => near,
        };
        let first = rng.choice(&preferred)?;
        let second = rng.choice(&preferred)?;
        Some(match first.in_flight <= second.in_flight {
            true => first,
            false => second,
        })
    }
}
