//! Plans with upstreams that send without end, callers that send late, instances out of step, and
//! retries of instances that know nothing of each other.

use std::time::Duration;

use jd_net::lock;

use crate::Fault;
use crate::LinkMode;
use crate::Recorder;
use crate::Step;
use crate::UpstreamMode;
use crate::Violation;
use crate::deadlines;
use crate::endless;
use crate::late_callers;
use crate::late_callers::STOP_AFTER;
use crate::plan;
use crate::turns::Load;

/// The interval at which an upstream without end sends, in milliseconds.
const ENDLESS_INTERVAL_MS: u8 = 10;
/// Upstreams that send without end. Each of their services has one that does not.
const ENDLESS_UPSTREAMS: [usize; 5] = [0, 1, 3, 4, 6];
/// The upstreams of streams.
const MODELS: std::ops::Range<usize> = 3..6;
/// Instances that a plan names; soaks with more have the others run on.
const INSTANCES: usize = 4;

/// What a plan is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Matter {
    Endless,
    LateCallers,
    OutOfStep,
    Retries,
}

/// The matters of a seed.
fn of(seed: u64) -> &'static [Matter] {
    match seed % 6 {
        0 => &[Matter::Endless],
        1 => &[Matter::LateCallers],
        2 => &[Matter::OutOfStep],
        3 => &[Matter::Retries],
        4 => &[Matter::Endless, Matter::LateCallers],
        _ => &[Matter::OutOfStep, Matter::Retries],
    }
}

/// True if upstreams of a seed get another software version, and callers take streams up.
pub(crate) fn has_versions(seed: u64) -> bool {
    of(seed).contains(&Matter::OutOfStep)
}

/// The load of a seed.
pub(crate) fn load(seed: u64) -> Load {
    match of(seed) {
        [Matter::Endless] => Load::ENDLESS,
        [Matter::Retries] => Load::RETRIES,
        [Matter::OutOfStep, ..] => Load::OUT_OF_STEP,
        _ => Load::LATE,
    }
}

/// Draws the matters of a seed, and faults beside them.
pub(crate) fn draw(rng: &mut fastrand::Rng, seed: u64) -> Vec<Step> {
    let mut steps = Vec::new();
    for matter in of(seed) {
        steps.extend(match matter {
            Matter::Endless => draw_endless(rng),
            Matter::LateCallers => draw_late_callers(rng),
            Matter::OutOfStep => draw_out_of_step(rng),
            Matter::Retries => draw_retries(rng),
        });
    }
    // An instance that another step holds is not alone.
    let has_alone = steps
        .iter()
        .any(|s| matches!(s.fault, Fault::Alone(..) | Fault::AloneInTurn(..)));
    let planned_only = rng.bool();
    let count = steps.len() + rng.usize(1..=4);
    while steps.len() < count {
        let fault = plan::draw_fault(rng);
        let is_drawn = match fault {
            // These deliver bytes late, so that what upstreams are told is out of date.
            Fault::UpstreamLink(..) => false,
            Fault::Kill(..) | Fault::Stop(_) | Fault::Pause(..) if has_alone => false,
            fault => fault.is_planned() || !planned_only,
        };
        let step = step(rng.u64(1_000..8_000), fault);
        steps.extend(is_drawn.then_some(step));
    }
    steps
}

fn step(at_ms: u64, fault: Fault) -> Step {
    let at = Duration::from_millis(at_ms);
    Step { at, fault }
}

fn draw_endless(rng: &mut fastrand::Rng) -> Vec<Step> {
    let steps = (0..rng.usize(3..=6)).map(|_| {
        let target = ENDLESS_UPSTREAMS[rng.usize(..ENDLESS_UPSTREAMS.len())];
        let span = Duration::from_millis(rng.u64(1_500..5_000));
        let fault = match rng.u8(..3) {
            0 => Fault::UpstreamLink(target, LinkMode::EndlessHeads, span),
            _ => Fault::Upstream(target, UpstreamMode::Endless(ENDLESS_INTERVAL_MS), span),
        };
        step(rng.u64(1_000..5_000), fault)
    });
    steps.collect()
}

/// Stops in turn, which overlap, each with callers that send a part of their request around it.
fn draw_late_callers(rng: &mut fastrand::Rng) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = rng.u64(800..1_500);
    let first = rng.usize(..INSTANCES);
    for n in 0..rng.usize(3..=6) {
        let instance = (first + n) % INSTANCES;
        steps.push(step(at, Fault::LateCallers(instance, rng.u64(..))));
        let stop = at + STOP_AFTER.as_millis() as u64;
        steps.push(step(stop, Fault::Stop(instance)));
        at += rng.u64(500..1_800);
    }
    steps
}

fn draw_out_of_step(rng: &mut fastrand::Rng) -> Vec<Step> {
    let times = [rng.u64(1_200..2_500), rng.u64(5_800..7_000)];
    let count = rng.usize(1..=2);
    let steps = times.into_iter().take(count).map(|at| {
        let spans = [rng.u64(1_000..1_400), rng.u64(1_500..2_600)];
        let spans = spans.map(Duration::from_millis);
        let fault = Fault::OutOfStep(rng.usize(..), rng.usize(MODELS), spans);
        step(at, fault)
    });
    steps.collect()
}

/// All upstreams of a service fail, while all instances are killed twice, or each one is alone in
/// turn, as the only one that runs or as the only one that does not stand still.
fn draw_retries(rng: &mut fastrand::Rng) -> Vec<Step> {
    let failing = if rng.bool() { 0..3 } else { MODELS };
    let span = Duration::from_millis(rng.u64(7_500..10_000));
    // An answer that says that the request failed is passed on.
    let mode = match rng.u8(..3) {
        0 => UpstreamMode::Sheds,
        1 => UpstreamMode::Truncates,
        _ => UpstreamMode::Misattributes,
    };
    let fails = |n| step(1_000, Fault::Upstream(n, mode, span));
    let mut steps: Vec<Step> = failing.map(fails).collect();
    if rng.u8(..3) == 0 {
        let span = Duration::from_millis(rng.u64(600..1_000));
        steps.push(step(1_200, Fault::AloneInTurn(rng.usize(4..=6), span)));
    } else if rng.bool() {
        let first = rng.u64(1_500..3_000);
        for at in [first, first + rng.u64(2_000..4_500)] {
            let down = Duration::from_millis(rng.u64(50..300));
            steps.push(step(at, Fault::KillAll(down)));
        }
    } else {
        let span = rng.u64(1_700..2_050);
        for n in 0..INSTANCES {
            let at = 1_200 + n as u64 * (span + 150);
            steps.push(step(at, Fault::Alone(n, Duration::from_millis(span))));
        }
    }
    steps
}

/// The violated guarantees that only these plans judge.
pub(crate) fn judge(recorder: &Recorder, instances: usize, load: Load) -> Vec<Violation> {
    let attempts = lock(&recorder.attempts);
    let requests = lock(&recorder.upstream_requests);
    let spans = lock(&recorder.spans);
    let mut violations = endless::judge(&attempts, &requests, &spans);
    let late = lock(&recorder.late);
    // Elsewhere instances are busy, and read requests late.
    if matches!(load, Load::OUT_OF_STEP | Load::RETRIES) {
        violations.extend(deadlines::judge(
            &attempts, &requests, &spans, &late, instances, load,
        ));
    }
    violations.extend(late_callers::judge(
        &attempts, &requests, &spans, instances, load,
    ));
    violations
}
