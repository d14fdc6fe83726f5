//! Checks that no request that was passed on ends without its complete answer around planned work.

use std::collections::HashMap;
use std::time::Duration;

use jd_net::lock;

use crate::Attempt;
use crate::Fault;
use crate::FaultSpan;
use crate::Outcome;
use crate::Recorder;
use crate::UpstreamRequest;
use crate::Violation;
use crate::turns::Load;

/// The part of the callers' deadline, in tenths, beyond which a request is late.
const LATE_TENTHS: u32 = 7;
/// How soon a connection may be lost without an answer because the request crossed its close: the
/// users' bound, and as much for a busy machine.
const CROSSED_WITHIN: Duration = Duration::from_millis(400);
/// The time after an unplanned fault in which its effects excuse what is cut off: the users' bound.
const CONTACT: Duration = Duration::from_millis(3_000);
/// How long after a stop's signal requests may be sent that the end of the grace period cuts off:
/// the users' bound.
const SENT_WITHIN: Duration = Duration::from_secs(3);

/// Answers that were lost, of all requests and of those that ran at an upstream that hung.
#[derive(Debug, Default, Clone, Copy)]
pub struct Losses {
    /// Answers that began and did not arrive to their end.
    pub cut_off: (usize, usize),
    /// Requests that an instance refused after seven tenths of their time.
    pub refused_late: (usize, usize),
    /// Requests that an instance refused after an upstream began to execute them.
    pub refused_after_run: (usize, usize),
}

impl Losses {
    /// The losses of a whole run.
    pub(crate) fn of(recorder: &Recorder, load: Load) -> Losses {
        let attempts = lock(&recorder.attempts);
        let requests = lock(&recorder.upstream_requests);
        let runs = runs(&requests);
        let mut losses = Losses::default();
        for a in attempts.iter().filter(|a| !a.abandoned) {
            let Outcome::Response {
                status,
                signature,
                complete,
                ..
            } = &a.outcome
            else {
                continue;
            };
            let runs = runs.get(a.id.as_str()).map_or(&[][..], Vec::as_slice);
            let hung = runs.iter().any(|r| r.hung);
            let add = |count: &mut (usize, usize)| {
                count.0 += 1;
                count.1 += usize::from(hung);
            };
            if !complete {
                add(&mut losses.cut_off);
            }
            let refused = *status >= 400 && signature.is_none();
            if refused && is_late(a, load) {
                add(&mut losses.refused_late);
            }
            if refused && !runs.is_empty() {
                add(&mut losses.refused_after_run);
            }
        }
        losses
    }
}

/// The executions of each request.
pub(crate) fn runs(requests: &[UpstreamRequest]) -> HashMap<&str, Vec<&UpstreamRequest>> {
    let mut runs: HashMap<&str, Vec<&UpstreamRequest>> = HashMap::new();
    for request in requests.iter().filter(|r| r.executed) {
        runs.entry(request.id.as_str()).or_default().push(request);
    }
    runs
}

fn took(a: &Attempt) -> Duration {
    a.ended.saturating_sub(a.sent)
}

fn is_late(a: &Attempt, load: Load) -> bool {
    took(a) >= load.deadline_of(a.kind) * LATE_TENTHS / 10
}

/// Returns a violation for each request that was cut off although nothing excuses it.
pub(crate) fn judge(
    attempts: &[Attempt],
    requests: &[UpstreamRequest],
    spans: &[FaultSpan],
    instances: usize,
    load: Load,
) -> Vec<Violation> {
    let losses = PlannedWork {
        spans,
        runs: runs(requests),
        instances,
        load,
    };
    let judged = attempts.iter().filter(|a| !a.abandoned);
    let lost = judged.filter(|a| losses.is_lost(a) && !losses.is_excused(a));
    let violations = lost.map(|a| Violation {
        guarantee: "planned faults cut no request off",
        detail: format!("{} {:?} at {:?}: {:?}", a.id, a.kind, a.sent, a.outcome),
    });
    violations.collect()
}

/// What happened around planned work.
pub(crate) struct PlannedWork<'a> {
    pub(crate) spans: &'a [FaultSpan],
    pub(crate) runs: HashMap<&'a str, Vec<&'a UpstreamRequest>>,
    pub(crate) instances: usize,
    pub(crate) load: Load,
}

impl PlannedWork<'_> {
    /// True if a request ended without a complete answer. A request that arrives while its
    /// connection is being closed was not passed on.
    fn is_lost(&self, a: &Attempt) -> bool {
        let executed = self.runs.contains_key(a.id.as_str());
        match a.outcome {
            Outcome::Response { complete, .. } => !complete,
            Outcome::ConnectionLost => executed || took(a) > CROSSED_WITHIN,
            Outcome::TimedOut => executed,
            Outcome::NotSent => false,
        }
    }

    pub(crate) fn is_excused(&self, a: &Attempt) -> bool {
        if self.load.silences {
            let is_over = took(a) >= self.load.deadline_of(a.kind);
            return is_over || self.is_disrupted(a) || self.outlasted_stop(a);
        }
        let is_planned = self.spans.iter().all(|s| s.fault.is_planned());
        let ends_stream = matches!(a.outcome, Outcome::Response { .. });
        !is_planned || is_late(a, self.load) || (ends_stream && self.ended_with_stop(a).is_some())
    }

    /// True if an unplanned fault may have reached the request. An outage of the store excuses
    /// nothing.
    fn is_disrupted(&self, a: &Attempt) -> bool {
        let unplanned =
            |s: &&FaultSpan| !s.fault.is_planned() && !matches!(s.fault, Fault::Store(..));
        let mut spans = self.spans.iter().filter(unplanned);
        spans.any(|s| s.from <= a.ended && a.sent <= s.to + CONTACT)
    }

    /// The stop of the asked instance whose grace period was nearly over when the attempt ended.
    fn ended_with_stop(&self, a: &Attempt) -> Option<&FaultSpan> {
        self.spans.iter().find(|s| match s.fault {
            Fault::Stop(n) => {
                let from = s.from + self.load.cut_off_from();
                n % self.instances == a.instance.0 && (from..=s.to).contains(&a.ended)
            }
            _ => false,
        })
    }

    /// True if an upstream still worked on the request when the grace period of its instance was
    /// nearly over, and the request had been sent in time.
    fn outlasted_stop(&self, a: &Attempt) -> bool {
        let Some(stop) = self.ended_with_stop(a) else {
            return false;
        };
        let from = stop.from + self.load.cut_off_from();
        let runs = self.runs.get(a.id.as_str()).map_or(&[][..], Vec::as_slice);
        let at_work = runs
            .iter()
            .any(|r| r.ended.is_none_or(|ended| ended >= from));
        at_work && a.sent <= stop.from + SENT_WITHIN
    }
}
