//! How the end of a response body is marked.

use http::HeaderMap;
use http::header::TRANSFER_ENCODING;
use hyper::body::Body;
use hyper::body::Incoming;

/// How the end of a response body is marked, according to RFC 9112, section 6.3.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The head tells the length. A body that ends before it is an error.
    Length,
    /// The last chunk ends the body. A body that ends without it is an error.
    Chunked,
    /// The end of the connection ends the body. A sender that breaks off and closes its
    /// connection in order looks the same; only a reset is an error.
    UntilClose,
}

impl BodyFraming {
    pub(crate) fn of(headers: &HeaderMap, body: &Incoming) -> BodyFraming {
        match body.size_hint().exact() {
            Some(_) => BodyFraming::Length,
            None if is_chunked(headers) => BodyFraming::Chunked,
            None => BodyFraming::UntilClose,
        }
    }

    /// True if the end of the body is marked in the body or its head, so that a body which is cut
    /// short is an error.
    pub fn marks_end(self) -> bool {
        self != BodyFraming::UntilClose
    }

    /// True if a body that was read without an error has ended, and was not broken off.
    ///
    /// Without a mark its end is that of the connection. A server that gives up while its request is
    /// still being written may close its side in order before it resets the connection (RFC 9112,
    /// section 9.6).
    pub fn is_end_proven(self, is_request_written: bool) -> bool {
        self.marks_end() || is_request_written
    }

    /// The framing as logged.
    pub fn as_str(self) -> &'static str {
        match self {
            BodyFraming::Length => "length",
            BodyFraming::Chunked => "chunked",
            BodyFraming::UntilClose => "until-close",
        }
    }
}

/// True if the last transfer coding is `chunked`.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = last.and_then(|v| v.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
