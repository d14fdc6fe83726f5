//! This instance's own entry in the store.

use std::sync::Arc;

use async_io::Timer;

use crate::LeaseId;
use crate::StoreError;
use crate::store_call::StoreCall;
use crate::store_link::CALL_WITHIN;
use crate::store_link::StoreLink;

/// Keeps this instance's entry in the store, under a lease that ends with it.
#[derive(Debug)]
pub(crate) struct StoreLease {
    pub(crate) link: Arc<StoreLink>,
}

impl StoreLease {
    /// Keeps the entry until this instance leaves.
    pub(crate) async fn keep(self: Arc<Self>) {
        let state = &self.link.state;
        let mut lease = None;
        loop {
            match self.announce(lease).await {
                Ok(held) => lease = Some(held),
                Err(e) => {
                    log::debug!(error:% = e; "entry not renewed");
                    lease = lease.filter(|_| e != StoreError::LeaseGone);
                }
            }
            Timer::after(state.settings.lease / 3).await;
        }
    }

    /// Removes the entry.
    pub(crate) async fn withdraw(&self) {
        let me = self.link.state.me.incarnation;
        let withdrawing = self.link.store.withdraw(me);
        if let Err(e) = self
            .link
            .call(StoreCall::Withdraw, CALL_WITHIN, withdrawing)
            .await
        {
            log::info!(error:% = e; "entry not removed; its lease will run out");
        }
    }

    async fn announce(&self, lease: Option<LeaseId>) -> Result<LeaseId, StoreError> {
        let StoreLink { state, store, .. } = &*self.link;
        if let Some(lease) = lease {
            self.link
                .call(StoreCall::Renew, CALL_WITHIN, store.renew(lease))
                .await?;
            return Ok(lease);
        }
        let taking = store.lease(state.settings.lease);
        let lease = self
            .link
            .call(StoreCall::Lease, CALL_WITHIN, taking)
            .await?;
        let announcing = store.announce(&state.me, lease);
        self.link
            .call(StoreCall::Announce, CALL_WITHIN, announcing)
            .await?;
        Ok(lease)
    }
}
