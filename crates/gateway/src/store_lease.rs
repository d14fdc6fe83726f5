//! Entries of instances in the store: this instance's own, and those of instances that do
//! not answer.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use jd_serving::UnresponsiveInstance;
use jd_types::MonoTime;

use crate::LeaseId;
use crate::StoreError;
use crate::store_call::StoreCall;
use crate::store_link::CALL_TIMEOUT;
use crate::store_link::StoreLink;

/// Pause after the entry could not be written or its lease not renewed. Meanwhile
/// heartbeats keep the instance known, and others pass it on to those that start.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Interval between checks for instances that do not answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Probability, in percent, that a check removes such an instance: of the few instances
/// that monitor it, the first to remove its entry spares the others the call.
const REMOVE_PERCENT: u32 = 35;

/// This instance's lease and entry in the store.
#[derive(Debug, Default)]
struct Registration {
    lease: Option<LeaseId>,
    /// True while the entry is in the store.
    written: bool,
}

/// Keeps this instance's entry in the store, under a long lease. If the instance stops
/// answering, those that monitor it remove the entry long before the lease expires.
#[derive(Debug)]
pub(crate) struct StoreLease {
    link: Arc<StoreLink>,
    /// When the entry was removed.
    withdrawn_at: OnceLock<MonoTime>,
}

impl StoreLease {
    pub(crate) fn new(link: Arc<StoreLink>) -> StoreLease {
        StoreLease {
            link,
            withdrawn_at: OnceLock::new(),
        }
    }

    /// Keeps the entry in the store until this instance leaves, and then removes it. It is
    /// written only after the other entries were read, so that it can replace those of earlier
    /// starts.
    pub(crate) async fn keep_registered(self: Arc<Self>) {
        let state = &self.link.state;
        let leaving = state.shutdown.wait_begun();
        state.instances_listed.wait().or(leaving).await;
        let mut registration = Registration::default();
        while !state.is_leaving() {
            let had_lease = registration.lease.is_some();
            let pause = match self.renew_or_write(&mut registration).await {
                Ok(()) => state.settings.lease / 3,
                Err(StoreError::LeaseGone) => {
                    registration = Registration::default();
                    if had_lease {
                        continue;
                    }
                    // The lease ended as soon as it was granted, so the store has a
                    // fault.
                    RETRY_PAUSE
                }
                Err(e) => {
                    log::debug!(error:% = e; "own entry could not be written or renewed; retrying");
                    RETRY_PAUSE
                }
            };
            let leaving = async {
                state.shutdown.wait_begun().await;
                false
            };
            let removed = state.own_entry_removed.wait_timeout(pause);
            if removed.or(leaving).await && !state.is_leaving() {
                log::info!("own entry was removed; writing it again");
                registration.written = false;
            }
        }
        self.withdraw().await;
    }

    /// When the entry was removed; none if it may still be in the store.
    pub(crate) fn withdrawn_at(&self) -> Option<MonoTime> {
        self.withdrawn_at.get().copied()
    }

    /// Removes the entry. Tries again until the process ends: other instances remove it only
    /// once this one no longer answers.
    async fn withdraw(&self) {
        let state = &self.link.state;
        let me = state.own_entry.incarnation;
        loop {
            let withdrawing = self.link.store.withdraw(me);
            let ended = self
                .link
                .call(StoreCall::Withdraw, CALL_TIMEOUT, withdrawing);
            match ended.await {
                Ok(()) => {
                    self.withdrawn_at.get_or_init(|| state.now());
                    return;
                }
                Err(e) => {
                    log::info!(error:% = e; "own entry could not be removed; trying again");
                    Timer::after(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Removes the entries of monitored instances that do not answer, forever.
    ///
    /// Covers machines that lose power: their entries stayed until the leases expired,
    /// and callers were given their addresses. Leases short enough to prevent that were a
    /// third of what a fleet of 295 paid for its calls to the store.
    pub(crate) async fn remove_silent(self: Arc<Self>) {
        let state = &self.link.state;
        loop {
            Timer::after(CHECK_INTERVAL).await;
            if state.has_lost_store() {
                continue;
            }
            let now = state.now();
            let silent: Vec<UnresponsiveInstance> = state.cluster().instances.unresponsive(now);
            for instance in silent {
                if fastrand::u32(..100) < REMOVE_PERCENT {
                    self.remove(instance).await;
                }
            }
        }
    }

    async fn remove(&self, silent: UnresponsiveInstance) {
        let UnresponsiveInstance {
            id,
            written,
            silent_for: since,
        } = silent;
        let removing = self.link.store.remove_instance(id, written);
        let ended = self.link.call(StoreCall::Remove, CALL_TIMEOUT, removing);
        let outcome = ended.await.map_or_else(StoreError::as_str, |()| "done");
        let silent_ms = since.as_millis() as u64;
        log::info!(instance:% = id, silent_ms, outcome; "entry of an instance that does not answer: removal tried");
        let now = self.link.state.now();
        let mut cluster = self.link.state.cluster();
        cluster.instances.record_removal_attempt(now, id);
    }

    /// Requests or renews the lease, and writes the entry if it is not there.
    async fn renew_or_write(&self, registration: &mut Registration) -> Result<(), StoreError> {
        let StoreLink { state, store, .. } = &*self.link;
        let lease = match registration.lease {
            Some(lease) if registration.written => {
                let renewing = store.renew(lease);
                let renewed = self.link.call(StoreCall::Renew, CALL_TIMEOUT, renewing);
                return renewed.await;
            }
            Some(lease) => lease,
            None => {
                let taking = store.lease(state.settings.lease);
                let taken = self.link.call(StoreCall::Lease, CALL_TIMEOUT, taking);
                *registration.lease.insert(taken.await?)
            }
        };
        let earlier = std::mem::take(&mut state.cluster().previous_incarnations);
        let announcing = store.announce(&state.own_entry, lease, &earlier);
        let written = self
            .link
            .call(StoreCall::Announce, CALL_TIMEOUT, announcing);
        written.await?;
        registration.written = true;
        Ok(())
    }
}
