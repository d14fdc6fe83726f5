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

    /// Records the latest run.
    pub(crate) fn record(&self, upstream: &str) {
        let mut upstreams = lock(&self.0);
        upstreams.retain(|u| u != upstream);
        upstreams.push(upstream.into());
    }

    /// The upstreams, that of the latest run last.
    pub(crate) fn upstreams(&self) -> Vec<CompactString> {
        lock(&self.0).clone()
    }
}
