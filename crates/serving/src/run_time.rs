//! How long the requests of a route take, learned from those that ran lately.

use std::collections::VecDeque;
use std::time::Duration;

use jd_types::MonoTime;

/// Requests whose mean is taken.
const MAX_SAMPLES: usize = 64;
/// How long a request is remembered.
const LIFETIME: Duration = Duration::from_secs(60);
/// Requests that are needed for an estimate.
const MIN_SAMPLES: usize = 8;
/// The mean deviations above the mean within which nearly all requests end.
const DEVIATIONS: u32 = 4;
/// The factor on the time of a request that may run once: an answer that is cut off cannot be had
/// elsewhere.
const ONCE_FACTOR: u32 = 2;

/// How long the requests of a route took lately, from the send to the end of the answer.
#[derive(Debug, Default)]
pub struct RunTimes {
    samples: VecDeque<(MonoTime, Duration)>,
    /// Falling times, the longest first. Unlike the samples, they cover all of [`LIFETIME`], so that
    /// many short requests do not hide a long one.
    longest: VecDeque<(MonoTime, Duration)>,
}

/// The time that a request of a route needs from its send to the end of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTime {
    usual: Duration,
    longest: Duration,
}

impl RunTimes {
    /// Records a request whose answer has ended.
    pub fn record(&mut self, now: MonoTime, took: Duration) {
        while self.longest.back().is_some_and(|(_, t)| *t <= took) {
            self.longest.pop_back();
        }
        self.longest.push_back((now, took));
        let is_old = |(at, _): &(MonoTime, Duration)| now.since(*at) > LIFETIME;
        while self.longest.front().is_some_and(is_old) {
            self.longest.pop_front();
        }
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, took));
    }

    /// Records a request that was given up after `ran`. It tells something only if that is longer
    /// than all others took: without it, an upstream that no longer answers would look fast.
    pub fn record_unfinished(&mut self, now: MonoTime, ran: Duration) {
        if self.longest(now).is_none_or(|longest| longest < ran) {
            self.record(now, ran);
        }
    }

    /// The time that a request needs; none if too few have run lately.
    pub fn estimate(&self, now: MonoTime) -> Option<RunTime> {
        let count = u32::try_from(self.recent(now).count()).ok()?;
        if (count as usize) < MIN_SAMPLES {
            return None;
        }
        let mean = self.recent(now).sum::<Duration>() / count;
        let deviation = self.recent(now).map(|took| took.abs_diff(mean));
        let deviation = deviation.sum::<Duration>() / count;
        Some(RunTime {
            usual: mean + deviation * DEVIATIONS,
            longest: self.longest(now).unwrap_or(mean),
        })
    }

    /// The longest time of a request that is remembered.
    fn longest(&self, now: MonoTime) -> Option<Duration> {
        let mut times = self.longest.iter();
        let recent = times.find(|(at, _)| now.since(*at) <= LIFETIME);
        recent.map(|(_, took)| *took)
    }

    fn recent(&self, now: MonoTime) -> impl Iterator<Item = Duration> {
        let samples = self.samples.iter();
        let recent = samples.filter(move |(at, _)| now.since(*at) <= LIFETIME);
        recent.map(|(_, took)| *took)
    }
}

impl RunTime {
    /// The same for a request whose answer needs `first` until it begins.
    pub fn at_least(self, first: Duration) -> RunTime {
        RunTime {
            usual: self.usual.max(first),
            longest: self.longest.max(first),
        }
    }

    /// The time that is to be left before a request is sent. One that `is_late`, which another
    /// instance could have taken, is not sent if it may be one of the longer ones.
    pub fn needed(self, may_repeat: bool, is_late: bool) -> Duration {
        match (may_repeat, is_late) {
            (true, false) => self.usual,
            (true, true) => self.usual.max(self.longest),
            (false, _) => self.usual.max(self.longest) * ONCE_FACTOR,
        }
    }
}
