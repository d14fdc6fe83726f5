//! Which promises were broken, from what callers and upstreams saw.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::time::Duration;

use jd_net::lock;

use crate::Attempt;
use crate::Fault;
use crate::FaultSpan;
use crate::Outcome;
use crate::Recorder;
use crate::RequestKind;
use crate::UpstreamRequest;
use crate::bad_requests;
use crate::fake_upstream;
use crate::limits;
use crate::notices;

/// Within which a credential that was taken away works nowhere: the users' bound.
const REVOKED_WITHIN: Duration = Duration::from_millis(5_000);
/// Within which nothing new reaches an upstream that leaves: twice the users'
/// bound, since all processes share one machine here.
const DRAINED_WITHIN: Duration = Duration::from_millis(4_000);
/// How long before that nothing else may have been wrong for it to count.
const CALM_BEFORE: Duration = Duration::from_millis(4_000);
/// How long after a version's effect was seen an older one may still show: what
/// was sent before may be answered later. The users' bound.
const BACK_WITHIN: Duration = Duration::from_millis(250);
/// The users' bound on repeats at a service.
const REPEAT_RATIO: f64 = 0.2;
/// Repeats beyond that; the instances of a soak are told the same.
const REPEAT_SLACK: f64 = 50.0;
/// The span over which repeats are counted.
const REPEAT_WINDOW: Duration = Duration::from_secs(10);
/// Upstreams that a request that may be repeated may run on.
const MOST_RUNS: usize = 2;
/// Requests beyond that which are let pass, as the users do.
const MORE_RUNS_PASSED: usize = 3;
/// Seven tenths of the time that callers wait: beyond it the users' rules excuse
/// an answer that ends early.
const USED_UP: Duration = Duration::from_millis(2_100);
/// From the last fault until what is sent counts for the recovery.
const RECOVERED_AFTER: Duration = Duration::from_millis(2_500);
/// Fewer requests than that say nothing of a recovery.
const RECOVERY_SAMPLE: usize = 20;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub guarantee: &'static str,
    /// By what, with the identity of the request if it is one.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.detail)
    }
}

/// What was seen, laid out for the checks.
struct Seen<'a> {
    attempts: &'a [Attempt],
    runs: &'a [UpstreamRequest],
    spans: &'a [FaultSpan],
    /// How often each request ran.
    ran: HashMap<&'a str, usize>,
}

/// The promises that were broken; faults ended at `calm`.
pub fn judge(recorder: &Recorder, calm: Duration) -> Vec<Violation> {
    let attempts = lock(&recorder.attempts);
    let runs = lock(&recorder.upstream_requests);
    let spans = lock(&recorder.spans);
    let mut ran: HashMap<&str, usize> = HashMap::new();
    for run in runs.iter().filter(|r| r.executed) {
        *ran.entry(run.id.as_str()).or_default() += 1;
    }
    let seen = Seen {
        attempts: &attempts,
        runs: &runs,
        spans: &spans,
        ran,
    };
    let mut broken = Vec::new();
    seen.own_whole_answers(&mut broken);
    seen.at_most_once(&mut broken);
    seen.truthful_refusals(&mut broken);
    seen.only_what_was_asked(&mut broken);
    seen.credentials_end(&mut broken);
    seen.never_back(&mut broken);
    seen.drained(&mut broken);
    seen.repeats_bounded(&mut broken);
    seen.planned_work_cuts_nothing(&mut broken);
    seen.recovered(calm, &mut broken);
    seen.newest_in_force(calm, &mut broken);
    broken.extend(bad_requests::judge(&attempts, &runs, &spans));
    broken.extend(limits::judge(&runs, &spans));
    broken.extend(notices::judge(&attempts, &runs, &spans));
    broken
}

impl Attempt {
    fn may_repeat(&self) -> bool {
        matches!(
            self.kind,
            RequestKind::Idempotent
                | RequestKind::ResumableStream
                | RequestKind::ConfigProbe(_)
                | RequestKind::Hot
                | RequestKind::Crashing(_)
        )
    }

    /// True if it was answered whole and with success.
    pub fn is_served(&self) -> bool {
        matches!(
            &self.outcome,
            Outcome::Response {
                status: 200..300,
                complete: true,
                ..
            }
        )
    }
}

impl Seen<'_> {
    fn ran(&self, id: &str) -> usize {
        self.ran.get(id).copied().unwrap_or(0)
    }

    fn own_whole_answers(&self, broken: &mut Vec<Violation>) {
        let judged = self.attempts.iter();
        for a in judged.filter(|a| !matches!(a.kind, RequestKind::Crashing(_))) {
            let Outcome::Response {
                status,
                signature,
                body,
                complete,
            } = &a.outcome
            else {
                continue;
            };
            let own = signature.as_ref().is_some_and(|s| s.starts_with(&a.id));
            let expected = match a.kind {
                RequestKind::ResumableStream | RequestKind::Stream => {
                    let events =
                        (1..=fake_upstream::EVENTS).map(|n| fake_upstream::event(&a.id, n));
                    events.collect()
                }
                _ => fake_upstream::plain_answer(&a.id),
            };
            let wrong = match (*status, *complete) {
                (200..300, _) if !own => Some("success that no upstream vouches for"),
                (200..300, true) if *body != expected => Some("success with another body"),
                (200..300, false) if !expected.starts_with(body.as_str()) => {
                    Some("cut success with another body")
                }
                (500, _) if signature.is_some() && !own => Some("another's failure"),
                (status, _) if status != 500 && status >= 300 && signature.is_some() => {
                    Some("a failure of its own with an upstream's signature")
                }
                _ => None,
            };
            if let Some(wrong) = wrong {
                broken.push(Violation {
                    guarantee: "own whole answers",
                    detail: format!("{} {:?}: {wrong}: {status} {body:?}", a.id, a.kind),
                });
            }
        }
    }

    fn at_most_once(&self, broken: &mut Vec<Violation>) {
        for a in self.attempts {
            let most = if a.may_repeat() { usize::MAX } else { 1 };
            if self.ran(&a.id) > most {
                broken.push(Violation {
                    guarantee: "at most once",
                    detail: format!("{} ran {} times", a.id, self.ran(&a.id)),
                });
            }
        }
        let more = self.attempts.iter().filter(|a| self.ran(&a.id) > MOST_RUNS);
        let more: Vec<&str> = more.map(|a| a.id.as_str()).collect();
        if more.len() > MORE_RUNS_PASSED {
            broken.push(Violation {
                guarantee: "bounded repeats",
                detail: format!("{more:?} ran more than {MOST_RUNS} times"),
            });
        }
    }

    fn truthful_refusals(&self, broken: &mut Vec<Violation>) {
        for a in self.attempts {
            let refused = matches!(
                a.outcome,
                Outcome::Response {
                    status: 408 | 421 | 429 | 503,
                    ..
                }
            );
            if refused && !a.may_repeat() && self.ran(&a.id) > 0 {
                broken.push(Violation {
                    guarantee: "truthful refusals",
                    detail: format!("{} was refused as not run, and ran", a.id),
                });
            }
        }
    }

    fn only_what_was_asked(&self, broken: &mut Vec<Violation>) {
        let asked: HashSet<&str> = self.attempts.iter().map(|a| a.id.as_str()).collect();
        for run in self.runs {
            let fault = match run.fault {
                None if !asked.contains(run.id.as_str()) => Some("nobody asked for it"),
                fault => fault,
            };
            if let Some(fault) = fault {
                broken.push(Violation {
                    guarantee: "only what was asked",
                    detail: format!("{} at {}: {fault}", run.id, run.upstream),
                });
            }
        }
    }

    fn credentials_end(&self, broken: &mut Vec<Violation>) {
        let revoked = |s: &&FaultSpan| s.fault == Fault::Revoke && !s.target.is_empty();
        for span in self.spans.iter().filter(revoked) {
            let late = self
                .attempts
                .iter()
                .filter(|a| !matches!(a.kind, RequestKind::ConfigProbe(_)))
                .filter(|a| a.key == span.target && a.sent > span.to + REVOKED_WITHIN);
            for a in late.filter(|a| self.ran(&a.id) > 0) {
                broken.push(Violation {
                    guarantee: "credentials end",
                    detail: format!(
                        "{} ran with {} sent {:?} after that was taken away",
                        a.id,
                        a.key,
                        a.sent.saturating_sub(span.to)
                    ),
                });
            }
        }
    }

    fn never_back(&self, broken: &mut Vec<Violation>) {
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
                same && version < newest && older.sent > newer.ended + BACK_WITHIN
            });
            if let Some((older, version)) = back {
                broken.push(Violation {
                    guarantee: "never back",
                    detail: format!(
                        "instance {:?} served version {newest} at {:?} and {version} to {}",
                        newer.instance, newer.ended, older.id
                    ),
                });
            }
        }
    }

    fn drained(&self, broken: &mut Vec<Violation>) {
        for span in self
            .spans
            .iter()
            .filter(|s| matches!(s.fault, Fault::Drain(_)))
        {
            let due = span.from + DRAINED_WITHIN;
            let late = self
                .runs
                .iter()
                .find(|r| r.executed && r.upstream == span.target && r.at > due);
            let Some(late) = late else {
                continue;
            };
            let disturbed = self.spans.iter().any(|s| {
                !s.fault.is_planned() && s.from < late.at && s.to + CALM_BEFORE > span.from
            });
            if !disturbed {
                broken.push(Violation {
                    guarantee: "leaving upstreams rest",
                    detail: format!("{} reached {} at {:?}", late.id, late.upstream, late.at),
                });
            }
        }
    }

    fn repeats_bounded(&self, broken: &mut Vec<Violation>) {
        let is_stream =
            |kind: RequestKind| matches!(kind, RequestKind::ResumableStream | RequestKind::Stream);
        let kinds: HashMap<&str, RequestKind> = self
            .attempts
            .iter()
            .map(|a| (a.id.as_str(), a.kind))
            .collect();
        for streams in [false, true] {
            let mut known: HashSet<&str> = HashSet::new();
            let of_service = |id: &str| kinds.get(id).is_some_and(|k| is_stream(*k) == streams);
            let repeats: Vec<Duration> = self
                .runs
                .iter()
                .filter(|r| of_service(&r.id))
                .filter(|r| !known.insert(r.id.as_str()))
                .map(|r| r.at)
                .collect();
            for end in &repeats {
                let within = |at: &Duration| at <= end && *at + REPEAT_WINDOW > *end;
                let asked = self
                    .attempts
                    .iter()
                    .filter(|a| is_stream(a.kind) == streams)
                    .filter(|a| within(&a.sent) || within(&(a.sent + REPEAT_WINDOW)));
                let bound = asked.count() as f64 * REPEAT_RATIO + REPEAT_SLACK;
                let count = repeats.iter().filter(|at| within(at)).count();
                if count as f64 > bound {
                    broken.push(Violation {
                        guarantee: "bounded repeats",
                        detail: format!("{count} repeats until {end:?}, more than {bound}"),
                    });
                    break;
                }
            }
        }
    }

    /// Where all faults were planned work no request that was passed on may be
    /// cut. One that crosses the close of its connection was not passed on, and
    /// one that has used most of its time may have been ended by that.
    fn planned_work_cuts_nothing(&self, broken: &mut Vec<Violation>) {
        if !self.spans.iter().all(|s| s.fault.is_planned()) {
            return;
        }
        let used_up = |a: &&Attempt| a.ended.saturating_sub(a.sent) >= USED_UP;
        for a in self.attempts.iter().filter(|a| !used_up(a)) {
            let cut = match a.outcome {
                Outcome::Response { complete, .. } => !complete,
                Outcome::ConnectionLost | Outcome::TimedOut => self.ran(&a.id) > 0,
                Outcome::NotSent => false,
            };
            if cut {
                broken.push(Violation {
                    guarantee: "planned work cuts nothing",
                    detail: format!("{} {:?} at {:?}: {:?}", a.id, a.kind, a.sent, a.outcome),
                });
            }
        }
    }

    /// Once the faults are over every instance serves by the newest version.
    fn newest_in_force(&self, calm: Duration, broken: &mut Vec<Violation>) {
        let version = |a: &Attempt| match a.kind {
            RequestKind::ConfigProbe(version) => Some(version),
            _ => None,
        };
        let newest = self.attempts.iter().filter_map(version).max();
        let probes = self.attempts.iter().filter(|a| version(a) == newest);
        let late = probes.filter(|a| a.sent > calm + RECOVERED_AFTER);
        let unknown = |a: &&Attempt| matches!(a.outcome, Outcome::Response { status: 404, .. });
        for a in late.filter(|a| newest.is_some() && unknown(a)) {
            broken.push(Violation {
                guarantee: "changes are in force",
                detail: format!("{} asked {:?} for {newest:?}", a.id, a.instance),
            });
        }
    }

    fn recovered(&self, calm: Duration, broken: &mut Vec<Violation>) {
        let counted = |a: &&Attempt| {
            a.sent > calm + RECOVERED_AFTER
                && a.key == crate::config::KEYS[0]
                && !matches!(
                    a.kind,
                    RequestKind::ConfigProbe(_) | RequestKind::Crashing(_)
                )
        };
        let after: Vec<&Attempt> = self.attempts.iter().filter(counted).collect();
        let served = after.iter().filter(|a| a.is_served()).count();
        if after.len() >= RECOVERY_SAMPLE && served * 4 < after.len() {
            broken.push(Violation {
                guarantee: "recovery",
                detail: format!("{served} of {} were served after the faults", after.len()),
            });
        }
        if !self.attempts.iter().any(Attempt::is_served) {
            broken.push(Violation {
                guarantee: "recovery",
                detail: "nothing was served at all".into(),
            });
        }
    }
}
