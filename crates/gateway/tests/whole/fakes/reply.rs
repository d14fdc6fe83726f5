//! The programmed replies of fake upstreams.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// The events of a stream that may resume.
pub(crate) const STREAM: [&str; 2] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];

/// The reply of an upstream to one request.
#[derive(Debug, Clone)]
pub(crate) enum Reply {
    /// A complete response.
    Complete(&'static str),
    /// A complete response after a delay.
    Delayed(&'static str, Duration),
    /// A refusal that says that the request did not run.
    NotRun,
    /// The same, with a backoff in seconds.
    BackOff(&'static str),
    /// A refusal because the request was meant for another upstream.
    Misdirected,
    /// The first of the upstreams that share the flag sends the response to another request;
    /// the others answer that the stage results of the request are gone.
    CrossedThenInputsGone(Arc<AtomicBool>),
    /// The complete response to another request.
    Crossed,
    /// A refusal that says that another request did not run.
    CrossedNotRun,
    /// A signed error response.
    Failure,
    /// A signed error response after a delay.
    DelayedFailure(Duration),
    /// Parts of a stream, which breaks off after them if `cut`.
    Stream {
        parts: &'static [&'static str],
        cut: bool,
    },
    /// The first event of [`STREAM`], after which it breaks off if `cut`; the rest for a request
    /// that resumes it.
    Resumable { cut: bool },
    /// The first event of [`STREAM`], after which it breaks off; the next one for a request that
    /// resumes it, and then silence for this time.
    CutThenSilent(Duration),
    /// The first part of a stream, and the rest after a silence.
    Pausing(&'static [&'static str], Duration),
    /// A complete response once the sender of the channel sends or is dropped.
    UntilReleased(async_channel::Receiver<()>),
}
