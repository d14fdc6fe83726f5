//! Which upstream a prompt goes to.

use std::net::SocketAddr;

use jd_types::hash_address;
use jd_types::splitmix64;

/// What a placement looks at of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptUpstream {
    /// Where it answers.
    pub address: SocketAddr,
    /// Requests of this instance that it works on.
    pub in_flight: u32,
    /// False if it fails or is left out for another reason.
    pub usable: bool,
}

/// The part of an upstream's slots that one instance fills before a prompt
/// goes to its second choice, in hundredths of its even share. A miss reads
/// thousands of tokens again, so that a longer wait is the cheaper of the two.
const SHARE_PERCENT: u32 = 150;
/// What an instance may always have at one upstream.
const SHARE_FLOOR: u32 = 6;

/// The upstreams in the order in which `session` tries them; those at their
/// bound come last, the unusable ones not at all.
///
/// The load that it answers: prompts of one session share thousands of tokens
/// that an upstream keeps. By rendezvous hashing all instances find the same
/// one without telling each other, and when one leaves only its own sessions
/// move. A popular session spreads to its second and third choice, always the
/// same ones.
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
            let rank = splitmix64(session ^ hash_address(u.address));
            (u.in_flight >= bound, rank, n)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, n)| n).collect()
}
