//! The state that an instance reports in a heartbeat.

use crate::UpstreamPath;

/// The state that an instance reports in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// True once it accepts no new callers.
    pub leaving: bool,
    /// True if callers may be sent to it.
    pub ready: bool,
    /// True once it has read the contents of the store.
    pub store_loaded: bool,
    /// Whether it can connect to upstreams.
    pub upstream_path: UpstreamPath,
}
