//! Checks that requests which crash upstreams are quarantined, and that no others are.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Attempt;
use crate::CrashCause;
use crate::Fault;
use crate::FaultSpan;
use crate::Outcome;
use crate::UpstreamRequest;
use crate::Violation;

/// Crashes of upstreams after which a request has to be quarantined: the users' bound.
const CRASHES_ALLOWED: usize = 3;
/// The same for a part of prompts.
const PART_CRASHES_ALLOWED: usize = 5;
/// The time after that within which all connected instances have to know the quarantine:
/// the users' bound on the propagation of changes.
const PROPAGATION_BOUND: Duration = Duration::from_millis(3_000);
/// Executions that are tolerated after that by connected instances.
const EXECUTIONS_TOLERATED: usize = 3;
/// The time since the last disturbance of an instance or the store after which instances
/// count as connected.
const CONNECTED_AFTER: Duration = Duration::from_millis(3_000);
/// The part of a refusal's body that shows a quarantine.
const QUARANTINED: &str = "\"error\":\"quarantined\"";

/// Violations of the guarantees on requests that crash upstreams.
pub(crate) fn judge(
    attempts: &[Attempt],
    requests: &[UpstreamRequest],
    spans: &[FaultSpan],
    instances: usize,
) -> Vec<Violation> {
    let ends = |s: &FaultSpan| matches!(s.fault, Fault::UpstreamEnds(_));
    let stays_down = |s: &FaultSpan| matches!(s.fault, Fault::CrashDowntime(_));
    let counts_upstreams = spans.iter().any(stays_down);
    let judges_senders = counts_upstreams || spans.iter().any(ends);
    let mut crashing: BTreeMap<CrashCause, Vec<&UpstreamRequest>> = BTreeMap::new();
    for request in requests.iter().filter(|r| r.executed) {
        if let Some(cause) = request.crash_cause {
            crashing.entry(cause).or_default().push(request);
        }
    }
    let mut violations = Vec::new();
    for (cause, requests) in crashing {
        let allowed = match cause {
            CrashCause::Request(_) => CRASHES_ALLOWED,
            CrashCause::Part(_) => PART_CRASHES_ALLOWED,
        };
        let last_allowed = match counts_upstreams {
            true => first_at_upstreams(&requests, allowed),
            false => requests.get(allowed - 1).copied(),
        };
        let Some(last_allowed) = last_allowed else {
            continue;
        };
        let known = last_allowed.at + PROPAGATION_BOUND;
        let later = requests.iter().filter(|r| r.at > known).filter(|r| {
            match r.sender.filter(|_| judges_senders) {
                Some(sender) => is_sender_undisturbed(r.at, sender, spans, instances),
                None => is_undisturbed(r.at, spans),
            }
        });
        let later = later.count();
        if later > EXECUTIONS_TOLERATED {
            violations.push(Violation {
                guarantee: "crashing requests are quarantined",
                detail: format!(
                    "{cause:?} was executed {later} times after the bound, {} in all",
                    requests.len()
                ),
            });
        }
    }
    let innocent = attempts.iter().filter(|a| !a.kind.crashes());
    for a in innocent.filter(|a| is_quarantined(a)) {
        violations.push(Violation {
            guarantee: "only crashing requests are quarantined",
            detail: format!(
                "{} {:?} at {:?} was refused as quarantined",
                a.id, a.kind, a.sent
            ),
        });
    }
    violations
}

/// The first of these requests at the upstream that was the `count`th to execute one. Several copies at
/// once crash an upstream once.
fn first_at_upstreams<'a>(
    requests: &[&'a UpstreamRequest],
    count: usize,
) -> Option<&'a UpstreamRequest> {
    let mut upstreams = BTreeSet::new();
    let first = requests.iter().filter(|r| upstreams.insert(&r.upstream));
    first.copied().nth(count - 1)
}

/// True if neither the instances nor the store were disturbed within [`CONNECTED_AFTER`].
fn is_undisturbed(at: Duration, spans: &[FaultSpan]) -> bool {
    let disturbs = |s: &&FaultSpan| {
        matches!(
            s.fault,
            Fault::Kill(..)
                | Fault::KillAll(_)
                | Fault::Stop(_)
                | Fault::Pause(..)
                | Fault::Store(..)
                | Fault::StoreLink(..)
                | Fault::RevokeDuringPartition(_)
        )
    };
    let mut disturbed = spans.iter().filter(disturbs);
    !disturbed.any(|s| s.from < at && s.to + CONNECTED_AFTER > at)
}

/// True if neither this instance nor the store was disturbed within [`CONNECTED_AFTER`]. Faults of other
/// instances excuse nothing.
fn is_sender_undisturbed(
    at: Duration,
    sender: usize,
    spans: &[FaultSpan],
    instances: usize,
) -> bool {
    let disturbs = |s: &&FaultSpan| match s.fault {
        Fault::Kill(n, _) | Fault::Stop(n) | Fault::Pause(n, _) | Fault::StoreLink(n, ..) => {
            n % instances == sender
        }
        Fault::KillAll(_) | Fault::Store(..) => true,
        _ => false,
    };
    let mut disturbed = spans.iter().filter(disturbs);
    !disturbed.any(|s| s.from < at && s.to + CONNECTED_AFTER > at)
}

fn is_quarantined(a: &Attempt) -> bool {
    matches!(&a.outcome, Outcome::Response { body, .. } if body.contains(QUARANTINED))
}
