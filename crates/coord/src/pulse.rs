//! What changes of a member from heartbeat to heartbeat.

use jd_types::Incarnation;
use jd_types::MemberState;
use jd_types::Revision;

/// What changes of a member from heartbeat to heartbeat. Hall and addresses
/// never change within a life, so they are told once and not every time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pulse {
    /// The member's life.
    pub incarnation: Incarnation,
    /// Where it is in its life.
    pub state: MemberState,
    /// Its own count of heartbeats.
    pub beat: u64,
    /// The revision that it has in force.
    pub revision: Revision,
    /// Requests that it is working on.
    pub in_flight: u32,
    /// The epoch of the bindings that it hands out.
    pub epoch: u64,
}
