//! Reading what the store holds, page by page.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use jd_serving::InstanceEntry;
use jd_serving::StoreItem;
use jd_serving::StoreRevision;
use jd_serving::StoreUpdate;

use crate::Page;
use crate::RecordFilter;
use crate::StoreError;
use crate::store_applier::StoreApplier;
use crate::store_call::StoreCall;
use crate::store_link::CALL_TIMEOUT;
use crate::store_link::StoreLink;

/// How often a page that is not the first is asked for again.
const PAGE_TRIES: u32 = 6;
/// The mean pause before that: rates of the store count in seconds.
const PAGE_PAUSE: Duration = Duration::from_millis(400);
/// How often pages of two eras are read again before that is given up.
const ERA_TRIES: u32 = 3;

/// Reads what the store holds.
#[derive(Debug)]
pub(crate) struct StoreReader {
    pub(crate) link: Arc<StoreLink>,
    pub(crate) applier: Arc<StoreApplier>,
}

impl StoreReader {
    /// Reads everything.
    pub(crate) async fn read_all(&self, patience: Duration) -> Result<(), StoreError> {
        let state = &self.link.state;
        let asked = state.now();
        let (items, revision) = self.read(RecordFilter::All, patience).await?;
        let taken = self.applier.apply(StoreUpdate {
            is_full: true,
            items,
            revision,
        });
        if !taken {
            return Err(StoreError::EraMismatch);
        }
        state
            .cluster()
            .freshness
            .record_confirmation(asked, revision);
        Ok(())
    }

    /// Reads which instances there are.
    pub(crate) async fn read_instances(&self, patience: Duration) -> Result<(), StoreError> {
        let (items, _) = self.read(RecordFilter::Instances, patience).await?;
        self.applier.apply_instances(&items);
        Ok(())
    }

    /// Reads a sample of the instances, the one that this instance belongs to. One
    /// answer's worth of it does.
    pub(crate) async fn read_sample(
        &self,
        patience: Duration,
    ) -> Result<Vec<InstanceEntry>, StoreError> {
        let bits = self.link.state.own_entry.incarnation.get() >> 60;
        let sample = RecordFilter::Sample(u8::try_from(bits).unwrap_or(0));
        let page = self.read_page(sample, "", patience).await?;
        Ok(self.applier.decode_sample(&page.items))
    }

    /// All items and the revision of the first page. What has changed since that page
    /// comes with the news after it.
    ///
    /// Guards against pages of which the first are of one era and the others of the next:
    /// together they are nothing that the store ever held.
    async fn read(
        &self,
        filter: RecordFilter,
        patience: Duration,
    ) -> Result<(Vec<StoreItem>, StoreRevision), StoreError> {
        for _ in 0..ERA_TRIES {
            if let Some(read) = self.read_pages(filter, patience).await? {
                return Ok(read);
            }
            log::info!("the store has changed its era while it was read; reading it again");
        }
        Err(StoreError::EraMismatch)
    }

    /// The same, or none if the pages are not all of one era.
    async fn read_pages(
        &self,
        filter: RecordFilter,
        patience: Duration,
    ) -> Result<Option<(Vec<StoreItem>, StoreRevision)>, StoreError> {
        let mut page = self.read_page(filter, "", patience).await?;
        let revision = page.revision;
        let mut items: Vec<StoreItem> = Vec::new();
        loop {
            items.append(&mut page.items);
            match items.last() {
                _ if !page.revision.is_same_era(revision) => return Ok(None),
                Some(last) if page.more => page = self.read_on(filter, &last.key).await?,
                _ => return Ok(Some((items, revision))),
            }
        }
    }

    async fn read_page(
        &self,
        filter: RecordFilter,
        after: &str,
        patience: Duration,
    ) -> Result<Page, StoreError> {
        let page = self.link.store.page(filter, after);
        let page = self.link.call(StoreCall::Page, patience, page).await?;
        self.link.call_succeeded();
        Ok(page)
    }

    /// Reads a page that is not the first, more than once if need be.
    ///
    /// Guards against all instances of a large fleet starting at once: together
    /// they ask for more than the store's rate and link carry in a second, and each
    /// that began anew after one refused page kept them busy for longer.
    async fn read_on(&self, filter: RecordFilter, after: &str) -> Result<Page, StoreError> {
        for _ in 0..PAGE_TRIES {
            match self.read_page(filter, after, CALL_TIMEOUT).await {
                Ok(page) => return Ok(page),
                Err(e) => self.link.call_failed(StoreCall::Page, e),
            }
            Timer::after(PAGE_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
        }
        self.read_page(filter, after, CALL_TIMEOUT).await
    }
}
