//! Selects the upstream for a prompt.

use std::net::SocketAddr;

use jd_types::spread;
use jd_types::spread_address;

/// The state of one upstream that matters for the placement of prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptUpstream {
    /// The address that it answers at.
    pub address: SocketAddr,
    /// Requests of this instance in progress there.
    pub in_flight: u32,
    /// False if it is failing or excluded for another reason.
    pub usable: bool,
}

/// The number of requests that one instance sends to an upstream before a prompt goes to its
/// second choice, in percent of the instance's even share of slots. A cache miss processes
/// thousands of tokens again, so that a longer wait is cheaper.
const SHARE_PERCENT: u32 = 150;
/// Requests that an instance may always have in progress at one upstream.
const SHARE_FLOOR: u32 = 6;

/// Returns the indices of the upstreams in the order in which `session` tries them. Upstreams
/// at their bound come last; unusable ones are left out.
///
/// The prompts of one session share thousands of tokens that an upstream caches. With
/// rendezvous hashing all instances choose the same upstream without communication, and when an
/// upstream leaves, only its own sessions move. A busy session spreads to its second and third
/// choice, which are always the same.
pub fn place_prompt(
    session: u64,
    upstreams: &[PromptUpstream],
    slots: u32,
    instances: u32,
) -> Vec<usize> {
    let even = slots.saturating_mul(SHARE_PERCENT) / 100 / instances.max(1);
    let bound = even.max(SHARE_FLOOR);
    let usable = upstreams.iter().enumerate().filter(|(_, u)| u.usable);
    let mut ranked: Vec<(bool, u64, usize)> = usable
        .map(|(n, u)| {
            let rank = spread(session ^ spread_address(u.address));
            (u.in_flight >= bound, rank, n)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, n)| n).collect()
}
