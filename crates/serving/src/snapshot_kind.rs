//! What a full snapshot of the store may lack.

/// What a full snapshot of the store may lack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotKind {
    /// The snapshot includes every acknowledged write.
    Complete,
    /// The snapshot is the first one after the store was restored from an older copy: the latest
    /// writes may be lost, and removed entries may be back.
    Restored,
}
