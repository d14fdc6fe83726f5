//! Decides for the whole fleet which requests and parts of prompts crash upstreams.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use jd_net::lock;
use jd_serving::Content;
use jd_serving::CrashEvidence;
use jd_serving::Finding;
use jd_serving::QUARANTINE_TTL;
use jd_serving::QuarantineEntry;
use jd_serving::QuarantinePhase;
use jd_serving::QuarantineState;
use jd_serving::SoundRun;
use jd_types::MonoTime;

use crate::QuarantineRecord;
use crate::StoreError;
use crate::peer_quarantine::RunReport;
use crate::quarantine::QuarantineSource;
use crate::quarantine::QuarantineUpdate;
use crate::signal::Signal;
use crate::store_call::StoreCall;
use crate::store_link::CALL_TIMEOUT;
use crate::store_link::StoreLink;

/// Interval between evaluations of the evidence: findings also depend on the time that
/// has passed.
const EVALUATE_INTERVAL: Duration = Duration::from_millis(250);
/// The same while there is no evidence and no quarantine, until a report arrives: this
/// instance may have become the one that writes quarantines to the store.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Least remaining time at which a quarantine is written to the store: the store grants
/// no lease of under a second.
const MIN_LEASE: Duration = Duration::from_secs(2);
/// Pause after a write to the store failed. All instances know of the quarantine
/// meanwhile through heartbeats.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// How long it is known whether an instance judges parts of prompts: it may be replaced by one of
/// another build at the same address.
const BUILD_KNOWN_FOR: Duration = Duration::from_secs(10);

/// What an instance said of its build.
#[derive(Debug, Clone, Copy)]
struct KnownBuild {
    judges_parts: bool,
    at: MonoTime,
}

/// Decides on quarantines while this instance is the first coordinator, and collects the
/// evidence while it is one of the next.
#[derive(Debug)]
pub(crate) struct QuarantineCoordinator {
    link: Arc<StoreLink>,
    evidence: Mutex<CrashEvidence>,
    /// Requests that this instance itself put under quarantine.
    decided_here: Mutex<HashSet<Content>>,
    /// Since when the state of the store is known here without interruption, as far as crashes
    /// were evaluated.
    current_since: Mutex<Option<MonoTime>>,
    /// What coordinators before this one said of their builds.
    builds: Mutex<HashMap<SocketAddr, KnownBuild>>,
    report_received: Signal,
    builds_requested: Signal,
}

impl QuarantineCoordinator {
    pub(crate) fn new(link: Arc<StoreLink>) -> QuarantineCoordinator {
        QuarantineCoordinator {
            link,
            evidence: Mutex::default(),
            decided_here: Mutex::default(),
            current_since: Mutex::default(),
            builds: Mutex::default(),
            report_received: Signal::new(),
            builds_requested: Signal::new(),
        }
    }

    /// Adds an instance's report to the evidence, and releases requests that it clears.
    pub(crate) fn record_report(&self, report: RunReport) {
        let state = &self.link.state;
        let now = state.now();
        let mut evidence = lock(&self.evidence);
        for crash in report.crashes {
            evidence.record_crash(now, crash);
        }
        let mut cleared = Vec::new();
        for run in report.sound_runs {
            cleared.extend(evidence.record_sound_run(&run));
            let contents = run.contents.iter();
            cleared.extend(contents.filter(|c| self.ran_soundly_after_hold(now, &run, *c)));
        }
        drop(evidence);
        if self.decides_on_parts() {
            for content in cleared {
                self.release(now, content, "it ran to its end");
            }
        }
        self.report_received.notify();
        self.builds_requested.notify();
    }

    /// Records whether the instance at this address judges parts of prompts.
    pub(crate) fn record_build(&self, instance: SocketAddr, judges_parts: bool) {
        let at = self.link.state.now();
        let build = KnownBuild { judges_parts, at };
        let mut builds = lock(&self.builds);
        builds.retain(|_, b| at.since(b.at) < BUILD_KNOWN_FOR);
        builds.insert(instance, build);
    }

    /// The coordinators before this one whose builds are not known when the next report arrives.
    pub(crate) async fn unknown_builds(&self) -> Vec<SocketAddr> {
        self.builds_requested.wait().await;
        let now = self.link.state.now();
        let mut unknown = self.earlier_coordinators().unwrap_or_default();
        let builds = lock(&self.builds);
        unknown.retain(|a| {
            let known = builds.get(a);
            known.is_none_or(|b| now.since(b.at) >= BUILD_KNOWN_FOR)
        });
        unknown
    }

    /// True if a content had a sound run after it was suspected or quarantined. This
    /// releases a content whose quarantine was decided by an instance that is lost
    /// together with its evidence.
    ///
    /// Runs of stage pieces do not count: the pieces of a request complete at other
    /// services before it crashes each upstream that runs the request itself, and each of
    /// them released it.
    fn ran_soundly_after_hold(&self, now: MonoTime, run: &SoundRun, content: Content) -> bool {
        if self.link.state.serves_stages(&run.service) {
            return false;
        }
        let list = self.link.state.quarantine.list();
        let held = list.get(now, content);
        held.is_some_and(|h| run.at > h.first_recorded())
    }

    /// Evaluates the evidence and writes quarantines to the store, forever.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut next_write = MonoTime::ZERO;
        loop {
            let pause = match self.is_idle() {
                true => IDLE_INTERVAL,
                false => EVALUATE_INTERVAL,
            };
            self.report_received.wait_timeout(pause).await;
            self.evaluate();
            let now = self.link.state.now();
            if self.is_idle() || now < next_write || !self.is_first() {
                continue;
            }
            if let Err(e) = self.write(now).await {
                log::info!(error:% = e; "quarantine could not be written to the store; retrying");
                next_write = self.link.state.now() + WRITE_RETRY_PAUSE;
            }
        }
    }

    /// True while there is no evidence to evaluate and no quarantine to write.
    fn is_idle(&self) -> bool {
        let state = &self.link.state;
        let pending = lock(&self.evidence).is_pending(state.now());
        !pending && state.quarantine.list().is_empty()
    }

    fn is_first(&self) -> bool {
        let state = &self.link.state;
        state.coordinators().first() == Some(&state.own_entry.peer_address)
    }

    /// The coordinators before this one; none if it is no coordinator.
    fn earlier_coordinators(&self) -> Option<Vec<SocketAddr>> {
        let state = &self.link.state;
        let mut all = state.coordinators();
        let own = all
            .iter()
            .position(|a| *a == state.own_entry.peer_address)?;
        all.truncate(own);
        Some(all)
    }

    /// True if this is the first coordinator, or if those before it are of builds that judge whole
    /// requests alone.
    fn decides_on_parts(&self) -> bool {
        let builds = lock(&self.builds);
        let judges = |a: &SocketAddr| builds.get(a).is_none_or(|b| b.judges_parts);
        let earlier = self.earlier_coordinators();
        earlier.is_some_and(|all| !all.iter().any(judges))
    }

    fn evaluate(&self) {
        let state = &self.link.state;
        let now = state.now();
        let mut evidence = lock(&self.evidence);
        if !evidence.is_pending(now) {
            return;
        }
        // An instance that is cut off takes running upstreams for crashed and itself for
        // the first coordinator. Its decisions would apply to all instances.
        if !state.is_fresh() || state.has_lost_store() {
            *lock(&self.current_since) = None;
            return;
        }
        let current_since = *lock(&self.current_since).get_or_insert(now);
        let table = state.upstreams.load();
        let is_listed = |id: &str, start| table.start_of(id) == Some(start);
        evidence.discard_listed(now, current_since, is_listed);
        let findings = evidence.findings(now);
        drop(evidence);
        // The instance that decided on the quarantine has the evidence, and may no longer
        // be the first coordinator.
        for content in findings.released {
            if lock(&self.decided_here).remove(&content) {
                self.release(now, content, "its ends have another cause");
            }
        }
        let (is_first, on_parts) = (self.is_first(), self.decides_on_parts());
        let decides = |f: &&Finding| is_first || on_parts && f.is_part;
        for finding in findings.suspected.iter().filter(decides) {
            self.apply_finding(now, finding, QuarantinePhase::Suspected);
        }
        for finding in findings.quarantined.iter().filter(decides) {
            self.apply_finding(now, finding, QuarantinePhase::Quarantined);
        }
    }

    fn apply_finding(&self, now: MonoTime, finding: &Finding, phase: QuarantinePhase) {
        let quarantine = &self.link.state.quarantine;
        let Some(next) = quarantine.list().next_state(now, finding, phase) else {
            return;
        };
        log::warn!(
            content:% = finding.content,
            phase = phase.as_str(),
            ends = finding.crashes,
            answered = finding.answered,
            longest_ms = finding.longest_run.as_millis() as u64;
            "upstreams ended with this content"
        );
        if phase == QuarantinePhase::Quarantined {
            let list = quarantine.list();
            let mut decided_here = lock(&self.decided_here);
            decided_here.retain(|c| list.get(now, *c).is_some());
            decided_here.insert(finding.content);
        }
        self.decide(now, finding.content, next, QUARANTINE_TTL);
    }

    fn release(&self, now: MonoTime, content: Content, why: &'static str) {
        let quarantine = &self.link.state.quarantine;
        let held = quarantine.list().get(now, content);
        let Some(held) = held.filter(|h| h.state.is_active()) else {
            return;
        };
        log::warn!(content:% = content, reason = why; "request released from quarantine");
        let next = QuarantineState {
            phase: QuarantinePhase::Released,
            ..held.state
        };
        self.decide(now, content, next, held.expires_at.since(now));
    }

    fn decide(&self, now: MonoTime, content: Content, next: QuarantineState, left: Duration) {
        let update = QuarantineUpdate {
            content,
            state: next,
            left,
        };
        let state = &self.link.state;
        state.metrics.quarantine(next.phase.as_str());
        state.quarantine.apply(now, QuarantineSource::Own, [update]);
    }

    /// Writes what the store needs_write, for as long as it is in force.
    ///
    /// Guards against the loss of all instances at once, after which the same request
    /// would crash three more upstreams. Suspicions are not worth a call.
    async fn write(&self, now: MonoTime) -> Result<(), StoreError> {
        let list = self.link.state.quarantine.list();
        for (content, held) in list.entries(now) {
            if needs_write(&held) && held.expires_at.since(now) > MIN_LEASE {
                self.write_entry(now, content, held).await?;
            }
        }
        Ok(())
    }

    async fn write_entry(
        &self,
        now: MonoTime,
        content: Content,
        held: QuarantineEntry,
    ) -> Result<(), StoreError> {
        let left = held.expires_at.since(now);
        let StoreLink { state, store, .. } = &*self.link;
        let taking = store.lease(left);
        let lease = self.link.call(StoreCall::Lease, CALL_TIMEOUT, taking);
        let lease = lease.await?;
        let record = QuarantineRecord {
            content,
            state: held.state,
            until: SystemTime::now() + left,
        };
        let writing = store.write_quarantine(&record, lease);
        let written = self
            .link
            .call(StoreCall::WriteQuarantine, CALL_TIMEOUT, writing);
        written.await?;
        state.quarantine.set_stored(content, Some(held.state));
        Ok(())
    }
}

/// True if the store needs_write the current state.
fn needs_write(held: &QuarantineEntry) -> bool {
    match held.state.phase {
        QuarantinePhase::Suspected => false,
        QuarantinePhase::Quarantined => held.stored != Some(held.state),
        QuarantinePhase::Released => held.stored.is_some_and(|s| s < held.state),
    }
}
