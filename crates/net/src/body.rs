//! Request and response bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use futures_lite::Stream;
use futures_lite::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper::body::SizeHint;
use snafu::Snafu;

/// An error while a body is produced.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A body from any source.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body from bytes in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Creates an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Creates a body from a stream of chunks.
///
/// An error in the stream aborts the body, so that the receiver can tell that it is
/// incomplete.
pub fn stream(chunks: impl Stream<Item = Result<Bytes, BodyError>> + Send + 'static) -> Body {
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// An error while reading a body.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum BodyReadError {
    /// The body is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes; send a smaller one"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body ended early.
    #[snafu(display("the body was cut off; send it again whole"))]
    Truncated,
}

/// Reads a received or a produced body of at most `limit` bytes.
pub async fn read_bounded<B>(mut body: B, limit: usize) -> Result<Bytes, BodyReadError>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyReadError::Truncated)?;
        if let Ok(data) = frame.into_data() {
            if buf.len() + data.len() > limit {
                return TooLargeSnafu { limit }.fail();
            }
            buf.extend_from_slice(&data);
        }
    }
    Ok(buf.freeze())
}

/// Creates a body from segments in memory.
pub fn segmented(mut segments: Vec<Bytes>) -> Body {
    if segments.len() <= 1 {
        return full(segments.pop().unwrap_or_default());
    }
    let left = segments.iter().map(|s| s.len() as u64).sum();
    let segments = segments.into_iter();
    BodyExt::boxed_unsync(SegmentedBody { segments, left })
}

#[derive(Debug)]
struct SegmentedBody {
    segments: std::vec::IntoIter<Bytes>,
    /// Bytes of the remaining segments.
    left: u64,
}

impl hyper::body::Body for SegmentedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let segment = self.segments.next();
        if let Some(segment) = &segment {
            self.left -= segment.len() as u64;
        }
        Poll::Ready(segment.map(|s| Ok(Frame::data(s))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.as_slice().is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
