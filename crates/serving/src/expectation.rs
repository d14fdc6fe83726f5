//! How far off expected ends have been.

use std::collections::BTreeMap;
use std::time::Duration;

use jd_types::MonoTime;

/// The weight of a new sample: about the jobs of a burst's first second decide.
const WEIGHT: f64 = 1.0 / 24.0;
/// The most that one job counts for, in seconds. One that was done twice, or whose
/// upstream hung, says little of the next.
const MOST: f64 = 0.8;

/// How far off expected ends have been lately, by the length of the longest chain
/// of stages and by priority.
///
/// The load that it answers: a burst in which every job is taken that is expected
/// to be in time. What an expectation leaves out, at each stage again, such as
/// calls that leave half full and results that wait for room, made 60 of 100 of
/// these jobs late, by less than a tenth of their objective.
#[derive(Debug, Default)]
pub(crate) struct Expectation {
    off: BTreeMap<(usize, u8), f64>,
}

impl Expectation {
    /// What to add to an expected end.
    pub(crate) fn correction(&self, depth: usize, priority: u8) -> Duration {
        let off = self.off.get(&(depth, priority)).copied();
        Duration::from_secs_f64(off.unwrap_or_default().max(0.0))
    }

    /// A job that was expected to end at `expected`, uncorrected, ended at `now`.
    pub(crate) fn ended(&mut self, now: MonoTime, expected: MonoTime, depth: usize, priority: u8) {
        let late = now.since(expected).as_secs_f64();
        let early = expected.since(now).as_secs_f64();
        let sample = (late - early).clamp(-MOST, MOST);
        let off = self.off.entry((depth, priority)).or_default();
        *off += (sample - *off) * WEIGHT;
    }
}
