//! The order in which a session prefers the upstreams of its shard.

use jd_types::hash_address;
use jd_types::splitmix64;

use super::PlacementCandidate;

/// Exponent of an upstream's relative pace in its weight for sessions of long prompts. The pauses
/// that a long prompt causes grow with both its reading time and the events that fall into it.
const PACE_EXPONENT: i32 = 2;
/// The largest relative pace that counts, so that one wrong figure does not attract all sessions.
const MAX_RELATIVE_PACE: f64 = 2.0;

/// The rank of an upstream for a session; the lowest is preferred. Without weights this is the
/// order of [`crate::place_prompt`]. With them, the share of the sessions for which an upstream
/// comes first is proportional to its weight, and a change of one weight moves only sessions of
/// that upstream.
pub(crate) fn preference(
    session: u64,
    candidate: &PlacementCandidate,
    median_pace: Option<f64>,
) -> f64 {
    let hash = splitmix64(session ^ hash_address(candidate.address));
    // Exponentially distributed; the smallest of several with different rates is each one with a
    // probability proportional to its rate.
    let unit = hash as f64 / (u64::MAX as f64 + 1.0);
    let rank = -(-unit).ln_1p();
    match median_pace {
        Some(median) if median > 0.0 => {
            let relative = candidate.read_tokens_per_ms / median;
            let relative = relative.clamp(f64::MIN_POSITIVE.sqrt(), MAX_RELATIVE_PACE);
            rank / relative.powi(PACE_EXPONENT)
        }
        _ => rank,
    }
}

/// The median pace of reading.
pub(crate) fn median_pace(candidates: &[PlacementCandidate]) -> f64 {
    let mut paces: Vec<f64> = candidates.iter().map(|c| c.read_tokens_per_ms).collect();
    let middle = paces.len() / 2;
    match paces.len() {
        0 => 0.0,
        _ => *paces.select_nth_unstable_by(middle, f64::total_cmp).1,
    }
}
