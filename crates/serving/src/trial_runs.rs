//! Which runs of suspected requests may begin.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::Content;

/// How long a run keeps others of the same request from beginning if nothing more is heard of it: the
/// time in which the crash that it causes is found, unless its upstream's address goes on accepting
/// connections.
const TRIAL_LIFETIME: Duration = Duration::from_secs(3);
/// The same after it has ended without a sign of a crash, which may come a moment later.
const SETTLE_WAIT: Duration = Duration::from_millis(300);
/// The same after a crash with the request was reported: until the evidence is evaluated, and all
/// instances know the result.
const DECISION_WAIT: Duration = Duration::from_millis(700);
/// Requests that are kept: as many as can be suspected.
const MAX_REQUESTS: usize = 128;

/// How a run of a suspected request ended that proved nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialEnd {
    /// It was not sent.
    NotSent,
    /// It was sent, and its upstream is not known to have crashed.
    Sent,
}

/// At a service, one run of a suspected request begins for each so many upstreams: several requests that
/// run at the same upstream cannot be told apart by its crash.
const UPSTREAMS_PER_TRIAL: usize = 4;
/// At services with more upstreams, requests that were seen sound before are not held up: those of many
/// callers have to complete between two losses of power.
const SMALL_SERVICE: usize = 4;

/// A run of a suspected request, or the time after one.
#[derive(Debug)]
struct Trial {
    service: CompactString,
    last_begun: Option<MonoTime>,
    /// Until when no other run of the request begins.
    until: MonoTime,
    was_sound: bool,
}

/// The runs of suspected requests that have begun: one at a time of each request, and few of each
/// service.
///
/// Guards against a request that crashes a whole small service: all of its copies arrive there when
/// the upstreams are back, before one of them can show anything. A sound request that is suspected
/// waits for the first of its runs, which releases it.
#[derive(Debug, Default)]
pub struct TrialRuns {
    trials: HashMap<Content, Trial>,
}

impl TrialRuns {
    /// Begins a run of a request at a service with this many upstreams; false if others have begun of
    /// which nothing is known yet.
    pub fn begin(
        &mut self,
        now: MonoTime,
        content: Content,
        service: &str,
        upstreams: usize,
    ) -> bool {
        let at_service = self.trials.values();
        let at_service = at_service.filter(|t| t.service == service && t.until > now);
        let limit = (upstreams / UPSTREAMS_PER_TRIAL).max(1);
        let is_full = at_service.count() >= limit;
        let Some(trial) = self.trial(now, content, service) else {
            return false;
        };
        match trial.was_sound {
            true if upstreams > SMALL_SERVICE => return true,
            _ if is_full || trial.until > now => return false,
            _ => {}
        }
        trial.last_begun = Some(now);
        trial.until = now + TRIAL_LIFETIME;
        true
    }

    /// Records the end of a run.
    pub fn end(&mut self, now: MonoTime, content: Content, end: TrialEnd) {
        if let Some(trial) = self.trials.get_mut(&content) {
            let pause = match end {
                TrialEnd::Sent if !trial.was_sound => SETTLE_WAIT,
                TrialEnd::Sent | TrialEnd::NotSent => Duration::ZERO,
            };
            trial.until = trial.until.min(now + pause);
        }
    }

    /// Records that an upstream crashed at this time with a suspected request. Crashes before the last
    /// of its runs began are those that it is suspected for.
    pub fn record_crash(&mut self, now: MonoTime, content: Content, at: MonoTime) {
        let trial = self.trials.get_mut(&content);
        if let Some(trial) = trial.filter(|t| t.last_begun.is_some_and(|begun| begun <= at)) {
            trial.until = now + DECISION_WAIT;
        }
    }

    /// Records that a suspected request was seen sound before upstreams crashed with it.
    pub fn record_sound_before(&mut self, now: MonoTime, content: Content, service: &str) {
        if let Some(trial) = self.trial(now, content, service) {
            trial.was_sound = true;
        }
    }

    /// Records that a request is not suspected any more, so that others may run in its place.
    pub fn remove(&mut self, content: Content) {
        self.trials.remove(&content);
    }

    fn trial(&mut self, now: MonoTime, content: Content, service: &str) -> Option<&mut Trial> {
        if self.trials.len() >= MAX_REQUESTS {
            self.trials.retain(|_, trial| trial.until > now);
        }
        if self.trials.len() >= MAX_REQUESTS && !self.trials.contains_key(&content) {
            return None;
        }
        Some(self.trials.entry(content).or_insert_with(|| Trial {
            service: service.into(),
            last_begun: None,
            until: MonoTime::ZERO,
            was_sound: false,
        }))
    }
}
