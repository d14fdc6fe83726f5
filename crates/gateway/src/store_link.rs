//! Calls to the store, and whether the store is available.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use jd_net::with_timeout;
use jd_serving::SourceHealth;
use jd_serving::UpdateSource;

use crate::Store;
use crate::StoreError;
use crate::state::State;
use crate::store_call::StoreCall;
use crate::store_call::StoreCallCounts;

/// Timeout of a call: six times the slowest answer of a store in the users'
/// documentation. A connection that is silent for longer is given up.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same for two calls of three during an outage: more than the store's slowest
/// answers in the users' documentation.
const OUTAGE_CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between the log lines that count calls: one line in the time of a few
/// revision polls.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Timeout of a call after so many failures. A connection opened during an outage may
/// hang for its whole timeout after the store's return, so that most retries have a
/// shorter timeout and try a new connection sooner.
pub(crate) fn call_timeout(failures: u32) -> Duration {
    match failures % 3 {
        0 => CALL_TIMEOUT,
        _ => OUTAGE_CALL_TIMEOUT,
    }
}

/// Makes calls to the store, and derives from their results whether it is available.
#[derive(Debug)]
pub(crate) struct StoreLink {
    pub(crate) state: Arc<State>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) counts: StoreCallCounts,
}

impl StoreLink {
    /// Makes a call; [`StoreError::NoAnswer`] if it takes longer than `timeout`.
    pub(crate) async fn call<T>(
        &self,
        kind: StoreCall,
        timeout: Duration,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.counts.add(kind);
        let result = with_timeout(timeout, call).await;
        let result = result.unwrap_or(Err(StoreError::NoAnswer));
        let outcome = match &result {
            Ok(_) => "done",
            Err(e) => e.as_str(),
        };
        self.state.metrics.store_call(kind.as_str(), outcome);
        result
    }

    /// Logs the number of calls, forever.
    pub(crate) async fn log_call_counts(self: Arc<Self>) {
        loop {
            Timer::after(REPORT_INTERVAL).await;
            if let Some(counts) = self.counts.take() {
                let source = self.state.update_source();
                log::info!(counts = counts.as_str(), source:? = source; "store calls");
            }
        }
    }

    /// Notes that the store answered this instance.
    pub(crate) fn call_succeeded(&self) {
        let now = self.state.now();
        let me = self.state.own_entry.incarnation;
        let mut cluster = self.state.cluster();
        cluster.record_source_health(now, me, SourceHealth::Available);
        drop(cluster);
        self.mark_available();
    }

    /// Marks the store as available, to this instance or to the one that it follows.
    pub(crate) fn mark_available(&self) {
        let now = self.state.now();
        let back = self.state.cluster().upstreams.mark_store_available(now);
        if back {
            self.state.store_recovered.notify();
            self.state.changes.notify(usize::MAX);
            log::info!("store is available again");
        }
    }

    /// Notes that a call of this instance failed.
    pub(crate) fn call_failed(&self, kind: StoreCall, e: StoreError) {
        log::warn!(call = kind.as_str(), error:% = e; "store call failed");
        if e.is_lasting() {
            return;
        }
        let now = self.state.now();
        let me = self.state.own_entry.incarnation;
        let mut cluster = self.state.cluster();
        cluster.record_source_health(now, me, SourceHealth::StoreUnavailable);
        drop(cluster);
        // The store may refuse this instance alone while the update source still reaches
        // it.
        if self.state.update_source() == UpdateSource::Store {
            self.mark_unavailable();
        }
    }

    /// Marks the store as unavailable to this instance and to all its possible update
    /// sources.
    pub(crate) fn mark_unavailable(&self) {
        let mut cluster = self.state.cluster();
        if cluster.upstreams.is_store_unavailable() {
            return;
        }
        cluster.upstreams.mark_store_unavailable();
        drop(cluster);
        log::warn!("store is unavailable; the current state stays in use");
        self.state.proof_requested.notify();
        self.state.changes.notify(usize::MAX);
    }
}
