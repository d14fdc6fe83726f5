//! Polls the store's revision, as proof that this instance's state is current.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use jd_serving::UpdateSource;

use crate::StoreError;
use crate::store_call::StoreCall;
use crate::store_link::StoreLink;
use crate::store_link::call_timeout;

/// Pause after the first failed poll, and the factor by which each further failure
/// increases it. From a few seconds into a store outage, callers with credentials are
/// refused until this instance gets proof again; it is one of only a few instances that
/// poll.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const RETRY_GROWTH: f64 = 1.4;
/// Upper bound of that pause, before jitter.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// Polls the store's revision. An answer proves that all changes up to that revision were
/// in force when the poll was sent.
#[derive(Debug)]
pub(crate) struct RevisionPoller {
    pub(crate) link: Arc<StoreLink>,
}

impl RevisionPoller {
    /// Polls forever while this instance reads the store itself; an instance that follows
    /// another one gets its proof from there. A proof that arrives from another instance
    /// also delays the next poll.
    pub(crate) async fn run(self: Arc<Self>) {
        let StoreLink { state, store, .. } = &*self.link;
        let mut failures: u32 = 0;
        loop {
            match failures {
                0 => self.until_due().await,
                _ => {
                    Timer::after(retry_pause(failures)).await;
                }
            }
            let follows = state.update_source() != UpdateSource::Store;
            // A proof is useless before the first load. All instances of a fleet that
            // starts at once would poll several times a second while they load.
            if follows || !state.store_loaded() {
                failures = 0;
                continue;
            }
            let asked = state.now();
            let polling = store.revision();
            let timeout = call_timeout(failures);
            match self.link.call(StoreCall::Confirm, timeout, polling).await {
                Ok(revision) if revision.era < state.cluster().mirror.revision().era => {
                    failures = failures.saturating_add(1);
                    self.link
                        .call_failed(StoreCall::Confirm, StoreError::EraMismatch);
                }
                Ok(revision) => {
                    failures = 0;
                    self.link.call_succeeded();
                    state
                        .cluster()
                        .freshness
                        .record_confirmation(asked, revision);
                    state.changes.notify(usize::MAX);
                }
                Err(e) => {
                    failures = failures.saturating_add(1);
                    self.link.call_failed(StoreCall::Confirm, e);
                }
            }
        }
    }

    /// Returns when a new proof is due, or when the store was just found unavailable.
    async fn until_due(&self) {
        let state = &self.link.state;
        // Jitter, so that instances do not poll at the same moment: the proof of the
        // first to poll spares the others theirs.
        let due = state.settings.revision_poll_interval;
        let due = due.mul_f64(0.85 + 0.3 * fastrand::f64());
        let mut wait = due;
        loop {
            let lost = state.proof_requested.wait_timeout(wait).await;
            match state.proof_age() {
                Some(age) if !lost && age < due => wait = due - age,
                _ => return,
            }
        }
    }
}

fn retry_pause(failures: u32) -> Duration {
    let times = failures.saturating_sub(1).min(8);
    let pause = RETRY_PAUSE.mul_f64(RETRY_GROWTH.powi(times as i32));
    pause
        .min(MAX_RETRY_PAUSE)
        .mul_f64(0.7 + 0.6 * fastrand::f64())
}
