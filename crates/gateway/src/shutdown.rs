//! Whether this instance is stopping, and until when.

use std::sync::OnceLock;

use async_io::Timer;
use jd_net::Clock;
use jd_serving::RequestStep;
use jd_serving::ShutdownPlan;
use jd_serving::StopTerms;
use jd_serving::TooLate;
use jd_types::MonoTime;

use crate::latch::Latch;

/// Whether this instance is stopping, and until when.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    plan: OnceLock<ShutdownPlan>,
    begun: Latch,
}

impl Shutdown {
    /// Records that this instance stops. Only the first plan counts.
    pub(crate) fn begin(&self, plan: ShutdownPlan) {
        self.plan.get_or_init(|| plan);
        self.begun.set();
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.plan.get().is_some()
    }

    /// The plan; none while this instance is not stopping.
    pub(crate) fn plan(&self) -> Option<ShutdownPlan> {
        self.plan.get().copied()
    }

    /// Checks whether a step of a request may begin: the request has to end before this instance does.
    pub(crate) fn check(
        &self,
        now: MonoTime,
        step: RequestStep,
        terms: &StopTerms,
    ) -> Result<(), TooLate> {
        self.plan()
            .map_or(Ok(()), |plan| plan.check(now, step, terms))
    }

    /// Returns once this instance is stopping.
    pub(crate) async fn wait_begun(&self) {
        self.begun.wait().await;
    }

    /// Returns once this instance is stopping and a time of its plan has come.
    pub(crate) async fn until(&self, clock: Clock, time: impl Fn(&ShutdownPlan) -> MonoTime) {
        self.begun.wait().await;
        while let Some(plan) = self.plan.get() {
            let left = time(plan).since(clock.now());
            if left.is_zero() {
                return;
            }
            Timer::after(left).await;
        }
    }
}
