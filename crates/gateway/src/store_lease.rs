//! Entries of instances in the store: this one's own, and those of silent ones.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use jd_serving::UnresponsiveInstance;

use crate::LeaseId;
use crate::StoreError;
use crate::store_call::StoreCall;
use crate::store_link::CALL_TIMEOUT;
use crate::store_link::StoreLink;

/// Pause after the entry could not be written or its lease not renewed. Others are
/// told of an instance that heartbeats alone keep known.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// How often it is looked for instances that are silent.
const LOOK_EVERY: Duration = Duration::from_millis(300);
/// The part of these looks, in hundredths, at which one is removed: of the few that
/// watch an instance the first to remove it spares the others.
const REMOVE_PERCENT: u32 = 35;

/// What the store has of this instance.
#[derive(Debug, Default)]
struct HeldEntry {
    lease: Option<LeaseId>,
    /// False until its entry is there.
    written: bool,
}

/// Keeps this instance's entry in the store, under a lease that outlives it by far:
/// whoever watches a silent instance removes its entry long before.
#[derive(Debug)]
pub(crate) struct StoreLease {
    pub(crate) link: Arc<StoreLink>,
}

impl StoreLease {
    /// Keeps the entry until this instance leaves. It is written once those of
    /// others were read, so that it takes the place of those of earlier starts.
    pub(crate) async fn keep_registered(self: Arc<Self>) {
        let state = &self.link.state;
        state.instances_listed.wait().await;
        let mut held = HeldEntry::default();
        loop {
            let had_lease = held.lease.is_some();
            let pause = match self.keep_up(&mut held).await {
                Ok(()) => state.settings.lease / 3,
                Err(StoreError::LeaseGone) => {
                    held = HeldEntry::default();
                    if had_lease {
                        continue;
                    }
                    // It ended as it was taken: the store is not well.
                    RETRY_PAUSE
                }
                Err(e) => {
                    log::debug!(error:% = e; "entry not kept up; it is tried again");
                    RETRY_PAUSE
                }
            };
            if state.own_entry_removed.wait_timeout(pause).await && !state.is_leaving() {
                log::info!("own entry is gone; it is written again");
                held.written = false;
            }
        }
    }

    /// Removes the entry.
    pub(crate) async fn withdraw(&self) {
        let me = self.link.state.own_entry.incarnation;
        let withdrawing = self.link.store.withdraw(me);
        let ended = self
            .link
            .call(StoreCall::Withdraw, CALL_TIMEOUT, withdrawing);
        if let Err(e) = ended.await {
            log::info!(error:% = e; "entry not removed; others remove it");
        }
    }

    /// Removes for good the entries of watched instances that are silent.
    ///
    /// The load that it answers: machines that lose power. An entry stayed until its
    /// lease ran out, and callers were named its address; leases short enough for that
    /// were a third of all that a fleet of 295 paid for its calls to the store.
    pub(crate) async fn remove_silent(self: Arc<Self>) {
        let state = &self.link.state;
        loop {
            Timer::after(LOOK_EVERY).await;
            if state.has_lost_store() {
                continue;
            }
            let now = state.now();
            let silent: Vec<UnresponsiveInstance> = state.cluster().instances.unresponsive(now);
            for one in silent {
                if fastrand::u32(..100) < REMOVE_PERCENT {
                    self.remove(one).await;
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
        log::info!(instance:% = id, silent_ms, outcome; "silent instance removed");
        let now = self.link.state.now();
        let mut cluster = self.link.state.cluster();
        cluster.instances.record_removal_attempt(now, id);
    }

    /// Takes or renews the lease, and writes the entry if it is not there.
    async fn keep_up(&self, held: &mut HeldEntry) -> Result<(), StoreError> {
        let StoreLink { state, store, .. } = &*self.link;
        let lease = match held.lease {
            Some(lease) if held.written => {
                let renewing = store.renew(lease);
                let renewed = self.link.call(StoreCall::Renew, CALL_TIMEOUT, renewing);
                return renewed.await;
            }
            Some(lease) => lease,
            None => {
                let taking = store.lease(state.settings.lease);
                let taken = self.link.call(StoreCall::Lease, CALL_TIMEOUT, taking);
                *held.lease.insert(taken.await?)
            }
        };
        let earlier = std::mem::take(&mut state.cluster().previous_incarnations);
        let announcing = store.announce(&state.own_entry, lease, &earlier);
        let written = self
            .link
            .call(StoreCall::Announce, CALL_TIMEOUT, announcing);
        written.await?;
        held.written = true;
        Ok(())
    }
}
