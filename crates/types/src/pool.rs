//! A group of upstreams that do the same work.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// A group of upstreams that do the same work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// The number of requests that one upstream of the pool works on at a time.
    pub slots: u32,
    /// The model that the pool's engines serve; none for plain services.
    pub model: Option<Name>,
    /// True if the pool's engines reject an order with an outdated fencing token.
    pub checks_fencing: bool,
    /// True if the pool's upstreams can report whether a request with a given
    /// idempotency key has run.
    pub lookup: bool,
}

impl Pool {
    /// The lowest and highest number of slots of one upstream.
    pub const SLOTS: std::ops::RangeInclusive<u32> = 1..=4096;
}

impl fmt::Display for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "slots {}", self.slots)?;
        if let Some(model) = &self.model {
            write!(f, " model {model}")?;
        }
        if self.checks_fencing {
            f.write_str(" fenced")?;
        }
        match self.lookup {
            true => f.write_str(" lookup"),
            false => Ok(()),
        }
    }
}
