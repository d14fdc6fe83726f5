//! The kinds of calls to the store, and how many there were.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A kind of call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreCall {
    /// Reading a page of records.
    Page,
    /// Waiting for changes.
    Watch,
    /// Reading the store's revision, as proof that this instance's state is current.
    Confirm,
    /// Requesting a lease.
    Lease,
    /// Renewing a lease.
    Renew,
    /// Writing this instance's entry.
    Announce,
    /// Removing this instance's entry.
    Withdraw,
    /// Removing the entry of an instance that does not answer.
    Remove,
    /// Writing the quarantine state of a request.
    WriteQuarantine,
    /// Writing the software versions of the services.
    WriteVersions,
    /// Writing origins of streams.
    WriteOrigins,
    /// Reading origins of streams.
    Origins,
}

impl StoreCall {
    const ALL: [StoreCall; 12] = [
        StoreCall::Page,
        StoreCall::Watch,
        StoreCall::Confirm,
        StoreCall::Lease,
        StoreCall::Renew,
        StoreCall::Announce,
        StoreCall::Withdraw,
        StoreCall::Remove,
        StoreCall::WriteQuarantine,
        StoreCall::WriteVersions,
        StoreCall::WriteOrigins,
        StoreCall::Origins,
    ];

    /// Label of the kind in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            StoreCall::Page => "page",
            StoreCall::Watch => "watch",
            StoreCall::Confirm => "confirm",
            StoreCall::Lease => "lease",
            StoreCall::Renew => "renew",
            StoreCall::Announce => "announce",
            StoreCall::Withdraw => "withdraw",
            StoreCall::Remove => "remove",
            StoreCall::WriteQuarantine => "write-quarantine",
            StoreCall::WriteVersions => "write-versions",
            StoreCall::WriteOrigins => "write-origins",
            StoreCall::Origins => "origins",
        }
    }
}

/// Number of calls to the store since the last report, by kind.
#[derive(Debug, Default)]
pub(crate) struct StoreCallCounts([AtomicU64; StoreCall::ALL.len()]);

impl StoreCallCounts {
    pub(crate) fn add(&self, call: StoreCall) {
        self.0[call as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts since the last report as text and resets them; none if there
    /// were no calls.
    pub(crate) fn take(&self) -> Option<String> {
        let taken = StoreCall::ALL.map(|c| (c, self.0[c as usize].swap(0, Ordering::Relaxed)));
        let called = taken.iter().filter(|(_, count)| *count > 0);
        let parts: Vec<String> = called
            .map(|(call, count)| format!("{count} {}", call.as_str()))
            .collect();
        (!parts.is_empty()).then(|| parts.join(", "))
    }
}
