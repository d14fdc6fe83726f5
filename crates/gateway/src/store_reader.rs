//! Reads records of the store page by page.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use jd_serving::InstanceEntry;
use jd_serving::StoreItem;
use jd_serving::StoreRevision;
use jd_serving::StoreUpdate;
use jd_types::MonoTime;

use crate::Page;
use crate::PageKey;
use crate::RecordFilter;
use crate::StoreError;
use crate::part_applier::PartRead;
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

/// Why pages could not be read to the last one.
#[derive(Debug, Clone, Copy)]
struct PageFailure {
    error: StoreError,
    /// True if not even the first page could be read.
    is_first: bool,
}

/// Reads records of the store.
#[derive(Debug)]
pub(crate) struct StoreReader {
    pub(crate) link: Arc<StoreLink>,
    pub(crate) applier: Arc<StoreApplier>,
}

impl StoreReader {
    /// Reads and applies all records. If a page cannot be read, each kind of records is read by itself,
    /// so that the page costs only the records of its own kind behind it.
    pub(crate) async fn read_all(&self, timeout: Duration) -> Result<(), StoreError> {
        let asked = self.link.state.now();
        match self.read(RecordFilter::All, timeout).await {
            Ok((items, revision)) => self.apply_whole(asked, items, revision),
            Err(PageFailure { error, is_first }) if is_first && !error.is_lasting() => Err(error),
            Err(PageFailure { error, .. }) => self.read_kinds(asked, error).await,
        }
    }

    fn apply_whole(
        &self,
        asked: MonoTime,
        items: Vec<StoreItem>,
        revision: StoreRevision,
    ) -> Result<(), StoreError> {
        let applied = self.applier.apply(StoreUpdate {
            is_full: true,
            items,
            revision,
        });
        if !applied {
            return Err(StoreError::EraMismatch);
        }
        let mut cluster = self.link.state.cluster();
        cluster.freshness.record_confirmation(asked, revision);
        Ok(())
    }

    /// Reads each kind of records, after all together could not be read because of `error`, for good or
    /// with all retries. Applies them together if all kinds can be read, and otherwise what can.
    async fn read_kinds(&self, asked: MonoTime, error: StoreError) -> Result<(), StoreError> {
        self.link.call_failed(StoreCall::Page, error);
        let mut read = Vec::new();
        for kind in RecordFilter::KINDS {
            read.push(self.read_kind(kind).await?);
        }
        let revision = read.iter().map(|part| part.revision).min();
        let revision = revision.unwrap_or(StoreRevision::ZERO);
        if read.iter().any(|part| !part.revision.is_same_era(revision)) {
            return Err(StoreError::EraMismatch);
        }
        if read.iter().all(|part| part.is_whole) {
            let items = read.into_iter().flat_map(|part| part.items);
            return self.apply_whole(asked, items.collect(), revision);
        }
        for part in read {
            self.applier.apply_part(part);
        }
        Err(error)
    }

    /// Reads the records of one kind, up to a page that cannot be read. Fails if the store cannot be
    /// reached.
    async fn read_kind(&self, kind: RecordFilter) -> Result<PartRead, StoreError> {
        let asked = self.link.state.now();
        let mut part = PartRead {
            kind,
            items: Vec::new(),
            revision: StoreRevision::ZERO,
            asked,
            is_whole: false,
        };
        let mut after = None;
        while !part.is_whole {
            let mut page = match self.read_page(kind, after.as_ref(), CALL_TIMEOUT).await {
                Ok(page) => page,
                Err(e) if e.is_lasting() || after.is_some() => break,
                Err(e) => return Err(e),
            };
            if after.is_none() {
                part.revision = page.revision;
            }
            part.items.append(&mut page.items);
            part.is_whole = page.next_after.is_none();
            after = page.next_after;
        }
        if part.revision == StoreRevision::ZERO {
            // No page of it could be read; the revision tells the era.
            let revision = self.link.store.revision();
            part.revision = self
                .link
                .call(StoreCall::Confirm, CALL_TIMEOUT, revision)
                .await?;
        }
        Ok(part)
    }

    /// Reads and applies the list of instances.
    pub(crate) async fn read_instances(&self, timeout: Duration) -> Result<(), StoreError> {
        match self.read(RecordFilter::Instances, timeout).await {
            Ok((items, _)) => self.applier.apply_instances(&items),
            // What can be read of them is read with everything else.
            Err(PageFailure { error, .. }) if error.is_lasting() => {
                self.link.call_failed(StoreCall::Page, error);
            }
            Err(PageFailure { error, .. }) => return Err(error),
        }
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
        match self.read_page(sample, None, timeout).await {
            Ok(page) => Ok(self.applier.decode_sample(&page.items)),
            // The instance then reads what it can itself.
            Err(e) if e.is_lasting() => Ok(Vec::new()),
            Err(e) => Err(e),
        }
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
    ) -> Result<(Vec<StoreItem>, StoreRevision), PageFailure> {
        for _ in 0..ERA_ATTEMPTS {
            if let Some(read) = self.read_pages(filter, timeout).await? {
                return Ok(read);
            }
            log::info!("store was restored while it was read; reading it again");
        }
        Err(PageFailure {
            error: StoreError::EraMismatch,
            is_first: true,
        })
    }

    /// The same; none if the pages are not all of one era.
    async fn read_pages(
        &self,
        filter: RecordFilter,
        timeout: Duration,
    ) -> Result<Option<(Vec<StoreItem>, StoreRevision)>, PageFailure> {
        let failed = |is_first| move |error| PageFailure { error, is_first };
        let first = self.read_page(filter, None, timeout).await;
        let mut page = first.map_err(failed(true))?;
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
                    if e.is_lasting() {
                        return Err(failed(false)(e));
                    }
                    let page = self.retry_page(filter, &after).await;
                    page.map_err(failed(false))?
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

    /// Reads a page other than the first again, after it was refused.
    ///
    /// Covers the start of all instances of a large fleet at once: together they request
    /// more than the store's rate and link carry in a second. Instances that began again
    /// from the first page after one refused page kept the store busy for longer.
    async fn retry_page(&self, filter: RecordFilter, after: &PageKey) -> Result<Page, StoreError> {
        for _ in 1..PAGE_RETRIES {
            Timer::after(MEAN_PAGE_RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
            match self.read_page(filter, Some(after), CALL_TIMEOUT).await {
                Ok(page) => return Ok(page),
                Err(e) if e.is_lasting() => return Err(e),
                Err(e) => self.link.call_failed(StoreCall::Page, e),
            }
        }
        Timer::after(MEAN_PAGE_RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
        self.read_page(filter, Some(after), CALL_TIMEOUT).await
    }
}
