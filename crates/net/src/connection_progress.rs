//! What a connection to a server has read and written.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::limited_read::MAX_BUFFER_BYTES;

/// Maximum number of bytes that are read without a part of a response. Several times what is read
/// ahead of a reader that is slow.
const MAX_IDLE_BYTES: usize = 8 * MAX_BUFFER_BYTES;

/// Counts the bytes that a connection has read since its last part of a response, and tells whether its
/// request is written.
#[derive(Debug)]
pub(crate) struct ConnectionProgress {
    server: SocketAddr,
    idle_bytes: AtomicUsize,
    /// True once the writer has taken the whole body of the request.
    is_body_taken: AtomicBool,
    /// True once the whole request was passed on to the operating system.
    is_written: AtomicBool,
}

impl ConnectionProgress {
    /// The progress of a new connection to `server`.
    pub(crate) fn new(server: SocketAddr) -> Arc<ConnectionProgress> {
        Arc::new(ConnectionProgress {
            server,
            idle_bytes: AtomicUsize::new(0),
            is_body_taken: AtomicBool::new(false),
            is_written: AtomicBool::new(false),
        })
    }

    /// Records that a request is sent.
    pub(crate) fn begin_request(&self, has_body: bool) {
        self.record();
        self.is_written.store(false, Ordering::Relaxed);
        self.is_body_taken.store(!has_body, Ordering::Relaxed);
    }

    /// Records that a head or a part of a body has arrived.
    pub(crate) fn record(&self) {
        self.idle_bytes.store(0, Ordering::Relaxed);
    }

    /// Records that bytes were read.
    pub(crate) fn record_read(&self, bytes: usize) {
        self.idle_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Records that the writer has taken the whole body of the request.
    pub(crate) fn record_body_taken(&self) {
        self.is_body_taken.store(true, Ordering::Relaxed);
    }

    /// Records that the writer holds nothing back of what it has taken.
    pub(crate) fn record_flush(&self) {
        if self.is_body_taken.load(Ordering::Relaxed) {
            self.is_written.store(true, Ordering::Relaxed);
        }
    }

    /// True once the whole request was passed on to the operating system.
    pub(crate) fn is_request_written(&self) -> bool {
        self.is_written.load(Ordering::Relaxed)
    }

    /// Fails if too much was read without a part of a response.
    pub(crate) fn check(&self) -> io::Result<()> {
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
