//! Decides for the whole fleet which requests and parts of prompts crash upstreams.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use jd_net::lock;
use jd_serving::Content;
use jd_serving::CoordinatorAnswer;
use jd_serving::CoordinatorAnswers;
use jd_serving::CrashEvidence;
use jd_serving::DecidesOn;
use jd_serving::Finding;
use jd_serving::QUARANTINE_TTL;
use jd_serving::QuarantineEntry;
use jd_serving::QuarantinePhase;
use jd_serving::QuarantineState;
use jd_serving::SoundRun;
use jd_serving::Suspicion;
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

/// How long a suspicion waits for objections before it is written: reports of sound runs arrive
/// within 0.4 s in a large fleet.
const SUSPICION_WRITE_DELAY: Duration = Duration::from_millis(500);
/// How long each instance leaves a write to the one before it, which may not be able to write.
const WRITE_TURN: Duration = Duration::from_millis(1_000);

/// Collects the evidence, and decides on quarantines while no coordinator before this one can.
#[derive(Debug)]
pub(crate) struct QuarantineCoordinator {
    link: Arc<StoreLink>,
    evidence: Mutex<CrashEvidence>,
    /// Requests that this instance itself put under quarantine.
    decided_here: Mutex<HashSet<Content>>,
    /// Those that it suspects on strong evidence.
    suspected_here: Mutex<HashSet<Content>>,
    /// Since when the state of the store is known here without interruption, as far as crashes
    /// were evaluated.
    current_since: Mutex<Option<MonoTime>>,
    /// What coordinators before this one said of themselves.
    answers: Mutex<CoordinatorAnswers>,
    /// What this instance last decided on; none if it could not decide.
    duty: Mutex<Option<DecidesOn>>,
    report_received: Signal,
    evidence_received: Signal,
    decided: Signal,
}

impl QuarantineCoordinator {
    pub(crate) fn new(link: Arc<StoreLink>) -> QuarantineCoordinator {
        QuarantineCoordinator {
            link,
            evidence: Mutex::default(),
            decided_here: Mutex::default(),
            suspected_here: Mutex::default(),
            current_since: Mutex::default(),
            answers: Mutex::default(),
            duty: Mutex::default(),
            report_received: Signal::new(),
            evidence_received: Signal::new(),
            decided: Signal::new(),
        }
    }

    /// Adds an instance's report to the evidence, and releases requests that it clears.
    pub(crate) fn record_report(&self, report: RunReport) {
        let state = &self.link.state;
        let now = state.now();
        let mut evidence = lock(&self.evidence);
        for crash in report.crashes {
            for run in &crash.runs {
                let content = run.contents.request;
                if state.quarantine.is_suspected(now, content) {
                    state.trials.record_crash(now, content, crash.at);
                }
            }
            evidence.record_crash(now, crash);
        }
        for crash in report.possible_crashes {
            evidence.record_possible_crash(now, crash);
        }
        let mut cleared = Vec::new();
        for run in report.sound_runs {
            let request = run.contents.request;
            let is_piece = state.serves_stages(&run.service);
            if !is_piece && state.quarantine.is_suspected(now, request) {
                state.trials.record_sound_before(now, request, &run.service);
            }
            cleared.extend(evidence.record_sound_run(&run));
            let contents = run.contents.iter();
            cleared.extend(contents.filter(|c| self.ran_soundly_after_hold(now, &run, *c)));
        }
        drop(evidence);
        if !cleared.is_empty()
            && self.link.state.can_decide()
            && self.decides_on(now).includes(true)
        {
            for content in cleared {
                self.release(now, content, "it ran to its end");
            }
        }
        self.report_received.notify();
        self.evidence_received.notify();
    }

    /// Records what another coordinator said of itself.
    pub(crate) fn record_answer(&self, coordinator: SocketAddr, answer: CoordinatorAnswer) {
        let now = self.link.state.now();
        lock(&self.answers).record(now, coordinator, answer);
    }

    /// True if a coordinator is not known to be unable to decide.
    pub(crate) fn may_decide(&self, now: MonoTime, coordinator: SocketAddr) -> bool {
        lock(&self.answers).may_decide(now, coordinator)
    }

    /// True while there is evidence to decide on.
    pub(crate) fn has_evidence(&self) -> bool {
        lock(&self.evidence).is_pending(self.link.state.now())
    }

    /// Returns once a report has arrived.
    pub(crate) async fn evidence_received(&self) {
        self.evidence_received.wait().await;
    }

    /// The coordinators that are to be asked now whether they decide.
    pub(crate) fn coordinators_to_ask(&self) -> Vec<SocketAddr> {
        if !self.has_evidence() || !self.link.state.can_decide() {
            return Vec::new();
        }
        let earlier = self.link.state.earlier_coordinators().unwrap_or_default();
        lock(&self.answers).to_ask(self.link.state.now(), &earlier)
    }

    fn decides_on(&self, now: MonoTime) -> DecidesOn {
        match self.link.state.earlier_coordinators() {
            Some(earlier) => lock(&self.answers).decides_on(now, &earlier),
            None => DecidesOn::Nothing,
        }
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

    /// Evaluates the evidence, forever.
    pub(crate) async fn evaluate_evidence(self: Arc<Self>) {
        loop {
            self.report_received.wait_timeout(self.pause()).await;
            self.evaluate();
        }
    }

    /// Writes quarantines to the store, forever. A call that takes long delays no decision.
    pub(crate) async fn write_quarantines(self: Arc<Self>) {
        let mut next_write = MonoTime::ZERO;
        let mut has_store_since = None;
        loop {
            self.decided.wait_timeout(self.pause()).await;
            let now = self.link.state.now();
            if self.link.state.has_lost_store() {
                has_store_since = None;
                continue;
            }
            let since = *has_store_since.get_or_insert(now);
            if now < next_write {
                continue;
            }
            if let Err(e) = self.write(now, since).await {
                log::info!(error:% = e; "quarantine could not be written to the store; retrying");
                next_write = self.link.state.now() + WRITE_RETRY_PAUSE;
            }
        }
    }

    /// The time until evidence and quarantines are looked at again.
    fn pause(&self) -> Duration {
        let state = &self.link.state;
        let is_pending = lock(&self.evidence).is_pending(state.now());
        match is_pending || !state.quarantine.list().is_empty() {
            true => EVALUATE_INTERVAL,
            false => IDLE_INTERVAL,
        }
    }

    /// How many coordinators before this one may decide; none if it is no coordinator.
    fn turn(&self, now: MonoTime) -> Option<u32> {
        let earlier = self.link.state.earlier_coordinators()?;
        let answers = lock(&self.answers);
        let before = earlier.iter().filter(|c| answers.may_decide(now, **c));
        u32::try_from(before.count()).ok()
    }

    fn record_duty(&self, duty: Option<DecidesOn>) {
        let before = std::mem::replace(&mut *lock(&self.duty), duty);
        if before != duty {
            let state = &self.link.state;
            log::info!(
                decides_on:? = duty,
                store_lost = state.has_lost_store(),
                fresh = state.is_fresh();
                "duty of deciding on the quarantine"
            );
        }
    }

    fn evaluate(&self) {
        let state = &self.link.state;
        let now = state.now();
        let mut evidence = lock(&self.evidence);
        if !evidence.is_pending(now) {
            return;
        }
        if !self.link.state.can_decide() {
            *lock(&self.current_since) = None;
            self.record_duty(None);
            return;
        }
        let duty = self.decides_on(now);
        self.record_duty(Some(duty));
        let current_since = *lock(&self.current_since).get_or_insert(now);
        let table = state.upstreams.load();
        let is_listed = |id: &str, start| table.start_of(id) == Some(start);
        evidence.discard_listed(now, current_since, is_listed);
        let list = state.quarantine.list();
        let often_present = evidence.often_present(now);
        let findings = evidence.findings(now, |content| {
            let held = list.get(now, content).filter(|h| h.state.is_active());
            held.map(|h| Suspicion {
                since: h.recorded_at,
                is_recorded: h.stored.is_some(),
            })
        });
        drop(evidence);
        // The instance that decided on the quarantine has the evidence, and may no longer
        // be the first coordinator.
        for content in findings.released {
            if lock(&self.decided_here).remove(&content) {
                self.retry(now, content);
            }
        }
        let decides = |f: &&Finding| duty.includes(f.is_part);
        let suspected = findings.suspected.iter().chain(&often_present);
        for finding in suspected.filter(decides) {
            self.apply_finding(now, finding, QuarantinePhase::Suspected);
        }
        for finding in findings.quarantined.iter().filter(decides) {
            self.apply_finding(now, finding, QuarantinePhase::Quarantined);
        }
    }

    fn apply_finding(&self, now: MonoTime, finding: &Finding, phase: QuarantinePhase) {
        let quarantine = &self.link.state.quarantine;
        let list = quarantine.list();
        let set = match phase {
            QuarantinePhase::Quarantined => Some(&self.decided_here),
            _ => finding.is_strong().then_some(&self.suspected_here),
        };
        let Some(next) = list.next_state(now, finding, phase) else {
            // It may have been suspected on less.
            if phase == QuarantinePhase::Suspected && quarantine.is_suspected(now, finding.content)
            {
                set.map(|set| lock(set).insert(finding.content));
            }
            return;
        };
        log::warn!(
            content:% = finding.content,
            phase = phase.as_str(),
            ends = finding.crashes,
            upstreams = finding.upstreams,
            answered = finding.answered,
            longest_ms = finding.longest_run.as_millis() as u64;
            "upstreams ended with this content"
        );
        if let Some(set) = set {
            let mut set = lock(set);
            set.retain(|c| list.get(now, *c).is_some());
            set.insert(finding.content);
        }
        self.decide(now, finding.content, next, QUARANTINE_TTL);
    }

    /// Has what was quarantined tried again, because other contents explain the crashes.
    fn retry(&self, now: MonoTime, content: Content) {
        let held = self.link.state.quarantine.list().get(now, content);
        if let Some(next) = held.and_then(|h| h.state.tried_again()) {
            let reason = "its ends have another cause";
            log::warn!(content:% = content, reason; "request tried again");
            self.decide(now, content, next, QUARANTINE_TTL);
        }
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
        if next.phase == QuarantinePhase::Released {
            state.trials.remove(content);
        }
        state.quarantine.apply(now, QuarantineSource::Own, [update]);
        self.decided.notify();
    }

    /// Writes what the store lacks, for as long as it is in force, when it is this instance's turn.
    /// It has had the store since `since`.
    ///
    /// Guards against the loss of all instances at once, after which the same request
    /// would crash three more upstreams. Of suspicions, those on strong evidence are worth a call, once
    /// instances have had time to object.
    async fn write(&self, now: MonoTime, since: MonoTime) -> Result<(), StoreError> {
        let list = self.link.state.quarantine.list();
        let is_lacking = |(content, held): &(Content, QuarantineEntry)| {
            let is_due = match held.state.phase {
                QuarantinePhase::Suspected => {
                    let is_strong = lock(&self.suspected_here).contains(content);
                    // The store may still hold a quarantine that was taken back.
                    let is_worth_it = is_strong || held.stored.is_some();
                    is_worth_it && now.since(held.recorded_at) >= SUSPICION_WRITE_DELAY
                }
                QuarantinePhase::Quarantined | QuarantinePhase::Released => true,
            };
            is_due && needs_write(held) && held.expires_at.since(now) > MIN_LEASE
        };
        let lacking: Vec<_> = list.entries(now).filter(is_lacking).collect();
        if lacking.is_empty() {
            return Ok(());
        }
        let Some(turn) = self.turn(now) else {
            return Ok(());
        };
        for (content, held) in lacking {
            if now.since(held.recorded_at.max(since)) >= WRITE_TURN * turn {
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

/// True if the store lacks the current state.
fn needs_write(held: &QuarantineEntry) -> bool {
    match held.state.phase {
        QuarantinePhase::Suspected | QuarantinePhase::Quarantined => {
            held.stored != Some(held.state)
        }
        QuarantinePhase::Released => held.stored.is_some_and(|s| s < held.state),
    }
}
