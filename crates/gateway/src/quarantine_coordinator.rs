//! Deciding which requests end the upstreams that run them, on the instance that does so
//! for all.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use jd_net::lock;
use jd_serving::CompletedRun;
use jd_serving::Content;
use jd_serving::CrashEvidence;
use jd_serving::Finding;
use jd_serving::QUARANTINE_TTL;
use jd_serving::QuarantineEntry;
use jd_serving::QuarantinePhase;
use jd_serving::QuarantineState;
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

/// How often it is looked whether time has brought a finding.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// The same where there is nothing to look at, until something is told: this instance may
/// have come to be the one that keeps quarantines.
const LOOK_IDLE: Duration = Duration::from_secs(2);
/// What is held for less is not worth a lease: the store takes none under a second.
const LEAST_LEASE: Duration = Duration::from_secs(2);
/// Pause after the store did not take a change. All instances know it meanwhile.
const WRITE_AGAIN: Duration = Duration::from_millis(1_000);

/// Decides on the quarantine while this instance is the first in order, and keeps the evidence
/// for that while it is one of the next.
#[derive(Debug)]
pub(crate) struct QuarantineCoordinator {
    link: Arc<StoreLink>,
    evidence: Mutex<CrashEvidence>,
    /// Requests that this instance itself has quarantined.
    held_here: Mutex<HashSet<Content>>,
    told: Signal,
}

impl QuarantineCoordinator {
    pub(crate) fn new(link: Arc<StoreLink>) -> QuarantineCoordinator {
        QuarantineCoordinator {
            link,
            evidence: Mutex::default(),
            held_here: Mutex::default(),
            told: Signal::new(),
        }
    }

    /// Takes in what an instance saw.
    pub(crate) fn record_report(&self, report: RunReport) {
        let state = &self.link.state;
        let now = state.now();
        let mut evidence = lock(&self.evidence);
        for end in report.ends {
            evidence.record_crash(now, end);
        }
        let mut cleared = Vec::new();
        for run in report.completed_runs {
            if evidence.record_completed_run(&run) || self.is_later(now, &run) {
                cleared.push(run.content);
            }
        }
        drop(evidence);
        if self.is_first() {
            for content in cleared {
                self.release(now, content, "it ran to its end");
            }
        }
        self.told.notify();
    }

    /// True if a request ran well after something was held against it. So one that was
    /// quarantined by an instance that is lost, with its evidence, may be released.
    ///
    /// Guards against the pieces of its stages, which run well at other services before
    /// it ends each upstream that runs itself: each released it.
    fn is_later(&self, now: MonoTime, run: &CompletedRun) -> bool {
        if self.link.state.serves_stages(&run.service) {
            return false;
        }
        let list = self.link.state.quarantine.list();
        let held = list.get(now, run.content);
        held.is_some_and(|h| run.at > h.first_recorded())
    }

    /// Looks for good at what ended, and keeps the quarantine in the store.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut write_from = MonoTime::ZERO;
        loop {
            let pause = match self.is_idle() {
                true => LOOK_IDLE,
                false => LOOK_EVERY,
            };
            self.told.wait_timeout(pause).await;
            self.look();
            let now = self.link.state.now();
            if self.is_idle() || now < write_from || !self.is_first() {
                continue;
            }
            if let Err(e) = self.write(now).await {
                log::info!(error:% = e; "quarantine not in the store yet; it is tried again");
                write_from = self.link.state.now() + WRITE_AGAIN;
            }
        }
    }

    /// True while there is nothing to look at and nothing to keep.
    fn is_idle(&self) -> bool {
        let state = &self.link.state;
        let pending = lock(&self.evidence).is_pending(state.now());
        !pending && state.quarantine.list().is_empty()
    }

    fn is_first(&self) -> bool {
        let state = &self.link.state;
        state.coordinators().first() == Some(&state.own_entry.peer_address)
    }

    fn look(&self) {
        let state = &self.link.state;
        let now = state.now();
        let mut evidence = lock(&self.evidence);
        if !evidence.is_pending(now) {
            return;
        }
        // An instance that is cut off takes upstreams for ended that are not, and finds
        // itself the first in order. What it held would hold for all.
        if !state.is_fresh() || state.has_lost_store() {
            return;
        }
        let table = state.upstreams.load();
        evidence.discard_listed(now, |id, start| table.start_of(id) == Some(start));
        let findings = evidence.findings(now);
        drop(evidence);
        // Who held it has the evidence, and may not be the first any more.
        for content in findings.released {
            if lock(&self.held_here).remove(&content) {
                self.release(now, content, "its ends have another cause");
            }
        }
        if !self.is_first() {
            return;
        }
        for finding in &findings.suspected {
            self.hold(now, finding, QuarantinePhase::Suspected);
        }
        for finding in &findings.quarantined {
            self.hold(now, finding, QuarantinePhase::Quarantined);
        }
    }

    fn hold(&self, now: MonoTime, finding: &Finding, phase: QuarantinePhase) {
        let quarantine = &self.link.state.quarantine;
        let Some(next) = quarantine.list().next_state(now, finding, phase) else {
            return;
        };
        log::warn!(
            content:% = finding.content,
            phase = phase.as_str(),
            ends = finding.crashes,
            longest_ms = finding.longest_run.as_millis() as u64;
            "upstreams ended with a request"
        );
        if phase == QuarantinePhase::Quarantined {
            let list = quarantine.list();
            let mut held_here = lock(&self.held_here);
            held_here.retain(|c| list.get(now, *c).is_some());
            held_here.insert(finding.content);
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
        let told = QuarantineUpdate {
            content,
            state: next,
            left,
        };
        let state = &self.link.state;
        state.metrics.quarantine(next.phase.as_str());
        state.quarantine.apply(now, QuarantineSource::Own, [told]);
    }

    /// Has the store keep what it does not have, for as long as that is held.
    ///
    /// Guards against the loss of all instances at once, after which the same request
    /// would end three upstreams more. A suspicion is not worth a call.
    async fn write(&self, now: MonoTime) -> Result<(), StoreError> {
        let list = self.link.state.quarantine.list();
        for (content, held) in list.entries(now) {
            if lacks(&held) && held.expires_at.since(now) > LEAST_LEASE {
                self.write_one(now, content, held).await?;
            }
        }
        Ok(())
    }

    async fn write_one(
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

/// True if the store lacks it.
fn lacks(held: &QuarantineEntry) -> bool {
    match held.state.phase {
        QuarantinePhase::Suspected => false,
        QuarantinePhase::Quarantined => held.stored != Some(held.state),
        QuarantinePhase::Released => held.stored.is_some_and(|s| s < held.state),
    }
}
