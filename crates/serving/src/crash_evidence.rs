//! Finds the requests, and the parts of prompts, that crash the upstreams that run them.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use jd_types::MonoTime;

use crate::Content;
use crate::Finding;
use crate::Findings;
use crate::QUARANTINE_TTL;
use crate::RecentRuns;
use crate::SoundRun;
use crate::Suspicion;
use crate::UpstreamCrash;
use crate::UpstreamStart;
use crate::content_evidence::Evidence;
use crate::content_evidence::evidence;
use crate::content_evidence::rivals;
use crate::upstream_crash::KnownCrash;
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
/// The same for a part of prompts that had sound runs before: the users' bound. Parts of many
/// prompts are present at most crashes.
const QUARANTINE_SOUND_PART_AFTER: usize = 5;
/// Most time from the beginning of an answer to a crash that it causes. In the logs it was 130 ms at
/// most.
pub const PROMPT_CRASH: Duration = Duration::from_millis(300);
/// Crashes that keep a content quarantined, or quarantine it again after a release for which
/// another content explained its crashes.
const KEEP_AFTER: usize = 1;
/// Time for which a crash waits for the reports of other instances: several round trips between
/// availability zones, and the time in which the loss of an upstream is detected.
const REPORT_WAIT: Duration = Duration::from_millis(250);
/// Time in which instances that saw sound runs of suspected content may report this: the time
/// after which a run counts as sound, and the way to all instances and back. It is less than
/// half of the time in which a quarantine must be known everywhere.
const OBJECTION_WAIT: Duration = Duration::from_millis(1_250);
/// By how much the times that instances report may be off: the ages in a message count from its arrival,
/// and an end behind a whole answer is known to within 75 ms.
const CLOCK_ERROR: Duration = Duration::from_millis(100);
/// Time after which a crashed upstream is no longer listed. The platform removes upstreams
/// after three heartbeats of 1.2 s; this is twice that.
const LISTING_TIMEOUT: Duration = Duration::from_secs(8);
/// Retention of crashes: a request that returns after its quarantine has expired is quarantined
/// again after one more crash.
const RETENTION: Duration = QUARANTINE_TTL.saturating_mul(3);
/// Crashes that are kept.
const MAX_CRASHES: usize = 256;
/// Upstreams that are kept which may have crashed: those of several services.
const MAX_POSSIBLE: usize = 64;
/// Contents of which sound runs are asked for at a time, of one service.
const MAX_SUSPECTED: usize = 8;

/// The crashes of upstreams and the contents that were present.
///
/// Guards against a request that crashes every upstream that runs it and whose caller retries
/// it, and against a part of prompts that does so in requests which are all different: for each
/// single instance an upstream has failed, and the request goes to the next one.
///
/// Being present at a crash proves nothing, since a crash breaks off all requests of the
/// upstream, and the parts of a hot prompt are present at every loss of power. These rules tell
/// the cause from other contents:
///
/// - The cause is present at each crash, at most [`SAFE_AFTER`](crate::SAFE_AFTER) after an
///   answer began. Crashes of one moment count once. For a content whose answer had not begun
///   a crash counts only if the run was sent after the crash before. Both hold for requests that
///   have been seen sound. Of one that never was, and that was present at two moments, each upstream
///   counts that crashed shortly after it was sent: at a loss of power it is present at one moment.
/// - The cause has no sound runs. One run whose answer began after a crash, and which completed
///   or outlived `SAFE_AFTER`, clears its contents of all crashes up to that moment. Runs that began
///   earlier say nothing: content may turn harmful at any time.
/// - The cause alone explains all of its crashes. When a content is found to have crashed an
///   upstream, all others that were present are cleared of that crash. Two contents that were
///   always present together are told apart by the next crash. One that has never been seen sound
///   and whose answers had always just begun goes before others with more crashes. If nothing separates two, the one whose answers had
///   begun more often and more recently is taken first, then the more specific one. If upstreams
///   go on crashing with the other one, that one is found and the first is released.
/// - Runs without the cause are sound. A part of prompts that all runs of a service have is not
///   quarantined, because it makes no difference.
/// - What was found stays found as long as one crash is left that nothing else explains.
/// - The upstreams have really crashed. An upstream that is still listed long afterwards is
///   taken to have been cut off.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    crashes: VecDeque<KnownCrash>,
    /// Those that are not known to be crashes.
    possible: VecDeque<KnownCrash>,
    sound: RecentRuns,
    quarantined: HashSet<Content>,
    /// Contents whose crashes another content explained, and until when one more crash
    /// quarantines them again.
    released: HashMap<Content, MonoTime>,
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
        // What was sent later waited at an address that still accepted connections, and never ran.
        let latest = *at + CLOCK_ERROR;
        present.retain(|content, presence| {
            presence.began <= latest && sound.last_run(service, *content) < Some(*at)
        });
    }

    /// Records that an upstream may have crashed, by an instance that could connect to no other one.
    /// Nothing is held against what ran there.
    pub fn record_possible_crash(&mut self, now: MonoTime, crash: UpstreamCrash) {
        self.possible
            .retain(|k| now.since(k.received_at) < LISTING_TIMEOUT);
        if self.possible.len() >= MAX_POSSIBLE {
            self.possible.pop_front();
        }
        let mut known = KnownCrash {
            service: crash.service,
            upstream: crash.upstream,
            start: crash.start,
            at: crash.at,
            present: Presences::default(),
            received_at: now,
            is_confirmed: false,
        };
        let told = self.possible.iter().position(|k| k.is_same(&known));
        if let Some(told) = told.and_then(|index| self.possible.remove(index)) {
            known.present = told.present;
        }
        for run in &crash.runs {
            add_run(&mut known.present, run);
        }
        self.possible.push_back(known);
    }

    /// Records a sound run at a service. This clears its contents of crashes before its answer
    /// began but not of later ones. Returns the contents that were involved in crashes and no
    /// longer are.
    pub fn record_sound_run(&mut self, run: &SoundRun) -> Vec<Content> {
        self.sound.record(run.clone());
        let mut cleared = Vec::new();
        for content in run.contents.iter() {
            if self.clear(run, content) {
                cleared.push(content);
            }
        }
        cleared
    }

    fn clear(&mut self, run: &SoundRun, content: Content) -> bool {
        let released_until = self.released.get(&content);
        if released_until.is_some_and(|until| run.at > until.before(QUARANTINE_TTL)) {
            self.released.remove(&content);
        }
        let is_involved =
            |k: &KnownCrash| k.service == run.service && k.present.contains_key(&content);
        let was_involved = self.crashes.iter().any(is_involved);
        let known = self.crashes.iter_mut().chain(&mut self.possible);
        for known in known.filter(|k| k.at <= run.at) {
            if known.service == run.service {
                known.present.remove(&content);
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
        let is_recent = |k: &KnownCrash| now.since(k.received_at) < LISTING_TIMEOUT;
        self.crashes.iter().any(is_undecided) || self.possible.iter().any(is_recent)
    }

    /// Evaluates the crashes. Contents that were quarantined before and no longer explain any
    /// crash are released. `announced` gives what all instances were told of a suspected content, by
    /// this instance or another one.
    pub fn findings(
        &mut self,
        now: MonoTime,
        announced: impl Fn(Content) -> Option<Suspicion>,
    ) -> Findings {
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
        for service in &services {
            self.explain_crashes_of(now, service, &announced, &mut findings);
        }
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

    /// Requests that were present at several crashes of upstreams of a service, whether or not these
    /// count against them, and that have not been seen sound since. When the upstreams are back, the
    /// one that crashed them would do so again, by all of its copies at once.
    pub fn often_present(&self, now: MonoTime) -> Vec<Finding> {
        let mut found = Vec::new();
        let all = self.crashes.iter().chain(&self.possible);
        let services: HashSet<CompactString> = all.map(|k| k.service.clone()).collect();
        for service in &services {
            let mut crashes = self.reported_crashes(now, service);
            crashes.extend(self.possible_crashes(now, service));
            let evidence = evidence(&crashes);
            let present = evidence
                .iter()
                .filter(|(_, item)| !item.is_part() && item.upstreams >= QUARANTINE_AFTER);
            let mut present: Vec<Finding> = present.map(|(c, item)| item.finding(*c)).collect();
            present.sort_by_key(|f| Reverse((f.upstreams, f.last_crash, f.content)));
            present.truncate(MAX_SUSPECTED);
            found.extend(present);
        }
        found
    }

    /// The upstreams of a service that may have crashed, and are not known to have.
    fn possible_crashes(&self, now: MonoTime, service: &str) -> Vec<&KnownCrash> {
        let possible = self.possible.iter().filter(|k| {
            let is_recent = now.since(k.received_at) < LISTING_TIMEOUT;
            is_recent && k.service == service && !self.crashes.iter().any(|c| c.is_same(k))
        });
        possible.collect()
    }

    /// The crashes of a service that instances have had time to report.
    fn reported_crashes(&self, now: MonoTime, service: &str) -> Vec<&KnownCrash> {
        let crashes = self.crashes.iter().filter(|k| k.service == service);
        let reported = crashes.filter(|k| now.since(k.received_at) > REPORT_WAIT);
        reported.collect()
    }

    /// The evidence against each content that was present at these crashes. A suspicion that the store
    /// records stands for the crashes that it was based on, where these are not known here: the
    /// instances that knew them may all have been lost.
    fn evidence(
        &self,
        service: &str,
        crashes: &[&KnownCrash],
        announced: &impl Fn(Content) -> Option<Suspicion>,
    ) -> HashMap<Content, Evidence> {
        let mut evidence = evidence(crashes);
        for (content, item) in &mut evidence {
            let was_sound = self.sound.last_run(service, *content).is_some();
            if item.crashes >= SUSPECT_AFTER && !item.is_part() && !was_sound {
                item.count_each_upstream();
            }
            let recorded = announced(*content).filter(|s| s.is_recorded);
            if let Some(Suspicion { since, .. }) = recorded
                && !self.knows_crash_before(*content, since)
            {
                item.crashes += SUSPECT_AFTER;
            }
        }
        evidence
    }

    fn knows_crash_before(&self, content: Content, time: MonoTime) -> bool {
        let mut before = self.crashes.iter().take_while(|k| k.at <= time);
        before.any(|k| k.present.contains_key(&content))
    }

    /// Explains the crashes of a service by as few contents as possible, the most likely first.
    fn explain_crashes_of(
        &self,
        now: MonoTime,
        service: &str,
        announced: &impl Fn(Content) -> Option<Suspicion>,
        findings: &mut Findings,
    ) {
        let mut unexplained = self.reported_crashes(now, service);
        loop {
            let evidence = self.evidence(service, &unexplained, announced);
            let Some((content, item)) = self.likeliest(service, &evidence) else {
                return;
            };
            let mut rivals = rivals(&unexplained, &evidence, content, item);
            let was_found = self.was_found(content);
            let was_sound = |c: Content| self.sound.last_run(service, c).is_some();
            if self.stands_out(service, content, item) {
                rivals.retain(|rival| !was_sound(*rival));
            }
            let threshold = match rivals.is_empty() {
                _ if was_found => KEEP_AFTER,
                _ if item.is_part() && was_sound(content) => QUARANTINE_SOUND_PART_AFTER,
                _ if was_sound(content)
                    && self.have_others(service, &unexplained, &evidence, content) =>
                {
                    QUARANTINE_TIED_AFTER
                }
                true => QUARANTINE_AFTER,
                false => QUARANTINE_TIED_AFTER,
            };
            // Instances are asked for sound runs when they are told that it is suspected.
            let was_announced = |s: Suspicion| now.since(s.since) >= OBJECTION_WAIT;
            let had_time = was_found || announced(content).is_some_and(was_announced);
            if item.crashes >= threshold && had_time {
                findings.quarantined.push(item.finding(content));
            } else {
                // The same part among all customers may have to be found next.
                let others = rivals.into_iter().chain(item.of_all);
                let suspects = [content].into_iter().chain(others).take(MAX_SUSPECTED);
                findings.add_suspects(suspects, &evidence);
            }
            unexplained.retain(|crash| !crash.present.contains_key(&content));
        }
    }

    /// True if at each crash with a content there was a request as well that was never seen sound and was
    /// present at several: two of these may have caused them together.
    fn have_others(
        &self,
        service: &str,
        crashes: &[&KnownCrash],
        evidence: &HashMap<Content, Evidence>,
        content: Content,
    ) -> bool {
        let is_other = |other: &Content| {
            let item = evidence.get(other);
            let is_repeated = item.is_some_and(|e| !e.is_part() && e.upstreams >= SUSPECT_AFTER);
            is_repeated && self.sound.last_run(service, *other).is_none()
        };
        let mut present = crashes.iter().filter(|k| k.present.contains_key(&content));
        present.all(|k| k.present.keys().any(is_other))
    }

    /// The content that most likely caused the crashes of a service; `None` if no evidence suffices.
    fn likeliest<'a>(
        &self,
        service: &str,
        evidence: &'a HashMap<Content, Evidence>,
    ) -> Option<(Content, &'a Evidence)> {
        let enough = evidence.iter().filter(|(content, item)| {
            let makes_difference = || !item.is_part() || self.runs_without(service, **content);
            match self.was_found(**content) {
                true => item.crashes >= KEEP_AFTER,
                false => item.crashes >= SUSPECT_AFTER && makes_difference(),
            }
        });
        let likeliest = enough.max_by_key(|(content, item)| {
            let sound = self.sound.last_run(service, **content);
            let stands_out = self.stands_out(service, **content, item);
            let recency = (item.answered, Reverse(item.longest_run));
            let rest = Reverse((sound, item.position, **content));
            (stands_out, item.crashes, recency, rest)
        });
        likeliest.map(|(content, item)| (*content, item))
    }

    /// True for a content that has never been seen sound and was present at enough crashes, each of
    /// them shortly after an answer to it had begun.
    fn stands_out(&self, service: &str, content: Content, item: &Evidence) -> bool {
        let is_prompt = item.longest_run <= PROMPT_CRASH;
        let was_sound = self.sound.last_run(service, content).is_some();
        item.crashes >= QUARANTINE_AFTER && is_prompt && !was_sound
    }

    /// True if a sound run at the service did not have this content. Without one, upstreams may as
    /// well crash with everything that they run.
    fn runs_without(&self, service: &str, content: Content) -> bool {
        self.sound.latest(service) > self.sound.last_run(service, content)
    }

    /// True for a content that is quarantined, or was until another one explained its crashes.
    fn was_found(&self, content: Content) -> bool {
        self.quarantined.contains(&content) || self.released.contains_key(&content)
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
