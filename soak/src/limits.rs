//! Whether upstreams that name a limit got no more than that.

use std::time::Duration;

use crate::Fault;
use crate::FaultSpan;
use crate::UpstreamRequest;
use crate::Violation;

/// Within which all instances know of a limit: the users' bound for news.
const KNOWN_WITHIN: Duration = Duration::from_millis(3_000);
/// The span over which arrivals are counted, as the users do.
const COUNTED_OVER: Duration = Duration::from_millis(4_000);
/// How far above a limit arrivals may be, as a factor and beyond it.
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;

/// The promises on limits of upstreams that were broken.
pub(crate) fn judge(runs: &[UpstreamRequest], spans: &[FaultSpan]) -> Vec<Violation> {
    let limited = spans.iter().filter_map(|s| match s.fault {
        Fault::Limit(_, per_s, _) => Some((s, f64::from(per_s))),
        _ => None,
    });
    let mut broken = Vec::new();
    for (span, per_s) in limited {
        let known = span.from + KNOWN_WITHIN;
        let is_known = |at: Duration| at > known && at < span.to && !all_are_new(at, spans);
        let counted = |r: &&UpstreamRequest| r.upstream == span.target && is_known(r.at);
        let at: Vec<Duration> = runs.iter().filter(counted).map(|r| r.at).collect();
        let within = at.iter().map(|end| {
            let from = end.saturating_sub(COUNTED_OVER);
            at.iter().filter(|a| **a > from && **a <= *end).count()
        });
        let most = within.max().unwrap_or(0);
        if most as f64 > per_s * COUNTED_OVER.as_secs_f64() * OVERRUN + SLACK {
            broken.push(Violation {
                guarantee: "limits of upstreams are kept",
                detail: format!("{} named {per_s} a second and got {most}", span.target),
            });
        }
    }
    broken
}

/// True if all instances have started anew shortly before, so that none has been told of
/// anything yet: no upstream has told those, and they cannot tell each other.
fn all_are_new(at: Duration, spans: &[FaultSpan]) -> bool {
    let killed = spans
        .iter()
        .filter(|s| matches!(s.fault, Fault::KillAll(_)));
    let mut new = killed.filter(|s| s.from < at && at < s.to + KNOWN_WITHIN);
    new.next().is_some()
}
