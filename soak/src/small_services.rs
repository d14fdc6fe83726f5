//! Requests that crash all upstreams of their service, which are back together, while some instances have
//! no path to upstreams.

use std::time::Duration;

use crate::Fault;
use crate::LinkMode;
use crate::Step;

/// Instances that a plan names; soaks with more have the others run on.
const INSTANCES: usize = 4;
/// The kinds of crashing requests whose upstreams crash before their answers are whole.
const CRASHING_KINDS: u64 = 8;
/// How long crashing requests are sent.
const SENT_FOR: Duration = Duration::from_millis(13_000);

/// One to three crashing requests, each of one to four callers at a time, upstreams that stay down for
/// seconds, a loss of power, and one or two instances that are cut off from upstreams in turn. Unless
/// `planned_only`, instances are killed and paused as well, and lose the store.
pub(crate) fn draw(rng: &mut fastrand::Rng, planned_only: bool) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut add = |at_ms: u64, fault| {
        let at = Duration::from_millis(at_ms);
        steps.push(Step { at, fault });
    };
    let downtime = Duration::from_millis(rng.u64(2_500..4_500));
    add(0, Fault::CrashDowntime(downtime));
    let first = rng.u64(..CRASHING_KINDS);
    for n in 0..rng.u64(1..=3) {
        let number = (first + 3 * n) % CRASHING_KINDS;
        let at = rng.u64(1_000..3_000);
        for copy in 0..rng.u64(1..=4) {
            let seed = 100 * number + copy;
            add(at, Fault::CrashingCopies(number, seed, SENT_FOR));
        }
    }
    for n in 0..rng.u64(1..=2) {
        let mode = match rng.bool() {
            true => LinkMode::Refuses,
            false => LinkMode::RefusesNew,
        };
        let span = Duration::from_millis(rng.u64(2_000..5_000));
        let at = 800 + n * 5_500;
        add(at, Fault::UpstreamsCut(rng.usize(..INSTANCES), mode, span));
    }
    add(rng.u64(1_000..9_000), Fault::Configure);
    add(rng.u64(1_000..9_000), Fault::Reload(rng.usize(..)));
    add(rng.u64(1_000..9_000), Fault::Stop(rng.usize(..)));
    if rng.bool() {
        add(rng.u64(3_000..9_000), Fault::LosePower(rng.usize(..)));
    }
    if !planned_only {
        let down = Duration::from_millis(rng.u64(50..800));
        add(rng.u64(1_000..9_000), Fault::Kill(rng.usize(..), down));
        for _ in 0..rng.usize(1..=2) {
            let span = Duration::from_millis(rng.u64(200..2_900));
            add(rng.u64(1_000..9_000), Fault::Pause(rng.usize(..), span));
        }
        let span = Duration::from_millis(rng.u64(1_000..4_000));
        let lost = rng.usize(..INSTANCES);
        add(
            rng.u64(1_000..9_000),
            Fault::StoreLink(lost, LinkMode::Refuses, span),
        );
    }
    steps
}
