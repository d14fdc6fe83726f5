//! Which requests end the upstreams that run them.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::CompletedRun;
use crate::Content;
use crate::QUARANTINE_TTL;
use crate::UpstreamStart;

/// Ends, one after the other, with a request aboard that make it suspect.
const SUSPECT_AFTER: usize = 2;
/// Ends that quarantine it. Fewer are met by chance where upstreams fail in numbers; each
/// more costs the users another upstream.
const QUARANTINE_AFTER: usize = 3;
/// The same where another request was there as often: one end more may tell them apart.
const QUARANTINE_OF_TWO_AFTER: usize = QUARANTINE_AFTER + 1;
/// How long an end waits for the reports of other instances: several round trips between
/// availability zones, and what it takes to find out that an upstream is gone.
const REPORTS_WITHIN: Duration = Duration::from_millis(250);
/// How long those who saw a suspect run well have to say so. Two heartbeats, so that all
/// instances have heard of it; a third of the time in which a quarantine has to be known.
const OBJECTIONS_WITHIN: Duration = Duration::from_millis(1_000);
/// After that long an upstream that has ended is not listed any more. Users' upstreams are
/// removed after three heartbeats of 1.2 s; twice that.
const REMOVED_WITHIN: Duration = Duration::from_secs(8);
/// How long ends are kept: a request that comes back after its quarantine has lapsed is
/// quarantined after one more.
const KEPT_FOR: Duration = QUARANTINE_TTL.saturating_mul(3);
/// The most ends that are kept.
const MOST_ENDS: usize = 256;
/// The most runs of one end that are kept: the largest upstreams work on 64 at a time.
const MOST_RUNS: usize = 256;

/// A run that an upstream did not finish.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenRun {
    /// Of which request.
    pub content: Content,
    /// When it was sent there.
    pub began: MonoTime,
}

/// The end of an upstream, as one instance saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamCrash {
    /// What it worked for.
    pub service: CompactString,
    /// Its identity.
    pub upstream: CompactString,
    /// Which start of it ended.
    pub start: UpstreamStart,
    /// When.
    pub at: MonoTime,
    /// What it had not finished.
    pub runs: Vec<BrokenRun>,
}

/// What the ends of upstreams say.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Requests that may have ended them.
    pub suspected: Vec<Finding>,
    /// Requests that have.
    pub quarantined: Vec<Finding>,
    /// Requests that seemed to have, and have not.
    pub released: Vec<Content>,
}

/// A request, and what speaks against it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The request.
    pub content: Content,
    /// Upstreams that ended with it, one after the other.
    pub crashes: usize,
    /// The longest time from its sending to such an end.
    pub longest_run: Duration,
    /// When the last of them was.
    pub last_crash: MonoTime,
}

/// The ends of upstreams, and the requests that were there.
///
/// Guards against a request that ends each upstream which runs it and whose caller sends
/// it again: seen from any one instance an upstream has failed, and the request goes to
/// the next. What an upstream held when it ended is no proof, since an end breaks off
/// everything there. Four things tell the cause from the others:
///
/// - It is there again each time. Ends count one after the other: one counts only if the
///   run began after the end before, so that a loss of power, at however many upstreams a
///   repeated request was, is one.
/// - It does not end well in between. One run that did speaks for a request against all
///   ends before it.
/// - It alone explains all of its ends. What is found to have ended an upstream clears
///   all others that were there. Two that were always there together are told apart by the
///   next end; if that does not, the one whose runs were ended sooner goes first, and if
///   upstreams go on ending under the other, that one is found and the first released.
/// - The upstreams have really ended. One that is still listed long after is taken for
///   cut off.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    ends: VecDeque<KnownEnd>,
    suspected: HashMap<Content, MonoTime>,
    quarantined: HashSet<Content>,
}

#[derive(Debug)]
struct KnownEnd {
    end: UpstreamCrash,
    heard: MonoTime,
    is_confirmed: bool,
}

/// What speaks against one request, of the ends that nothing else explains.
#[derive(Debug, Default)]
struct Case {
    ends: usize,
    last: Option<MonoTime>,
    longest: Duration,
}

impl Case {
    fn count(&mut self, run: &BrokenRun, ended: MonoTime) {
        if self.last.is_some_and(|last| run.began <= last) {
            return;
        }
        self.ends += 1;
        self.last = Some(ended);
        self.longest = self.longest.max(ended.since(run.began));
    }

    fn finding(&self, content: Content) -> Finding {
        Finding {
            content,
            crashes: self.ends,
            longest_run: self.longest,
            last_crash: self.last.unwrap_or(MonoTime::ZERO),
        }
    }
}

impl CrashEvidence {
    /// An instance saw the end of an upstream.
    pub fn record_crash(&mut self, now: MonoTime, end: UpstreamCrash) {
        let same = |k: &&mut KnownEnd| {
            k.end.upstream == end.upstream
                && k.end.start == end.start
                && k.end.service == end.service
        };
        if let Some(known) = self.ends.iter_mut().find(same) {
            let room = MOST_RUNS.saturating_sub(known.end.runs.len());
            known.end.runs.extend(end.runs.into_iter().take(room));
            known.end.at = known.end.at.min(end.at);
            return;
        }
        while self.ends.len() >= MOST_ENDS {
            self.forget_oldest();
        }
        let place = self.ends.partition_point(|k| k.end.at <= end.at);
        let known = KnownEnd {
            end,
            heard: now,
            is_confirmed: false,
        };
        self.ends.insert(place, known);
    }

    /// A run ended well, as somebody remembers. It speaks for its request against the ends
    /// before, and not against those that came after: what a request does to upstreams can
    /// change from one moment to the next. True if nothing speaks against it any more.
    pub fn record_completed_run(&mut self, run: &CompletedRun) -> bool {
        let is_there = |k: &KnownEnd| {
            let mut runs = k.end.runs.iter();
            k.end.service == run.service && runs.any(|r| r.content == run.content)
        };
        let had = self.ends.iter().any(is_there);
        for known in self.ends.iter_mut().filter(|k| k.end.at <= run.at) {
            if known.end.service == run.service {
                known.end.runs.retain(|r| r.content != run.content);
            }
        }
        had && !self.ends.iter().any(is_there)
    }

    /// Leaves out ends of upstreams that are still listed when they should not be.
    pub fn discard_listed(
        &mut self,
        now: MonoTime,
        is_listed: impl Fn(&str, UpstreamStart) -> bool,
    ) {
        let due = |k: &KnownEnd| !k.is_confirmed && now.since(k.end.at) > REMOVED_WITHIN;
        self.ends.retain_mut(|k| {
            if !due(k) {
                return true;
            }
            k.is_confirmed = true;
            !is_listed(&k.end.upstream, k.end.start)
        });
    }

    /// True if time alone may bring a finding.
    pub fn is_pending(&self, now: MonoTime) -> bool {
        let young = |k: &KnownEnd| now.since(k.heard) <= REPORTS_WITHIN || !k.is_confirmed;
        self.ends.iter().any(young)
    }

    /// What the ends say now. What was quarantined here before and is not explained that
    /// way any more is released.
    pub fn findings(&mut self, now: MonoTime) -> Findings {
        while self
            .ends
            .front()
            .is_some_and(|k| now.since(k.end.at) > KEPT_FOR)
        {
            self.forget_oldest();
        }
        let mut findings = Findings::default();
        let services: HashSet<CompactString> =
            self.ends.iter().map(|k| k.end.service.clone()).collect();
        for service in services {
            self.explain_ends_of(now, &service, &mut findings);
        }
        let is_suspected = |c: &Content| {
            let mut all = findings.suspected.iter().chain(&findings.quarantined);
            all.any(|f| f.content == *c)
        };
        self.suspected.retain(|content, _| is_suspected(content));
        let found: HashSet<Content> = findings.quarantined.iter().map(|f| f.content).collect();
        let before = std::mem::replace(&mut self.quarantined, found);
        let no_more = before.difference(&self.quarantined);
        findings.released.extend(no_more);
        findings
    }

    /// Explains the ends of a service by as few requests as do, the likeliest first.
    fn explain_ends_of(&mut self, now: MonoTime, service: &str, findings: &mut Findings) {
        let ends = self.ends.iter().filter(|k| k.end.service == service);
        let heard = ends.filter(|k| now.since(k.heard) > REPORTS_WITHIN);
        let mut left: Vec<&UpstreamCrash> = heard.map(|k| &k.end).collect();
        loop {
            let cases = cases(&left);
            let likeliest = cases.iter().max_by_key(|(content, case)| {
                (case.ends, Reverse(case.longest), Reverse(**content))
            });
            let Some((content, case)) = likeliest else {
                return;
            };
            if case.ends < SUSPECT_AFTER {
                return;
            }
            let as_often = cases.iter().filter(|(_, c)| c.ends == case.ends);
            let mut others = as_often.filter(|(other, _)| *other != content);
            let enough = match others.any(|(other, _)| is_always_with(&left, *other, *content)) {
                true => QUARANTINE_OF_TWO_AFTER,
                false => QUARANTINE_AFTER,
            };
            let since = *self.suspected.entry(*content).or_insert(now);
            let had_time = now.since(since) >= OBJECTIONS_WITHIN;
            let finding = case.finding(*content);
            match case.ends >= enough && had_time {
                true => findings.quarantined.push(finding),
                false => findings.suspected.push(finding),
            }
            left.retain(|end| !end.runs.iter().any(|r| r.content == *content));
        }
    }

    /// Without an end that is forgotten nothing is released: it has not been explained.
    fn forget_oldest(&mut self) {
        if let Some(known) = self.ends.pop_front() {
            for run in known.end.runs {
                self.quarantined.remove(&run.content);
            }
        }
    }
}

/// True if a request was at every one of these ends at which another was.
fn is_always_with(ends: &[&UpstreamCrash], one: Content, other: Content) -> bool {
    let was_at = |end: &UpstreamCrash, who| end.runs.iter().any(|r| r.content == who);
    let mut of_other = ends.iter().filter(|end| was_at(end, other));
    of_other.all(|end| was_at(end, one))
}

/// What speaks against each request that was at these ends, which are in order of time.
fn cases(ends: &[&UpstreamCrash]) -> HashMap<Content, Case> {
    let mut cases: HashMap<Content, Case> = HashMap::new();
    for end in ends {
        let mut runs: Vec<&BrokenRun> = end.runs.iter().collect();
        // Of several runs of one request the oldest decides: had it ended the upstream,
        // it would have done so soon after that one had begun.
        runs.sort_by_key(|r| r.began);
        let mut counted: HashSet<Content> = HashSet::new();
        for run in runs {
            if counted.insert(run.content) {
                cases.entry(run.content).or_default().count(run, end.at);
            }
        }
    }
    cases
}
