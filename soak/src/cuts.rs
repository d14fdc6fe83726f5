//! Checks that callers of instances without a path to upstreams are served.

use std::time::Duration;

use crate::Attempt;
use crate::Fault;
use crate::FaultSpan;
use crate::Violation;

/// The time after the beginning of a cut from which requests count: the users' bound on the time
/// in which an instance notices a fault.
const NOTICED_WITHIN: Duration = Duration::from_secs(3);
/// Failed requests at instances that are cut off that the users tolerate, and one in so many of
/// all requests.
const TOLERATED: usize = 10;
const TOLERATED_ONE_IN: usize = 50;

/// Returns a violation for each cut during which the requests at the instance that is cut off were
/// served less than two thirds as often as those at the others.
pub(crate) fn judge(attempts: &[Attempt], spans: &[FaultSpan], instances: usize) -> Vec<Violation> {
    let mut violations = Vec::new();
    for span in spans {
        let Fault::UpstreamsCut(n, mode, _) = span.fault else {
            continue;
        };
        let from = span.from + NOTICED_WITHIN;
        let n = n % instances;
        let overlapping = || {
            let others = spans.iter().filter(|s| !std::ptr::eq(*s, span));
            others.filter(|s| s.from < span.to && s.to > span.from)
        };
        if overlapping().any(|s| concerns_instances(s.fault)) {
            continue;
        }
        let cut_off = |instance: usize| {
            let cut = |s: &FaultSpan| matches!(s.fault, Fault::UpstreamsCut(m, ..) if m % instances == instance);
            instance == n || overlapping().any(cut)
        };
        let judged = attempts.iter().filter(|a| {
            let in_span = a.sent >= from && a.sent < span.to;
            in_span && !a.kind.crashes()
        });
        let (behind, others): (Vec<&Attempt>, Vec<&Attempt>) =
            judged.partition(|a| cut_off(a.instance.0));
        let served = |attempts: &[&Attempt]| attempts.iter().filter(|a| a.is_served()).count();
        let (behind_served, others_served) = (served(&behind), served(&others));
        let failed = behind.len() - behind_served;
        let all = behind.len() + others.len();
        let is_less = behind_served * 3 * others.len() < others_served * 2 * behind.len();
        if is_less && failed > TOLERATED + all / TOLERATED_ONE_IN {
            violations.push(Violation {
                guarantee: "callers of instances without a path to upstreams are served",
                detail: format!(
                    "{mode:?} from {:?} at instance {n}: {behind_served} of {} there, \
                     {others_served} of {} elsewhere",
                    span.from,
                    behind.len(),
                    others.len()
                ),
            });
        }
    }
    violations
}

/// True if a fault keeps instances themselves from serving.
pub(crate) fn concerns_instances(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::Kill(..)
            | Fault::KillAll(_)
            | Fault::Stop(_)
            | Fault::Pause(..)
            | Fault::Store(..)
            | Fault::StoreLink(..)
            | Fault::Restore(_)
            | Fault::RevokeDuringPartition(_)
    )
}
