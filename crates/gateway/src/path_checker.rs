//! Checks whether this instance has a network path to the upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Task;
use jd_net::ProbeResult;
use jd_net::lock;
use jd_serving::PathCheck;
use jd_serving::PathMonitor;
use jd_serving::UpstreamPath;

use crate::signal::Signal;
use crate::state::State;

/// Upstreams that a check connects to.
const PROBES: usize = 4;
/// The interval at which a suspected or lost path is looked at.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Whether this instance has a network path to the upstreams. Read for every request.
#[derive(Debug)]
pub(crate) struct OwnPath {
    is_lost: AtomicBool,
    monitor: Mutex<PathMonitor>,
    check_requested: Signal,
}

impl OwnPath {
    pub(crate) fn new() -> OwnPath {
        OwnPath {
            is_lost: AtomicBool::new(false),
            monitor: Mutex::default(),
            check_requested: Signal::new(),
        }
    }

    /// True while no upstream can be connected to.
    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.load(Ordering::Relaxed)
    }

    /// What other instances are told.
    pub(crate) fn reported(&self) -> UpstreamPath {
        match self.is_lost() {
            true => UpstreamPath::Lost,
            false => UpstreamPath::Open,
        }
    }

    fn is_suspected(&self) -> bool {
        lock(&self.monitor).is_suspected()
    }

    /// Records that no connection to an upstream could be opened.
    pub(crate) fn record_failed(&self, state: &State, upstream: SocketAddr) {
        lock(&self.monitor).record_failed(state.now(), upstream);
        self.check_requested.notify();
    }

    /// Records that a connection to an upstream was opened.
    pub(crate) fn record_opened(&self, state: &State, upstream: SocketAddr) {
        let mut monitor = lock(&self.monitor);
        let Some(lost) = monitor.record_opened(state.now()) else {
            return;
        };
        self.is_lost.store(false, Ordering::Relaxed);
        drop(monitor);
        let lost_ms = lost.as_millis() as u64;
        log::info!(upstream:%, lost_ms; "upstreams can be connected to again");
        state.metrics.path_lost(false);
        state.heartbeat_requested.notify();
    }

    /// True if another upstream than the one at `failed` can be connected to, or if there is no
    /// other one.
    pub(crate) async fn connects_elsewhere(state: &Arc<State>, failed: SocketAddr) -> bool {
        let mut others = state.upstreams.load().sample_addresses(PROBES, &[failed]);
        others.retain(|address| *address != failed);
        let probes: Vec<Task<bool>> = others.iter().map(|a| probe(state, *a)).collect();
        any_of(probes).await
    }

    /// The same for connections that stay open for this long.
    pub(crate) async fn stays_connected_elsewhere(
        state: &Arc<State>,
        closed: SocketAddr,
        time: Duration,
    ) -> bool {
        let mut others = state.upstreams.load().sample_addresses(PROBES, &[closed]);
        others.retain(|address| *address != closed);
        let probes = others.into_iter().map(|address| {
            let prober = Arc::clone(state);
            state.executor.spawn(async move {
                let probing = prober.upstream_client.probe_for(address, time);
                probing.await == ProbeResult::Open
            })
        });
        any_of(probes.collect()).await
    }

    /// Checks the path whenever connections fail, and while it is lost. Never returns.
    pub(crate) async fn check(state: Arc<State>) {
        let path = &state.path;
        loop {
            if path.is_suspected() {
                path.check_requested.wait_timeout(RECHECK_INTERVAL).await;
            } else {
                path.check_requested.wait().await;
            }
            let upstreams = state.upstreams.load().count();
            if !lock(&path.monitor).begin_check(state.now(), upstreams) {
                continue;
            }
            path.run_check(&state).await;
        }
    }

    /// Checks the path because an upstream is silent, unless it was checked just before. A lost path
    /// says nothing about what that upstream has run.
    pub(crate) async fn check_in_silence(&self, state: &Arc<State>) {
        if !self.is_lost() && lock(&self.monitor).begin_silence_check(state.now()) {
            self.run_check(state).await;
        }
    }

    async fn run_check(&self, state: &Arc<State>) {
        let failed: Vec<SocketAddr> = lock(&self.monitor).failed().collect();
        let sample = state.upstreams.load().sample_addresses(PROBES, &failed);
        let probes = sample.into_iter().map(|address| probe(state, address));
        let mut check = PathCheck::default();
        for probe in probes.collect::<Vec<Task<bool>>>() {
            match probe.await {
                true => check.opened += 1,
                false => check.failed += 1,
            }
        }
        self.record_check(state, check);
    }

    fn record_check(&self, state: &State, check: PathCheck) {
        state.metrics.path_check(match check.opened {
            0 => "no-connection",
            _ => "connected",
        });
        let mut monitor = lock(&self.monitor);
        if !monitor.record_check(state.now(), check) {
            return;
        }
        // Stored while `monitor` is locked, so that both always agree.
        self.is_lost.store(true, Ordering::Relaxed);
        let failed: Vec<SocketAddr> = monitor.failed().collect();
        drop(monitor);
        // The path is checked from now on until it is back.
        self.check_requested.notify();
        state.upstreams.load().forget_failed_connections(&failed);
        log::warn!(probed = check.failed, failed_before = failed.len(); "no upstream can be connected to");
        state.metrics.path_lost(true);
        state.heartbeat_requested.notify();
    }
}

/// True if any of these connections succeeds, or if there are none.
async fn any_of(probes: Vec<Task<bool>>) -> bool {
    let mut connects = probes.is_empty();
    for probe in probes {
        connects |= probe.await;
    }
    connects
}

/// Connects to an upstream; true if that succeeds.
fn probe(state: &Arc<State>, address: SocketAddr) -> Task<bool> {
    let prober = Arc::clone(state);
    state.executor.spawn(async move {
        let opened = prober.upstream_client.probe(address).await == ProbeResult::Open;
        if opened {
            prober.path.record_opened(&prober, address);
        }
        opened
    })
}
