//! Interface to the key-value store.

use std::fmt::Debug;
use std::pin::Pin;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use compact_str::CompactString;
use jd_serving::Content;
use jd_serving::Deployment;
use jd_serving::InstanceEntry;
use jd_serving::QuarantineState;
use jd_serving::StoreItem;
use jd_serving::StoreRevision;
use jd_serving::UpstreamEntry;
use jd_serving::VersionRecord;
use jd_types::Incarnation;
use jd_types::Name;
use snafu::Snafu;

use crate::PageKey;

/// The future of a call to the store.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// A lease that the store has granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId {
    /// The store's era in which it was granted. After a restore, the store no longer
    /// knows the lease and may grant its number to another instance.
    pub era: u64,
    /// Its number in that era.
    pub number: u64,
}

/// A record of the store.
#[derive(Debug, Clone)]
pub enum Record {
    /// The operator's configuration.
    Deployment(Box<Deployment>),
    /// An upstream.
    Upstream(UpstreamEntry),
    /// A gateway instance.
    Instance(InstanceEntry),
    /// The quarantine state of a request.
    Quarantine(QuarantineRecord),
    /// An evacuated availability zone, whose upstreams get no new requests.
    EvacuatedZone(Name),
    /// The software versions of the services.
    Versions(VersionRecord),
    /// A record that this version cannot read, and why.
    Unreadable {
        /// What is wrong with it.
        reason: CompactString,
    },
}

/// The quarantine state of a request, as the store holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// The request.
    pub content: Content,
    /// Its quarantine state.
    pub state: QuarantineState,
    /// When the quarantine expires, as wall-clock time. The clocks of instances may
    /// differ by seconds, which is little compared to the minutes that a quarantine
    /// lasts.
    pub until: SystemTime,
}

/// Origins of streams, as the store holds them for instances that start. They are no part of the
/// records that instances follow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginItem {
    /// The part that the streams belong to.
    pub part: u32,
    /// Identifies the item within its part. Items with smaller names are read first.
    pub name: CompactString,
    /// The encoded origins.
    pub value: Bytes,
}

/// A page of the origins of one part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginPage {
    /// In the order of their names.
    pub items: Vec<OriginItem>,
    /// The key after which the next page begins; none if this is the last page.
    pub next_after: Option<PageKey>,
}

/// A change in the store.
#[derive(Debug, Clone)]
pub enum Change {
    /// A record was written.
    Put(Record),
    /// An upstream's entry was removed.
    UpstreamRemoved(CompactString),
    /// An upstream's entry cannot be read as one: another writer left it, or overwrote
    /// the upstream's own.
    UpstreamUnreadable {
        /// The upstream identity in its key.
        id: CompactString,
        /// What is wrong with it.
        reason: CompactString,
    },
    /// An instance's entry was removed.
    InstanceRemoved(Incarnation),
    /// The quarantine state of a request was removed.
    QuarantineRemoved(Content),
    /// The evacuation of an availability zone has ended.
    EvacuationEnded(Name),
}

/// Items of the store, in the form in which they are passed on to other instances.
#[derive(Debug, Clone)]
pub struct ItemBatch {
    /// All items, or those that changed, in the order of their changes.
    pub items: Vec<StoreItem>,
    /// The revision up to which the items are complete.
    pub revision: StoreRevision,
}

/// One page of a read of the store.
#[derive(Debug, Clone)]
pub struct Page {
    /// In the order of their keys.
    pub items: Vec<StoreItem>,
    /// The store's revision when the page was read.
    pub revision: StoreRevision,
    /// The key after which the next page begins; none if this is the last page. Comes after that of
    /// the last item if the page ends with records that are left out.
    pub next_after: Option<PageKey>,
}

/// Which records a read returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RecordFilter {
    /// All of them.
    All,
    /// Entries of instances.
    Instances,
    /// Entries of instances whose identities begin with these four bits: a sample of one
    /// in sixteen.
    Sample(u8),
    /// The operator's configuration.
    Deployment,
    /// Entries of upstreams.
    Upstreams,
    /// Evacuated availability zones.
    Evacuations,
    /// Quarantine states of requests.
    Quarantines,
    /// The software versions of the services.
    Versions,
}

impl RecordFilter {
    /// Filters that return one kind of records each, and all of them together.
    pub(crate) const KINDS: [RecordFilter; 6] = [
        RecordFilter::Deployment,
        RecordFilter::Upstreams,
        RecordFilter::Instances,
        RecordFilter::Evacuations,
        RecordFilter::Quarantines,
        RecordFilter::Versions,
    ];
}

/// Why a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The store refused the call: nothing was done.
    #[snafu(display("the store refused the call; it is tried again"))]
    Refused,
    /// The store rejects the call as it is: nothing was done, and the same call will not succeed.
    #[snafu(display("the store rejects the call with status {status}; check its key and query"))]
    Rejected {
        /// The HTTP status.
        status: u16,
    },
    /// No answer arrived: a write may have been done, or may be done later.
    #[snafu(display("the store did not answer; it is asked again on a new connection"))]
    NoAnswer,
    /// The changes asked for are no longer kept.
    #[snafu(display("the store forgot these changes; everything is read again"))]
    HistoryGone,
    /// The answer is of an earlier era than the known state, or mixes two eras.
    #[snafu(display("the store's answer is of an earlier era; it is asked again"))]
    EraMismatch,
    /// The lease has ended.
    #[snafu(display("the lease has ended; another is taken"))]
    LeaseGone,
    /// The entry has been written by another since: nothing was done.
    #[snafu(display("the entry has changed; nothing needs to be done"))]
    Changed,
    /// This version cannot read the answer.
    #[snafu(display("the store's answer cannot be read; check its version"))]
    InvalidAnswer,
}

impl StoreError {
    /// True if the store answered, and will answer the same call alike.
    pub(crate) const fn is_lasting(self) -> bool {
        matches!(
            self,
            StoreError::Rejected { .. } | StoreError::InvalidAnswer
        )
    }

    /// Label of the error in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            StoreError::Refused => "refused",
            StoreError::Rejected { .. } => "rejected",
            StoreError::NoAnswer => "lost",
            StoreError::HistoryGone => "history-gone",
            StoreError::EraMismatch => "other-era",
            StoreError::LeaseGone => "lease-gone",
            StoreError::Changed => "changed",
            StoreError::InvalidAnswer => "unreadable",
        }
    }
}

/// The key-value store that holds the operator's configuration and the entries of
/// upstreams and instances.
pub trait Store: Debug + Send + Sync {
    /// Reads the page of the filtered records whose keys follow `after`, as large as one
    /// answer allows, or the first page. Pages are not a snapshot: a watch from the first page's
    /// revision returns what has changed since.
    fn page<'a>(
        &'a self,
        filter: RecordFilter,
        after: Option<&'a PageKey>,
    ) -> StoreFuture<'a, Page>;

    /// Waits for changes after a revision, at most `wait`.
    fn watch(&self, after: StoreRevision, wait: Duration) -> StoreFuture<'_, ItemBatch>;

    /// Decodes an item; none if it does not concern this system.
    fn decode(&self, item: &StoreItem) -> Option<Change>;

    /// Which kind of records an item belongs to; none if it does not concern this system.
    fn kind(&self, item: &StoreItem) -> Option<RecordFilter>;

    /// The store's current revision.
    fn revision(&self) -> StoreFuture<'_, StoreRevision>;

    /// Requests a lease.
    fn lease(&self, lifetime: Duration) -> StoreFuture<'_, LeaseId>;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> StoreFuture<'_, ()>;

    /// Writes this instance's entry under the lease, and removes the entries of its
    /// earlier starts.
    fn announce<'a>(
        &'a self,
        entry: &'a InstanceEntry,
        lease: LeaseId,
        earlier: &'a [Incarnation],
    ) -> StoreFuture<'a, ()>;

    /// Writes the quarantine state of a request under the lease.
    fn write_quarantine<'a>(
        &'a self,
        record: &'a QuarantineRecord,
        lease: LeaseId,
    ) -> StoreFuture<'a, ()>;

    /// Writes the software versions of the services, if the record there was written at `replaced`,
    /// or if there is none. Returns the revision of the new record.
    fn write_versions<'a>(
        &'a self,
        record: &'a VersionRecord,
        replaced: Option<StoreRevision>,
    ) -> StoreFuture<'a, StoreRevision>;

    /// Writes origins of streams under the lease.
    fn write_origins<'a>(&'a self, items: &'a [OriginItem], lease: LeaseId) -> StoreFuture<'a, ()>;

    /// Reads a page of the origins of one part, which begins after this key, or the first page.
    fn origins<'a>(&'a self, part: u32, after: Option<&'a PageKey>) -> StoreFuture<'a, OriginPage>;

    /// Removes another instance's entry, unless it was written again after this revision.
    fn remove_instance(&self, id: Incarnation, written: StoreRevision) -> StoreFuture<'_, ()>;

    /// Removes this instance's entry.
    fn withdraw(&self, id: Incarnation) -> StoreFuture<'_, ()>;
}
