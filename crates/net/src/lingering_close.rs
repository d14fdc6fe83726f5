//! Closes connections without losing the end of a response.

use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use futures_lite::AsyncReadExt;

use crate::with_timeout;

/// How long a client that sends nothing may take to read the end of its response and to close the
/// connection: several round trips between availability zones.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a client that sends may take.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);
/// The most that is read from a client meanwhile, in bytes: twice the usual largest body, so that the
/// refusal of a body that is not read reaches its client.
const MAX_DISCARDED: usize = 8 << 20;

/// Bytes that are discarded at a time.
const READ_BYTES: usize = 4 << 10;

/// Ends a connection that has served its last request, and discards what its client still sends
/// until the client closes it too.
///
/// The kernel resets a connection that is closed while bytes are unread. The client then loses what
/// it has not read of its response.
pub(crate) async fn close(mut io: &Async<TcpStream>) {
    if io.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let discarding = async {
        // On the heap: each open connection holds this future.
        let mut buf = vec![0; READ_BYTES];
        let mut left = MAX_DISCARDED;
        while left > 0 {
            match with_timeout(IDLE_TIMEOUT, io.read(&mut buf)).await {
                Some(Ok(read @ 1..)) => left = left.saturating_sub(read),
                Some(Ok(0) | Err(_)) | None => return,
            }
        }
    };
    with_timeout(LINGER_TIMEOUT, discarding).await;
}
