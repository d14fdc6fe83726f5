//! Checks that instances respect the notices in upstreams' answers.

use std::collections::HashMap;
use std::time::Duration;

use crate::Attempt;
use crate::Fault;
use crate::FaultSpan;
use crate::UpstreamRequest;
use crate::Violation;

/// The time after which an instance must send no new request to an upstream that has
/// announced that it is leaving: the users' bound.
const DRAINED_WITHIN: Duration = Duration::from_millis(2_000);
/// The time for which requests in flight may still reach an upstream that asked for a
/// backoff: the users' bound.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// Requests during a backoff that are tolerated, as the users do.
const TOLERATED: usize = 2;

/// A request at an upstream, and the caller's attempt that it belongs to.
struct Arrival<'a> {
    request: &'a UpstreamRequest,
    attempt: &'a Attempt,
}

/// Violations of the notices of upstreams.
pub(crate) fn judge(
    attempts: &[Attempt],
    requests: &[UpstreamRequest],
    spans: &[FaultSpan],
    instances: usize,
) -> Vec<Violation> {
    let by_id: HashMap<&str, &Attempt> = attempts.iter().map(|a| (a.id.as_str(), a)).collect();
    let arrivals = requests.iter().filter_map(|request| {
        let attempt = *by_id.get(request.id.as_str())?;
        Some(Arrival { request, attempt })
    });
    let arrivals: Vec<Arrival> = arrivals.collect();
    let mut violations = Vec::new();
    for notified in &arrivals {
        let after = arrivals.iter().filter(|a| is_same_path(notified, a));
        let undisturbed = |a: &&Arrival| {
            let sender = a.request.sender;
            let (from, to) = (notified.request.at, a.request.at);
            !was_interrupted(from, to, sender, spans, instances)
                && !was_restarted(from, to, &a.request.upstream, spans)
        };
        let after = after.filter(undisturbed);
        let due = notified.request.at + DRAINED_WITHIN;
        if notified.request.notice.leaving
            && let Some(late) = after.clone().find(|a| a.attempt.sent > due)
        {
            violations.push(Violation {
                guarantee: "no new requests after a leaving notice",
                detail: format!(
                    "{} reached {} after its leaving notice",
                    late.request.id, late.request.upstream
                ),
            });
        }
        if let Some(wait) = notified.request.notice.backoff {
            let (from, to) = (
                notified.request.at + IN_FLIGHT_GRACE,
                notified.request.at + wait,
            );
            let count = after
                .filter(|a| a.request.at > from && a.request.at < to)
                .count();
            if count > TOLERATED {
                violations.push(Violation {
                    guarantee: "backoffs of upstreams are respected",
                    detail: format!(
                        "{} asked for a backoff of {wait:?} and received {count} requests",
                        notified.request.upstream
                    ),
                });
            }
        }
    }
    violations
}

/// True if the same instance sent both requests to the same upstream.
fn is_same_path(notified: &Arrival, other: &Arrival) -> bool {
    let same_upstream = notified.request.upstream == other.request.upstream;
    same_upstream && notified.request.sender == other.request.sender
}

/// True if the upstream started again between the two times. A notice holds for the start that
/// gave it.
fn was_restarted(from: Duration, to: Duration, upstream: &str, spans: &[FaultSpan]) -> bool {
    let restarts =
        |s: &&FaultSpan| matches!(s.fault, Fault::RestartUpstream(_)) && s.target == upstream;
    let mut restarts = spans.iter().filter(restarts);
    restarts.any(|s| s.from < to && s.to > from)
}

/// True if an instance may have been suspended between the two times, which excuses late
/// requests, or if the sender may have been started again, which knows nothing of the notice.
fn was_interrupted(
    from: Duration,
    to: Duration,
    sender: Option<usize>,
    spans: &[FaultSpan],
    instances: usize,
) -> bool {
    let interrupts = |fault: Fault| match fault {
        Fault::Pause(..) | Fault::KillAll(_) => true,
        Fault::Kill(n, _) | Fault::Stop(n) => sender.is_none_or(|s| n % instances == s),
        _ => false,
    };
    let mut interruptions = spans.iter().filter(|s| interrupts(s.fault));
    interruptions.any(|s| s.from < to && s.to > from)
}
