//! Where results lie and how much room they take.

use std::collections::HashMap;

use compact_str::CompactString;
use jd_types::MonoTime;

/// A service, one of its upstreams, and bytes there.
type Place = (CompactString, CompactString, u64);

/// Results that lie at upstreams.
///
/// Guards against upstreams without room: they refuse every piece until enough
/// results have been given up or have expired, and work waits although engines
/// are idle. So results are counted here, and no piece is sent where its result
/// would not fit.
#[derive(Debug, Default)]
pub(crate) struct ResultStorage {
    held: HashMap<CompactString, (Place, MonoTime)>,
}

impl ResultStorage {
    /// A result lies at an upstream of a service until it is given up or `until`.
    pub(crate) fn put(
        &mut self,
        handle: CompactString,
        place: (&CompactString, &CompactString),
        bytes: u64,
        until: MonoTime,
    ) {
        let place = (place.0.clone(), place.1.clone(), bytes);
        self.held.insert(handle, (place, until));
    }

    /// The service and the upstream where a result lies, and its size.
    pub(crate) fn place(&self, handle: &str) -> Option<(&CompactString, &CompactString, u64)> {
        let ((service, upstream, bytes), _) = self.held.get(handle)?;
        Some((service, upstream, *bytes))
    }

    /// A result is given up; where it lay, if that is known.
    pub(crate) fn take(&mut self, handle: &str) -> Option<Place> {
        self.held.remove(handle).map(|(place, _)| place)
    }

    /// Forgets the results that lie at a place; returns them.
    pub(crate) fn lose(
        &mut self,
        is_there: impl Fn(&CompactString, &CompactString) -> bool,
    ) -> Vec<CompactString> {
        let lost = self
            .held
            .extract_if(|_, ((service, upstream, _), _)| is_there(service, upstream));
        lost.map(|(handle, _)| handle).collect()
    }

    /// The places of results that have expired.
    pub(crate) fn expire(&mut self, now: MonoTime) -> Vec<Place> {
        let over = self.held.extract_if(|_, (_, until)| *until <= now);
        over.map(|(_, (place, _))| place).collect()
    }
}
