//! Refuses requests that can no longer end before this instance does.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use jd_net::lock;
use jd_serving::RequestStep;
use jd_serving::Route;
use jd_serving::Router;
use jd_serving::RunTime;
use jd_serving::RunTimes;
use jd_serving::StopTerms;
use jd_serving::TooLate;
use jd_types::AttemptOutcome;
use jd_types::MonoTime;
use jd_types::Refusal;
use jd_types::RefusalKind;

use crate::caller_request::CallerRequest;
use crate::state::State;

/// The retry time of a request that this instance has no time for: others take it at once.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

/// How long the requests of each route took lately at this instance.
#[derive(Debug, Default)]
pub(crate) struct RouteRunTimes(Mutex<HashMap<CompactString, RunTimes>>);

impl RouteRunTimes {
    /// Records an attempt at a whole request that has ended.
    pub(crate) fn record(
        &self,
        now: MonoTime,
        route: &CompactString,
        took: Duration,
        outcome: AttemptOutcome,
    ) {
        let mut routes = lock(&self.0);
        let times = routes.entry(route.clone()).or_default();
        match outcome {
            AttemptOutcome::Answered => times.record(now, took),
            _ => times.record_unfinished(now, took),
        }
    }

    /// Drops the routes that are not in force any more.
    pub(crate) fn retain(&self, router: &Router) {
        let in_force: HashSet<&CompactString> = router.routes().map(|(_, r)| &r.name).collect();
        lock(&self.0).retain(|name, _| in_force.contains(name));
    }

    fn estimate(&self, now: MonoTime, route: &str) -> Option<RunTime> {
        lock(&self.0).get(route)?.estimate(now)
    }
}

/// What decides of a request until when its steps may begin, but for what changes as it runs.
#[derive(Debug, Clone)]
pub(crate) struct StopSubject {
    route: CompactString,
    may_repeat: bool,
    taken_at: MonoTime,
    deadline: MonoTime,
}

impl StopSubject {
    pub(crate) fn new(route: &Route, taken_at: MonoTime, deadline: MonoTime) -> StopSubject {
        StopSubject {
            route: route.name.clone(),
            may_repeat: route.retry_mode.may_repeat(),
            taken_at,
            deadline,
        }
    }

    /// The terms of a request whose answer has not begun.
    pub(crate) fn terms(&self, state: &State) -> StopTerms {
        StopTerms {
            taken_at: self.taken_at,
            deadline: self.deadline,
            may_repeat: self.may_repeat,
            has_begun: false,
            run_time: state.run_times.estimate(state.now(), &self.route),
        }
    }
}

impl CallerRequest {
    pub(crate) fn stop_subject(&self) -> StopSubject {
        StopSubject::new(self.route(), self.taken_at, self.deadline)
    }

    /// Until when the steps of this request may begin in a stop.
    pub(crate) fn stop_terms(&self, state: &State) -> StopTerms {
        let terms = self.stop_subject().terms(state);
        let has_pace = self.head.prompt.is_some() && self.router.tracks_pace(&self.service);
        let first = has_pace.then(|| state.paces.expected_of(state.now(), self));
        StopTerms {
            has_begun: self.in_flight.has_begun(),
            run_time: terms
                .run_time
                .map(|t| t.at_least(first.unwrap_or_default())),
            ..terms
        }
    }

    /// Refuses the request if this instance stops and the request, with the step that is to begin,
    /// could not end before.
    pub(crate) fn check_stop(&self, state: &State, step: RequestStep) -> Result<(), Refusal> {
        match state.shutdown.plan() {
            Some(_) => check(state, step, &self.stop_terms(state)),
            None => Ok(()),
        }
    }
}

/// Refuses a request of these terms if this instance stops before it could end.
fn check(state: &State, step: RequestStep, terms: &StopTerms) -> Result<(), Refusal> {
    let checked = state.shutdown.check(state.now(), step, terms);
    checked.map_err(|late| too_late(state, late))
}

/// The refusal of a request of these terms whose time has come.
pub(crate) fn refusal(state: &State, step: RequestStep, terms: &StopTerms) -> Refusal {
    let late = check(state, step, terms).err();
    late.unwrap_or_else(|| stopping("the instance stops; ask another one"))
}

fn too_late(state: &State, late: TooLate) -> Refusal {
    state.metrics.stop_refusal(late.step.as_str());
    let step = late.step.as_str();
    let left = late.left.as_millis();
    stopping(match late.needed.map(|n| n.as_millis()) {
        Some(needed) => format_compact!(
            "the instance stops; ask another one ({step}: {needed} ms needed, {left} ms left)"
        ),
        None => format_compact!(
            "the instance stops; ask another one ({step}: time needed not known, {left} ms left)"
        ),
    })
}

/// The refusal of a request that this instance has no time for because it stops.
pub(crate) fn stopping(detail: impl Into<CompactString>) -> Refusal {
    Refusal::not_run(RefusalKind::NotServing, detail).with_retry_after(STOPPING_RETRY)
}
