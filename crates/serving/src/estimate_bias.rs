//! How far off expected ends have been.

use std::collections::BTreeMap;
use std::time::Duration;

use jd_types::MonoTime;

/// The weight of a new sample: about the jobs of a burst's first second decide.
const WEIGHT: f64 = 1.0 / 24.0;
/// The most that one job counts for, in seconds. One that was done twice, or whose
/// upstream hung, says little of the next.
const MOST: f64 = 0.4;
/// How long a correction lasts without a sample, longer than between two jobs of the
/// rarest kind while it has any load.
const LASTS: Duration = Duration::from_millis(500);
/// In how many seconds after that it halves. One so large that no job counts as in
/// time any more brings no samples, and would stay for good.
const HALVES_IN: f64 = 0.7;

/// How far off expected ends have been lately, by the length of the longest chain
/// of stages and by priority.
///
/// The load that it answers: a burst in which every job is taken that is expected
/// to be in time. What an expectation leaves out, at each stage again, such as
/// calls that leave half full and results that wait for room, made 60 of 100 of
/// these jobs late, by less than a tenth of their objective.
#[derive(Debug, Default)]
pub struct EstimateBias {
    off: BTreeMap<(usize, u8), Off>,
}

/// The mean of how far off ends were, in seconds, and when the last one was.
#[derive(Debug, Clone, Copy)]
struct Off {
    mean: f64,
    last: MonoTime,
}

impl EstimateBias {
    /// What to add to the expected end of a job of that length and priority.
    pub fn correction(&self, now: MonoTime, depth: usize, priority: u8) -> Duration {
        let Some(off) = self.off.get(&(depth, priority)) else {
            return Duration::ZERO;
        };
        let age = now.since(off.last).saturating_sub(LASTS).as_secs_f64();
        Duration::from_secs_f64(off.mean.max(0.0) * 0.5_f64.powf(age / HALVES_IN))
    }

    /// A job that was expected to end at `expected`, uncorrected, ended at `now`.
    pub fn record(&mut self, now: MonoTime, expected: MonoTime, depth: usize, priority: u8) {
        let late = now.since(expected).as_secs_f64();
        let early = expected.since(now).as_secs_f64();
        let sample = (late - early).clamp(-MOST, MOST);
        let forgotten = self.correction(now, depth, priority).as_secs_f64();
        let off = self.off.entry((depth, priority)).or_insert(Off {
            mean: 0.0,
            last: now,
        });
        let mean = match off.mean > 0.0 {
            true => forgotten,
            false => off.mean,
        };
        off.mean = mean + (sample - mean) * WEIGHT;
        off.last = now;
    }
}
