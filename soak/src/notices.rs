//! Whether instances heeded what upstreams said in their answers.

use std::collections::HashMap;
use std::time::Duration;

use crate::Attempt;
use crate::Fault;
use crate::FaultSpan;
use crate::UpstreamRequest;
use crate::Violation;

/// How much later nothing new may reach an upstream that has said so: the users' bound.
const DRAINED_WITHIN: Duration = Duration::from_millis(2_000);
/// How long what is on its way may still reach one that wants nothing: the users' bound.
const ON_ITS_WAY: Duration = Duration::from_millis(500);
/// Requests in that time which are let pass, as the users do.
const PASSED: usize = 2;

/// A request that reached an upstream, and who had sent it there.
struct Arrival<'a> {
    run: &'a UpstreamRequest,
    attempt: &'a Attempt,
}

/// The promises on notices of upstreams that were broken.
pub(crate) fn judge(
    attempts: &[Attempt],
    runs: &[UpstreamRequest],
    spans: &[FaultSpan],
) -> Vec<Violation> {
    let by_id: HashMap<&str, &Attempt> = attempts.iter().map(|a| (a.id.as_str(), a)).collect();
    let arrivals = runs.iter().filter_map(|run| {
        let attempt = *by_id.get(run.id.as_str())?;
        Some(Arrival { run, attempt })
    });
    let arrivals: Vec<Arrival> = arrivals.collect();
    let mut broken = Vec::new();
    for told in &arrivals {
        let after = arrivals.iter().filter(|a| is_same_way(told, a));
        let calm = |a: &&Arrival| !stood_still(told.run.at, a.run.at, spans);
        let after = after.filter(calm);
        let due = told.run.at + DRAINED_WITHIN;
        if told.run.notice.leaving
            && let Some(late) = after.clone().find(|a| a.attempt.sent > due)
        {
            broken.push(Violation {
                guarantee: "upstreams that say they leave rest",
                detail: format!("{} reached {}", late.run.id, late.run.upstream),
            });
        }
        if let Some(wait) = told.run.notice.backoff {
            let (from, to) = (told.run.at + ON_ITS_WAY, told.run.at + wait);
            let count = after.filter(|a| a.run.at > from && a.run.at < to).count();
            if count > PASSED {
                broken.push(Violation {
                    guarantee: "upstreams that want rest have it",
                    detail: format!("{} wanted {wait:?} and got {count}", told.run.upstream),
                });
            }
        }
    }
    broken
}

/// True if the same start of an instance sent both to the same upstream.
fn is_same_way(told: &Arrival, other: &Arrival) -> bool {
    let same_upstream = told.run.upstream == other.run.upstream;
    same_upstream && told.attempt.instance == other.attempt.instance
}

/// True if an instance may have stood still in between, which excuses it.
fn stood_still(from: Duration, to: Duration, spans: &[FaultSpan]) -> bool {
    let mut pauses = spans.iter().filter(|s| matches!(s.fault, Fault::Pause(..)));
    pauses.any(|s| s.from < to && s.to > from)
}
