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
    retries: VecDeque<(RetryId, MonoTime)>,
    /// How many retries were ever counted.
    counted: u64,
}

/// Identifies a retry that a budget has counted.
#[derive(Debug, PartialEq, Eq)]
pub struct RetryId(u64);

impl RetryBudget {
    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, now: MonoTime, limit: &RetryLimit) {
        self.first_attempts.push_back(now);
        remove_expired(&mut self.first_attempts, now, limit.window);
    }

    /// Counts a retry if it is within the limit; none if it is not.
    pub fn try_retry(
        &mut self,
        now: MonoTime,
        limit: &RetryLimit,
        share: RetryShare,
    ) -> Option<RetryId> {
        remove_expired(&mut self.first_attempts, now, limit.window);
        let is_over = |at: MonoTime| now.since(at) > limit.window;
        while self.retries.front().is_some_and(|(_, at)| is_over(*at)) {
            self.retries.pop_front();
        }
        let earned = self.first_attempts.len() as f64 * limit.ratio * USED_FRACTION;
        let fits = (self.retries.len() + 1) as f64 <= earned + share.slack(limit);
        if !fits {
            return None;
        }
        self.counted += 1;
        self.retries.push_back((RetryId(self.counted), now));
        Some(RetryId(self.counted))
    }

    /// Gives a retry back, because nothing was sent. Another retry would leave the window at
    /// another time.
    pub fn give_back(&mut self, retry: RetryId) {
        self.retries.retain(|(id, _)| *id != retry);
    }
}

fn remove_expired(times: &mut VecDeque<MonoTime>, now: MonoTime, window: Duration) {
    while times.front().is_some_and(|t| now.since(*t) > window) {
        times.pop_front();
    }
}
