//! Upstreams that send responses byte for byte.

use std::collections::VecDeque;
use std::io;
use std::net::Shutdown;
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
/// The time between the end of a sending side and the reset of its connection.
const LATE_RESET_DELAY: Duration = Duration::from_millis(300);

/// What follows a response on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The upstream closes it in order.
    Close,
    /// The upstream resets it.
    Reset,
    /// It stays open for the next request.
    Stay,
    /// The upstream closes its sending side in order, reads nothing of the request's body, and resets
    /// the connection later.
    CloseSending,
    /// The upstream reads the request's body to its end and then closes the connection in order.
    ReadThenClose,
}

/// The bytes of a response, in which `{id}` stands for the ID of the request, and what follows.
#[derive(Debug, Clone)]
pub(crate) struct RawReply {
    pub(crate) text: String,
    pub(crate) end: End,
}

/// How the end of a body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mark {
    /// By its length.
    Length,
    /// By a last chunk.
    LastChunk,
    /// By the end of the connection.
    Connection,
}

impl RawReply {
    /// A success with this body, whose end is marked, and with further header lines.
    pub(crate) fn success(headers: &str, body: &str, mark: Mark) -> RawReply {
        let chunk = match body.len() {
            0 => String::new(),
            length => format!("{length:x}\r\n{body}\r\n"),
        };
        let (framing, body, end) = match mark {
            Mark::Length => (
                format!("content-length: {}\r\n", body.len()),
                body.into(),
                End::Stay,
            ),
            Mark::LastChunk => (
                "transfer-encoding: chunked\r\n".into(),
                format!("{chunk}0\r\n\r\n"),
                End::Stay,
            ),
            Mark::Connection => (String::new(), body.into(), End::Close),
        };
        let head = format!("HTTP/1.1 200 OK\r\nid: {{id}}\r\nsigned: yes\r\n{headers}{framing}");
        RawReply {
            text: format!("{head}\r\n{body}"),
            end,
        }
    }

    /// The same with another status.
    pub(crate) fn with_status(self, status: &str) -> RawReply {
        RawReply {
            text: self.text.replacen("200 OK", status, 1),
            ..self
        }
    }

    /// The same without its bytes from the `at`th on.
    pub(crate) fn cut(&self, at: usize, end: End) -> RawReply {
        RawReply {
            text: self.text[..at].into(),
            end,
        }
    }
}

/// The replies of upstreams, in the order of the requests at any of them. The last is repeated.
#[derive(Debug)]
struct Script {
    replies: Mutex<VecDeque<RawReply>>,
    /// The reply to requests that resume a stream, unless they get the next of the others.
    resumed: Option<RawReply>,
    /// The number of events to resume after, for each request in order.
    asked: Mutex<Vec<Option<u64>>>,
}

impl Script {
    fn next(&self, after: Option<u64>) -> RawReply {
        self.asked.lock().expect("a lock").push(after);
        if let (Some(_), Some(resumed)) = (after, &self.resumed) {
            return resumed.clone();
        }
        let mut replies = self.replies.lock().expect("a lock");
        match replies.len() {
            0 | 1 => replies.front().cloned().expect("a reply"),
            _ => replies.pop_front().expect("a reply"),
        }
    }
}

/// Upstreams that give the replies of one script.
#[derive(Debug)]
pub(crate) struct RawUpstreams {
    pub(crate) addresses: Vec<SocketAddr>,
    script: Arc<Script>,
    _accepting: Vec<Task<()>>,
}

impl RawUpstreams {
    /// Starts `count` upstreams that give these replies in turn, and `resumed` to all requests that
    /// resume a stream, if it is given.
    pub(crate) fn start(
        executor: &Arc<Executor<'static>>,
        count: usize,
        replies: Vec<RawReply>,
        resumed: Option<RawReply>,
    ) -> RawUpstreams {
        let script = Arc::new(Script {
            replies: Mutex::new(replies.into()),
            resumed,
            asked: Mutex::default(),
        });
        let (mut addresses, mut accepting) = (Vec::new(), Vec::new());
        for _ in 0..count {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let listener = Async::<TcpListener>::bind(any).expect("a free port");
            addresses.push(listener.get_ref().local_addr().expect("an address"));
            accepting.push(executor.spawn(accept(
                Arc::clone(executor),
                listener,
                Arc::clone(&script),
            )));
        }
        RawUpstreams {
            addresses,
            script,
            _accepting: accepting,
        }
    }

    /// The number of events to resume after, for each request in order.
    pub(crate) fn asked(&self) -> Vec<Option<u64>> {
        self.script.asked.lock().expect("a lock").clone()
    }
}

async fn accept(
    executor: Arc<Executor<'static>>,
    listener: Async<TcpListener>,
    script: Arc<Script>,
) {
    while let Ok((connection, _)) = listener.accept().await {
        let script = Arc::clone(&script);
        let serving = async move {
            // The gateway may close the connection first.
            let _ = serve(connection, &script).await;
        };
        executor.spawn(serving).detach();
    }
}

async fn serve(mut connection: Async<TcpStream>, script: &Script) -> io::Result<()> {
    loop {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(HEAD_END) {
            connection.read_exact(&mut byte).await?;
            head.extend(byte);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let reply = script.next(header("after: ").and_then(|n| n.parse().ok()));
        let text = reply.text.replace("{id}", header("id: ").unwrap_or(""));
        connection.write_all(text.as_bytes()).await?;
        match reply.end {
            End::Stay => continue,
            End::Close => return Ok(()),
            End::CloseSending => {
                connection.get_ref().shutdown(Shutdown::Write)?;
                Timer::after(LATE_RESET_DELAY).await;
                sockopt::set_socket_linger(connection.get_ref(), Some(Duration::ZERO))?;
                return Ok(());
            }
            End::ReadThenClose => {
                let length = header("content-length: ").and_then(|n| n.parse().ok());
                let mut body = vec![0; length.unwrap_or(0)];
                connection.read_exact(&mut body).await?;
                return Ok(());
            }
            End::Reset => {
                Timer::after(RESET_DELAY).await;
                sockopt::set_socket_linger(connection.get_ref(), Some(Duration::ZERO))?;
                return Ok(());
            }
        }
    }
}
