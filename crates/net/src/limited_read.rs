//! Limits on what a connection reads.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::ready;

use crate::connection_progress::ConnectionProgress;

/// Maximum number of reads without a pause. A parser reads on for as long as bytes are ready that
/// complete nothing, such as interim responses, and would block its thread.
const MAX_READS_IN_A_ROW: usize = 16;
/// Size of the buffers of a client connection, and of the head of a response, in bytes. Larger
/// than any sound head.
pub(crate) const MAX_BUFFER_BYTES: usize = 64 << 10;

/// A connection whose reader lets other tasks run, and which fails with
/// [`io::ErrorKind::InvalidData`] if it reads too much without progress.
#[derive(Debug)]
pub(crate) struct LimitedRead<T> {
    io: T,
    progress: Option<Arc<ConnectionProgress>>,
    reads: usize,
}

impl<T> LimitedRead<T> {
    /// Wraps `io`. Without `progress`, nothing is counted.
    pub(crate) fn new(io: T, progress: Option<Arc<ConnectionProgress>>) -> LimitedRead<T> {
        LimitedRead {
            io,
            progress,
            reads: 0,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for LimitedRead<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let reads = std::mem::take(&mut self.reads);
        if reads >= MAX_READS_IN_A_ROW {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if let Some(progress) = &self.progress {
            progress.check()?;
        }
        let read = ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        self.reads = reads + 1;
        if let Some(progress) = &self.progress {
            progress.record_read(read);
        }
        Poll::Ready(Ok(read))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for LimitedRead<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The writer flushes the connection only when its own buffer is empty.
        if let Some(progress) = &self.progress {
            progress.record_flush();
        }
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_close(cx)
    }
}
