//! The body of a request, which tells when it has been taken.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use futures_lite::ready;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::Body;
use crate::body::BodyError;
use crate::connection_progress::ConnectionProgress;

/// The body of a request on a connection, whose progress it tells.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    body: Body,
    progress: Arc<ConnectionProgress>,
}

impl TrackedBody {
    /// Begins a request with this body.
    pub(crate) fn begin(body: Body, progress: &Arc<ConnectionProgress>) -> TrackedBody {
        progress.begin_request(!body.is_end_stream());
        TrackedBody {
            body,
            progress: Arc::clone(progress),
        }
    }

    /// The body of a request that was not sent.
    pub(crate) fn into_body(self) -> Body {
        self.body
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() || self.body.is_end_stream() {
            self.progress.record_body_taken();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
