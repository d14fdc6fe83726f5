//! The randomly drawn faults of a seed.

use std::time::Duration;

use crate::Fault;
use crate::LinkMode;
use crate::StoreMode;
use crate::UpstreamMode;
use crate::crowds;
use crate::cuts;
use crate::early_ends;
use crate::hidden_ends;
use crate::matters;
use crate::odd_entries;
use crate::silences;
use crate::small_services;
use crate::turns;
use crate::turns::Load;

/// The period in which the faults begin; several of them overlap.
const FAULT_PERIOD: Duration = Duration::from_millis(7_000);
/// The delay before the first fault, in which instances and callers warm up.
const WARMUP: Duration = Duration::from_millis(1_000);
/// The fewest randomly drawn faults of a plan.
const MIN_FAULTS: usize = 7;
/// The most randomly drawn faults of a plan.
const MAX_FAULTS: usize = 14;
/// Plans from this seed on also kill all instances at once. The plans of earlier seeds
/// stay as they were when those seeds were run.
const KILL_ALL_FROM_SEED: u64 = 1_000;
/// Plans from this seed on also restart upstreams. Earlier seeds keep their plans.
const RESTARTS_FROM_SEED: u64 = 2_000;
/// Plans from this seed on include requests that crash upstreams, and a hot request.
/// Earlier seeds keep their plans.
const CRASHES_FROM_SEED: u64 = 3_000;
/// Plans from this seed on have upstreams announce rate limits. Earlier seeds keep their
/// plans.
const LIMITS_FROM_SEED: u64 = 4_000;
/// Plans from this seed on have upstreams announce in their answers that they are leaving
/// or ask for a backoff, and restore the store from a copy. Earlier seeds keep their plans.
const NOTICES_FROM_SEED: u64 = 5_000;
/// Plans from this seed on cut instances off from all upstreams. Earlier seeds keep their plans.
const CUTS_FROM_SEED: u64 = 6_000;
/// Plans from this seed on have upstreams of two software versions, answers without a length that
/// break off, and callers that take streams up. Earlier seeds keep their plans.
const VERSIONS_FROM_SEED: u64 = 7_000;
/// Plans from this seed on include parts of prompts that crash upstreams, and losses of power of
/// several upstreams. Earlier seeds keep their plans.
const PARTS_FROM_SEED: u64 = 8_000;
/// Plans from this seed on have several instances without a path to upstreams at a time, upstreams
/// that fail, hang and cut answers off, links between instances that break, and instances that are
/// killed or paused meanwhile, and no other faults.
const FORWARDS_FROM_SEED: u64 = 9_000;
/// Plans from this seed on have instances stopped in turn, under load; in odd ones all are killed as
/// well.
const TURNS_FROM_SEED: u64 = 10_000;
/// Plans from this seed on have sound upstreams fall silent; in odd ones beside unplanned faults.
const SILENCES_FROM_SEED: u64 = 11_000;
/// Plans from this seed on have answers that end early; in odd ones all instances are killed beside
/// upstreams of two software versions.
const EARLY_ENDS_FROM_SEED: u64 = 12_000;
/// Plans from this seed on have crowds of clients; in odd ones beside more than planned work.
const CROWDS_FROM_SEED: u64 = 13_000;
/// Plans from this seed on have one or two of the matters of [`matters`], by their remainder.
const MATTERS_FROM_SEED: u64 = 14_000;
/// Plans from this seed on have entries of other writers; in odd ones beside unplanned faults.
const ODD_ENTRIES_FROM_SEED: u64 = 15_000;
/// Plans from this seed on have upstreams whose ends do not show at once, and instances that lose the
/// store in turn.
const HIDDEN_ENDS_FROM_SEED: u64 = 16_000;
/// Plans from this seed on have requests that crash all upstreams of their service, which are back together,
/// and instances without a path to them.
const SMALL_SERVICES_FROM_SEED: u64 = 17_000;
/// Of the seeds with cuts, one in so many, with this remainder, has no other faults of instances or the
/// store, since what these keep from being served says nothing about a cut.
const CUTS_ONLY_EVERY: u64 = 4;
const CUTS_ONLY_REMAINDER: u64 = 2;
/// The duration of an announced limit, which outlasts most other faults.
const LIMIT_DURATION: Duration = Duration::from_millis(9_000);
/// The time for which a crashing request is sent repeatedly: until after the last other
/// fault.
const CRASHES_DURATION: Duration = Duration::from_millis(10_000);
/// Every seed that is a multiple of this has planned faults only, which must not cut any
/// request short.
const PLANNED_ONLY_EVERY: u64 = 4;

/// A fault and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// The time since the start of the callers.
    pub at: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

/// The steps of a seed in order of time.
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
        let is_odd = seed % 2 == 1;
        let drawn = match seed {
            SMALL_SERVICES_FROM_SEED.. => Some(small_services::draw(&mut rng, !is_odd)),
            HIDDEN_ENDS_FROM_SEED.. => Some(hidden_ends::draw(&mut rng, !is_odd)),
            ODD_ENTRIES_FROM_SEED.. => Some(odd_entries::draw(&mut rng, !is_odd)),
            MATTERS_FROM_SEED.. => Some(matters::draw(&mut rng, seed)),
            CROWDS_FROM_SEED.. => Some(crowds::draw(&mut rng, is_odd)),
            EARLY_ENDS_FROM_SEED.. => Some(early_ends::draw(&mut rng, is_odd)),
            SILENCES_FROM_SEED.. => Some(silences::draw(&mut rng, is_odd)),
            TURNS_FROM_SEED.. => Some(turns::draw(&mut rng, is_odd)),
            FORWARDS_FROM_SEED.. => Some(draw_forwards(&mut rng, is_odd)),
            _ => None,
        };
        if let Some(mut steps) = drawn {
            steps.sort_by_key(|s| s.at);
            return Plan { seed, steps };
        }
        let planned_only = seed.is_multiple_of(PLANNED_ONLY_EVERY);
        let count = rng.usize(MIN_FAULTS..=MAX_FAULTS);
        let mut steps: Vec<Step> = Vec::with_capacity(count);
        while steps.len() < count {
            let fault = draw_fault(&mut rng);
            if planned_only && !fault.is_planned() {
                continue;
            }
            let after = rng.u64(0..FAULT_PERIOD.as_millis() as u64);
            let at = WARMUP + Duration::from_millis(after);
            steps.push(Step { at, fault });
        }
        if seed >= KILL_ALL_FROM_SEED && !planned_only {
            let after = rng.u64(0..FAULT_PERIOD.as_millis() as u64);
            let down = Duration::from_millis(rng.u64(50..1_500));
            steps.push(Step {
                at: WARMUP + Duration::from_millis(after),
                fault: Fault::KillAll(down),
            });
        }
        if seed >= RESTARTS_FROM_SEED && !planned_only {
            for _ in 0..rng.usize(1..=2) {
                let after = rng.u64(0..FAULT_PERIOD.as_millis() as u64);
                steps.push(Step {
                    at: WARMUP + Duration::from_millis(after),
                    fault: Fault::RestartUpstream(rng.usize(..)),
                });
            }
        }
        if seed >= CRASHES_FROM_SEED && !planned_only {
            for number in 0..rng.u64(1..=2) {
                let after = rng.u64(0..FAULT_PERIOD.as_millis() as u64 / 2);
                steps.push(Step {
                    at: WARMUP + Duration::from_millis(after),
                    fault: Fault::CrashingRequest(number * 4 + rng.u64(..4), CRASHES_DURATION),
                });
            }
        }
        if seed >= LIMITS_FROM_SEED {
            for _ in 0..rng.usize(1..=3) {
                let after = rng.u64(0..FAULT_PERIOD.as_millis() as u64 / 2);
                steps.push(Step {
                    at: WARMUP + Duration::from_millis(after),
                    fault: Fault::Limit(rng.usize(..), rng.u32(1..=3), LIMIT_DURATION),
                });
            }
        }
        if seed >= NOTICES_FROM_SEED {
            steps.extend(draw_notices(&mut rng, planned_only));
        }
        if seed >= CUTS_FROM_SEED && !planned_only {
            for _ in 0..rng.usize(1..=3) {
                let after = rng.u64(0..FAULT_PERIOD.as_millis() as u64 / 2);
                steps.push(Step {
                    at: WARMUP + Duration::from_millis(after),
                    fault: draw_cut(&mut rng),
                });
            }
            if seed % CUTS_ONLY_EVERY == CUTS_ONLY_REMAINDER {
                steps.retain(|s| !cuts::concerns_instances(s.fault));
            }
        }
        if seed >= VERSIONS_FROM_SEED && !planned_only {
            steps.extend(draw_broken_streams(&mut rng));
        }
        if seed >= PARTS_FROM_SEED && !planned_only {
            steps.extend(draw_crashing_parts(&mut rng));
        }
        steps.sort_by_key(|s| s.at);
        Plan { seed, steps }
    }

    /// True if upstreams have two software versions and callers take streams up.
    pub fn has_versions(&self) -> bool {
        (VERSIONS_FROM_SEED..CROWDS_FROM_SEED).contains(&self.seed)
    }

    /// True if callers break some streams off and take streams up.
    pub(crate) fn takes_up(&self) -> bool {
        self.has_versions()
            || (MATTERS_FROM_SEED..ODD_ENTRIES_FROM_SEED).contains(&self.seed)
                && matters::has_versions(self.seed)
    }

    /// True if instances may end only when the plan has them end.
    pub(crate) fn has_matters(&self) -> bool {
        self.seed >= MATTERS_FROM_SEED
    }

    /// The load of upstreams and callers.
    pub(crate) fn load(&self) -> Load {
        match self.seed {
            HIDDEN_ENDS_FROM_SEED.. => Load::LIGHT,
            ODD_ENTRIES_FROM_SEED.. => Load::ODD_ENTRIES,
            MATTERS_FROM_SEED.. => matters::load(self.seed),
            CROWDS_FROM_SEED.. => Load::CROWDED,
            EARLY_ENDS_FROM_SEED.. => Load::LONG,
            SILENCES_FROM_SEED.. => Load::SILENT,
            TURNS_FROM_SEED.. => Load::HEAVY,
            _ => Load::LIGHT,
        }
    }

    /// The most items of a page of the store; none for as many as the platform's have.
    pub(crate) fn page_items(&self) -> Option<usize> {
        let has_short_pages = ODD_ENTRIES_FROM_SEED..HIDDEN_ENDS_FROM_SEED;
        has_short_pages
            .contains(&self.seed)
            .then(|| odd_entries::page_items(self.seed))
    }

    /// True if requests have prompts, whose parts they share.
    pub fn has_prompts(&self) -> bool {
        (PARTS_FROM_SEED..TURNS_FROM_SEED).contains(&self.seed)
    }

    /// True if callers also send a hot request.
    pub fn has_hot(&self) -> bool {
        self.seed >= CRASHES_FROM_SEED
    }

    /// The end of the period in which faults begin.
    pub fn end(&self) -> Duration {
        WARMUP + FAULT_PERIOD
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
        let after = rng.u64(0..FAULT_PERIOD.as_millis() as u64 / 2);
        let at = WARMUP + Duration::from_millis(after);
        Step { at, fault }
    };
    faults.into_iter().map(step).collect()
}

fn draw_broken_streams(rng: &mut fastrand::Rng) -> Vec<Step> {
    let mut faults = Vec::new();
    for _ in 0..rng.usize(2..=4) {
        let target = rng.usize(..);
        let span = Duration::from_millis(rng.u64(1_500..5_000));
        faults.push(Fault::UpstreamLink(target, LinkMode::Unframed, span));
        let span = Duration::from_millis(rng.u64(300..3_000));
        faults.push(Fault::Upstream(target, UpstreamMode::Truncates, span));
    }
    for _ in 0..rng.usize(1..=3) {
        let span = Duration::from_millis(rng.u64(50..200));
        faults.push(Fault::UpstreamLink(rng.usize(..), LinkMode::Resets, span));
        faults.push(Fault::Upgrade(rng.usize(..), rng.bool()));
    }
    let step = |fault| {
        let after = rng.u64(0..FAULT_PERIOD.as_millis() as u64 / 2);
        let at = WARMUP + Duration::from_millis(after);
        Step { at, fault }
    };
    faults.into_iter().map(step).collect()
}

/// Cuts, failing upstreams, and instances that are killed or paused. Of two seeds, one has all
/// upstreams of requests fail for most of the time, so that requests use all of their runs.
fn draw_forwards(rng: &mut fastrand::Rng, fails_all: bool) -> Vec<Step> {
    let period = FAULT_PERIOD.as_millis() as u64;
    let at = |ms| WARMUP + Duration::from_millis(ms);
    let mut steps = Vec::new();
    let first = rng.usize(..4);
    for n in 0..rng.usize(1..=3) {
        let span = Duration::from_millis(rng.u64(4_000..8_000));
        let mode = match rng.u8(0..4) {
            0 => LinkMode::Refuses,
            1 => LinkMode::Hangs,
            _ => LinkMode::RefusesNew,
        };
        steps.push(Step {
            at: at(rng.u64(0..period / 4)),
            fault: Fault::UpstreamsCut(first + n, mode, span),
        });
    }
    for _ in 0..rng.usize(3..=5) {
        let span = Duration::from_millis(rng.u64(500..2_500));
        let (target, is_killed) = (rng.usize(..), rng.bool());
        steps.push(Step {
            at: at(rng.u64(0..period)),
            fault: match is_killed {
                true => Fault::Kill(target, span / 4),
                false => Fault::Pause(target, span),
            },
        });
    }
    // The upstreams of requests are the first six.
    let failing = match fails_all {
        true => (0..6).chain(0..6).collect(),
        false => (0..rng.usize(4..=8))
            .map(|_| rng.usize(..))
            .collect::<Vec<usize>>(),
    };
    for (n, target) in failing.into_iter().enumerate() {
        let mode = match rng.u8(0..6) {
            0 if !fails_all => UpstreamMode::Sheds,
            0..3 => UpstreamMode::Hangs,
            _ if target % 6 < 3 => UpstreamMode::Fails,
            _ => UpstreamMode::Truncates,
        };
        let (begins, lasts) = match fails_all {
            true => (n as u64 / 6 * period / 2, 2_000..3_500),
            false => (rng.u64(0..period), 1_000..3_000),
        };
        let span = Duration::from_millis(rng.u64(lasts));
        steps.push(Step {
            at: at(begins + rng.u64(0..300)),
            fault: Fault::Upstream(target, mode, span),
        });
    }
    for _ in 0..rng.usize(1..=4) {
        let mode = match rng.u8(0..4) {
            0 => LinkMode::Refuses,
            1 => LinkMode::Blackholes,
            2 => LinkMode::BlackholesReplies,
            _ => LinkMode::Resets,
        };
        let span = Duration::from_millis(rng.u64(100..1_500));
        steps.push(Step {
            at: at(rng.u64(0..period)),
            fault: Fault::ForwardsCut(first + rng.usize(..3), mode, span),
        });
    }
    steps
}

fn draw_crashing_parts(rng: &mut fastrand::Rng) -> Vec<Step> {
    let mut faults = Vec::new();
    for number in 0..rng.u64(1..=2) {
        let part = number * 4 + rng.u64(..4);
        faults.push(Fault::CrashingPart(part, CRASHES_DURATION));
    }
    for _ in 0..rng.usize(1..=2) {
        faults.push(Fault::LosePower(rng.usize(..)));
    }
    let step = |fault| {
        let after = rng.u64(0..FAULT_PERIOD.as_millis() as u64 / 2);
        let at = WARMUP + Duration::from_millis(after);
        Step { at, fault }
    };
    faults.into_iter().map(step).collect()
}

pub(crate) fn draw_fault(rng: &mut fastrand::Rng) -> Fault {
    let target = rng.usize(..);
    let span = Duration::from_millis(rng.u64(300..3_000));
    match rng.u8(0..20) {
        0 | 1 => Fault::Kill(target, span / 2),
        2 | 3 => Fault::Stop(target),
        4 => Fault::Pause(target, span),
        5 => Fault::Reload(target),
        6 | 7 => Fault::Store(draw_store_mode(rng), span),
        8 => Fault::Compact,
        9..=12 => Fault::Upstream(target, draw_upstream_mode(rng), span),
        13 | 14 => Fault::UpstreamLink(target, draw_link_mode(rng), span),
        15 => Fault::StoreLink(target, draw_link_mode(rng), span),
        16 => Fault::Drain(target),
        17 => Fault::ReplaceUpstream(target),
        18 if rng.bool() => Fault::Revoke,
        18 => Fault::RevokeDuringPartition(target),
        _ => Fault::Configure,
    }
}

fn draw_cut(rng: &mut fastrand::Rng) -> Fault {
    let mode = match rng.u8(0..3) {
        0 => LinkMode::Refuses,
        1 => LinkMode::RefusesNew,
        _ => LinkMode::Hangs,
    };
    let span = Duration::from_millis(rng.u64(3_500..7_000));
    Fault::UpstreamsCut(rng.usize(..), mode, span)
}

fn draw_store_mode(rng: &mut fastrand::Rng) -> StoreMode {
    match rng.u8(0..4) {
        0 => StoreMode::Refuses,
        1 => StoreMode::Hangs,
        2 => StoreMode::Slow(Duration::from_millis(rng.u64(50..400))),
        _ => StoreMode::LosesReplies,
    }
}

fn draw_upstream_mode(rng: &mut fastrand::Rng) -> UpstreamMode {
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
