//! When this instance may request permits again that it was denied.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use jd_net::lock;
use jd_serving::RequestRate;
use jd_types::MonoTime;

/// The longest and the shortest time until a denied permit is requested again. The wait is
/// bounded because other requesters may not use the permits that are due to them.
const MAX_REQUEST_DELAY: Duration = Duration::from_millis(500);
const MIN_REQUEST_DELAY: Duration = Duration::from_millis(20);
/// The latest retry time that a caller is given.
const MAX_CALLER_DELAY: Duration = Duration::from_secs(10);
/// The number of entries above which expired ones are removed.
const CLEANUP_THRESHOLD: usize = 512;

#[derive(Debug, Clone, Copy)]
struct PermitRetry {
    request_from: MonoTime,
    /// The retry time of the next caller that is refused.
    next_caller: MonoTime,
}

/// When this instance may request permits again that it was denied, by upstream.
#[derive(Debug, Default)]
pub(crate) struct PermitRetries {
    by_id: Mutex<HashMap<CompactString, PermitRetry>>,
}

impl PermitRetries {
    /// Records that there is no permit for an upstream until `wait` is over.
    pub(crate) fn record_denied(&self, now: MonoTime, id: &str, wait: Duration) {
        let mut by_id = lock(&self.by_id);
        if by_id.len() > CLEANUP_THRESHOLD {
            by_id.retain(|_, retry| now < retry.next_caller);
        }
        let retry = PermitRetry {
            request_from: now + wait.clamp(MIN_REQUEST_DELAY, MAX_REQUEST_DELAY),
            next_caller: now + wait,
        };
        by_id.insert(id.into(), retry);
    }

    /// True if a permit may be requested now.
    pub(crate) fn may_request(&self, now: MonoTime, id: &str) -> bool {
        let by_id = lock(&self.by_id);
        by_id.get(id).is_none_or(|retry| now >= retry.request_from)
    }

    /// The retry time of a caller for whom these upstreams have no permit; none if no permit
    /// was denied. The next caller is given a later time.
    pub(crate) fn next_caller_retry(
        &self,
        now: MonoTime,
        limited: impl Iterator<Item = (CompactString, RequestRate)>,
    ) -> Option<Duration> {
        let mut by_id = lock(&self.by_id);
        let waiting = limited.filter_map(|(id, rate)| {
            let retry = by_id.get(&id).filter(|retry| now < retry.request_from)?;
            Some((retry.next_caller, id, rate))
        });
        let (at, id, rate) = waiting.min_by_key(|(at, ..)| *at)?;
        if let Some(retry) = by_id.get_mut(&id) {
            let interval = (1.0 / rate.per_s()).min(MAX_CALLER_DELAY.as_secs_f64());
            retry.next_caller =
                (at + Duration::from_secs_f64(interval)).min(now + MAX_CALLER_DELAY);
        }
        Some(at.since(now).max(MIN_REQUEST_DELAY))
    }
}
