//! Small `Copy` keys into arenas, and identities of requests and attempts.

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
            /// The key of the arena's entry number `index`.
            pub const fn from_index(index: u32) -> $name {
                $name(index)
            }

            /// The entry's place in its arena.
            pub const fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

arena_key! {
    /// A pool in [`CompiledConfig::pools`](crate::CompiledConfig::pools).
    PoolKey
}
arena_key! {
    /// A customer in [`CompiledConfig::customers`](crate::CompiledConfig::customers).
    CustomerKey
}
arena_key! {
    /// A pipeline in [`CompiledConfig::pipelines`](crate::CompiledConfig::pipelines).
    PipelineKey
}
arena_key! {
    /// An upstream in the routing table of one instance.
    UpstreamKey
}

/// A request's identity: the instance that accepted it and a number there, so
/// that two instances never give out the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The instance that accepted the request.
    pub entry: Incarnation,
    /// The request's number on that instance, from 1.
    pub number: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.entry, self.number)
    }
}

/// One attempt at one stage of a request. An answer counts only if it names the
/// attempt that is waiting, so a late or crossed one can never be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The stage's place in the pipeline, from 0.
    pub stage: u8,
    /// The attempt's number at that stage, from 1.
    pub attempt: u8,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.request, self.stage, self.attempt)
    }
}
