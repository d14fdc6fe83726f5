//! Limits the rate of requests to one upstream across all instances.

use std::time::Duration;

use jd_types::MonoTime;

use crate::RequestRate;

/// The burst beyond one request, as a time span at the current rate.
const MAX_BURST: Duration = Duration::from_millis(250);
/// The lowest rate at which permits are issued, also for an upstream whose limit is lower or
/// zero: without any requests, no answer would show that the limit has risen.
const MIN_PER_S: f64 = 0.2;
/// Time for which the refusal of a more urgent request is taken into account.
const URGENT_WINDOW: Duration = Duration::from_secs(1);
/// Permits in a row that may go to more urgent requests before a less urgent one gets a permit.
const MAX_URGENT_IN_A_ROW: u32 = 3;
/// The longest wait that a refused request is given.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// The share of an upstream's limit that an instance may issue permits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimiterShare {
    /// The whole limit: the instance is the first choice of all instances.
    Whole,
    /// A quarter: another instance, which this one cannot reach, may issue permits at the same
    /// time.
    Quarter,
}

/// A token bucket that issues permits for one rate-limited upstream to all instances.
///
/// An overloaded upstream is used by hundreds of instances, each of which sends less than the
/// limit. Fixed shares of the limit would be below one request a second and would go unused
/// where no callers arrive, so that one instance issues the permits for all. It starts without
/// saved tokens, because the instance that issued permits before may just have issued the last
/// one.
///
/// A refused request is told how long to wait. Each refusal gets a later time, so that the
/// retries do not arrive together.
#[derive(Debug)]
pub struct RateLimiter {
    tokens: f64,
    refilled_at: MonoTime,
    last_slot: MonoTime,
    urgent_refusal: Option<(u8, MonoTime)>,
    urgent_in_a_row: u32,
}

impl RateLimiter {
    /// A limiter that issues its first permit once the rate allows it.
    pub fn new(now: MonoTime) -> RateLimiter {
        RateLimiter {
            tokens: 0.0,
            refilled_at: now,
            last_slot: now,
            urgent_refusal: None,
            urgent_in_a_row: 0,
        }
    }

    /// Issues a permit to send one request now, or returns the time to wait. `rate` is the
    /// limit for all instances together, and `priority` 0 is the most urgent.
    pub fn acquire(
        &mut self,
        now: MonoTime,
        rate: RequestRate,
        share: LimiterShare,
        priority: u8,
    ) -> Result<(), Duration> {
        let per_s = match share {
            LimiterShare::Whole => rate.per_s(),
            LimiterShare::Quarter => rate.per_s() / 4.0,
        };
        let per_s = per_s.max(MIN_PER_S);
        let gained = now.since(self.refilled_at).as_secs_f64() * per_s;
        self.tokens = (self.tokens + gained).min(1.0 + per_s * MAX_BURST.as_secs_f64());
        self.refilled_at = now;
        if self.tokens < 1.0 || self.defers(now, priority) {
            self.record_refusal(now, priority);
            return Err(self.next_slot(now, per_s));
        }
        self.tokens -= 1.0;
        self.record_grant(priority);
        Ok(())
    }

    /// True if the permit is reserved for a more urgent request that was refused recently and
    /// is expected to retry.
    fn defers(&self, now: MonoTime, priority: u8) -> bool {
        let urgent = |(p, at): (u8, MonoTime)| p < priority && now.since(at) < URGENT_WINDOW;
        self.urgent_refusal.is_some_and(urgent) && self.urgent_in_a_row < MAX_URGENT_IN_A_ROW
    }

    fn record_refusal(&mut self, now: MonoTime, priority: u8) {
        let counts = |(p, at): (u8, MonoTime)| p < priority && now.since(at) < URGENT_WINDOW;
        if !self.urgent_refusal.is_some_and(counts) {
            self.urgent_refusal = Some((priority, now));
        }
    }

    fn record_grant(&mut self, priority: u8) {
        match self.urgent_refusal {
            Some((p, _)) if p < priority => self.urgent_in_a_row = 0,
            Some((p, _)) if p == priority => {
                self.urgent_refusal = None;
                self.urgent_in_a_row = self.urgent_in_a_row.saturating_add(1);
            }
            _ => {}
        }
    }

    fn next_slot(&mut self, now: MonoTime, per_s: f64) -> Duration {
        let interval = Duration::from_secs_f64((1.0 / per_s).min(MAX_WAIT.as_secs_f64()));
        let missing = (1.0 - self.tokens).max(0.0);
        let first = now + interval.mul_f64(missing);
        let slot = first.max(self.last_slot + interval);
        self.last_slot = slot.min(now + MAX_WAIT);
        self.last_slot.since(now)
    }
}
