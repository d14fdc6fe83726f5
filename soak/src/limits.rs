//! Checks that instances keep the rate limits of upstreams.

use std::time::Duration;

use crate::Fault;
use crate::FaultSpan;
use crate::UpstreamRequest;
use crate::Violation;

/// The time within which all instances know a limit: the users' bound on the
/// propagation of changes.
const PROPAGATION_BOUND: Duration = Duration::from_millis(3_000);
/// The window over which arrivals are counted, as the users do.
const COUNT_WINDOW: Duration = Duration::from_millis(4_000);
/// Arrivals in a window may reach the limit times this factor, plus [`SLACK`].
const OVERRUN_FACTOR: f64 = 1.5;
/// Arrivals in a window that are allowed beyond the limit times [`OVERRUN_FACTOR`].
const SLACK: f64 = 5.0;

/// Violations of the rate limits of upstreams.
pub(crate) fn judge(requests: &[UpstreamRequest], spans: &[FaultSpan]) -> Vec<Violation> {
    let limited = spans.iter().filter_map(|s| match s.fault {
        Fault::Limit(_, per_s, _) => Some((s, f64::from(per_s))),
        _ => None,
    });
    let mut violations = Vec::new();
    for (span, per_s) in limited {
        let known = span.from + PROPAGATION_BOUND;
        let is_known = |at: Duration| at > known && at < span.to && !all_restarted(at, spans);
        let counted = |r: &&UpstreamRequest| r.upstream == span.target && is_known(r.at);
        let at: Vec<Duration> = requests.iter().filter(counted).map(|r| r.at).collect();
        let within = at.iter().map(|end| {
            let from = end.saturating_sub(COUNT_WINDOW);
            at.iter().filter(|a| **a > from && **a <= *end).count()
        });
        let most = within.max().unwrap_or(0);
        if most as f64 > per_s * COUNT_WINDOW.as_secs_f64() * OVERRUN_FACTOR + SLACK {
            violations.push(Violation {
                guarantee: "rate limits of upstreams are kept",
                detail: format!(
                    "{} announced {per_s} requests/s and received {most} in a window",
                    span.target
                ),
            });
        }
    }
    violations
}

/// True if all instances restarted shortly before, so that none of them may know a limit
/// yet: no upstream has announced one to them, and they have none to pass on.
fn all_restarted(at: Duration, spans: &[FaultSpan]) -> bool {
    let killed = spans
        .iter()
        .filter(|s| matches!(s.fault, Fault::KillAll(_)));
    let mut restarted = killed.filter(|s| s.from < at && at < s.to + PROPAGATION_BOUND);
    restarted.next().is_some()
}
