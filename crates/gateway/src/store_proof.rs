//! Proof that nothing in force is missing here.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use jd_serving::NewsSource;

use crate::store_call::StoreCall;
use crate::store_link::StoreLink;
use crate::store_link::patience;

/// Pause after a failed question. Callers who show credentials are refused from
/// a few seconds into an absence until this instance hears of the store again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// The same for an instance that follows another, which asks as often.
const FOLLOWER_RETRY_PAUSE: Duration = Duration::from_millis(1_500);
/// How much older, in hundredths, proof may get at an instance that follows
/// another before it asks by itself: a question, and a round of news.
const FOLLOWER_PERCENT: u32 = 150;

/// Asks for the store's revision: the proof that nothing in force is missing.
#[derive(Debug)]
pub(crate) struct StoreProof {
    pub(crate) link: Arc<StoreLink>,
}

impl StoreProof {
    /// Asks again and again. Another instance's proof does as well.
    pub(crate) async fn keep(self: Arc<Self>) {
        let StoreLink { state, store, .. } = &*self.link;
        let mut failures: u32 = 0;
        loop {
            match failures {
                0 => self.until_old().await,
                _ => {
                    Timer::after(self.retry_pause()).await;
                }
            }
            let asked = state.now();
            // Proof of nothing is worth nothing: of a fleet that starts at once all
            // would ask several times a second beside reading.
            if !state.has_read() {
                continue;
            }
            let asking = store.revision();
            let patience = patience(failures);
            match self.link.call(StoreCall::Confirm, patience, asking).await {
                Ok(revision) => {
                    failures = 0;
                    self.link.succeeded();
                    state.knowledge().freshness.confirmed(asked, revision);
                    state.news.notify(usize::MAX);
                }
                Err(e) => {
                    failures = failures.saturating_add(1);
                    self.link.failed(StoreCall::Confirm, e);
                }
            }
        }
    }

    /// Returns when a new proof is due, or the store was just lost.
    async fn until_old(&self) {
        let state = &self.link.state;
        let every = match state.news_source() {
            NewsSource::Store => state.settings.confirm_every,
            NewsSource::Instance(_) => state.settings.confirm_every * FOLLOWER_PERCENT / 100,
        };
        // Not all at the same moment: the first to ask spares the others.
        let due = every.mul_f64(0.85 + 0.3 * fastrand::f64());
        let mut wait = due;
        loop {
            let lost = state.store_lost.wait(wait).await;
            match state.proof_age() {
                Some(age) if !lost && age < due => wait = due - age,
                _ => return,
            }
        }
    }

    fn retry_pause(&self) -> Duration {
        match self.link.state.news_source() {
            NewsSource::Store => RETRY_PAUSE,
            NewsSource::Instance(_) => FOLLOWER_RETRY_PAUSE.mul_f64(0.7 + 0.6 * fastrand::f64()),
        }
    }
}
