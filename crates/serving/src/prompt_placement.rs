//! Which upstream a prompt goes to.

use std::net::SocketAddr;

use jd_types::Name;
use jd_types::spread;
use jd_types::spread_address;

/// What a placement looks at of one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptUpstream {
    /// Where it answers.
    pub address: SocketAddr,
    /// Requests of this instance that it works on.
    pub in_flight: u32,
    /// False if it fails or is left out for another reason.
    pub usable: bool,
    /// Its part of the sessions, against the others'.
    pub weight: f64,
}

/// The part of an upstream's slots that one instance fills before a prompt
/// goes to its second choice, in hundredths of its even share. A miss reads
/// thousands of tokens again, so that a longer wait is the cheaper of the two.
const SHARE_PERCENT: u32 = 150;
/// The least weight of a zone: its upstreams are there and cost as much as others,
/// also while no stage can be done beside them.
const LEAST_WEIGHT: f64 = 0.25;
/// What an instance may always have at one upstream.
const SHARE_FLOOR: u32 = 6;

/// The upstreams in the order in which `session` tries them; those at their
/// bound come last, the unusable ones not at all.
///
/// The load that it answers: prompts of one session share thousands of tokens
/// that an upstream keeps. By rendezvous hashing all instances find the same
/// one without telling each other, and when one leaves only its own sessions
/// move. A popular session spreads to its second and third choice, always the
/// same ones. The weights decide how many sessions an upstream gets.
pub fn place_prompt(
    session: u64,
    upstreams: &[PromptUpstream],
    slots: u32,
    instances: u32,
) -> Vec<usize> {
    let even = slots.saturating_mul(SHARE_PERCENT) / 100 / instances.max(1);
    let bound = even.max(SHARE_FLOOR);
    let usable = upstreams.iter().enumerate().filter(|(_, u)| u.usable);
    let mut ranked: Vec<(bool, f64, usize)> = usable
        .map(|(n, u)| {
            let drawn = spread(session ^ spread_address(u.address));
            (u.in_flight >= bound, weighted(drawn, u.weight), n)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    ranked.into_iter().map(|(_, _, n)| n).collect()
}

/// The rank of an upstream by weighted rendezvous hashing: the time of the first
/// event of a process with that rate, so that each comes first as often as its
/// weight says, and a change of one weight moves only what it gains or loses.
fn weighted(drawn: u64, weight: f64) -> f64 {
    let unit = ((drawn >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
    -unit.ln() / weight.max(f64::MIN_POSITIVE)
}

/// The weights of the zones of `prompts`, upstreams that read results of stages,
/// by where the upstreams stand that make these: sessions go to each zone as its
/// stages can make results, so that these are read where they lie.
///
/// The load that it answers: of five upstreams of a stage two, two and one stand
/// in the zones, while the readers are even. The one made 40 in 100 of what was
/// read beside it, and the rest, three megabytes each, crossed zones.
pub fn zone_weights(prompts: &[&Name], makers: &[&Name]) -> Vec<f64> {
    let count = |all: &[&Name], zone: &Name| all.iter().filter(|z| **z == zone).count() as f64;
    let even = makers.len() as f64 / prompts.len().max(1) as f64;
    let weight = |zone: &&Name| {
        let own = count(makers, zone) / count(prompts, zone).max(1.0);
        (own / even.max(f64::MIN_POSITIVE)).max(LEAST_WEIGHT)
    };
    match makers.is_empty() {
        true => vec![1.0; prompts.len()],
        false => prompts.iter().map(weight).collect(),
    }
}
