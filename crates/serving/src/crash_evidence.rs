//! Finds the requests that crash the upstreams that run them.

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
use crate::RunContents;
use crate::UpstreamStart;

/// Consecutive crashes during a request that make the request suspected.
const SUSPECT_AFTER: usize = 2;
/// Consecutive crashes that quarantine the request. Fewer occur by chance where many upstreams
/// fail; each additional one costs another upstream.
const QUARANTINE_AFTER: usize = 3;
/// The same if another request was present at as many crashes: one more crash may tell the two
/// apart.
const QUARANTINE_TIED_AFTER: usize = QUARANTINE_AFTER + 1;
/// Time for which a crash waits for the reports of other instances: several round trips between
/// availability zones, and the time in which the loss of an upstream is detected.
const REPORT_WAIT: Duration = Duration::from_millis(250);
/// Time in which instances that completed a suspected request may report this: two heartbeats,
/// so that all instances know of the suspicion, and a third of the time in which a quarantine
/// must be known everywhere.
const OBJECTION_WAIT: Duration = Duration::from_millis(1_000);
/// Time after which a crashed upstream is no longer listed. The platform removes upstreams
/// after three heartbeats of 1.2 s; this is twice that.
const LISTING_TIMEOUT: Duration = Duration::from_secs(8);
/// Retention of crashes: a request that returns after its quarantine has expired is quarantined
/// again after one more crash.
const RETENTION: Duration = QUARANTINE_TTL.saturating_mul(3);
/// Crashes that are kept.
const MAX_CRASHES: usize = 256;
/// Runs that are kept of one crash: the largest upstreams process 64 requests concurrently.
const MAX_RUNS_PER_CRASH: usize = 256;

/// A run that an upstream did not complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRun {
    /// Its request and the parts of its prompt.
    pub contents: RunContents,
    /// When it was sent to the upstream.
    pub began: MonoTime,
    /// When its answer began; `None` if it had not.
    pub answered: Option<MonoTime>,
}

/// The crash of an upstream, as one instance saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamCrash {
    /// The service of the upstream.
    pub service: CompactString,
    /// The upstream's identity.
    pub upstream: CompactString,
    /// The start of the upstream that crashed.
    pub start: UpstreamStart,
    /// When it crashed.
    pub at: MonoTime,
    /// The runs that were in progress.
    pub runs: Vec<BrokenRun>,
}

/// The result of evaluating the crashes of upstreams.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Requests that may have crashed upstreams.
    pub suspected: Vec<Finding>,
    /// Requests that have crashed upstreams.
    pub quarantined: Vec<Finding>,
    /// Requests that were quarantined and turned out not to have crashed upstreams.
    pub released: Vec<Content>,
}

/// A request with the evidence against it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The request.
    pub content: Content,
    /// Consecutive upstream crashes during the request.
    pub crashes: usize,
    /// The longest time from sending the request to such a crash.
    pub longest_run: Duration,
    /// The time of the last such crash.
    pub last_crash: MonoTime,
}

/// The crashes of upstreams and the requests that were in progress.
///
/// Guards against a request that crashes every upstream that runs it and whose caller retries
/// it: for each single instance an upstream has failed, and the request goes to the next one.
/// Being in progress at a crash proves nothing, since a crash breaks off all requests of the
/// upstream. Four rules tell the cause from the other requests:
///
/// - The cause is present at each crash. Crashes count only in sequence: a crash counts if the
///   run began after the previous crash, so that a power loss counts as one crash, at however
///   many upstreams a retried request was running.
/// - The cause does not complete in between. One completed run clears a request of all earlier
///   crashes.
/// - The cause alone explains all of its crashes. When a request is found to have crashed an
///   upstream, all others that were present are cleared of that crash. Two requests that were
///   always present together are told apart by the next crash. If it does not separate them,
///   the request with the shorter runs is taken first, and if upstreams go on crashing with the
///   other one, that one is found and the first is released.
/// - The upstreams have really crashed. An upstream that is still listed long afterwards is
///   taken to have been cut off.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    crashes: VecDeque<KnownCrash>,
    suspected: HashMap<Content, MonoTime>,
    quarantined: HashSet<Content>,
}

#[derive(Debug)]
struct KnownCrash {
    crash: UpstreamCrash,
    received_at: MonoTime,
    is_confirmed: bool,
}

/// The evidence against one request, from the crashes that nothing else explains.
#[derive(Debug, Default)]
struct Evidence {
    crashes: usize,
    last_crash: Option<MonoTime>,
    longest_run: Duration,
}

impl Evidence {
    fn count(&mut self, run: &BrokenRun, crashed_at: MonoTime) {
        if self.last_crash.is_some_and(|at| run.began <= at) {
            return;
        }
        self.crashes += 1;
        self.last_crash = Some(crashed_at);
        self.longest_run = self.longest_run.max(crashed_at.since(run.began));
    }

    fn finding(&self, content: Content) -> Finding {
        Finding {
            content,
            crashes: self.crashes,
            longest_run: self.longest_run,
            last_crash: self.last_crash.unwrap_or(MonoTime::ZERO),
        }
    }
}

impl CrashEvidence {
    /// Records a crash that an instance reported.
    pub fn record_crash(&mut self, now: MonoTime, crash: UpstreamCrash) {
        let same = |k: &&mut KnownCrash| {
            k.crash.upstream == crash.upstream
                && k.crash.start == crash.start
                && k.crash.service == crash.service
        };
        if let Some(known) = self.crashes.iter_mut().find(same) {
            let room = MAX_RUNS_PER_CRASH.saturating_sub(known.crash.runs.len());
            known.crash.runs.extend(crash.runs.into_iter().take(room));
            known.crash.at = known.crash.at.min(crash.at);
            return;
        }
        while self.crashes.len() >= MAX_CRASHES {
            self.evict_oldest();
        }
        let index = self.crashes.partition_point(|k| k.crash.at <= crash.at);
        let known = KnownCrash {
            crash,
            received_at: now,
            is_confirmed: false,
        };
        self.crashes.insert(index, known);
    }

    /// Records that an instance saw a request complete at a service. This clears the request of
    /// earlier crashes but not of later ones, because the effect of a request on upstreams may
    /// change at any time. Returns true if the request was involved in crashes and no longer
    /// is.
    pub fn record_completed_run(&mut self, run: &CompletedRun) -> bool {
        let is_involved = |k: &KnownCrash| {
            let mut runs = k.crash.runs.iter();
            k.crash.service == run.service && runs.any(|r| r.contents.request == run.content)
        };
        let was_involved = self.crashes.iter().any(is_involved);
        for known in self.crashes.iter_mut().filter(|k| k.crash.at <= run.at) {
            if known.crash.service == run.service {
                known
                    .crash
                    .runs
                    .retain(|r| r.contents.request != run.content);
            }
        }
        was_involved && !self.crashes.iter().any(is_involved)
    }

    /// Discards crashes of upstreams that are still listed after they should have been removed.
    pub fn discard_listed(
        &mut self,
        now: MonoTime,
        is_listed: impl Fn(&str, UpstreamStart) -> bool,
    ) {
        let due = |k: &KnownCrash| !k.is_confirmed && now.since(k.crash.at) > LISTING_TIMEOUT;
        self.crashes.retain_mut(|k| {
            if !due(k) {
                return true;
            }
            k.is_confirmed = true;
            !is_listed(&k.crash.upstream, k.crash.start)
        });
    }

    /// True if a crash still awaits reports or confirmation, so that findings may change with
    /// time alone.
    pub fn is_pending(&self, now: MonoTime) -> bool {
        let is_undecided =
            |k: &KnownCrash| now.since(k.received_at) <= REPORT_WAIT || !k.is_confirmed;
        self.crashes.iter().any(is_undecided)
    }

    /// Evaluates the crashes. Requests that were quarantined before and no longer explain any
    /// crash are released.
    pub fn findings(&mut self, now: MonoTime) -> Findings {
        while self
            .crashes
            .front()
            .is_some_and(|k| now.since(k.crash.at) > RETENTION)
        {
            self.evict_oldest();
        }
        let mut findings = Findings::default();
        let services: HashSet<CompactString> = self
            .crashes
            .iter()
            .map(|k| k.crash.service.clone())
            .collect();
        for service in services {
            self.explain_crashes_of(now, &service, &mut findings);
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

    /// Explains the crashes of a service by as few requests as possible, the most likely first.
    fn explain_crashes_of(&mut self, now: MonoTime, service: &str, findings: &mut Findings) {
        let crashes = self.crashes.iter().filter(|k| k.crash.service == service);
        let reported = crashes.filter(|k| now.since(k.received_at) > REPORT_WAIT);
        let mut unexplained: Vec<&UpstreamCrash> = reported.map(|k| &k.crash).collect();
        loop {
            let evidence = evidence(&unexplained);
            let likeliest = evidence.iter().max_by_key(|(content, item)| {
                (item.crashes, Reverse(item.longest_run), Reverse(**content))
            });
            let Some((content, item)) = likeliest else {
                return;
            };
            if item.crashes < SUSPECT_AFTER {
                return;
            }
            let as_often = evidence.iter().filter(|(_, c)| c.crashes == item.crashes);
            let mut others = as_often.filter(|(other, _)| *other != content);
            let threshold =
                match others.any(|(other, _)| is_always_with(&unexplained, *other, *content)) {
                    true => QUARANTINE_TIED_AFTER,
                    false => QUARANTINE_AFTER,
                };
            let since = *self.suspected.entry(*content).or_insert(now);
            let had_time = now.since(since) >= OBJECTION_WAIT;
            let finding = item.finding(*content);
            match item.crashes >= threshold && had_time {
                true => findings.quarantined.push(finding),
                false => findings.suspected.push(finding),
            }
            unexplained.retain(|crash| !crash.runs.iter().any(|r| r.contents.request == *content));
        }
    }

    /// Evicts the oldest crash. The eviction releases no request that was present, because the
    /// crash has not been explained otherwise.
    fn evict_oldest(&mut self) {
        if let Some(known) = self.crashes.pop_front() {
            for run in known.crash.runs {
                self.quarantined.remove(&run.contents.request);
            }
        }
    }
}

/// True if a request was present at each of these crashes at which another was.
fn is_always_with(crashes: &[&UpstreamCrash], one: Content, other: Content) -> bool {
    let was_at = |crash: &UpstreamCrash, who| crash.runs.iter().any(|r| r.contents.request == who);
    let mut with_other = crashes.iter().filter(|crash| was_at(crash, other));
    with_other.all(|crash| was_at(crash, one))
}

/// The evidence against each request that was present at these crashes, which are in order of
/// time.
fn evidence(crashes: &[&UpstreamCrash]) -> HashMap<Content, Evidence> {
    let mut evidence: HashMap<Content, Evidence> = HashMap::new();
    for crash in crashes {
        let mut runs: Vec<&BrokenRun> = crash.runs.iter().collect();
        // Of several runs of one request the earliest counts: if the request had crashed the
        // upstream, it would have done so soon after that run began.
        runs.sort_by_key(|r| r.began);
        let mut counted: HashSet<Content> = HashSet::new();
        for run in runs {
            if counted.insert(run.contents.request) {
                evidence
                    .entry(run.contents.request)
                    .or_default()
                    .count(run, crash.at);
            }
        }
    }
    evidence
}
