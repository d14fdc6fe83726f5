//! Limits on what a connection reads.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::ready;

/// Maximum number of reads without a pause. A parser reads on for as long as bytes are ready that
/// complete nothing, such as interim responses, and would block its thread.
const MAX_READS_IN_A_ROW: usize = 16;
/// Maximum number of bytes that are read without a part of a response. Several times what is read
/// ahead of a reader that is slow.
const MAX_IDLE_BYTES: usize = 8 * MAX_BUFFER_BYTES;
/// Size of the buffers of a client connection, and of the head of a response, in bytes. Larger
/// than any sound head.
pub(crate) const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Counts the bytes that a connection has read since its last part of a response.
#[derive(Debug)]
pub(crate) struct ReadProgress {
    server: SocketAddr,
    idle_bytes: AtomicUsize,
}

impl ReadProgress {
    /// The progress of a new connection to `server`.
    pub(crate) fn new(server: SocketAddr) -> Arc<ReadProgress> {
        Arc::new(ReadProgress {
            server,
            idle_bytes: AtomicUsize::new(0),
        })
    }

    /// Records that a request is sent, or that a head or a part of a body has arrived.
    pub(crate) fn record(&self) {
        self.idle_bytes.store(0, Ordering::Relaxed);
    }

    fn check(&self) -> io::Result<()> {
        let bytes = self.idle_bytes.load(Ordering::Relaxed);
        if bytes < MAX_IDLE_BYTES {
            return Ok(());
        }
        log::warn!(
            server:% = self.server,
            bytes;
            "server sends bytes that are no response; closing its connection"
        );
        Err(io::ErrorKind::InvalidData.into())
    }
}

/// A connection whose reader lets other tasks run, and which fails with
/// [`io::ErrorKind::InvalidData`] if it reads more than [`MAX_IDLE_BYTES`] without progress.
#[derive(Debug)]
pub(crate) struct LimitedRead<T> {
    io: T,
    progress: Option<Arc<ReadProgress>>,
    reads: usize,
}

impl<T> LimitedRead<T> {
    /// Wraps `io`. Without `progress`, bytes are not counted.
    pub(crate) fn new(io: T, progress: Option<Arc<ReadProgress>>) -> LimitedRead<T> {
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
            progress.idle_bytes.fetch_add(read, Ordering::Relaxed);
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
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_close(cx)
    }
}
