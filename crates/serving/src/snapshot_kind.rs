//! What a whole reading of the store may lack.

/// What a whole reading of the store may lack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotKind {
    /// Nothing that was ever acknowledged.
    Complete,
    /// It is the first one since the store came back from an older copy: what was written
    /// last may be gone, and what was removed may be back.
    Restored,
}
