//! Finding out which upstreams have ended, and telling the coordinators of the quarantine.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use compact_str::CompactString;
use jd_net::ProbeResult;
use jd_net::lock;
use jd_serving::BrokenRun;
use jd_serving::UpstreamCrash;
use jd_types::MonoTime;

use crate::peer_client::PeerClient;
use crate::peer_quarantine::RunReport;
use crate::quarantine_coordinator::QuarantineCoordinator;
use crate::run_events::RunEvent;
use crate::run_events::UpstreamRef;
use crate::state::State;

/// How long broken runs of one upstream gather before it is looked for. Its connections
/// break within a few milliseconds of each other.
const GATHER: Duration = Duration::from_millis(30);
/// How often it is looked whether an upstream that answers is a later start.
const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// How long. A process that is started again at once is listed anew within a second; one
/// that ends later than that has not ended by what broke before.
const LOOK_FOR: Duration = Duration::from_secs(1);
/// Instances that are told: the one that decides and those that would come after it, so
/// that what is known outlives the loss of two.
const COORDINATORS: usize = 3;
/// The most runs of one end that are told.
const MOST_RUNS: usize = 128;
/// Contents that a line names.
const MOST_NAMED: usize = 8;

/// What broke at one upstream.
#[derive(Debug)]
struct Broken {
    at: MonoTime,
    runs: Vec<BrokenRun>,
}

/// Finds out which upstreams have ended, and tells the coordinators of the quarantine.
#[derive(Debug)]
pub(crate) struct CrashReporter {
    state: Arc<State>,
    peers: Arc<PeerClient>,
    coordinator: Arc<QuarantineCoordinator>,
    broken: Mutex<HashMap<UpstreamRef, Broken>>,
}

impl CrashReporter {
    pub(crate) fn new(
        state: Arc<State>,
        peers: Arc<PeerClient>,
        coordinator: Arc<QuarantineCoordinator>,
    ) -> CrashReporter {
        CrashReporter {
            state,
            peers,
            coordinator,
            broken: Mutex::default(),
        }
    }

    /// Takes events in for good.
    pub(crate) async fn run(self: Arc<Self>) {
        while let Some(run_events) = self.state.quarantine.run_events.next().await {
            match run_events {
                RunEvent::Completed(run) => self.tell(RunReport {
                    completed_runs: vec![run],
                    ..RunReport::default()
                }),
                RunEvent::Broken {
                    at,
                    upstream,
                    content,
                    began,
                } => self.broke(at, upstream, BrokenRun { content, began }),
            }
        }
    }

    /// Says for good which suspects ran well here.
    pub(crate) async fn report_recent_runs(self: Arc<Self>) {
        loop {
            self.state.quarantine.runs_wanted.wait().await;
            let completed_runs = self.state.quarantine.recent_runs(self.state.now());
            if !completed_runs.is_empty() {
                self.tell(RunReport {
                    completed_runs,
                    ..RunReport::default()
                });
            }
        }
    }

    fn broke(self: &Arc<Self>, at: MonoTime, upstream: UpstreamRef, run: BrokenRun) {
        let mut broken = lock(&self.broken);
        match broken.get_mut(&upstream) {
            Some(known) if known.runs.len() >= MOST_RUNS => {}
            Some(known) => known.runs.push(run),
            None => {
                let runs = vec![run];
                broken.insert(upstream.clone(), Broken { at, runs });
                let looking = Arc::clone(self).look(upstream);
                self.state.executor.spawn(looking).detach();
            }
        }
    }

    /// Finds out whether an upstream at which runs broke has ended, and tells of it.
    ///
    /// A connection breaks for many reasons, and most of them leave the upstream well. It
    /// has ended if nobody listens where it did, or if another start of it is known.
    async fn look(self: Arc<Self>, upstream: UpstreamRef) {
        Timer::after(GATHER).await;
        // What breaks from now on is looked into by itself.
        let Some(broken) = lock(&self.broken).remove(&upstream) else {
            return;
        };
        let until = self.state.now() + LOOK_FOR;
        let mut seen = self.see(&upstream).await;
        while seen == Seen::There && self.state.now() < until {
            Timer::after(LOOK_AGAIN).await;
            seen = self.see_entry(&upstream);
            if seen == Seen::Unlisted {
                // It may have left and still serve what it has.
                seen = self.see(&upstream).await;
            }
        }
        let runs = broken.runs.len();
        self.state.metrics.broken_runs(seen.as_str(), runs);
        log::info!(
            upstream = upstream.id.as_str(),
            service = upstream.service.as_str(),
            runs,
            contents = contents(&broken.runs).as_str(),
            outcome = seen.as_str();
            "runs broke at an upstream"
        );
        if seen == Seen::Ended {
            self.tell(RunReport {
                ends: vec![UpstreamCrash {
                    service: upstream.service,
                    upstream: upstream.id,
                    start: upstream.start,
                    at: broken.at,
                    runs: broken.runs,
                }],
                ..RunReport::default()
            });
        }
    }

    async fn see(&self, upstream: &UpstreamRef) -> Seen {
        if self.see_entry(upstream) == Seen::Ended {
            return Seen::Ended;
        }
        match self.state.upstream_client.probe(upstream.address).await {
            ProbeResult::Refused => Seen::Ended,
            ProbeResult::Open | ProbeResult::TimedOut => Seen::There,
        }
    }

    /// What the list of upstreams says.
    fn see_entry(&self, upstream: &UpstreamRef) -> Seen {
        let table = self.state.upstreams.load();
        match table.start_of(&upstream.id) {
            Some(now) if now.is_later_than(upstream.start) => Seen::Ended,
            Some(_) => Seen::There,
            None if table.serves_at(&upstream.service, upstream.address) => Seen::Ended,
            None => Seen::Unlisted,
        }
    }

    fn tell(self: &Arc<Self>, report: RunReport) {
        let coordinators = self.state.coordinators().into_iter().take(COORDINATORS);
        for coordinator in coordinators {
            if coordinator == self.state.own_entry.peer_address {
                self.coordinator.record_report(report.clone());
                continue;
            }
            let reporter = Arc::clone(self);
            let report = report.clone();
            let telling = async move {
                if !reporter.peers.report_crashes(coordinator, &report).await {
                    log::info!(coordinator:% = coordinator; "a coordinator of the quarantine does not answer; others are told as well");
                }
            };
            self.state.executor.spawn(telling).detach();
        }
    }
}

/// What was found out of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seen {
    /// Its process is gone.
    Ended,
    /// It is there, or there is no telling.
    There,
    /// Nothing lists it any more.
    Unlisted,
}

impl Seen {
    const fn as_str(self) -> &'static str {
        match self {
            Seen::Ended => "ended",
            Seen::There => "there",
            Seen::Unlisted => "unlisted",
        }
    }
}

/// What broke, for a log line.
fn contents(runs: &[BrokenRun]) -> CompactString {
    let named = runs.iter().take(MOST_NAMED).map(|r| r.content.to_string());
    named.collect::<Vec<String>>().join(" ").into()
}
