//! Reads records of the store page by page.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use jd_serving::InstanceEntry;
use jd_serving::StoreItem;
use jd_serving::StoreRevision;
use jd_serving::StoreUpdate;

use crate::Page;
use crate::PageKey;
use crate::RecordFilter;
use crate::StoreError;
use crate::store_applier::StoreApplier;
use crate::store_call::StoreCall;
use crate::store_link::CALL_TIMEOUT;
use crate::store_link::StoreLink;

/// How often a page other than the first is retried.
const PAGE_RETRIES: u32 = 6;
/// Mean pause before such a retry. The store's rate limits count per second.
const MEAN_PAGE_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Attempts to read pages that are all of one era.
const ERA_ATTEMPTS: u32 = 3;

/// Reads records of the store.
#[derive(Debug)]
pub(crate) struct StoreReader {
    pub(crate) link: Arc<StoreLink>,
    pub(crate) applier: Arc<StoreApplier>,
}

impl StoreReader {
    /// Reads and applies all records.
    pub(crate) async fn read_all(&self, timeout: Duration) -> Result<(), StoreError> {
        let state = &self.link.state;
        let asked = state.now();
        let (items, revision) = self.read(RecordFilter::All, timeout).await?;
        let applied = self.applier.apply(StoreUpdate {
            is_full: true,
            items,
            revision,
        });
        if !applied {
            return Err(StoreError::EraMismatch);
        }
        state
            .cluster()
            .freshness
            .record_confirmation(asked, revision);
        Ok(())
    }

    /// Reads and applies the list of instances.
    pub(crate) async fn read_instances(&self, timeout: Duration) -> Result<(), StoreError> {
        let (items, _) = self.read(RecordFilter::Instances, timeout).await?;
        self.applier.apply_instances(&items);
        Ok(())
    }

    /// Reads the sample of the instances that this instance belongs to. One page of it is
    /// enough.
    pub(crate) async fn read_sample(
        &self,
        timeout: Duration,
    ) -> Result<Vec<InstanceEntry>, StoreError> {
        let bits = self.link.state.own_entry.incarnation.get() >> 60;
        let sample = RecordFilter::Sample(u8::try_from(bits).unwrap_or(0));
        let page = self.read_page(sample, None, timeout).await?;
        Ok(self.applier.decode_sample(&page.items))
    }

    /// All items and the revision of the first page. Changes since that page arrive with
    /// the updates after that revision.
    ///
    /// Guards against pages of which the first are of one era and the others of the next:
    /// such a mixture was never in the store.
    async fn read(
        &self,
        filter: RecordFilter,
        timeout: Duration,
    ) -> Result<(Vec<StoreItem>, StoreRevision), StoreError> {
        for _ in 0..ERA_ATTEMPTS {
            if let Some(read) = self.read_pages(filter, timeout).await? {
                return Ok(read);
            }
            log::info!("store was restored while it was read; reading it again");
        }
        Err(StoreError::EraMismatch)
    }

    /// The same; none if the pages are not all of one era.
    async fn read_pages(
        &self,
        filter: RecordFilter,
        timeout: Duration,
    ) -> Result<Option<(Vec<StoreItem>, StoreRevision)>, StoreError> {
        let asked = self.link.state.now();
        let mut page = self.read_page(filter, None, timeout).await?;
        let revision = page.revision;
        let mut items: Vec<StoreItem> = Vec::new();
        loop {
            items.append(&mut page.items);
            let after = match page.next_after {
                _ if !page.revision.is_same_era(revision) => return Ok(None),
                Some(after) => after,
                None => return Ok(Some((items, revision))),
            };
            page = match self.read_page(filter, Some(&after), CALL_TIMEOUT).await {
                Ok(page) => page,
                Err(e) => {
                    log::warn!(after:%, error:% = e; "page after this key cannot be read");
                    self.link.call_failed(StoreCall::Page, e);
                    if filter == RecordFilter::All {
                        self.applier.apply_part(items.clone(), revision, asked);
                    }
                    self.retry_page(filter, &after, e).await?
                }
            };
        }
    }

    async fn read_page(
        &self,
        filter: RecordFilter,
        after: Option<&PageKey>,
        timeout: Duration,
    ) -> Result<Page, StoreError> {
        let page = self.link.store.page(filter, after);
        let page = self.link.call(StoreCall::Page, timeout, page).await?;
        self.link.call_succeeded();
        Ok(page)
    }

    /// Reads a page other than the first again, which failed with `error`.
    ///
    /// Covers the start of all instances of a large fleet at once: together they request
    /// more than the store's rate and link carry in a second. Instances that began again
    /// from the first page after one refused page kept the store busy for longer.
    async fn retry_page(
        &self,
        filter: RecordFilter,
        after: &PageKey,
        error: StoreError,
    ) -> Result<Page, StoreError> {
        let mut error = error;
        for _ in 0..PAGE_RETRIES {
            if error.is_lasting() {
                break;
            }
            Timer::after(MEAN_PAGE_RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
            match self.read_page(filter, Some(after), CALL_TIMEOUT).await {
                Ok(page) => return Ok(page),
                Err(e) => error = e,
            }
            self.link.call_failed(StoreCall::Page, error);
        }
        Err(error)
    }
}
