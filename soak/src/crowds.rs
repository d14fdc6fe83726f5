//! Crowds of clients that misbehave, beside other faults.

use std::time::Duration;

use crate::Fault;
use crate::Misbehaviour;
use crate::Step;
use crate::plan;

/// What the clients of crowds do. Requests that could run are left out, since no caller records them.
const MISBEHAVIOURS: [Misbehaviour; 10] = [
    Misbehaviour::Silent,
    Misbehaviour::HeadBegun,
    Misbehaviour::BodyAnnounced,
    Misbehaviour::AlmostWhole,
    Misbehaviour::Drips,
    Misbehaviour::AlmostWholeChunked,
    Misbehaviour::TinyLastChunks,
    Misbehaviour::AnnouncedTooLarge,
    Misbehaviour::SentTooLarge,
    Misbehaviour::GoesAway,
];
/// The clients of a crowd. All connections of an instance are fewer than the most of them.
const CLIENTS: std::ops::RangeInclusive<usize> = 20..=400;
/// The crowds of a plan.
const CROWDS: std::ops::RangeInclusive<usize> = 3..=7;

/// The other faults of a plan.
const FAULTS: std::ops::RangeInclusive<usize> = 3..=6;

/// Draws crowds, which overlap, and faults beside them: planned work only, unless `has_faults`.
pub(crate) fn draw(rng: &mut fastrand::Rng, has_faults: bool) -> Vec<Step> {
    let mut steps = draw_crowds(rng);
    let count = steps.len() + rng.usize(FAULTS);
    while steps.len() < count {
        let fault = plan::draw_fault(rng);
        let at = Duration::from_millis(rng.u64(1_000..8_000));
        if has_faults || fault.is_planned() {
            steps.push(Step { at, fault });
        }
    }
    steps
}

fn draw_crowds(rng: &mut fastrand::Rng) -> Vec<Step> {
    let crowds = (0..rng.usize(CROWDS)).map(|_| {
        let misbehaviour = MISBEHAVIOURS[rng.usize(..MISBEHAVIOURS.len())];
        let span = Duration::from_millis(rng.u64(1_500..5_000));
        Step {
            at: Duration::from_millis(rng.u64(1_000..6_000)),
            fault: Fault::Crowd(rng.usize(..), misbehaviour, rng.usize(CLIENTS), span),
        }
    });
    crowds.collect()
}
