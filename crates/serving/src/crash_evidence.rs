//! Finds the requests, and the parts of prompts, that crash the upstreams that run them.

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
use crate::RecentRuns;
use crate::UpstreamCrash;
use crate::UpstreamStart;
use crate::upstream_crash::Presence;
use crate::upstream_crash::Presences;
use crate::upstream_crash::add_run;

/// Crashes with a content that make it suspected.
const SUSPECT_AFTER: usize = 2;
/// Crashes that quarantine a content. Fewer occur by chance where many upstreams fail; each
/// additional one costs another upstream.
const QUARANTINE_AFTER: usize = 3;
/// The same if another content was present at as many crashes: one more crash may tell the two
/// apart.
const QUARANTINE_TIED_AFTER: usize = QUARANTINE_AFTER + 1;
/// Crashes that keep a content quarantined, or quarantine it again after a release for which
/// another content explained its crashes.
const KEEP_AFTER: usize = 1;
/// Crashes within this time count as one, such as those of a loss of power: the time in which
/// instances detect the crashes of one moment.
const SAME_EVENT: Duration = Duration::from_millis(100);
/// Time for which a crash waits for the reports of other instances: several round trips between
/// availability zones, and the time in which the loss of an upstream is detected.
const REPORT_WAIT: Duration = Duration::from_millis(250);
/// Time in which instances that saw sound runs of suspected content may report this: the time
/// after which a run counts as sound, and the way to all instances and back. It is less than
/// half of the time in which a quarantine must be known everywhere.
const OBJECTION_WAIT: Duration = Duration::from_millis(1_250);
/// Time after which a crashed upstream is no longer listed. The platform removes upstreams
/// after three heartbeats of 1.2 s; this is twice that.
const LISTING_TIMEOUT: Duration = Duration::from_secs(8);
/// Retention of crashes: a request that returns after its quarantine has expired is quarantined
/// again after one more crash.
const RETENTION: Duration = QUARANTINE_TTL.saturating_mul(3);
/// Crashes that are kept.
const MAX_CRASHES: usize = 256;
/// Contents of which sound runs are asked for at a time, of one service.
const MAX_SUSPECTED: usize = 8;

/// The result of evaluating the crashes of upstreams.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Contents that may have crashed upstreams.
    pub suspected: Vec<Finding>,
    /// Contents that have crashed upstreams.
    pub quarantined: Vec<Finding>,
    /// Contents that were quarantined and turned out not to have crashed upstreams.
    pub released: Vec<Content>,
}

/// A content with the evidence against it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The request, or the part of prompts.
    pub content: Content,
    /// True for a part of prompts.
    pub is_part: bool,
    /// Upstream crashes with it.
    pub crashes: usize,
    /// How many of these came after an answer to it had begun.
    pub answered: usize,
    /// The longest time to such a crash from the beginning of an answer, or else from sending.
    pub longest_run: Duration,
    /// The time of the last such crash.
    pub last_crash: MonoTime,
}

/// The crashes of upstreams and the contents that were present.
///
/// Guards against a request that crashes every upstream that runs it and whose caller retries
/// it, and against a part of prompts that does so in requests which are all different: for each
/// single instance an upstream has failed, and the request goes to the next one.
///
/// Being present at a crash proves nothing, since a crash breaks off all requests of the
/// upstream, and the parts of a hot prompt are present at every loss of power. Five rules tell
/// the cause from other contents:
///
/// - The cause is present at each crash, at most [`SAFE_AFTER`](crate::SAFE_AFTER) after an
///   answer began. Crashes of one moment count once. For a content whose answer had not begun
///   a crash counts only if the run was sent after the crash before.
/// - The cause has no sound runs. One run whose answer began after a crash, and which completed
///   or outlived `SAFE_AFTER`, clears its contents of all crashes up to that moment. Runs that began
///   earlier say nothing: content may turn harmful at any time.
/// - The cause alone explains all of its crashes. When a content is found to have crashed an
///   upstream, all others that were present are cleared of that crash. Two contents that were
///   always present together are told apart by the next crash. If it does not separate them, the
///   one whose answers had begun more often and more recently is taken first, then the one that
///   has not been seen sound, then the more specific one. If upstreams go on crashing with the
///   other one, that one is found and the first is released.
/// - What was found stays found as long as one crash is left that nothing else explains.
/// - The upstreams have really crashed. An upstream that is still listed long afterwards is
///   taken to have been cut off.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    crashes: VecDeque<KnownCrash>,
    sound: RecentRuns,
    suspected: HashMap<Content, MonoTime>,
    quarantined: HashSet<Content>,
    /// Contents whose crashes another content explained, and until when one more crash
    /// quarantines them again.
    released: HashMap<Content, MonoTime>,
}

#[derive(Debug)]
struct KnownCrash {
    service: CompactString,
    upstream: CompactString,
    start: UpstreamStart,
    at: MonoTime,
    present: Presences,
    received_at: MonoTime,
    is_confirmed: bool,
}

/// The evidence against one content, from the crashes that nothing else explains.
#[derive(Debug, Default)]
struct Evidence {
    crashes: usize,
    answered: usize,
    last_crash: Option<MonoTime>,
    longest_run: Duration,
    position: usize,
    of_all: Option<Content>,
}

impl Evidence {
    fn count(&mut self, presence: &Presence, crashed_at: MonoTime) {
        let is_counted = match (self.last_crash, presence.answered) {
            (None, _) => true,
            (Some(last), Some(_)) => crashed_at.since(last) >= SAME_EVENT,
            (Some(last), None) => presence.began > last,
        };
        if !is_counted {
            return;
        }
        let began = presence.answered.unwrap_or(presence.began);
        self.crashes += 1;
        self.answered += usize::from(presence.answered.is_some());
        self.last_crash = Some(crashed_at);
        self.longest_run = self.longest_run.max(crashed_at.since(began));
        self.position = presence.position;
        self.of_all = presence.of_all;
    }

    fn finding(&self, content: Content) -> Finding {
        Finding {
            content,
            is_part: self.position > 0,
            crashes: self.crashes,
            answered: self.answered,
            longest_run: self.longest_run,
            last_crash: self.last_crash.unwrap_or(MonoTime::ZERO),
        }
    }
}

impl CrashEvidence {
    /// Records a crash that an instance reported.
    pub fn record_crash(&mut self, now: MonoTime, crash: UpstreamCrash) {
        let UpstreamCrash {
            service,
            upstream,
            start,
            at,
            mut runs,
        } = crash;
        // Where there is no room for all, answers that began last tell most.
        runs.sort_by_key(|r| Reverse(r.answered));
        let same =
            |k: &KnownCrash| k.upstream == upstream && k.start == start && k.service == service;
        let index = match self.crashes.iter().position(same) {
            Some(index) => index,
            None => {
                while self.crashes.len() >= MAX_CRASHES {
                    self.evict_oldest();
                }
                let index = self.crashes.partition_point(|k| k.at <= at);
                let known = KnownCrash {
                    service,
                    upstream,
                    start,
                    at,
                    present: Presences::default(),
                    received_at: now,
                    is_confirmed: false,
                };
                self.crashes.insert(index, known);
                index
            }
        };
        let Some(known) = self.crashes.get_mut(index) else {
            return;
        };
        known.at = known.at.min(at);
        for run in &runs {
            add_run(&mut known.present, run);
        }
        let KnownCrash {
            service,
            present,
            at,
            ..
        } = known;
        let sound = &self.sound;
        present.retain(|content, _| sound.last_run(service, *content) < Some(*at));
    }

    /// Records a sound run of a content at a service. This clears the content of crashes before
    /// its answer began but not of later ones. Returns true if the content was involved in
    /// crashes and no longer is.
    pub fn record_completed_run(&mut self, run: &CompletedRun) -> bool {
        self.sound.record(run.clone());
        if self
            .released
            .get(&run.content)
            .is_some_and(|until| run.at > until.before(QUARANTINE_TTL))
        {
            self.released.remove(&run.content);
        }
        let is_involved =
            |k: &KnownCrash| k.service == run.service && k.present.contains_key(&run.content);
        let was_involved = self.crashes.iter().any(is_involved);
        for known in self.crashes.iter_mut().filter(|k| k.at <= run.at) {
            if known.service == run.service {
                known.present.remove(&run.content);
            }
        }
        was_involved && !self.crashes.iter().any(is_involved)
    }

    /// Discards crashes of upstreams that are still listed after they should have been removed. The
    /// list is known to be current since `current_since`: entries that expired while the store
    /// was away are still listed for a moment when it is back.
    pub fn discard_listed(
        &mut self,
        now: MonoTime,
        current_since: MonoTime,
        is_listed: impl Fn(&str, UpstreamStart) -> bool,
    ) {
        let due = |k: &KnownCrash| {
            !k.is_confirmed && now.since(k.at.max(current_since)) > LISTING_TIMEOUT
        };
        self.crashes.retain_mut(|k| {
            if !due(k) {
                return true;
            }
            k.is_confirmed = true;
            !is_listed(&k.upstream, k.start)
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
            .is_some_and(|k| now.since(k.at) > RETENTION)
        {
            self.evict_oldest();
        }
        let mut findings = Findings::default();
        let services: HashSet<CompactString> =
            self.crashes.iter().map(|k| k.service.clone()).collect();
        let mut suspects = HashSet::new();
        for service in services {
            self.explain_crashes_of(now, &service, &mut suspects, &mut findings);
        }
        self.suspected
            .retain(|content, _| suspects.contains(content));
        let found: HashSet<Content> = findings.quarantined.iter().map(|f| f.content).collect();
        let before = std::mem::replace(&mut self.quarantined, found);
        let no_more = before.difference(&self.quarantined);
        findings.released.extend(no_more);
        self.released.retain(|_, until| *until > now);
        for content in &findings.released {
            if self.crashes.iter().any(|k| k.present.contains_key(content)) {
                self.released.insert(*content, now + QUARANTINE_TTL);
            }
        }
        findings
    }

    /// Explains the crashes of a service by as few contents as possible, the most likely first.
    fn explain_crashes_of(
        &mut self,
        now: MonoTime,
        service: &str,
        suspects: &mut HashSet<Content>,
        findings: &mut Findings,
    ) {
        let crashes = self.crashes.iter().filter(|k| k.service == service);
        let reported = crashes.filter(|k| now.since(k.received_at) > REPORT_WAIT);
        let mut unexplained: Vec<&KnownCrash> = reported.collect();
        let mut evidence = evidence(&unexplained);
        let (quarantined, released) = (&self.quarantined, &self.released);
        let was_found = |c: &Content| quarantined.contains(c) || released.contains_key(c);
        let suspected = &mut self.suspected;
        for (content, item) in &evidence {
            if item.crashes >= SUSPECT_AFTER {
                suspected.entry(*content).or_insert(now);
                suspects.insert(*content);
            }
        }
        loop {
            let sound = |content| self.sound.last_run(service, content);
            let enough = evidence.iter().filter(|(content, item)| {
                item.crashes >= SUSPECT_AFTER || item.crashes >= KEEP_AFTER && was_found(content)
            });
            let likeliest = enough.max_by_key(|(content, item)| {
                let recency = (item.answered, Reverse(item.longest_run));
                let rest = (sound(**content), item.position, **content);
                (item.crashes, recency, Reverse(rest))
            });
            let Some((content, item)) = likeliest else {
                return;
            };
            let as_often = evidence.iter().filter(|(other, c)| {
                c.crashes == item.crashes && *other != content && Some(**other) != item.of_all
            });
            let rivals: Vec<Content> = as_often
                .filter(|(other, _)| is_always_with(&unexplained, **other, *content))
                .map(|(other, _)| *other)
                .collect();
            let threshold = match rivals.is_empty() {
                _ if was_found(content) => KEEP_AFTER,
                true => QUARANTINE_AFTER,
                false => QUARANTINE_TIED_AFTER,
            };
            let since = suspected.get(content).copied().unwrap_or(now);
            let had_time = was_found(content) || now.since(since) >= OBJECTION_WAIT;
            if item.crashes >= threshold && had_time {
                findings.quarantined.push(item.finding(*content));
            } else {
                // The same part among all customers may have to be found next.
                let others = rivals.into_iter().chain(item.of_all);
                for suspect in [*content].into_iter().chain(others).take(MAX_SUSPECTED) {
                    let is_new = findings.suspected.iter().all(|f| f.content != suspect);
                    if let Some(item) = evidence.get(&suspect).filter(|_| is_new) {
                        findings.suspected.push(item.finding(suspect));
                    }
                }
            }
            unexplained.retain(|crash| !crash.present.contains_key(content));
            evidence = self::evidence(&unexplained);
        }
    }

    /// Evicts the oldest crash. The eviction releases no content that was present, because the
    /// crash has not been explained otherwise.
    fn evict_oldest(&mut self) {
        if let Some(known) = self.crashes.pop_front() {
            for content in known.present.keys() {
                self.quarantined.remove(content);
            }
        }
    }
}

/// True if a content was present at each of these crashes at which another was.
fn is_always_with(crashes: &[&KnownCrash], one: Content, other: Content) -> bool {
    let mut with_other = crashes.iter().filter(|c| c.present.contains_key(&other));
    with_other.all(|c| c.present.contains_key(&one))
}

/// The evidence against each content that was present at these crashes, which are in order of
/// time.
fn evidence(crashes: &[&KnownCrash]) -> HashMap<Content, Evidence> {
    let mut evidence: HashMap<Content, Evidence> = HashMap::new();
    for crash in crashes {
        for (content, presence) in &crash.present {
            let item = evidence.entry(*content).or_default();
            item.count(presence, crash.at);
        }
    }
    evidence
}
