//! Limits retries across all instances.

use std::collections::VecDeque;
use std::time::Duration;

use jd_types::MonoTime;

use crate::RetryShare;

/// The limit on retries at one service, across all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries for each request.
    pub ratio: f64,
    /// Additional retries, across all instances.
    pub slack: f64,
    /// The time window that is counted over.
    pub window: Duration,
}

/// The fraction of the ratio that is used. The requests that a retry is allowed by may have arrived
/// in the window before the one that the retry is counted in.
const USED_FRACTION: f64 = 0.5;

/// One instance's share of the retry limit of one service.
///
/// Guards against retry storms, in which a service slows down, requests time out, and each
/// timeout causes another request. Every instance counts its own requests and keeps to the
/// ratio on its own; of the slack it has a [`RetryShare`]. No communication is needed.
///
/// In any window, all instances together send at most `ratio * R + slack` retries, where R is the
/// number of requests in that window or the one before, whichever has more: each retry is allowed
/// by half of the ratio of the requests of its own process in the window that ends with it, which
/// lies within these two.
#[derive(Debug, Default)]
pub struct RetryBudget {
    first_attempts: VecDeque<MonoTime>,
    retries: VecDeque<MonoTime>,
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: MonoTime, limit: &RetryLimit) {
        self.first_attempts.push_back(now);
        remove_expired(&mut self.first_attempts, now, limit.window);
    }

    /// Returns true and counts a retry if it is within the limit.
    pub fn try_retry(&mut self, now: MonoTime, limit: &RetryLimit, share: RetryShare) -> bool {
        remove_expired(&mut self.first_attempts, now, limit.window);
        remove_expired(&mut self.retries, now, limit.window);
        let earned = self.first_attempts.len() as f64 * limit.ratio * USED_FRACTION;
        let fits = (self.retries.len() + 1) as f64 <= earned + share.slack(limit);
        if fits {
            self.retries.push_back(now);
        }
        fits
    }

    /// Takes back the latest retry, because nothing was sent.
    pub fn take_back(&mut self) {
        self.retries.pop_back();
    }
}

fn remove_expired(times: &mut VecDeque<MonoTime>, now: MonoTime, window: Duration) {
    while times.front().is_some_and(|t| now.since(*t) > window) {
        times.pop_front();
    }
}
