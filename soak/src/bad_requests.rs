//! Whether requests that end upstreams were kept from them, and no others.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Attempt;
use crate::Fault;
use crate::FaultSpan;
use crate::Outcome;
use crate::RequestKind;
use crate::UpstreamRequest;
use crate::Violation;

/// Upstreams that may end before it has to be known: the users' bound.
const ENDS_ALLOWED: usize = 3;
/// Within which all instances in touch know it then: the users' bound for news.
const KNOWN_WITHIN: Duration = Duration::from_millis(3_000);
/// How often it may reach an upstream after that, by instances in touch.
const MORE_ALLOWED: usize = 3;
/// How long nothing may have disturbed an instance or the store for that.
const IN_TOUCH_AFTER: Duration = Duration::from_millis(3_000);
/// What a refusal says that keeps a request from upstreams.
const QUARANTINED: &str = "\"error\":\"quarantined\"";

/// The promises on requests that end upstreams which were broken.
pub(crate) fn judge(
    attempts: &[Attempt],
    runs: &[UpstreamRequest],
    spans: &[FaultSpan],
) -> Vec<Violation> {
    let mut bad: BTreeMap<u64, Vec<&UpstreamRequest>> = BTreeMap::new();
    for run in runs.iter().filter(|r| r.executed) {
        if let Some(number) = run.crash_number {
            bad.entry(number).or_default().push(run);
        }
    }
    let mut broken = Vec::new();
    for (number, runs) in bad {
        let Some(third) = runs.get(ENDS_ALLOWED - 1) else {
            continue;
        };
        let known = third.at + KNOWN_WITHIN;
        let later = runs.iter().filter(|r| r.at > known && is_calm(r.at, spans));
        let later = later.count();
        if later > MORE_ALLOWED {
            broken.push(Violation {
                guarantee: "bad requests are kept from upstreams",
                detail: format!("{number} ran {later} times more, {} in all", runs.len()),
            });
        }
    }
    let innocent = attempts
        .iter()
        .filter(|a| !matches!(a.kind, RequestKind::Crashing(_)));
    for a in innocent.filter(|a| is_quarantined(a)) {
        broken.push(Violation {
            guarantee: "others are let in",
            detail: format!("{} {:?} at {:?} was turned away", a.id, a.kind, a.sent),
        });
    }
    broken
}

/// True if neither instances nor the store were disturbed for a while.
fn is_calm(at: Duration, spans: &[FaultSpan]) -> bool {
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
    !disturbed.any(|s| s.from < at && s.to + IN_TOUCH_AFTER > at)
}

fn is_quarantined(a: &Attempt) -> bool {
    matches!(&a.outcome, Outcome::Response { body, .. } if body.contains(QUARANTINED))
}
