//! Where results are stored, and how much storage they occupy.

use std::collections::HashMap;

use compact_str::CompactString;
use jd_types::MonoTime;

/// A service, one of its upstreams, and the bytes occupied there.
type Location = (CompactString, CompactString, u64);

/// A result at an upstream.
#[derive(Debug)]
struct StoredResult {
    location: Location,
    /// The start of the call that produced it.
    since: MonoTime,
    until: MonoTime,
}

/// The results that are stored at upstreams.
///
/// An upstream without free storage rejects every piece until enough results have been released or
/// have expired, and work waits although engines are idle. Results are therefore tracked here, and
/// no piece is sent to an upstream where its result would not fit.
#[derive(Debug, Default)]
pub(crate) struct ResultStorage {
    results: HashMap<CompactString, StoredResult>,
}

impl ResultStorage {
    /// Adds a result of a call that started at `since`. It is stored at an upstream of a service
    /// until it is released, and at most until `until`.
    pub(crate) fn insert(
        &mut self,
        handle: CompactString,
        location: (&CompactString, &CompactString),
        bytes: u64,
        (since, until): (MonoTime, MonoTime),
    ) {
        let result = StoredResult {
            location: (location.0.clone(), location.1.clone(), bytes),
            since,
            until,
        };
        self.results.insert(handle, result);
    }

    /// Returns the service and the upstream where a result is stored, and its size.
    pub(crate) fn location(&self, handle: &str) -> Option<(&CompactString, &CompactString, u64)> {
        let (service, upstream, bytes) = &self.results.get(handle)?.location;
        Some((service, upstream, *bytes))
    }

    /// Returns when a result expires.
    pub(crate) fn expires_at(&self, handle: &str) -> Option<MonoTime> {
        self.results.get(handle).map(|r| r.until)
    }

    /// Removes a result, and returns where it was stored and when the call that produced it
    /// started, if it is tracked.
    pub(crate) fn remove(&mut self, handle: &str) -> Option<(Location, MonoTime)> {
        self.results.remove(handle).map(|r| (r.location, r.since))
    }

    /// Removes the results of the upstreams that match, and returns their handles.
    pub(crate) fn remove_matching(
        &mut self,
        is_match: impl Fn(&CompactString, &CompactString) -> bool,
    ) -> Vec<CompactString> {
        let removed = self
            .results
            .extract_if(|_, r| is_match(&r.location.0, &r.location.1));
        removed.map(|(handle, _)| handle).collect()
    }

    /// Removes the results that have expired, and returns where they were stored.
    pub(crate) fn remove_expired(&mut self, now: MonoTime) -> Vec<Location> {
        let expired = self.results.extract_if(|_, r| r.until <= now);
        expired.map(|(_, r)| r.location).collect()
    }
}
