//! What the operator has put in force.

use std::time::Duration;

use compact_str::CompactString;

use crate::Route;
use crate::Service;

/// One version of the operator's configuration, checked and decoded.
#[derive(Debug, Clone, Default)]
pub struct Deployment {
    /// The operator's own number; it grows in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services that routes and stages name.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Who may call; empty where nobody has to show a credential.
    pub customers: Vec<CustomerSpec>,
}

/// A customer and the credentials that it holds.
#[derive(Debug, Clone)]
pub struct CustomerSpec {
    /// The name that upstreams are told.
    pub name: CompactString,
    /// Every credential in force.
    pub credentials: Vec<CompactString>,
    /// Goes before the route's priority; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may lie idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// In force until the operator's own are known.
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
