//! The upstreams at which a request may have run.

use std::sync::Arc;
use std::sync::Mutex;

use compact_str::CompactString;
use jd_net::lock;

/// The upstreams at which a request may have run, each once. Clones share them, so that they are
/// known once the request has ended.
#[derive(Debug, Default, Clone)]
pub(crate) struct RanAt(Arc<Mutex<Vec<CompactString>>>);

impl RanAt {
    pub(crate) fn new(upstreams: Vec<CompactString>) -> RanAt {
        RanAt(Arc::new(Mutex::new(upstreams)))
    }

    /// Records the latest run. Returns true if none was known at that upstream.
    pub(crate) fn record(&self, upstream: &str) -> bool {
        let mut upstreams = lock(&self.0);
        let before = upstreams.len();
        upstreams.retain(|u| u != upstream);
        let is_first = upstreams.len() == before;
        upstreams.push(upstream.into());
        is_first
    }

    /// Takes back the only run at an upstream, because it is proved that it did not run.
    pub(crate) fn take_back(&self, upstream: &str) {
        lock(&self.0).retain(|u| u != upstream);
    }

    /// The upstreams, that of the latest run last.
    pub(crate) fn upstreams(&self) -> Vec<CompactString> {
        lock(&self.0).clone()
    }
}
