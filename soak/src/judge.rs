//! Checks of the recorded attempts and requests for violated guarantees.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use jd_net::lock;

use crate::Attempt;
use crate::Fault;
use crate::FaultSpan;
use crate::Outcome;
use crate::Recorder;
use crate::RequestKind;
use crate::UpstreamRequest;
use crate::Violation;
use crate::cuts;
use crate::fake_upstream;
use crate::limits;
use crate::losses;
use crate::notices;
use crate::quarantine;
use crate::run_bounds;
use crate::turns::Load;
use crate::versions;

/// The time from a revocation until the credential is refused everywhere: the users' bound.
const REVOKED_WITHIN: Duration = Duration::from_millis(5_000);
/// The time after which no new request may reach a draining upstream: twice the users'
/// bound, because all processes of a soak share one machine.
const DRAINED_WITHIN: Duration = Duration::from_millis(4_000);
/// Requests to a draining upstream count as late only if no unplanned fault was active
/// within this time before the drain or during it.
const SETTLE_TIME: Duration = Duration::from_millis(4_000);
/// The time for which an older configuration version may still take effect after a newer
/// one did, because requests that were sent earlier may be answered later. The users' bound.
const REORDER_GRACE: Duration = Duration::from_millis(250);
/// The users' bound on the ratio of retries to requests of a service.
const RETRY_RATIO: f64 = 0.2;
/// Retries beyond the ratio that are allowed, as in the settings of the instances.
const RETRY_SLACK: f64 = 50.0;
/// The window over which retries are counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// The time after the last fault from which requests count for the recovery.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_500);
/// The fewest requests from which the recovery is judged.
const MIN_RECOVERY_SAMPLE: usize = 20;

/// The recorded events, with an index for the checks.
struct Events<'a> {
    attempts: &'a [Attempt],
    requests: &'a [UpstreamRequest],
    spans: &'a [FaultSpan],
    /// The number of executions of each request.
    executions: HashMap<&'a str, usize>,
}

/// Returns the violated guarantees of `instances`. `calm` is the time at which the faults ended.
pub(crate) fn judge(
    recorder: &Recorder,
    calm: Duration,
    instances: usize,
    load: Load,
) -> Vec<Violation> {
    let attempts = lock(&recorder.attempts);
    let requests = lock(&recorder.upstream_requests);
    let spans = lock(&recorder.spans);
    let mut executions: HashMap<&str, usize> = HashMap::new();
    for request in requests.iter().filter(|r| r.executed) {
        *executions.entry(request.id.as_str()).or_default() += 1;
    }
    let events = Events {
        attempts: &attempts,
        requests: &requests,
        spans: &spans,
        executions,
    };
    let mut violations = Vec::new();
    events.responses_match(&mut violations);
    events.at_most_once(&mut violations);
    events.refusals_not_executed(&mut violations);
    events.only_callers_requests(&mut violations);
    events.revocations_enforced(&mut violations);
    events.versions_monotonic(&mut violations);
    events.drains_respected(&mut violations);
    events.retries_bounded(&mut violations);
    events.recovered(calm, &mut violations);
    events.newest_in_force(calm, &mut violations);
    violations.extend(quarantine::judge(&attempts, &requests, &spans, instances));
    violations.extend(losses::judge(&attempts, &requests, &spans, instances, load));
    violations.extend(limits::judge(&requests, &spans));
    violations.extend(notices::judge(&attempts, &requests, &spans, instances));
    violations.extend(run_bounds::judge(&attempts, &requests));
    violations.extend(cuts::judge(&attempts, &spans, instances));
    violations.extend(versions::judge(&attempts, &spans, instances));
    violations
}

impl Events<'_> {
    fn executions(&self, id: &str) -> usize {
        self.executions.get(id).copied().unwrap_or(0)
    }

    fn responses_match(&self, violations: &mut Vec<Violation>) {
        let judged = self.attempts.iter();
        for a in judged.filter(|a| !a.kind.crashes()) {
            let Outcome::Response {
                status,
                signature,
                body,
                complete,
            } = &a.outcome
            else {
                continue;
            };
            let body = &match a.kind {
                RequestKind::ResumableStream | RequestKind::Stream => versions::hidden(body),
                _ => body.clone(),
            };
            let own = signature.as_ref().is_some_and(|s| s.starts_with(&a.id));
            let expected = match a.kind {
                RequestKind::ResumableStream | RequestKind::Stream => {
                    let first = a.takes_up.as_ref().map_or(1, |t| t.after + 1);
                    let events = (first..=fake_upstream::EVENTS)
                        .map(|n| fake_upstream::event(&a.id, n, versions::ANY));
                    events.collect()
                }
                _ => fake_upstream::plain_answer(&a.id),
            };
            let wrong = match (*status, *complete) {
                (200..300, _) if !own => Some("success without the signature of an upstream"),
                (200..300, true) if *body != expected => Some("success with another body"),
                (200..300, false) if !expected.starts_with(body.as_str()) => {
                    Some("truncated success with another body")
                }
                (0..200 | 600.., _) => Some("status that is none"),
                (500, _) if signature.is_some() && !own => {
                    Some("failure with the signature of another request")
                }
                (status, _) if status != 500 && status >= 300 && signature.is_some() => {
                    Some("refusal by an instance with the signature of an upstream")
                }
                _ => None,
            };
            if let Some(wrong) = wrong {
                violations.push(Violation {
                    guarantee: "responses are complete and belong to their requests",
                    detail: format!("{} {:?}: {wrong}: {status} {body:?}", a.id, a.kind),
                });
            }
        }
    }

    fn at_most_once(&self, violations: &mut Vec<Violation>) {
        for a in self.attempts {
            let most = if a.may_retry() { usize::MAX } else { 1 };
            if self.executions(&a.id) > most {
                violations.push(Violation {
                    guarantee: "at most once",
                    detail: format!("{} was executed {} times", a.id, self.executions(&a.id)),
                });
            }
        }
    }

    fn refusals_not_executed(&self, violations: &mut Vec<Violation>) {
        for a in self.attempts {
            let refused = matches!(
                a.outcome,
                Outcome::Response {
                    status: 408 | 421 | 429 | 503,
                    ..
                }
            );
            if refused && !a.may_retry() && self.executions(&a.id) > 0 {
                violations.push(Violation {
                    guarantee: "refused requests are not executed",
                    detail: format!("{} was refused as not executed, but was executed", a.id),
                });
            }
        }
    }

    fn only_callers_requests(&self, violations: &mut Vec<Violation>) {
        let asked: HashSet<&str> = self.attempts.iter().map(|a| a.id.as_str()).collect();
        for request in self.requests {
            let fault = match request.fault {
                None if !asked.contains(request.id.as_str()) => Some("was not sent by any caller"),
                fault => fault,
            };
            if let Some(fault) = fault {
                violations.push(Violation {
                    guarantee: "upstreams receive only well-formed requests of callers",
                    detail: format!("{} at {}: {fault}", request.id, request.upstream),
                });
            }
        }
    }

    fn revocations_enforced(&self, violations: &mut Vec<Violation>) {
        let revoked = |s: &&FaultSpan| s.fault == Fault::Revoke && !s.target.is_empty();
        for span in self.spans.iter().filter(revoked) {
            let late = self
                .attempts
                .iter()
                .filter(|a| !matches!(a.kind, RequestKind::ConfigProbe(_)))
                .filter(|a| a.key == span.target && a.sent > span.to + REVOKED_WITHIN);
            for a in late.filter(|a| self.executions(&a.id) > 0) {
                violations.push(Violation {
                    guarantee: "revoked credentials are refused",
                    detail: format!(
                        "{} was executed with {} although sent {:?} after its revocation",
                        a.id,
                        a.key,
                        a.sent.saturating_sub(span.to)
                    ),
                });
            }
        }
    }

    fn versions_monotonic(&self, violations: &mut Vec<Violation>) {
        let probes: Vec<(&Attempt, u64)> = self
            .attempts
            .iter()
            .filter(|a| a.is_served())
            .filter_map(|a| match a.kind {
                RequestKind::ConfigProbe(version) => Some((a, version)),
                _ => None,
            })
            .collect();
        for (newer, newest) in &probes {
            let back = probes.iter().find(|(older, version)| {
                let same = older.instance == newer.instance;
                same && version < newest && older.sent > newer.ended + REORDER_GRACE
            });
            if let Some((older, version)) = back {
                violations.push(Violation {
                    guarantee: "configuration versions never go backwards",
                    detail: format!(
                        "{:?} served version {newest} at {:?} and later {version} to {}",
                        newer.instance, newer.ended, older.id
                    ),
                });
            }
        }
    }

    fn drains_respected(&self, violations: &mut Vec<Violation>) {
        for span in self
            .spans
            .iter()
            .filter(|s| matches!(s.fault, Fault::Drain(_)))
        {
            let due = span.from + DRAINED_WITHIN;
            let late = self
                .requests
                .iter()
                .find(|r| r.executed && r.upstream == span.target && r.at > due);
            let Some(late) = late else {
                continue;
            };
            let disturbed = self.spans.iter().any(|s| {
                !s.fault.is_planned() && s.from < late.at && s.to + SETTLE_TIME > span.from
            });
            if !disturbed {
                violations.push(Violation {
                    guarantee: "draining upstreams receive no new requests",
                    detail: format!("{} reached {} at {:?}", late.id, late.upstream, late.at),
                });
            }
        }
    }

    fn retries_bounded(&self, violations: &mut Vec<Violation>) {
        let is_stream =
            |kind: RequestKind| matches!(kind, RequestKind::ResumableStream | RequestKind::Stream);
        let kinds: HashMap<&str, RequestKind> = self
            .attempts
            .iter()
            .map(|a| (a.id.as_str(), a.kind))
            .collect();
        for streams in [false, true] {
            let mut known: HashSet<&str> = HashSet::new();
            let is_of_service = |id: &str| kinds.get(id).is_some_and(|k| is_stream(*k) == streams);
            let retries: Vec<Duration> = self
                .requests
                .iter()
                .filter(|r| is_of_service(&r.id))
                .filter(|r| !known.insert(r.id.as_str()))
                .map(|r| r.at)
                .collect();
            for end in &retries {
                let within = |at: &Duration| at <= end && *at + RETRY_WINDOW > *end;
                let asked = self
                    .attempts
                    .iter()
                    .filter(|a| is_stream(a.kind) == streams)
                    .filter(|a| within(&a.sent) || within(&(a.sent + RETRY_WINDOW)));
                let bound = asked.count() as f64 * RETRY_RATIO + RETRY_SLACK;
                let count = retries.iter().filter(|at| within(at)).count();
                if count as f64 > bound {
                    violations.push(Violation {
                        guarantee: "bounded retries",
                        detail: format!(
                            "{count} retries in the window until {end:?}, more than {bound}"
                        ),
                    });
                    break;
                }
            }
        }
    }

    /// After the faults, every instance serves by the newest configuration version.
    fn newest_in_force(&self, calm: Duration, violations: &mut Vec<Violation>) {
        let version = |a: &Attempt| match a.kind {
            RequestKind::ConfigProbe(version) => Some(version),
            _ => None,
        };
        let newest = self.attempts.iter().filter_map(version).max();
        let probes = self.attempts.iter().filter(|a| version(a) == newest);
        let late = probes.filter(|a| a.sent > calm + RECOVERY_GRACE);
        let unknown = |a: &&Attempt| matches!(a.outcome, Outcome::Response { status: 404, .. });
        for a in late.filter(|a| newest.is_some() && unknown(a)) {
            violations.push(Violation {
                guarantee: "the newest configuration is in force",
                detail: format!(
                    "{} sent to instance {:?} found no route of version {newest:?}",
                    a.id, a.instance
                ),
            });
        }
    }

    fn recovered(&self, calm: Duration, violations: &mut Vec<Violation>) {
        let counted = |a: &&Attempt| {
            a.sent > calm + RECOVERY_GRACE
                && a.key == crate::config::KEYS[0]
                && !a.kind.crashes()
                && !matches!(a.kind, RequestKind::ConfigProbe(_))
        };
        let after: Vec<&Attempt> = self.attempts.iter().filter(counted).collect();
        let served = after.iter().filter(|a| a.is_served()).count();
        if after.len() >= MIN_RECOVERY_SAMPLE && served * 4 < after.len() {
            violations.push(Violation {
                guarantee: "recovery",
                detail: format!(
                    "only {served} of {} requests were served after the faults",
                    after.len()
                ),
            });
        }
        if !self.attempts.iter().any(Attempt::is_served) {
            violations.push(Violation {
                guarantee: "recovery",
                detail: "no request was served during the soak".into(),
            });
        }
    }
}
