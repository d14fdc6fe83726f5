//! A customer's configuration.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::CredentialDigest;
use crate::Priority;

/// A sender of requests, with its limit, weight and priority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// The digest of the customer's credential.
    pub credential: CredentialDigest,
    /// The maximum number of requests in flight over all instances together.
    pub limit: u32,
    /// The customer's share of a contended pool, relative to other customers' weights.
    pub weight: u32,
    /// The most urgent priority that the customer may use.
    pub priority: Priority,
}

impl Customer {
    /// The lowest and highest limit.
    pub const LIMIT: std::ops::RangeInclusive<u32> = 1..=1_000_000;
    /// The lowest and highest weight.
    pub const WEIGHT: std::ops::RangeInclusive<u32> = 1..=1_000;
}

impl fmt::Display for Customer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "limit {} weight {} priority {}",
            self.limit, self.weight, self.priority
        )
    }
}
