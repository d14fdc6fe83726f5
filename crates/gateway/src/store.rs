//! The store that holds what must last.

use std::fmt::Debug;
use std::pin::Pin;
use std::time::Duration;
use std::time::SystemTime;

use compact_str::CompactString;
use jd_serving::Content;
use jd_serving::Deployment;
use jd_serving::InstanceEntry;
use jd_serving::QuarantineState;
use jd_serving::StoreItem;
use jd_serving::StoreRevision;
use jd_serving::UpstreamEntry;
use jd_types::Incarnation;
use jd_types::Name;
use snafu::Snafu;

/// The future of a call to the store.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// A lease at the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId {
    /// The store's era in which it was given: a later one does not know it, and may give
    /// its number to another.
    pub era: u64,
    /// Its number in that era.
    pub number: u64,
}

/// Something that the store holds.
#[derive(Debug, Clone)]
pub enum Record {
    /// The operator's configuration.
    Deployment(Box<Deployment>),
    /// An upstream.
    Upstream(UpstreamEntry),
    /// An instance of this system.
    Instance(InstanceEntry),
    /// What is held against a request.
    Quarantine(QuarantineRecord),
    /// An availability zone whose upstreams are to get nothing new.
    EvacuatedZone(Name),
    /// A record that this version cannot read, and why.
    Unreadable {
        /// Where it lies.
        key: CompactString,
        /// What is wrong with it.
        reason: CompactString,
    },
}

/// What is held against a request, as the store keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineRecord {
    /// The request.
    pub content: Content,
    /// What is held against it.
    pub state: QuarantineState,
    /// Until when, by the time of day. Clocks of instances may differ by seconds, which
    /// is little of the minutes that it is held for.
    pub until: SystemTime,
}

/// A change in the store.
#[derive(Debug, Clone)]
pub enum Change {
    /// A record was written.
    Put(Record),
    /// An upstream's entry was removed.
    UpstreamRemoved(CompactString),
    /// An upstream's entry names none: another writer left it, or wrote it over the
    /// upstream's own.
    UpstreamUnreadable {
        /// The identity that it stands under.
        id: CompactString,
        /// What is wrong with it.
        reason: CompactString,
    },
    /// An instance's entry was removed.
    InstanceRemoved(Incarnation),
    /// The store keeps nothing of what is held against a request any more.
    QuarantineRemoved(Content),
    /// An availability zone is no longer evacuated.
    EvacuationEnded(Name),
}

/// Items of the store. They are passed on to other instances as they are.
#[derive(Debug, Clone)]
pub struct ItemBatch {
    /// All of them, or those that changed in the order in which they did.
    pub items: Vec<StoreItem>,
    /// Nothing up to this revision is missing.
    pub revision: StoreRevision,
}

/// A part of all that the store holds.
#[derive(Debug, Clone)]
pub struct Page {
    /// In the order of their keys.
    pub items: Vec<StoreItem>,
    /// The store's revision when it was read.
    pub revision: StoreRevision,
    /// True if more lies after the last of them.
    pub more: bool,
}

/// Which records are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordFilter {
    /// All of them.
    All,
    /// Those of instances of this system.
    Instances,
    /// Those of instances whose identities begin with these four bits: a sample of one
    /// in sixteen.
    Sample(u8),
}

/// Why a call to the store brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The store refused the call: nothing was done.
    #[snafu(display("the store refused the call; it is tried again"))]
    Refused,
    /// No answer came: a write may have been done, or may be done later.
    #[snafu(display("the store did not answer; it is asked again on a new connection"))]
    NoAnswer,
    /// The changes asked for are no longer kept.
    #[snafu(display("the store forgot these changes; everything is read again"))]
    HistoryGone,
    /// The answer is of an earlier era than what is known here, or of two eras.
    #[snafu(display("the store's answer is of an earlier era; it is asked again"))]
    EraMismatch,
    /// The lease has ended.
    #[snafu(display("the lease has ended; another is taken"))]
    LeaseGone,
    /// The entry is not the one that was meant any more: nothing was done.
    #[snafu(display("the entry has changed; nothing needs to be done"))]
    Changed,
    /// The answer is not one that this version understands.
    #[snafu(display("the store's answer cannot be read; check its version"))]
    InvalidAnswer,
}

impl StoreError {
    /// Its name in metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            StoreError::Refused => "refused",
            StoreError::NoAnswer => "lost",
            StoreError::HistoryGone => "history-gone",
            StoreError::EraMismatch => "other-era",
            StoreError::LeaseGone => "lease-gone",
            StoreError::Changed => "changed",
            StoreError::InvalidAnswer => "unreadable",
        }
    }
}

/// The store that holds what must last: the operator's configuration and the
/// entries of upstreams and instances.
pub trait Store: Debug + Send + Sync {
    /// Reads records of a kind: what lies after a key, as it is now and as much as fits
    /// into one answer; everything from the empty key on. Pages are no snapshot: what
    /// changed since the first one comes with a watch from its revision.
    fn page<'a>(&'a self, filter: RecordFilter, after: &'a str) -> StoreFuture<'a, Page>;

    /// Waits for changes after a revision, at most `wait`.
    fn watch(&self, after: StoreRevision, wait: Duration) -> StoreFuture<'_, ItemBatch>;

    /// What an item says; none if it does not concern the product.
    fn decode(&self, item: &StoreItem) -> Option<Change>;

    /// The store's revision, as it is now.
    fn revision(&self) -> StoreFuture<'_, StoreRevision>;

    /// Takes a lease.
    fn lease(&self, lifetime: Duration) -> StoreFuture<'_, LeaseId>;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> StoreFuture<'_, ()>;

    /// Writes this instance's entry, for as long as the lease lasts, and removes those
    /// of its earlier starts.
    fn announce<'a>(
        &'a self,
        entry: &'a InstanceEntry,
        lease: LeaseId,
        earlier: &'a [Incarnation],
    ) -> StoreFuture<'a, ()>;

    /// Writes what is held against a request, for as long as the lease lasts.
    fn write_quarantine<'a>(
        &'a self,
        record: &'a QuarantineRecord,
        lease: LeaseId,
    ) -> StoreFuture<'a, ()>;

    /// Removes another instance's entry if it is still the one written at this revision.
    fn remove_instance(&self, id: Incarnation, written: StoreRevision) -> StoreFuture<'_, ()>;

    /// Removes this instance's entry.
    fn withdraw(&self, id: Incarnation) -> StoreFuture<'_, ()>;
}
