//! Closes connections without losing the end of a response.

use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use futures_lite::AsyncReadExt;

use crate::with_timeout;

/// How long a client may take to read the end of its response and to close the connection: several
/// round trips between availability zones.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The most that is read from a client meanwhile, in bytes.
const MAX_DISCARDED: usize = 1 << 20;

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
        let mut buf = [0; 4 << 10];
        let mut left = MAX_DISCARDED;
        while left > 0 {
            match io.read(&mut buf).await {
                Ok(read @ 1..) => left = left.saturating_sub(read),
                Ok(0) | Err(_) => return,
            }
        }
    };
    with_timeout(LINGER_TIMEOUT, discarding).await;
}
