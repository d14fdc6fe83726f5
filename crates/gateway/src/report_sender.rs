//! Sends reports on runs to the coordinators of the quarantine.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use jd_net::lock;
use jd_serving::CoordinatorAnswer;
use jd_serving::CrashLog;
use jd_serving::SoundRun;
use jd_serving::UpstreamCrash;
use jd_wire::CrashReportReply;

use crate::peer_client::PeerClient;
use crate::peer_quarantine::RunReport;
use crate::quarantine_coordinator::QuarantineCoordinator;
use crate::state::State;

/// Instances that can decide and get each report, so that the evidence survives the loss of two.
const COPIES: usize = 3;
/// Timeout of a report: as long as an instance may miss heartbeats.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Timeout of a question whether a coordinator decides. One that takes longer stands still, or cannot
/// be reached; a decision of two instances does no harm.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between checks which coordinators to ask, while there is evidence.
const QUESTION_INTERVAL: Duration = Duration::from_millis(100);
/// Most sound runs in a report on a crash.
const MAX_SOUND_RUNS_PER_CRASH: usize = 64;

/// The coordinators that a report may still go to.
#[derive(Debug)]
struct Candidates {
    /// Those that may be able to decide.
    likely: VecDeque<SocketAddr>,
    /// Those that are known to be unable. They get the report if too few others do: they decide on it
    /// once they can.
    unable: VecDeque<SocketAddr>,
    delivered: usize,
}

impl Candidates {
    fn next(&mut self) -> Option<SocketAddr> {
        let likely = self.likely.pop_front();
        likely.or_else(|| match self.delivered < COPIES {
            true => self.unable.pop_front(),
            false => None,
        })
    }
}

/// Sends reports on runs to the first coordinators that can decide.
#[derive(Debug)]
pub(crate) struct ReportSender {
    state: Arc<State>,
    peers: Arc<PeerClient>,
    coordinator: Arc<QuarantineCoordinator>,
    log: Mutex<CrashLog>,
}

impl ReportSender {
    pub(crate) fn new(
        state: Arc<State>,
        peers: Arc<PeerClient>,
        coordinator: Arc<QuarantineCoordinator>,
    ) -> ReportSender {
        ReportSender {
            state,
            peers,
            coordinator,
            log: Mutex::default(),
        }
    }

    /// Reports a crash, and the sound runs that this instance has seen of what was present.
    pub(crate) fn send_crash(self: &Arc<Self>, crash: UpstreamCrash) {
        lock(&self.log).add(self.state.now(), crash);
        self.send(Vec::new());
    }

    /// Reports an upstream that may have crashed. It is told once: what matters is that the requests that
    /// ran there are tried one at a time until more is known.
    pub(crate) fn send_possible(self: &Arc<Self>, crash: UpstreamCrash) {
        self.send_report(RunReport {
            possible_crashes: vec![crash],
            ..RunReport::default()
        });
    }

    /// Reports sound runs, and the crashes that a coordinator has not received.
    pub(crate) fn send(self: &Arc<Self>, sound_runs: Vec<SoundRun>) {
        self.send_report(RunReport {
            sound_runs,
            ..RunReport::default()
        });
    }

    fn send_report(self: &Arc<Self>, report: RunReport) {
        let now = self.state.now();
        let all = self.state.coordinators().into_iter();
        let (likely, unable) = all.partition(|c| self.coordinator.may_decide(now, *c));
        let candidates = Arc::new(Mutex::new(Candidates {
            likely,
            unable,
            delivered: 0,
        }));
        let report = Arc::new(report);
        for _ in 0..COPIES {
            let sender = Arc::clone(self);
            let delivering = sender.deliver(Arc::clone(&candidates), Arc::clone(&report));
            self.state.executor.spawn(delivering).detach();
        }
    }

    /// Sends a report to one coordinator after the other, until one can decide.
    async fn deliver(self: Arc<Self>, candidates: Arc<Mutex<Candidates>>, report: Arc<RunReport>) {
        loop {
            let Some(coordinator) = lock(&candidates).next() else {
                return;
            };
            match self.send_to(coordinator, &report).await {
                CoordinatorAnswer::Missing => continue,
                answer => {
                    lock(&candidates).delivered += 1;
                    if answer != CoordinatorAnswer::CannotDecide {
                        return;
                    }
                }
            }
        }
    }

    async fn send_to(&self, coordinator: SocketAddr, told: &RunReport) -> CoordinatorAnswer {
        loop {
            let (crashes, count) = lock(&self.log).missing(coordinator);
            let mut report = RunReport {
                crashes,
                ..told.clone()
            };
            for crash in &report.crashes {
                report.sound_runs.extend(self.sound_runs_after(crash));
            }
            if coordinator == self.state.own_entry.peer_address {
                self.coordinator.record_report(report);
                lock(&self.log).record_received(coordinator, 0, count);
                return match self.state.can_decide() {
                    true => CoordinatorAnswer::Decides,
                    false => CoordinatorAnswer::CannotDecide,
                };
            }
            let reply = self
                .peers
                .report_crashes(coordinator, &report, REPORT_TIMEOUT);
            let reply = reply.await;
            let answer = self.record_answer(coordinator, reply);
            let Some(reply) = reply else {
                log::info!(coordinator:% = coordinator; "a coordinator of the quarantine does not answer; others get the report");
                return answer;
            };
            let mut log = lock(&self.log);
            if log.record_received(coordinator, reply.incarnation, count) {
                return answer;
            }
        }
    }

    /// The last sound runs of what was present at a crash.
    fn sound_runs_after(&self, crash: &UpstreamCrash) -> Vec<SoundRun> {
        let present = crash.runs.iter().flat_map(|r| r.contents.iter());
        let quarantine = &self.state.quarantine;
        let mut runs = quarantine.last_runs(&crash.service, present);
        runs.truncate(MAX_SOUND_RUNS_PER_CRASH);
        runs
    }

    /// Asks the coordinators before this one whether they decide, while there is evidence to decide
    /// on, forever.
    pub(crate) async fn ask_earlier_coordinators(self: Arc<Self>) {
        loop {
            if !self.coordinator.has_evidence() {
                self.coordinator.evidence_received().await;
            }
            let asked = self.coordinator.coordinators_to_ask();
            let asking: Vec<Task<()>> = asked
                .into_iter()
                .map(|coordinator| {
                    let sender = Arc::clone(&self);
                    let asking = async move { sender.ask(coordinator).await };
                    self.state.executor.spawn(asking)
                })
                .collect();
            for task in asking {
                task.await;
            }
            Timer::after(QUESTION_INTERVAL).await;
        }
    }

    async fn ask(&self, coordinator: SocketAddr) {
        let question = RunReport::default();
        let reply = self
            .peers
            .report_crashes(coordinator, &question, QUESTION_TIMEOUT);
        self.record_answer(coordinator, reply.await);
    }

    fn record_answer(
        &self,
        coordinator: SocketAddr,
        reply: Option<CrashReportReply>,
    ) -> CoordinatorAnswer {
        let answer = match reply {
            None => CoordinatorAnswer::Missing,
            Some(reply) if reply.cannot_decide => CoordinatorAnswer::CannotDecide,
            Some(reply) if reply.judges_parts => CoordinatorAnswer::Decides,
            Some(_) => CoordinatorAnswer::DecidesOnRequests,
        };
        self.coordinator.record_answer(coordinator, answer);
        answer
    }
}
