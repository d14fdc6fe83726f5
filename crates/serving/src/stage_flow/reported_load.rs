//! The last load that a stage upstream reported.

use std::time::Duration;

use jd_types::MonoTime;

use crate::UpstreamLoad;
use crate::stage_flow::call_pace::MAX_RATIO;

/// How long a report counts. An upstream that is avoided because it reported that it is slow
/// answers no calls, so that it would never report anything else.
const LIFETIME: Duration = Duration::from_secs(2);

/// The last load that an upstream reported with an answer, and when.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportedLoad {
    pub(crate) load: UpstreamLoad,
    pub(crate) at: MonoTime,
    /// This owner's calls that were in progress, including the one that was answered with the
    /// report.
    pub(crate) own_calls: u32,
}

impl ReportedLoad {
    fn is_recent(&self, now: MonoTime) -> bool {
        now.since(self.at) < LIFETIME
    }

    /// The reported duration of work relative to the usual one, if it is recent. Implausible values
    /// are bounded.
    pub(crate) fn slowness(&self, now: MonoTime) -> Option<f64> {
        let slowness = self.load.slowness().filter(|_| self.is_recent(now));
        slowness.map(|s| s.clamp(1.0 / MAX_RATIO, MAX_RATIO))
    }

    /// For how much longer calls of other owners occupy the upstream if each takes `call_time`.
    ///
    /// The request that the report answers may or may not be included in the figures; it is assumed
    /// to be. Otherwise each idle upstream of such a kind would seem to be occupied.
    pub(crate) fn occupied_for(&self, now: MonoTime, call_time: Duration) -> Duration {
        if !self.is_recent(now) {
            return Duration::ZERO;
        }
        let requests = self.load.running() + self.load.waiting();
        let others = requests.saturating_sub(self.own_calls.max(1));
        // A call that finds a free slot does not wait.
        let rounds = others / self.load.slots();
        (self.at + call_time * rounds).since(now)
    }
}
