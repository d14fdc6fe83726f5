//! Checks that upstreams get no more time than the callers' deadlines leave.

use std::collections::HashMap;
use std::time::Duration;

use crate::Attempt;
use crate::Fault;
use crate::FaultSpan;
use crate::UpstreamRequest;
use crate::Violation;
use crate::turns::Load;

/// The time beyond the deadline that is allowed for a busy machine.
const SLACK: Duration = Duration::from_millis(500);
/// The time that a request takes to an instance at most.
const ARRIVES_WITHIN: Duration = Duration::from_millis(100);

/// Returns a violation for each request at an upstream that leaves it more time than its caller waits.
/// Those that were under way while the stand-ins were `late` are left out.
pub(crate) fn judge(
    attempts: &[Attempt],
    requests: &[UpstreamRequest],
    spans: &[FaultSpan],
    late: &[(Duration, Duration)],
    instances: usize,
    load: Load,
) -> Vec<Violation> {
    let attempts: HashMap<&str, &Attempt> = attempts.iter().map(|a| (a.id.as_str(), a)).collect();
    let violations = requests.iter().filter_map(|r| {
        let (a, left) = (attempts.get(r.id.as_str())?, r.deadline?);
        let due = taken_at(a, spans, instances) + load.deadline_of(a.kind);
        let delayed = |s: &FaultSpan| is_link(s.fault) && s.from <= r.at && a.sent <= s.to;
        let waited = |(from, to): &(Duration, Duration)| *from <= r.at && a.sent <= *to;
        let is_excused = spans.iter().any(delayed) || late.iter().any(waited);
        (r.at + left > due + SLACK && !is_excused).then(|| Violation {
            guarantee: "upstreams get no more time than the callers' deadlines leave",
            detail: format!(
                "{} {:?} of instance {} sent at {:?} at {:?} with {left:?} left, due at {due:?}",
                r.id, a.kind, a.instance.0, a.sent, r.at
            ),
        })
    });
    violations.collect()
}

/// The time at which the asked instance could take a request. One that stands still cannot.
fn taken_at(a: &Attempt, spans: &[FaultSpan], instances: usize) -> Duration {
    let stands_still = |s: &&FaultSpan| match s.fault {
        Fault::Pause(n, _) => n % instances == a.instance.0,
        Fault::Alone(n, _) => n % instances != a.instance.0,
        Fault::OutOfStep(..) => true,
        _ => false,
    };
    let mut standstills: Vec<&FaultSpan> = spans.iter().filter(stands_still).collect();
    standstills.sort_by_key(|s| s.from);
    let after = |at: Duration, s: &FaultSpan| match s.from <= at + ARRIVES_WITHIN && at <= s.to {
        true => s.to,
        false => at,
    };
    standstills.into_iter().fold(a.sent, after)
}

fn is_link(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::UpstreamLink(..) | Fault::UpstreamsCut(..) | Fault::ForwardsCut(..)
    )
}
