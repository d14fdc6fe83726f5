//! Small `Copy` keys into arenas, and identifiers of requests and attempts.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Incarnation;

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $name {
            /// The key of the arena entry at `index`.
            pub const fn from_index(index: u32) -> $name {
                $name(index)
            }

            /// The index of the entry in its arena.
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

arena_key! {
    /// The key of a pool in [`CompiledConfig::pools`](crate::CompiledConfig::pools).
    PoolKey
}
arena_key! {
    /// The key of a customer in [`CompiledConfig::customers`](crate::CompiledConfig::customers).
    CustomerKey
}
arena_key! {
    /// The key of a pipeline in [`CompiledConfig::pipelines`](crate::CompiledConfig::pipelines).
    PipelineKey
}
arena_key! {
    /// The key of an upstream in the routing table of one instance.
    UpstreamKey
}

/// A request's identifier: the instance that accepted the request and a sequence
/// number there, so that two instances never assign the same identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The instance that accepted the request.
    pub entry: Incarnation,
    /// The request's sequence number on that instance, starting at 1.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.entry, self.number)
    }
}

/// The identifier of one attempt at one stage of a request. A response is accepted
/// only if it carries the identifier of the pending attempt, so a late or
/// mismatched response is never used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The stage's index in the pipeline, starting at 0.
    pub stage: u8,
    /// The attempt's number at that stage, starting at 1.
    pub attempt: u8,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.request, self.stage, self.attempt)
    }
}
