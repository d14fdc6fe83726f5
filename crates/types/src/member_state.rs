//! The life cycle states of an instance.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// An instance's life cycle state, as reported to its peers. Within one incarnation
/// the state only moves forward, so of two reports the one with the later state is
/// the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Has not loaded a configuration yet; accepts no requests.
    Starting,
    /// Accepts requests and is listed in locate responses.
    Serving,
    /// No longer listed in locate responses, but still accepts requests from callers
    /// that received its address earlier.
    Withdrawn,
    /// Accepts no new requests and finishes those in progress.
    Draining,
    /// Has finished all requests and is shutting down.
    Stopped,
}

impl MemberState {
    /// All states in life cycle order.
    pub const ALL: [MemberState; 5] = [
        MemberState::Starting,
        MemberState::Serving,
        MemberState::Withdrawn,
        MemberState::Draining,
        MemberState::Stopped,
    ];

    /// The state's code in messages between instances.
    pub const fn code(self) -> u32 {
        self as u32
    }

    /// The state with the given code. An unknown code maps to `Stopped`, because a
    /// stopped instance receives no requests.
    pub fn from_code(code: u32) -> MemberState {
        let known = MemberState::ALL.iter().find(|s| s.code() == code);
        known.copied().unwrap_or(MemberState::Stopped)
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            MemberState::Starting => "starting",
            MemberState::Serving => "serving",
            MemberState::Withdrawn => "withdrawn",
            MemberState::Draining => "draining",
            MemberState::Stopped => "stopped",
        })
    }
}
