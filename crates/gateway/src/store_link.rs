//! Calls to the store, and what they say of it.

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

/// How long a call may take. Six times what the slowest store of the users'
/// pages took; a connection that is silent for longer is given up.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same for two calls of three while the store is away: more than its slowest
/// answers on the users' pages.
const AWAY_CALL_WITHIN: Duration = Duration::from_millis(400);

/// How often the calls made are logged: one line in as much time as a few proofs.
const REPORT_EVERY: Duration = Duration::from_secs(10);

/// How long a call may take after so many that failed. A connection that was
/// begun while the store was away may hang for its whole time after the return; a
/// new one is tried sooner.
pub(crate) fn call_timeout(failures: u32) -> Duration {
    match failures % 3 {
        0 => CALL_TIMEOUT,
        _ => AWAY_CALL_WITHIN,
    }
}

/// Calls to the store. What comes of them tells whether it is there.
#[derive(Debug)]
pub(crate) struct StoreLink {
    pub(crate) state: Arc<State>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) counts: StoreCallCounts,
}

impl StoreLink {
    /// Makes a call; lost if it takes longer than `patience`.
    pub(crate) async fn call<T>(
        &self,
        kind: StoreCall,
        patience: Duration,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.counts.add(kind);
        let result = with_timeout(patience, call).await;
        let result = result.unwrap_or(Err(StoreError::NoAnswer));
        let outcome = match &result {
            Ok(_) => "done",
            Err(e) => e.as_str(),
        };
        self.state.metrics.store_call(kind.as_str(), outcome);
        result
    }

    /// Logs for good how many calls there were.
    pub(crate) async fn log_call_counts(self: Arc<Self>) {
        loop {
            Timer::after(REPORT_EVERY).await;
            if let Some(counts) = self.counts.take() {
                let source = self.state.news_source();
                log::info!(counts = counts.as_str(), source:? = source; "store calls");
            }
        }
    }

    /// The store answered this instance.
    pub(crate) fn call_succeeded(&self) {
        let now = self.state.now();
        let me = self.state.own_entry.incarnation;
        let mut cluster = self.state.cluster();
        cluster.record_source_health(now, me, SourceHealth::Available);
        drop(cluster);
        self.mark_available();
    }

    /// The store answers, this instance or the one that it follows.
    pub(crate) fn mark_available(&self) {
        let now = self.state.now();
        let back = self.state.cluster().upstreams.mark_store_available(now);
        if back {
            self.state.store_recovered.notify();
            self.state.changes.notify(usize::MAX);
            log::info!("store answers again");
        }
    }

    /// The store did not answer this instance.
    pub(crate) fn call_failed(&self, kind: StoreCall, e: StoreError) {
        log::warn!(call = kind.as_str(), error:% = e; "store call failed");
        let now = self.state.now();
        let me = self.state.own_entry.incarnation;
        let mut cluster = self.state.cluster();
        cluster.record_source_health(now, me, SourceHealth::StoreUnavailable);
        drop(cluster);
        // The store may turn just this instance away while another hears it.
        if self.state.news_source() == UpdateSource::Store {
            self.mark_unavailable();
        }
    }

    /// Nobody from whom this instance could hear has the store.
    pub(crate) fn mark_unavailable(&self) {
        let mut cluster = self.state.cluster();
        if cluster.upstreams.is_store_unavailable() {
            return;
        }
        cluster.upstreams.mark_store_unavailable();
        drop(cluster);
        log::warn!("store away; what is known stays in use");
        self.state.proof_requested.notify();
        self.state.changes.notify(usize::MAX);
    }
}
