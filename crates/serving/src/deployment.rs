//! The operator's configuration.

use std::time::Duration;

use compact_str::CompactString;

use crate::Route;
use crate::Service;

/// One version of the operator's configuration, validated and decoded.
#[derive(Debug, Clone, Default)]
pub struct Deployment {
    /// The operator's version number; it grows in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services that routes and stages refer to.
    pub services: Vec<Service>,
    /// The limits on callers' requests.
    pub limits: CallerLimits,
    /// The customers that may call; empty if no credential is required.
    pub customers: Vec<CustomerSpec>,
}

/// A customer and its credentials.
#[derive(Debug, Clone)]
pub struct CustomerSpec {
    /// The name that upstreams receive.
    pub name: CompactString,
    /// All valid credentials.
    pub credentials: Vec<CompactString>,
    /// Overrides the route's priority; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Limits on the size of callers' requests and on their connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which a head must arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// In force until the operator's limits are known.
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
