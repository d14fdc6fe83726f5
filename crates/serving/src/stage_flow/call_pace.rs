//! The pace of the last calls to one stage upstream.

use std::time::Duration;

use jd_types::MonoTime;

/// The weight of a new call, so that the last two or three calls decide: slow periods last about
/// as long as a call or two.
const CALL_WEIGHT: f64 = 0.4;
/// The lower bound of a call's duration relative to the configured one.
const MIN_RATIO: f64 = 0.25;
/// The upper bound of a call's duration relative to the configured one.
pub(crate) const MAX_RATIO: f64 = 4.0;
/// How long a pace is kept in full without a further call: longer than a usual call.
const HOLD: Duration = Duration::from_millis(500);
/// After this time without a call, the upstream counts as average again. An upstream that is
/// avoided because it was slow gets no calls, and would otherwise be avoided for good.
const LIFETIME: Duration = Duration::from_secs(2);

/// The moving mean of the duration of calls to one upstream, relative to the configured duration.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct CallPace {
    /// The mean, and when it was last updated; none before the first call.
    known: Option<(f64, MonoTime)>,
}

impl CallPace {
    /// Records the duration of a call relative to its configured one. `mean` is that of all
    /// upstreams of the service.
    pub(crate) fn record(&mut self, now: MonoTime, ratio: f64, mean: f64) {
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO);
        let before = self.ratio(now, mean);
        self.known = Some((before + (ratio - before) * CALL_WEIGHT, now));
    }

    /// The expected duration of a call relative to the configured one. Without recent calls, it is
    /// `mean`.
    pub(crate) fn ratio(&self, now: MonoTime, mean: f64) -> f64 {
        let Some((ratio, at)) = self.known else {
            return mean;
        };
        let faded = now.since(at).saturating_sub(HOLD).as_secs_f64();
        let kept = 1.0 - faded / (LIFETIME - HOLD).as_secs_f64();
        mean + (ratio - mean) * kept.max(0.0)
    }
}
