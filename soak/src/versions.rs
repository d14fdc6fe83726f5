//! Checks that no stream has events of two software versions, and that callers can take streams up.

use std::collections::HashMap;

use crate::Attempt;
use crate::Fault;
use crate::FaultSpan;
use crate::Outcome;
use crate::RequestKind;
use crate::Violation;
use crate::cuts::Served;

/// What stands for the software version in an expected event.
pub(crate) const ANY: &str = "any";
/// The fewest streams that were taken up from which their share is judged.
const MIN_TAKEN_UP: usize = 12;
/// Upstreams of the version of a stream that have to serve for it to count.
const MIN_SERVING: usize = 2;

/// The software versions of the events in a body, in order.
fn versions_in(body: &str) -> impl Iterator<Item = &str> {
    let events = body.split_inclusive("\n\n");
    let whole = events.filter_map(|event| event.strip_suffix("\n\n"));
    whole.filter_map(|event| Some(event.rsplit_once(' ')?.1))
}

/// The number and the software version of the last event in a body.
pub(crate) fn last_event(body: &str) -> Option<(u64, String)> {
    let whole = body.rfind("\n\n").map(|end| &body[..end])?;
    let number = whole.rsplit("id: ").next()?.split('\n').next()?;
    let software = whole.rsplit_once(' ')?.1;
    Some((number.parse().ok()?, software.into()))
}

/// The same body with [`ANY`] for the software version of each event.
pub(crate) fn hidden(body: &str) -> String {
    let hide = |event: &str| match event.strip_suffix("\n\n").and_then(|e| e.rsplit_once(' ')) {
        Some((text, _)) => format!("{text} {ANY}\n\n"),
        None => event.into(),
    };
    body.split_inclusive("\n\n").map(hide).collect()
}

/// Returns a violation for each stream with events of two software versions, over all attempts of
/// its caller, and one if too few streams that could go on did.
pub(crate) fn judge(attempts: &[Attempt], spans: &[FaultSpan], instances: usize) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut seen: HashMap<&str, &str> = HashMap::new();
    for a in attempts {
        let Outcome::Response {
            body,
            status: 200..300,
            ..
        } = &a.outcome
        else {
            continue;
        };
        let is_stream = matches!(a.kind, RequestKind::ResumableStream | RequestKind::Stream);
        let origin = a.takes_up.as_ref().map_or(&a.id, |t| &t.origin);
        for software in versions_in(body).filter(|_| is_stream) {
            let first = *seen.entry(origin).or_insert(software);
            if first != software {
                violations.push(Violation {
                    guarantee: "a stream has events of one software version",
                    detail: format!("{origin} began at {first} and went on at {software}: {a:?}"),
                });
                break;
            }
        }
    }
    let ((went_on, resumed), (began, new)) = streams(attempts, spans, instances);
    if resumed >= MIN_TAKEN_UP && went_on * 2 * new < began * resumed {
        violations.push(Violation {
            guarantee: "streams that callers take up go on",
            detail: format!("{went_on} of {resumed} went on, and {began} of {new} new ones began"),
        });
    }
    violations
}

/// True if an attempt found no instance because that was stopped or killed. The users' rules count only
/// instances that run.
fn found_none(a: &Attempt, spans: &[FaultSpan], instances: usize) -> bool {
    let is_down = |s: &FaultSpan| match s.fault {
        Fault::Stop(n) | Fault::Kill(n, _) => n % instances == a.instance.0,
        Fault::KillAll(_) | Fault::AloneInTurn(..) => true,
        _ => false,
    };
    let is_lost = matches!(a.outcome, Outcome::NotSent | Outcome::ConnectionLost);
    let covers = |s: &FaultSpan| s.from <= a.ended && a.sent <= s.to;
    is_lost && spans.iter().any(|s| is_down(s) && covers(s))
}

/// Streams that were taken up while two upstreams of their version served, and those of these that
/// went on; and new ones, and those of these that began.
pub(crate) fn streams(
    attempts: &[Attempt],
    spans: &[FaultSpan],
    instances: usize,
) -> (Served, Served) {
    let has_events = |a: &&Attempt| matches!(&a.outcome, Outcome::Response { body, status: 200..300, .. } if last_event(body).is_some());
    let streams = attempts
        .iter()
        .filter(|a| a.kind == RequestKind::ResumableStream)
        .filter(|a| !found_none(a, spans, instances));
    let (resumed, new): (Vec<&Attempt>, Vec<&Attempt>) =
        streams.partition(|a| a.takes_up.is_some());
    let resumed = resumed.into_iter().filter(|a| {
        let serving = a.takes_up.as_ref().map_or(0, |t| t.serving);
        serving >= MIN_SERVING
    });
    let resumed: Vec<&Attempt> = resumed.collect();
    let went_on = resumed.iter().copied().filter(has_events).count();
    let began = new.iter().copied().filter(has_events).count();
    ((went_on, resumed.len()), (began, new.len()))
}
