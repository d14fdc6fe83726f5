//! What is logged when an attempt is given up.

use std::time::Duration;

use jd_serving::Evidence;

use crate::attempts::AttemptContext;

/// An attempt that is given up after the head of its response.
pub(crate) struct GivenUp<'a> {
    /// The ID of the upstream.
    pub(crate) upstream: &'a str,
    pub(crate) evidence: Evidence,
    /// The time since its last byte.
    pub(crate) silent_for: Duration,
    /// Parts of the stream until then.
    pub(crate) parts: u64,
}

impl GivenUp<'_> {
    pub(crate) fn log(&self, cx: &AttemptContext) {
        log::info!(
            request = cx.request.id(),
            content:% = cx.request.contents.request,
            upstream = self.upstream,
            evidence = self.evidence.as_str(),
            since_last_ms = self.silent_for.as_millis() as u64,
            parts = self.parts,
            left_ms = cx.time_left().as_millis() as u64;
            "upstream given up"
        );
    }
}
