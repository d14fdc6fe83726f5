//! Connections whose other end has to take what is written.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_io::Timer;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// Bytes that the other end has to take in the time allowed while more of them wait.
const LEAST_TAKEN: usize = 4 << 10;

/// A connection that fails with [`io::ErrorKind::TimedOut`] if its other end takes
/// nothing, or next to nothing, for a time in which bytes wait for it.
///
/// Guards against clients that do not read their answers. Each held its connection, its
/// buffers and the upstream's connection behind it for good, since an answer that is not
/// written is not asked for its next part and never comes to its deadline.
#[derive(Debug)]
pub(crate) struct WriteStallTimeout<T> {
    io: T,
    within: Duration,
    behind: Option<Behind>,
}

/// Since when bytes wait, and what was taken of them.
#[derive(Debug)]
struct Behind {
    over: Timer,
    taken: usize,
}

impl<T> WriteStallTimeout<T> {
    /// The connection `io`, whose other end has `within` to take what waits.
    pub(crate) fn new(io: T, within: Duration) -> WriteStallTimeout<T> {
        WriteStallTimeout {
            io,
            within,
            behind: None,
        }
    }

    /// The other end took some of `size` bytes.
    fn took(&mut self, taken: usize, size: usize) {
        let Some(behind) = &mut self.behind else {
            return;
        };
        behind.taken += taken;
        if taken == size || behind.taken >= LEAST_TAKEN {
            self.behind = None;
        }
    }

    /// The other end took nothing; an error once that was so for too long.
    fn waits(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let within = self.within;
        let behind = self.behind.get_or_insert_with(|| Behind {
            over: Timer::after(within),
            taken: 0,
        });
        match Pin::new(&mut behind.over).poll(cx) {
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
            Poll::Ready(Ok(taken)) => {
                self.took(taken, buf.len());
                Poll::Ready(Ok(taken))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => self.waits(cx),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.io).poll_write_vectored(cx, bufs) {
            Poll::Ready(Ok(taken)) => {
                self.took(taken, bufs.iter().map(|b| b.len()).sum());
                Poll::Ready(Ok(taken))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => self.waits(cx),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_close(cx)
    }
}
