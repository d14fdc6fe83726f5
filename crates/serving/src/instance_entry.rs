//! What instances publish of themselves, and those that no longer answer.

use std::net::SocketAddr;
use std::time::Duration;

use jd_types::Incarnation;
use jd_types::Name;

use crate::StoreRevision;
use crate::Strength;

/// The description that an instance publishes of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceEntry {
    /// The identity of this run of the instance.
    pub incarnation: Incarnation,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where other instances reach it.
    pub peer_address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Its capacity beside the requests of its own callers.
    pub strength: Strength,
    /// True once it accepts no new callers.
    pub leaving: bool,
}

/// A listed instance that does not answer heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnresponsiveInstance {
    /// Its incarnation.
    pub id: Incarnation,
    /// The store's revision when its entry was written.
    pub written: StoreRevision,
    /// Time since its last heartbeat reply.
    pub silent_for: Duration,
}
