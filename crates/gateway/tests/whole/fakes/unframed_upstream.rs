//! An upstream whose responses have neither a length nor chunks.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_executor::Executor;
use async_executor::Task;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use rustix::net::sockopt;

/// The end of a request without a body.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The time for the bytes before a reset to be read, which discards them otherwise.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The upstream closes it in order.
    Close,
    /// The upstream resets it.
    Reset,
}

/// A response: the bytes after the head, and how its connection ends.
pub(crate) type UnframedReply = (&'static str, End);

/// An upstream that sends one response on each connection and ends it by ending the connection.
#[derive(Debug)]
pub(crate) struct UnframedUpstream {
    pub(crate) address: SocketAddr,
    /// The number of events to resume after, for each request in order.
    pub(crate) asked: Arc<Mutex<Vec<Option<u64>>>>,
    _accepting: Task<()>,
}

impl UnframedUpstream {
    /// Starts an upstream that gives this reply to requests for whole streams, and `resumed` to
    /// those that resume one.
    pub(crate) fn start(
        executor: &Arc<Executor<'static>>,
        reply: UnframedReply,
        resumed: UnframedReply,
    ) -> UnframedUpstream {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = Async::<TcpListener>::bind(any).expect("a free port");
        let address = listener.get_ref().local_addr().expect("an address");
        let asked: Arc<Mutex<Vec<Option<u64>>>> = Arc::default();
        let (spawner, heard) = (Arc::clone(executor), Arc::clone(&asked));
        let accepting = executor.spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                let heard = Arc::clone(&heard);
                let serving = async move {
                    // The gateway may close the connection first.
                    let _ = serve(connection, &heard, reply, resumed).await;
                };
                spawner.spawn(serving).detach();
            }
        });
        UnframedUpstream {
            address,
            asked,
            _accepting: accepting,
        }
    }
}

async fn serve(
    mut connection: Async<TcpStream>,
    asked: &Mutex<Vec<Option<u64>>>,
    reply: UnframedReply,
    resumed: UnframedReply,
) -> io::Result<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(HEAD_END) {
        connection.read_exact(&mut byte).await?;
        head.extend(byte);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let after = header("after: ").and_then(|n| n.parse().ok());
    asked.lock().expect("a lock").push(after);
    let (body, end) = match after {
        None => reply,
        Some(_) => resumed,
    };
    let id = header("id: ").unwrap_or("");
    let response = format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\n\r\n{body}");
    connection.write_all(response.as_bytes()).await?;
    if end == End::Reset {
        Timer::after(RESET_DELAY).await;
        sockopt::set_socket_linger(connection.get_ref(), Some(Duration::ZERO))?;
    }
    Ok(())
}
