//! An upstream whose responses never end.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// The end of a request without a body.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// About as much as a connection takes at once, in bytes.
const PART_BYTES: usize = 64 << 10;
/// The time between two parts of a response that comes in small parts.
const PAUSE: Duration = Duration::from_millis(2);

/// The bytes at the beginning of a response, and those that follow without end.
pub(crate) type EndlessReply = (&'static str, &'static str);

/// How fast a response is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pace {
    /// As fast as the connection takes it.
    Fast,
    /// Part by part.
    Slow,
}

/// What an upstream sends.
#[derive(Debug, Clone, Copy)]
struct Replies {
    reply: EndlessReply,
    pace: Pace,
    /// The address of an upstream of a stage, for which only the responses to `/free` never end.
    stage: Option<SocketAddr>,
}

/// An upstream that sends a response on each connection until the connection is closed.
#[derive(Debug)]
pub(crate) struct EndlessUpstream {
    pub(crate) address: SocketAddr,
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    /// Responses that were begun, and those whose connection was closed.
    begun: AtomicUsize,
    closed: AtomicUsize,
    /// Bytes of responses.
    sent: AtomicUsize,
}

impl EndlessUpstream {
    /// An upstream that gives this reply to each request. `{id}` in its beginning stands for the ID
    /// of the request.
    pub(crate) fn start(reply: EndlessReply, pace: Pace) -> EndlessUpstream {
        EndlessUpstream::start_with(reply, pace, false)
    }

    /// An upstream of a stage that gives this reply to requests that release results.
    pub(crate) fn start_stage(reply: EndlessReply, pace: Pace) -> EndlessUpstream {
        EndlessUpstream::start_with(reply, pace, true)
    }

    fn start_with(reply: EndlessReply, pace: Pace, is_stage: bool) -> EndlessUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let counts: Arc<Counts> = Arc::default();
        let counted = Arc::clone(&counts);
        let replies = Replies {
            reply,
            pace,
            stage: is_stage.then_some(address),
        };
        // Threads of its own, since the gateway may not have one left.
        thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let counts = Arc::clone(&counted);
                // The gateway closes the connection.
                thread::spawn(move || serve(connection, &counts, replies).err());
            }
        });
        EndlessUpstream { address, counts }
    }

    /// The number of endless responses that were begun.
    pub(crate) fn begun(&self) -> usize {
        self.counts.begun.load(Ordering::SeqCst)
    }

    /// The number of bytes sent of endless responses.
    pub(crate) fn bytes_sent(&self) -> usize {
        self.counts.sent.load(Ordering::SeqCst)
    }

    /// True if the connections of all endless responses were closed.
    pub(crate) fn are_all_closed(&self) -> bool {
        self.counts.closed.load(Ordering::SeqCst) == self.begun()
    }
}

fn serve(mut connection: TcpStream, counts: &Counts, replies: Replies) -> io::Result<()> {
    connection.set_nodelay(true)?;
    loop {
        let head = read_head(&mut connection)?;
        match replies.stage {
            Some(address) if !head.contains(" /free ") => {
                let body = format!("made at {address}");
                let length = body.len();
                write!(
                    connection,
                    "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
                )?;
            }
            _ => {
                counts.begun.fetch_add(1, Ordering::SeqCst);
                let ended = send_endless(&mut connection, &head, counts, replies);
                counts.closed.fetch_add(1, Ordering::SeqCst);
                return ended;
            }
        }
    }
}

fn send_endless(
    connection: &mut TcpStream,
    head: &str,
    counts: &Counts,
    replies: Replies,
) -> io::Result<()> {
    let (beginning, repeated) = replies.reply;
    let id = head.lines().find_map(|line| line.strip_prefix("id: "));
    let beginning = beginning.replace("{id}", id.unwrap_or(""));
    connection.write_all(beginning.as_bytes())?;
    let (part, pause) = match replies.pace {
        Pace::Fast => (repeated.repeat(PART_BYTES / repeated.len()), Duration::ZERO),
        Pace::Slow => (repeated.into(), PAUSE),
    };
    loop {
        connection.write_all(part.as_bytes())?;
        counts.sent.fetch_add(part.len(), Ordering::SeqCst);
        // Simulates a slow upstream.
        thread::sleep(pause);
    }
}

fn read_head(connection: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(HEAD_END) {
        connection.read_exact(&mut byte)?;
        head.extend(byte);
    }
    Ok(String::from_utf8_lossy(&head).to_lowercase())
}
