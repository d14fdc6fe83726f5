//! What a stand-in upstream is.

use std::time::Duration;

use jd_types::Name;

/// What a stand-in upstream is.
#[derive(Debug, Clone)]
pub struct UpstreamSpec {
    /// The pool that it belongs to.
    pub pool: Name,
    /// The hall that it stands in.
    pub hall: Name,
    /// Requests that it works on at full speed.
    pub slots: u32,
    /// How long one part of an answer takes.
    pub step: Duration,
    /// The model that it serves, if it is an engine.
    pub model: Option<Name>,
    /// True if it refuses orders with an old token.
    pub checks_token: bool,
}
