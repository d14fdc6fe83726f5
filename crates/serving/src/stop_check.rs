//! Whether a request can still end before a process that is stopping does.

use std::time::Duration;

use jd_types::MonoTime;

use crate::RunTime;
use crate::ShutdownPlan;

/// A step of a request that begins something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestStep {
    /// Its body is complete, and it is taken.
    Take,
    /// It waits for whatever it needs before it is sent.
    Wait,
    /// Its stages are submitted.
    Stages,
    /// It is sent to an upstream, for the first time or again.
    Send,
    /// It is sent to another instance.
    Forward,
}

impl RequestStep {
    /// The name of the step, as logged.
    pub const fn as_str(self) -> &'static str {
        match self {
            RequestStep::Take => "take",
            RequestStep::Wait => "wait",
            RequestStep::Stages => "stages",
            RequestStep::Send => "send",
            RequestStep::Forward => "forward",
        }
    }
}

/// What is known of a request that decides until when its steps may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTerms {
    /// When it was complete: the current time if it is to be taken now.
    pub taken_at: MonoTime,
    /// When its caller stops waiting.
    pub deadline: MonoTime,
    /// True if a second run does no harm.
    pub may_repeat: bool,
    /// True if the caller has got a part of the answer. Such a request cannot be refused any more.
    pub has_begun: bool,
    /// The time that it needs at an upstream; none if not known.
    pub run_time: Option<RunTime>,
}

/// Why a step of a request may not begin any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLate {
    /// The step.
    pub step: RequestStep,
    /// The time that the request needs; none if not known.
    pub needed: Option<Duration>,
    /// The time that is left for it.
    pub left: Duration,
}

impl ShutdownPlan {
    /// Checks whether a step of a request may begin.
    ///
    /// # Errors
    ///
    /// Returns why not, if the request cannot end any more before the process does.
    pub fn check(
        &self,
        now: MonoTime,
        step: RequestStep,
        terms: &StopTerms,
    ) -> Result<(), TooLate> {
        match terms.has_begun || now < self.latest_begin(terms) {
            true => Ok(()),
            false => Err(TooLate {
                step,
                needed: self.needed(terms),
                left: self.unanswered_until.since(now),
            }),
        }
    }

    /// Until when the next step of a request may begin that has not begun to be answered.
    pub fn latest_begin(&self, terms: &StopTerms) -> MonoTime {
        let end = self.unanswered_until;
        let latest = match self.needed(terms) {
            // Its caller stops waiting before the process ends.
            _ if terms.deadline <= end => self.unsent_until,
            Some(needed) => end.before(needed),
            None if self.is_late(terms) => self.accept_until,
            None => self.unsent_until,
        };
        latest.max(self.accept_until).min(self.unsent_until)
    }

    /// The time that a request needs; none if not known.
    fn needed(&self, terms: &StopTerms) -> Option<Duration> {
        let time = terms.run_time?;
        Some(time.needed(terms.may_repeat, self.is_late(terms)))
    }

    /// True if a request was complete only after new ones were no longer accepted.
    fn is_late(&self, terms: &StopTerms) -> bool {
        terms.taken_at >= self.accept_until
    }
}
