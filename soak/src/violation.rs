//! Violated guarantees.

use std::fmt;

/// A violation of a guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The violated guarantee.
    pub guarantee: &'static str,
    /// The violating event, with the identity of the request if there is one.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.guarantee, self.detail)
    }
}
