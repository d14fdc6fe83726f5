//! The pace of one upstream.

/// The pace of one upstream, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Events per second of one stream, relative to the median of the service's upstreams. 1 if it
    /// is unknown or old, and from 0.1 to 4 otherwise. Reading a prompt slows down alike.
    pub events_ratio: f64,
    /// Prompt tokens read per millisecond; none if the service's upstreams have read too few new
    /// tokens to tell.
    pub read_tokens_per_ms: Option<f64>,
    /// Streams in progress there, from all instances that reported within the last heartbeats.
    pub running: u32,
}

impl Pace {
    /// The pace of an upstream of which nothing is known.
    pub const UNKNOWN: Pace = Pace {
        events_ratio: 1.0,
        read_tokens_per_ms: None,
        running: 0,
    };
}
