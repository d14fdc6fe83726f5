//! Errors of sending a request.

use snafu::Snafu;

/// An error while sending a request. The variants differ in whether the request can have
/// run.
#[derive(Debug, Clone, Copy, Snafu, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent, so it cannot have run.
    #[snafu(display("the request was not sent; another address may take it"))]
    NotSent,
    /// The connection broke before the response was complete, so the request may have run.
    #[snafu(display("the connection broke before the answer was complete; it may have run"))]
    Broken,
    /// The response has a status that no response can have, so that it says nothing of the request, which
    /// may have run.
    #[snafu(display(
        "the answer has the status {status}, which is none; the request may have run"
    ))]
    InvalidStatus {
        /// The status.
        status: u16,
    },
}
