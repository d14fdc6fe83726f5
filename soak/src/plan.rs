//! The faults of a seed.

use std::time::Duration;

use crate::Fault;
use crate::LinkMode;
use crate::StoreMode;
use crate::UpstreamMode;

/// From the first fault to the last. Several overlap in it.
const FAULTS_LAST: Duration = Duration::from_millis(7_000);
/// Until instances and callers are there.
const LEAD: Duration = Duration::from_millis(1_000);
/// The fewest faults of a seed.
const LEAST_FAULTS: usize = 7;
/// The most.
const MOST_FAULTS: usize = 14;
/// From this seed on a plan may also kill all instances at once. Those of the earlier
/// ones stay as they were when they were played.
const KILLS_ALL_FROM: u64 = 1_000;
/// From this seed on upstreams start again as well. Earlier seeds keep their plans.
const STARTS_AGAIN_FROM: u64 = 2_000;
/// From this seed on requests come that end upstreams, and a hot one. Earlier seeds keep
/// their plans.
const BAD_FROM: u64 = 3_000;
/// From this seed on upstreams name limits. Earlier seeds keep their plans.
const LIMITS_FROM: u64 = 4_000;
/// From this seed on upstreams say in their answers that they leave or want nothing for a
/// while, and the store comes back from a copy. Earlier seeds keep their plans.
const NOTICES_FROM: u64 = 5_000;
/// How long one names a limit: beyond most other faults.
const LIMIT_LASTS: Duration = Duration::from_millis(9_000);
/// How long such a request comes again: beyond the last other fault.
const BAD_LASTS: Duration = Duration::from_millis(10_000);
/// Every so many seeds bring planned work only, which may cut nothing short.
const PLANNED_ONLY_EVERY: u64 = 4;

/// A fault and when it comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// From the start of the callers.
    pub at: Duration,
    /// What is done.
    pub fault: Fault,
}

/// What a seed does, in order of time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Its steps.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed);
        let planned_only = seed.is_multiple_of(PLANNED_ONLY_EVERY);
        let count = rng.usize(LEAST_FAULTS..=MOST_FAULTS);
        let mut steps: Vec<Step> = Vec::with_capacity(count);
        while steps.len() < count {
            let fault = draw_fault(&mut rng);
            if planned_only && !fault.is_planned() {
                continue;
            }
            let after = rng.u64(0..FAULTS_LAST.as_millis() as u64);
            let at = LEAD + Duration::from_millis(after);
            steps.push(Step { at, fault });
        }
        if seed >= KILLS_ALL_FROM && !planned_only {
            let after = rng.u64(0..FAULTS_LAST.as_millis() as u64);
            let down = Duration::from_millis(rng.u64(50..1_500));
            steps.push(Step {
                at: LEAD + Duration::from_millis(after),
                fault: Fault::KillAll(down),
            });
        }
        if seed >= STARTS_AGAIN_FROM && !planned_only {
            for _ in 0..rng.usize(1..=2) {
                let after = rng.u64(0..FAULTS_LAST.as_millis() as u64);
                steps.push(Step {
                    at: LEAD + Duration::from_millis(after),
                    fault: Fault::RestartUpstream(rng.usize(..)),
                });
            }
        }
        if seed >= BAD_FROM && !planned_only {
            for number in 0..rng.u64(1..=2) {
                let after = rng.u64(0..FAULTS_LAST.as_millis() as u64 / 2);
                steps.push(Step {
                    at: LEAD + Duration::from_millis(after),
                    fault: Fault::CrashingRequest(number * 4 + rng.u64(..4), BAD_LASTS),
                });
            }
        }
        if seed >= LIMITS_FROM {
            for _ in 0..rng.usize(1..=3) {
                let after = rng.u64(0..FAULTS_LAST.as_millis() as u64 / 2);
                steps.push(Step {
                    at: LEAD + Duration::from_millis(after),
                    fault: Fault::Limit(rng.usize(..), rng.u32(1..=3), LIMIT_LASTS),
                });
            }
        }
        if seed >= NOTICES_FROM {
            steps.extend(draw_notices(&mut rng, planned_only));
        }
        steps.sort_by_key(|s| s.at);
        Plan { seed, steps }
    }

    /// True if callers also send a hot request.
    pub fn has_hot(&self) -> bool {
        self.seed >= BAD_FROM
    }

    /// When the last of them has passed, stops and restarts included.
    pub fn end(&self) -> Duration {
        LEAD + FAULTS_LAST
    }
}

fn draw_notices(rng: &mut fastrand::Rng, planned_only: bool) -> Vec<Step> {
    let mut faults = vec![Fault::DrainByAnswers(rng.usize(..))];
    if !planned_only {
        for _ in 0..rng.usize(1..=3) {
            let mode = UpstreamMode::RequestsBackoff(rng.u8(1..=3));
            let span = Duration::from_millis(rng.u64(300..3_000));
            faults.push(Fault::Upstream(rng.usize(..), mode, span));
        }
        for _ in 0..rng.usize(1..=2) {
            let age = Duration::from_millis(rng.u64(1_000..4_000));
            faults.push(Fault::Restore(age));
        }
    }
    let step = |fault| {
        let after = rng.u64(0..FAULTS_LAST.as_millis() as u64 / 2);
        let at = LEAD + Duration::from_millis(after);
        Step { at, fault }
    };
    faults.into_iter().map(step).collect()
}

fn draw_fault(rng: &mut fastrand::Rng) -> Fault {
    let place = rng.usize(..);
    let span = Duration::from_millis(rng.u64(300..3_000));
    match rng.u8(0..20) {
        0 | 1 => Fault::Kill(place, span / 2),
        2 | 3 => Fault::Stop(place),
        4 => Fault::Pause(place, span),
        5 => Fault::Reload(place),
        6 | 7 => Fault::Store(draw_store_mode(rng), span),
        8 => Fault::Compact,
        9..=12 => Fault::Upstream(place, draw_engine_mode(rng), span),
        13 | 14 => Fault::UpstreamLink(place, draw_link_mode(rng), span),
        15 => Fault::StoreLink(place, draw_link_mode(rng), span),
        16 => Fault::Drain(place),
        17 => Fault::ReplaceUpstream(place),
        18 if rng.bool() => Fault::Revoke,
        18 => Fault::RevokeDuringPartition(place),
        _ => Fault::Configure,
    }
}

fn draw_store_mode(rng: &mut fastrand::Rng) -> StoreMode {
    match rng.u8(0..4) {
        0 => StoreMode::Refuses,
        1 => StoreMode::Hangs,
        2 => StoreMode::Slow(Duration::from_millis(rng.u64(50..400))),
        _ => StoreMode::LosesReplies,
    }
}

fn draw_engine_mode(rng: &mut fastrand::Rng) -> UpstreamMode {
    match rng.u8(0..6) {
        0 => UpstreamMode::Sheds,
        1 => UpstreamMode::Fails,
        2 => UpstreamMode::Hangs,
        3 => UpstreamMode::Truncates,
        _ => UpstreamMode::Misattributes,
    }
}

fn draw_link_mode(rng: &mut fastrand::Rng) -> LinkMode {
    match rng.u8(0..5) {
        0 => LinkMode::Resets,
        1 => LinkMode::BlackholesOpen,
        2 => LinkMode::Blackholes,
        3 => LinkMode::BlackholesReplies,
        _ => LinkMode::Delays(Duration::from_millis(rng.u64(20..300))),
    }
}
