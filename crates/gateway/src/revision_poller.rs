//! Proof that nothing in force is missing here.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use jd_serving::UpdateSource;

use crate::StoreError;
use crate::store_call::StoreCall;
use crate::store_link::StoreLink;
use crate::store_link::call_timeout;

/// Pause after a first failed question, and what each further one makes of it. Callers
/// who show credentials are refused from a few seconds into an absence until this
/// instance hears of the store again; it is one of a few that ask.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const RETRY_GROWTH: f64 = 1.4;
/// The longest such pause.
const RETRY_PAUSE_MOST: Duration = Duration::from_millis(1_000);

/// Asks for the store's revision: the proof that nothing in force is missing.
#[derive(Debug)]
pub(crate) struct RevisionPoller {
    pub(crate) link: Arc<StoreLink>,
}

impl RevisionPoller {
    /// Asks again and again while this instance hears the store itself; one that
    /// follows another has its proof from there. Another's proof does as well.
    pub(crate) async fn run(self: Arc<Self>) {
        let StoreLink { state, store, .. } = &*self.link;
        let mut failures: u32 = 0;
        loop {
            match failures {
                0 => self.until_old().await,
                _ => {
                    Timer::after(retry_pause(failures)).await;
                }
            }
            let follows = state.news_source() != UpdateSource::Store;
            // Proof of nothing is worth nothing: of a fleet that starts at once all
            // would ask several times a second beside reading.
            if follows || !state.store_loaded() {
                failures = 0;
                continue;
            }
            let asked = state.now();
            let asking = store.revision();
            let patience = call_timeout(failures);
            match self.link.call(StoreCall::Confirm, patience, asking).await {
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

    /// Returns when a new proof is due, or the store was just lost.
    async fn until_old(&self) {
        let state = &self.link.state;
        // Not all at the same moment: the first to ask spares the others.
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
        .min(RETRY_PAUSE_MOST)
        .mul_f64(0.7 + 0.6 * fastrand::f64())
}
