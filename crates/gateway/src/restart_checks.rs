//! Checks whether upstreams have restarted whose entries tell a later start.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use jd_policy::Upstream;
use jd_serving::SoftwareVersion;
use jd_serving::StartReport;
use jd_serving::UpstreamStart;

use crate::latch::Latch;
use crate::run_events::UpstreamRef;
use crate::state::State;
use crate::version_check;

/// The capacity of the queue. Beyond it, requests at restarted upstreams end when their connections
/// break or their time is over.
const QUEUE_CAPACITY: usize = 1_024;
/// How often an upstream that does not answer is asked for its start.
const MAX_QUERIES: u32 = 3;
/// The pause before it is asked again.
const QUERY_PAUSE: Duration = Duration::from_millis(250);

/// A start of an upstream that has requests in progress, and the entry that tells a later one.
#[derive(Debug)]
pub(crate) struct SuspectedRestart {
    /// The start that may have ended.
    pub(crate) before: UpstreamRef,
    pub(crate) software_before: SoftwareVersion,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) restarted: Arc<Latch>,
    /// What the entry tells now.
    pub(crate) start: UpstreamStart,
    pub(crate) address: SocketAddr,
    pub(crate) software: SoftwareVersion,
}

/// A queue of the upstreams to check.
#[derive(Debug)]
pub(crate) struct RestartChecks {
    tx: Sender<SuspectedRestart>,
    rx: Receiver<SuspectedRestart>,
}

impl RestartChecks {
    pub(crate) fn new() -> RestartChecks {
        let (tx, rx) = async_channel::bounded(QUEUE_CAPACITY);
        RestartChecks { tx, rx }
    }

    pub(crate) fn add(&self, suspected: SuspectedRestart) {
        if let Err(e) = self.tx.try_send(suspected) {
            log::warn!(error:% = e; "check of a restart dropped: queue is full");
        }
    }

    /// Checks upstreams, forever.
    pub(crate) async fn run(state: Arc<State>) {
        while let Ok(suspected) = state.restart_checks.rx.recv().await {
            let checking = suspected.check(Arc::clone(&state));
            state.executor.spawn(checking).detach();
        }
    }
}

impl SuspectedRestart {
    /// Wakes the requests that wait for the earlier start, unless the process at its address reports
    /// that start. An entry of another writer must not end the answers of an upstream that runs on.
    async fn check(self, state: Arc<State>) {
        let report = match self.upstream.in_flight() {
            0 => StartReport::Unanswered,
            _ => self.ask(&state).await,
        };
        let is_denied = report.denies_restart(self.before.start);
        if !is_denied {
            self.restarted.set();
        }
        log::info!(
            upstream = self.before.id.as_str(),
            address:% = self.before.address,
            address_now:% = self.address,
            start:? = self.before.start.millis(),
            start_now:? = self.start.millis(),
            software = self.software_before.as_str(),
            software_now = self.software.as_str(),
            reported:? = report,
            requests = self.upstream.in_flight();
            "{}",
            match is_denied {
                true => "upstream denies the restart that its entry tells",
                false => "upstream restarted",
            }
        );
    }

    async fn ask(&self, state: &State) -> StartReport {
        for query in 0..MAX_QUERIES {
            if query > 0 {
                Timer::after(QUERY_PAUSE).await;
            }
            let report = version_check::ask_start(state, self.before.clone()).await;
            if report != StartReport::Unanswered {
                return report;
            }
        }
        StartReport::Unanswered
    }
}
