//! Whether a full snapshot of the store may lack writes.

/// Whether a full snapshot of the store may lack writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotKind {
    /// The snapshot includes every acknowledged write.
    Complete,
    /// The snapshot is the first one after the store was restored from an older copy: the latest
    /// writes may be lost, and removed entries may be back.
    Restored,
}
