//! How much may be sent a second time, over all instances.

use std::collections::VecDeque;
use std::time::Duration;

use jd_types::MonoTime;

/// The users' bound on repeats at one service, over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that, over all instances.
    pub slack: f64,
    /// The span that is counted over.
    pub window: Duration,
}

/// The part of the bound that is used. The rest is for instances that come and
/// go within a window, and for repeats that were counted as first attempts.
const USED_PART: f64 = 0.5;

/// One instance's part of the bound on repeats, for one service.
///
/// Guards against the retry storm: a service slows down, requests time out, and
/// each timeout becomes another request. Every instance counts its own requests
/// and keeps to the ratio by itself; the slack is divided among as many
/// instances as are known. No message is needed.
#[derive(Debug, Default)]
pub struct RetryBudget {
    firsts: VecDeque<MonoTime>,
    repeats: VecDeque<MonoTime>,
}

impl RetryBudget {
    /// A request was sent for the first time.
    pub fn record_first_attempt(&mut self, now: MonoTime, bound: &RetryLimit) {
        self.firsts.push_back(now);
        forget(&mut self.firsts, now, bound.window);
    }

    /// True if another repeat is within the bound; it then counts as made.
    pub fn try_retry(&mut self, now: MonoTime, bound: &RetryLimit, instances: usize) -> bool {
        forget(&mut self.firsts, now, bound.window);
        forget(&mut self.repeats, now, bound.window);
        let slack = bound.slack / instances.max(1) as f64;
        let allowed = (self.firsts.len() as f64 * bound.ratio + slack) * USED_PART;
        let fits = (self.repeats.len() as f64) < allowed;
        if fits {
            self.repeats.push_back(now);
        }
        fits
    }
}

fn forget(times: &mut VecDeque<MonoTime>, now: MonoTime, window: Duration) {
    while times.front().is_some_and(|t| now.since(*t) > window) {
        times.pop_front();
    }
}
