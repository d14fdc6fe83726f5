//! How sending can fail.

use snafu::Snafu;

/// How sending a request can fail. The kinds differ in what they prove.
#[derive(Debug, Clone, Copy, Snafu, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request left: it cannot have run.
    #[snafu(display("the request was not sent; another address may take it"))]
    NotSent,
    /// The connection broke before the answer was complete.
    #[snafu(display("the connection broke before the answer was complete; it may have run"))]
    Broken,
}
