//! The reply of a successor to an update.

/// The reply of a successor to an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaReply {
    /// The update was applied.
    Applied,
    /// The successor lacks earlier updates of this owner.
    NeedsWhole,
    /// The successor runs a build that does not accept updates.
    Unsupported,
    /// There was no reply. The update may have been applied.
    NoReply,
}

impl ReplicaReply {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            ReplicaReply::Applied => "applied",
            ReplicaReply::NeedsWhole => "needs-whole",
            ReplicaReply::Unsupported => "unsupported",
            ReplicaReply::NoReply => "no-reply",
        }
    }
}
