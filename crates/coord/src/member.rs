//! One instance as others know it.

use std::net::SocketAddr;

use jd_types::Incarnation;
use jd_types::MemberState;
use jd_types::Name;
use jd_types::Revision;

use crate::Pulse;

/// One instance as others know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its present life.
    pub incarnation: Incarnation,
    /// The hall that it stands in.
    pub hall: Name,
    /// Where it answers callers.
    pub callers: SocketAddr,
    /// Where it answers other instances.
    pub peers: SocketAddr,
    /// Where it is in its life.
    pub state: MemberState,
    /// Its own count of heartbeats.
    pub beat: u64,
    /// The revision of configuration that it has in force.
    pub revision: Revision,
    /// Requests that it is working on.
    pub in_flight: u32,
    /// The epoch of the bindings that it hands out.
    pub epoch: u64,
}

impl Member {
    /// What changes of it.
    pub fn pulse(&self) -> Pulse {
        Pulse {
            incarnation: self.incarnation,
            state: self.state,
            beat: self.beat,
            revision: self.revision,
            in_flight: self.in_flight,
            epoch: self.epoch,
        }
    }

    /// The member as a later pulse of the same life shows it.
    pub(crate) fn with(&self, pulse: &Pulse) -> Member {
        Member {
            state: pulse.state,
            beat: pulse.beat,
            revision: pulse.revision,
            in_flight: pulse.in_flight,
            epoch: pulse.epoch,
            ..self.clone()
        }
    }

    /// True if `self` is a later report of the same life than `other`.
    pub(crate) fn is_newer_than(&self, other: &Member) -> bool {
        (self.state, self.beat) > (other.state, other.beat)
    }
}
