//! Write timeout for connections to clients that do not read.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_io::Timer;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// Bytes that the client has to read within the timeout while data is pending.
const MIN_PROGRESS: usize = 4 << 10;

/// A connection that fails with [`io::ErrorKind::TimedOut`] if the client reads less than
/// [`MIN_PROGRESS`] bytes within the timeout while data is pending.
///
/// Without this timeout, a client that does not read its response would hold its
/// connection, its buffers and the upstream connection behind them forever. A response that
/// cannot be written is not polled for its next chunk, so that its deadline is never
/// checked.
#[derive(Debug)]
pub(crate) struct WriteStallTimeout<T> {
    io: T,
    timeout: Duration,
    stall: Option<Stall>,
}

/// The deadline of a stalled write, and the number of bytes written since the stall began.
#[derive(Debug)]
struct Stall {
    deadline: Timer,
    written: usize,
}

impl<T> WriteStallTimeout<T> {
    /// Wraps `io`, whose client has to make progress within `timeout`.
    pub(crate) fn new(io: T, timeout: Duration) -> WriteStallTimeout<T> {
        WriteStallTimeout {
            io,
            timeout,
            stall: None,
        }
    }

    /// Records that `written` of `size` bytes were written.
    fn record_progress(&mut self, written: usize, size: usize) {
        let Some(stall) = &mut self.stall else {
            return;
        };
        stall.written += written;
        if written == size || stall.written >= MIN_PROGRESS {
            self.stall = None;
        }
    }

    /// Handles a write that made no progress. Returns an error once the timeout has passed.
    fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let timeout = self.timeout;
        let stall = self.stall.get_or_insert_with(|| Stall {
            deadline: Timer::after(timeout),
            written: 0,
        });
        match Pin::new(&mut stall.deadline).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for WriteStallTimeout<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for WriteStallTimeout<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.io).poll_write(cx, buf) {
            Poll::Ready(Ok(written)) => {
                self.record_progress(written, buf.len());
                Poll::Ready(Ok(written))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => self.poll_stalled(cx),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.io).poll_write_vectored(cx, bufs) {
            Poll::Ready(Ok(written)) => {
                self.record_progress(written, bufs.iter().map(|b| b.len()).sum());
                Poll::Ready(Ok(written))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => self.poll_stalled(cx),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_close(cx)
    }
}
