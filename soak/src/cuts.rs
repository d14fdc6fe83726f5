//! Checks that callers of instances without a path to upstreams are served.

use std::time::Duration;

use jd_net::lock;

use crate::Attempt;
use crate::Fault;
use crate::FaultSpan;
use crate::Recorder;
use crate::Violation;
use crate::versions;

/// The time after the beginning of a cut from which requests count: the users' bound on the time
/// in which an instance notices a fault.
const NOTICED_WITHIN: Duration = Duration::from_secs(3);
/// Failed requests at instances that are cut off that the users tolerate, and one in so many of
/// all requests.
pub(crate) const TOLERATED: usize = 10;
pub(crate) const TOLERATED_ONE_IN: usize = 50;

/// Served requests and all requests.
pub(crate) type Served = (usize, usize);

/// How requests were served during cuts, and streams that callers took up.
#[derive(Debug, Default, Clone, Copy)]
pub struct Shares {
    /// Requests at instances that are cut off from all upstreams, from the time on from which they
    /// count.
    pub behind: Served,
    /// Those at the other instances at the same time.
    pub elsewhere: Served,
    /// Streams that were taken up, and of these went on.
    pub taken_up: Served,
    /// New streams that may be taken up, and of these began.
    pub begun: Served,
}

impl Shares {
    /// The shares of a whole run.
    pub fn of(recorder: &Recorder, instances: usize) -> Shares {
        let attempts = lock(&recorder.attempts);
        let spans = lock(&recorder.spans);
        let (taken_up, begun) = versions::streams(&attempts, &spans, instances);
        let mut shares = Shares {
            taken_up,
            begun,
            ..Shares::default()
        };
        for (n, span) in cuts(&spans) {
            let (behind, elsewhere) = served_during(&attempts, &spans, span, n, instances);
            shares.behind = (shares.behind.0 + behind.0, shares.behind.1 + behind.1);
            shares.elsewhere.0 += elsewhere.0;
            shares.elsewhere.1 += elsewhere.1;
        }
        shares
    }
}

fn cuts(spans: &[FaultSpan]) -> impl Iterator<Item = (usize, &FaultSpan)> {
    spans.iter().filter_map(|span| match span.fault {
        Fault::UpstreamsCut(n, ..) => Some((n, span)),
        _ => None,
    })
}

/// Other faults during a cut.
fn beside<'a>(spans: &'a [FaultSpan], cut: &'a FaultSpan) -> impl Iterator<Item = &'a FaultSpan> {
    let others = spans.iter().filter(move |s| !std::ptr::eq(*s, cut));
    others.filter(move |s| s.from < cut.to && s.to > cut.from)
}

/// How requests were served during a cut of instance `n`, at instances that were cut off and at the
/// others.
fn served_during(
    attempts: &[Attempt],
    spans: &[FaultSpan],
    span: &FaultSpan,
    n: usize,
    instances: usize,
) -> (Served, Served) {
    let from = span.from + NOTICED_WITHIN;
    let cut_off = |instance: usize| {
        let cut = |s: &FaultSpan| matches!(s.fault, Fault::UpstreamsCut(m, ..) if m % instances == instance);
        instance == n % instances || beside(spans, span).any(cut)
    };
    let judged = attempts.iter().filter(|a| {
        let in_span = a.sent >= from && a.sent < span.to;
        in_span && !a.kind.crashes()
    });
    let (behind, others): (Vec<&Attempt>, Vec<&Attempt>) =
        judged.partition(|a| cut_off(a.instance.0));
    let served = |attempts: &[&Attempt]| attempts.iter().filter(|a| a.is_served()).count();
    (
        (served(&behind), behind.len()),
        (served(&others), others.len()),
    )
}

/// Returns a violation for each cut during which the requests at the instance that is cut off were
/// served less than two thirds as often as those at the others.
pub(crate) fn judge(attempts: &[Attempt], spans: &[FaultSpan], instances: usize) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (n, span) in cuts(spans) {
        if beside(spans, span).any(|s| concerns_instances(s.fault)) {
            continue;
        }
        let ((behind_served, behind), (others_served, others)) =
            served_during(attempts, spans, span, n, instances);
        let failed = behind - behind_served;
        let all = behind + others;
        let is_less = behind_served * 3 * others < others_served * 2 * behind;
        if is_less && failed > TOLERATED + all / TOLERATED_ONE_IN {
            violations.push(Violation {
                guarantee: "callers of instances without a path to upstreams are served",
                detail: format!(
                    "{:?} from {:?}: {behind_served} of {behind} there, \
                     {others_served} of {others} elsewhere",
                    span.fault, span.from,
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
            | Fault::ForwardsCut(..)
            | Fault::Store(..)
            | Fault::StoreLink(..)
            | Fault::Restore(_)
            | Fault::RevokeDuringPartition(_)
    )
}
