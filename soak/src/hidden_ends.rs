//! Upstreams whose ends do not show at once, while instances lose the store in turn.

use std::time::Duration;

use crate::Fault;
use crate::LinkMode;
use crate::Step;
use crate::UpstreamEnd;

/// Instances that a plan names; soaks with more have the others run on.
const INSTANCES: usize = 4;
/// The kinds of crashing requests: four that break off, and four whose answers are whole.
const CRASHING_KINDS: u64 = 12;
/// How long crashing requests are sent.
const SENT_FOR: Duration = Duration::from_millis(10_000);

/// One to three requests that crash upstreams, in one of the ways of [`UpstreamEnd`], some from callers
/// that leave. The store is taken from each instance in turn, which so includes the one that decides.
/// Unless `planned_only`, instances are killed and paused as well, and once all together.
pub(crate) fn draw(rng: &mut fastrand::Rng, planned_only: bool) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut add = |at_ms: u64, fault| {
        let at = Duration::from_millis(at_ms);
        steps.push(Step { at, fault });
    };
    let lasts = Duration::from_millis(rng.u64(50..1_000));
    add(
        0,
        Fault::UpstreamEnds(match rng.u8(0..4) {
            0 => UpstreamEnd::Refuses,
            1 => UpstreamEnd::Closes,
            2 => UpstreamEnd::ClosesFor(lasts),
            _ => UpstreamEnd::HoldsFor(lasts),
        }),
    );
    for number in 0..rng.u64(1..=3) {
        let number = number + 3 * rng.u64(..CRASHING_KINDS / 3);
        let fault = match rng.bool() {
            true => Fault::CrashingRequest(number, SENT_FOR),
            false => {
                let stay = Duration::from_millis(rng.u64(15..200));
                Fault::LeavingCallers(number, stay, SENT_FOR)
            }
        };
        add(rng.u64(1_000..3_000), fault);
    }
    let first = rng.usize(..INSTANCES);
    let span = rng.u64(1_500..3_500);
    for n in 0..INSTANCES {
        let mode = match rng.u8(0..3) {
            0 => LinkMode::Refuses,
            1 => LinkMode::BlackholesReplies,
            _ => LinkMode::Blackholes,
        };
        let at = 500 + n as u64 * span;
        let span = Duration::from_millis(span + rng.u64(0..1_000));
        add(at, Fault::StoreLink((first + n) % INSTANCES, mode, span));
    }
    add(rng.u64(1_000..8_000), Fault::Configure);
    add(rng.u64(1_000..8_000), Fault::Reload(rng.usize(..)));
    add(rng.u64(1_000..8_000), Fault::Stop(rng.usize(..)));
    if !planned_only {
        for _ in 0..rng.usize(1..=3) {
            let span = Duration::from_millis(rng.u64(200..2_900));
            add(rng.u64(1_000..8_000), Fault::Pause(rng.usize(..), span));
        }
        let down = Duration::from_millis(rng.u64(50..800));
        add(rng.u64(1_000..8_000), Fault::Kill(rng.usize(..), down));
        if rng.bool() {
            add(rng.u64(2_000..6_000), Fault::KillAll(down));
        }
    }
    steps
}
