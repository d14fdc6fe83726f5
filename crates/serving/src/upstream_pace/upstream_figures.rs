//! What all instances together observed of one start of an upstream.

use std::collections::HashMap;
use std::time::Duration;

use jd_types::Incarnation;
use jd_types::MonoTime;
use jd_types::splitmix64;

use crate::upstream_pace::middle::Middle;
use crate::upstream_pace::rate_sums::RateSums;

/// Groups into which reporting instances are divided, by hash. One instance is in one group, and
/// the figure is a median of groups.
const GROUPS: usize = 8;
/// The weight of a figure halves in this time, in seconds.
const HALF_LIFE_S: f64 = 4.0;
/// The same for the figure that shows lasting changes. A slow period of 0.6 s by a factor of 2.5
/// lowers it to 0.55 and two in succession to 0.44; 0.8 s of a pace lower by a factor of 4 to 0.37.
const SHORT_HALF_LIFE_S: f64 = 0.3;
/// The factor by which the pace has to change for earlier figures to be discarded. Above the 2.5 of
/// short slow periods, however many follow each other, and below the 4 of lasting ones.
const LASTING_FACTOR: f64 = 2.7;
/// How often the figure that a change is compared with is replaced by a later one. It is between one
/// and two intervals old, so that the change itself is not in it yet.
const BASELINE_INTERVAL: Duration = Duration::from_millis(600);
/// The least stream time for which a group counts, in seconds: a few events.
const MIN_GROUP_S: f64 = 0.1;
/// The least stream time that shows a lasting change, in seconds.
const MIN_CHANGE_S: f64 = 0.4;
/// The most stream time that one group adds to the weight of a figure, in seconds.
const MAX_GROUP_WEIGHT_S: f64 = 1.0;
/// The weight of the assumption that an upstream is like the median, in seconds of stream time. An
/// upstream that a single instance observes is therefore at most two thirds what that one reports.
const NEUTRAL_WEIGHT_S: f64 = 0.5;
/// The most stream time that is counted of one report, in seconds. Several times the period of a
/// heartbeat, for instances with several streams at one upstream.
const MAX_REPORT_S: f64 = 4.0;
/// The groups that have to show a change, where as many are known.
const CHANGE_GROUPS: usize = 2;
/// The relative difference up to which two halves count as equal: far above the rounding of sums.
const TIE: f64 = 1e-6;
/// How long a report on running streams counts: three heartbeats.
const RUNNING_LIFETIME: Duration = Duration::from_millis(1_200);
/// Instances whose running streams are remembered for one upstream. More than any upstream has slots.
const MAX_REPORTERS: usize = 256;
/// Running streams that are counted of one report. No upstream has more slots.
const MAX_RUNNING: u32 = 64;

/// What all instances together observed of one start of an upstream.
#[derive(Debug, Default)]
pub(crate) struct UpstreamFigures {
    updated_at: MonoTime,
    long: [RateSums; GROUPS],
    short: [RateSums; GROUPS],
    figure: Option<Figure>,
    baseline: Baseline,
    running: HashMap<Incarnation, (MonoTime, u32)>,
}

/// The events per second of one stream, and the stream time behind it when it was computed.
#[derive(Debug, Clone, Copy)]
struct Figure {
    per_s: f64,
    weight_s: f64,
}

/// Earlier rates that changes are compared with.
#[derive(Debug, Clone, Copy, Default)]
struct Baseline {
    taken_at: MonoTime,
    latest: Option<f64>,
    before: Option<f64>,
}

impl UpstreamFigures {
    /// Adds events that arrived at `per_s` in `seconds` until `age_s` ago. `neutral` is the median
    /// of the service. Returns the rates before and after it if they show a lasting change.
    pub(crate) fn add(
        &mut self,
        now: MonoTime,
        instance: Incarnation,
        per_s: f64,
        seconds: f64,
        age_s: f64,
        neutral: Option<f64>,
    ) -> Option<(f64, f64)> {
        if now.since(self.baseline.taken_at) >= BASELINE_INTERVAL {
            self.baseline = Baseline {
                taken_at: now,
                latest: self.rate(),
                before: self.baseline.latest,
            };
        }
        self.decay(now);
        let seconds = seconds.min(MAX_REPORT_S);
        let group = group_of(instance);
        self.long[group].add(per_s, seconds * remaining(age_s, HALF_LIFE_S));
        self.short[group].add(per_s, seconds * remaining(age_s, SHORT_HALF_LIFE_S));
        let change = self.lasting_change();
        if let Some((_, current)) = change {
            self.long = self.short;
            self.baseline.latest = Some(current);
            self.baseline.before = Some(current);
        }
        // Of two groups that contradict each other, the one closer to neutral counts.
        self.figure = median(&self.long).map(|middle| Figure {
            per_s: neutral.map_or(middle.mean(), |rate| middle.closest_to(rate)),
            weight_s: weight(&self.long, MAX_GROUP_WEIGHT_S),
        });
        change
    }

    /// Records how many streams an instance has running.
    pub(crate) fn set_running(&mut self, now: MonoTime, instance: Incarnation, streams: u32) {
        if streams == 0 {
            self.running.remove(&instance);
            return;
        }
        if self.running.len() >= MAX_REPORTERS && !self.running.contains_key(&instance) {
            self.running.retain(|_, (at, _)| is_current(now, *at));
        }
        if self.running.len() < MAX_REPORTERS || self.running.contains_key(&instance) {
            let streams = streams.min(MAX_RUNNING);
            self.running.insert(instance, (now, streams));
        }
    }

    /// Streams in progress, as recently reported.
    pub(crate) fn running(&self, now: MonoTime) -> u32 {
        let current = self.running.values().filter(|(at, _)| is_current(now, *at));
        current.map(|(_, streams)| streams).sum()
    }

    /// Events per second of one stream.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.figure.map(|f| f.per_s)
    }

    /// The weight of the figure against [`NEUTRAL_WEIGHT_S`], from 0 to 1.
    pub(crate) fn confidence(&self, now: MonoTime) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        let weight = self.figure.map_or(0.0, |f| f.weight_s) * remaining(age, HALF_LIFE_S);
        weight / (weight + NEUTRAL_WEIGHT_S)
    }

    fn decay(&mut self, now: MonoTime) {
        let age = now.since(self.updated_at).as_secs_f64();
        let (long, short) = (
            remaining(age, HALF_LIFE_S),
            remaining(age, SHORT_HALF_LIFE_S),
        );
        self.long.iter_mut().for_each(|sums| sums.scale(long));
        self.short.iter_mut().for_each(|sums| sums.scale(short));
        self.updated_at = self.updated_at.max(now);
    }

    /// The baseline and the short rate if they differ by more than [`LASTING_FACTOR`]. Where several
    /// groups are known, a single one does not show a change.
    fn lasting_change(&self) -> Option<(f64, f64)> {
        let groups = |sums: &[RateSums]| sums.iter().filter(|s| s.weight() >= MIN_GROUP_S).count();
        let enough = weight(&self.short, f64::MAX) >= MIN_CHANGE_S
            && groups(&self.short) >= groups(&self.long).min(CHANGE_GROUPS);
        let before = self.baseline.before?;
        let now = median(&self.short)?.closest_to(before);
        let factor = (before / now).max(now / before);
        (enough && factor > LASTING_FACTOR).then_some((before, now))
    }
}

/// The fraction of a weight that remains after `age_s`.
fn remaining(age_s: f64, half_life_s: f64) -> f64 {
    0.5_f64.powf(age_s / half_life_s)
}

fn is_current(now: MonoTime, at: MonoTime) -> bool {
    now.since(at) < RUNNING_LIFETIME
}

fn group_of(instance: Incarnation) -> usize {
    (splitmix64(instance.get()) % GROUPS as u64) as usize
}

/// The stream time of all groups, of which each counts for `max` at most.
fn weight(groups: &[RateSums], max: f64) -> f64 {
    groups.iter().map(|sums| sums.weight().min(max)).sum()
}

/// The median of the groups' rates, weighted by stream time. A group has at most the mean weight of
/// the others, so that no single one decides beside two others.
fn median(groups: &[RateSums]) -> Option<Middle> {
    let known = groups
        .iter()
        .filter_map(|sums| Some((sums.rate(MIN_GROUP_S)?, sums.weight())));
    let mut known: Vec<(f64, f64)> = known.collect();
    let total: f64 = known.iter().map(|(_, w)| w).sum();
    let others = known.len().saturating_sub(1);
    if others > 0 {
        for (_, weight) in &mut known {
            *weight = weight.min((total - *weight) / others as f64);
        }
    }
    known.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let half = known.iter().map(|(_, w)| w).sum::<f64>() / 2.0;
    let mut below = 0.0;
    let mut lower = None;
    for (rate, weight) in known {
        below += weight;
        // Between two halves of equal weight, both rates are in the middle.
        let is_tie = below <= half * (1.0 + TIE);
        match lower {
            Some(lower) => return Some(Middle { lower, upper: rate }),
            None if below < half * (1.0 - TIE) => {}
            None if is_tie => lower = Some(rate),
            None => {
                return Some(Middle {
                    lower: rate,
                    upper: rate,
                });
            }
        }
    }
    lower.map(|rate| Middle {
        lower: rate,
        upper: rate,
    })
}
