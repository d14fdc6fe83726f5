//! Whether an earlier owner of a shard is still running.

/// Whether an earlier owner of a shard is still running, as far as this instance knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerPresence {
    /// It answers heartbeats.
    Present,
    /// It does not answer heartbeats, but the store lists it: it may be cut off from this
    /// instance alone.
    Silent,
    /// It does not answer heartbeats, and the store does not list it. An instance that is cut off
    /// from this one alone writes its entry again when it is removed.
    Gone,
}
