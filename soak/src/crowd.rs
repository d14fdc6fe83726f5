//! Clients that misbehave, many at a time.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Executor;
use async_executor::Task;
use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncWriteExt;
use futures_lite::future;
use jd_net::with_timeout;

use crate::config::HOST;
use crate::config::KEYS;

/// The size of large chunks, and of writes, in bytes.
const CHUNK_BYTES: usize = 64 << 10;
/// The part of a head that [`Misbehaviour::HeadBegun`] sends, in bytes. Below the largest head.
const HEAD_BYTES: usize = 15_000;
/// The length that [`Misbehaviour::AnnouncedTooLarge`] announces, in bytes.
const ANNOUNCED_BYTES: usize = 1 << 30;
/// The time without progress after which a client counts as settled, since its server reads no more.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval between two bytes of a client that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(50);
/// The time after which a client that stays connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// The interval at which a crowd is asked whether it has settled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What each client of a crowd does with its connection, which most of them then leave open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misbehaviour {
    /// Sends nothing.
    Silent,
    /// Sends a head without its end.
    HeadBegun,
    /// Announces a body of the largest size and sends nothing of it.
    BodyAnnounced,
    /// Sends a body of the largest size with a length, but for its last byte.
    AlmostWhole,
    /// The same, and sends the last part of it byte by byte, with pauses.
    Drips,
    /// Sends a body of the largest size in large chunks, but for its last chunk.
    AlmostWholeChunked,
    /// The same, with the last chunk in chunks of one byte.
    TinyLastChunks,
    /// Sends a quarter of a large chunk in chunks of one byte.
    TinyChunks,
    /// Announces a body far over the limit and sends twice the limit.
    AnnouncedTooLarge,
    /// Sends twice the limit in chunks.
    SentTooLarge,
    /// Sends half of a body of the largest size, and closes its connection.
    GoesAway,
    /// Sends a whole request with a body of the largest size.
    Whole,
    /// Sends a whole small request.
    IdleAfterRequest,
}

/// Open connections of clients that misbehave. They are closed on drop.
#[derive(Debug)]
pub struct Crowd {
    _clients: Vec<Task<()>>,
    server: SocketAddr,
    count: usize,
    settled: Arc<AtomicUsize>,
}

/// A client of a crowd.
struct Client {
    server: SocketAddr,
    misbehaviour: Misbehaviour,
    body_bytes: usize,
    stays: bool,
    id: String,
    settled: Arc<AtomicUsize>,
    is_settled: AtomicBool,
}

impl Crowd {
    /// Starts `count` clients of `server`, where a body has `body_bytes` at most. Those that `stay`
    /// connect again whenever their connection is closed.
    pub fn start(
        executor: &Arc<Executor<'static>>,
        server: SocketAddr,
        misbehaviour: Misbehaviour,
        count: usize,
        body_bytes: usize,
        stays: bool,
    ) -> Crowd {
        let settled = Arc::new(AtomicUsize::new(0));
        let clients = (0..count).map(|n| {
            let client = Client {
                server,
                misbehaviour,
                body_bytes,
                stays,
                id: format!("c{:07x}{n:08x}", fastrand::u32(..1 << 28)),
                settled: Arc::clone(&settled),
                is_settled: AtomicBool::new(false),
            };
            executor.spawn(client.run())
        });
        Crowd {
            _clients: clients.collect(),
            server,
            count,
            settled,
        }
    }

    /// Returns once each client has sent all that it sends, or can send no more, and the server has
    /// read it, or reads no more.
    pub async fn until_settled(&self) {
        while self.settled.load(Ordering::Relaxed) < self.count {
            Timer::after(POLL_INTERVAL).await;
        }
        let mut last = unread_bytes(self.server);
        let mut unchanged = Duration::ZERO;
        while last > 0 && unchanged < STALL_TIMEOUT {
            Timer::after(POLL_INTERVAL).await;
            let left = unread_bytes(self.server);
            unchanged = match left == last {
                true => unchanged + POLL_INTERVAL,
                false => Duration::ZERO,
            };
            last = left;
        }
    }
}

/// Bytes that the system has received for the connections of a server and that it has not read.
fn unread_bytes(server: SocketAddr) -> u64 {
    let IpAddr::V4(ip) = server.ip() else {
        return 0;
    };
    // The system writes addresses in the byte order of the machine.
    let address = format!(
        "{:08X}:{:04X}",
        u32::from_ne_bytes(ip.octets()),
        server.port()
    );
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().map(|row| row.split_whitespace());
    let own = rows.filter_map(|mut row| {
        let is_own = row.nth(1)? == address;
        let (_, unread) = row.nth(2)?.split_once(':')?;
        u64::from_str_radix(unread, 16).ok().filter(|_| is_own)
    });
    own.sum()
}

impl Client {
    async fn run(self) {
        loop {
            // An error means that the server has closed the connection or takes none.
            let _ = self.misbehave().await;
            self.settle();
            if !self.stays {
                return;
            }
            Timer::after(RECONNECT_DELAY).await;
        }
    }

    fn settle(&self) {
        if !self.is_settled.swap(true, Ordering::Relaxed) {
            self.settled.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn misbehave(&self) -> io::Result<()> {
        let mut io = Async::<TcpStream>::connect(self.server).await?;
        let limit = self.body_bytes;
        let last = CHUNK_BYTES.min(limit / 4);
        match self.misbehaviour {
            Misbehaviour::Silent => {}
            Misbehaviour::HeadBegun => {
                let head = self.head("x-filler: ");
                let filler = "x".repeat(HEAD_BYTES - head.len());
                self.write(&mut io, format!("{head}{filler}").as_bytes())
                    .await?;
            }
            Misbehaviour::BodyAnnounced => self.announce(&mut io, limit).await?,
            Misbehaviour::AlmostWhole => {
                self.announce(&mut io, limit).await?;
                self.write_bytes(&mut io, limit - 1).await?;
            }
            Misbehaviour::Drips => {
                self.announce(&mut io, limit).await?;
                self.write_bytes(&mut io, limit - last).await?;
                self.settle();
                for _ in 1..last {
                    self.write(&mut io, b"x").await?;
                    Timer::after(DRIP_INTERVAL).await;
                }
            }
            Misbehaviour::AlmostWholeChunked => self.write_chunks(&mut io, limit - last).await?,
            Misbehaviour::TinyLastChunks => {
                self.write_chunks(&mut io, limit - last).await?;
                self.write_tiny_chunks(&mut io, last - 1).await?;
            }
            Misbehaviour::TinyChunks => {
                self.write_chunks(&mut io, 0).await?;
                self.write_tiny_chunks(&mut io, last / 4).await?;
            }
            Misbehaviour::AnnouncedTooLarge => {
                self.announce(&mut io, ANNOUNCED_BYTES).await?;
                self.write_bytes(&mut io, 2 * limit).await?;
            }
            Misbehaviour::SentTooLarge => self.write_chunks(&mut io, 2 * limit).await?,
            Misbehaviour::GoesAway => {
                self.announce(&mut io, limit).await?;
                self.write_bytes(&mut io, limit / 2).await?;
                return Ok(());
            }
            Misbehaviour::Whole => {
                self.announce(&mut io, limit).await?;
                self.write_bytes(&mut io, limit).await?;
            }
            Misbehaviour::IdleAfterRequest => {
                self.announce(&mut io, 1).await?;
                self.write_bytes(&mut io, 1).await?;
            }
        }
        self.settle();
        match self.stays {
            true => io.readable().await,
            false => future::pending().await,
        }
    }

    /// A head with a route and a credential, which goes on with `next`.
    fn head(&self, next: &str) -> String {
        format!(
            "POST /tell/x HTTP/1.1\r\nhost: {HOST}\r\njacinthdeal-attempt-id: {}\r\n\
             jacinthdeal-deadline-ms: 20000\r\nauthorization: Token {}\r\n{next}",
            self.id, KEYS[0]
        )
    }

    async fn announce(&self, io: &mut Async<TcpStream>, length: usize) -> io::Result<()> {
        let head = self.head(&format!("content-length: {length}\r\n\r\n"));
        self.write(io, head.as_bytes()).await
    }

    async fn write_bytes(&self, io: &mut Async<TcpStream>, count: usize) -> io::Result<()> {
        let bytes = [b'x'; CHUNK_BYTES];
        let mut left = count;
        while left > 0 {
            let part = left.min(CHUNK_BYTES);
            self.write(io, &bytes[..part]).await?;
            left -= part;
        }
        Ok(())
    }

    /// Sends a head and `count` bytes in large chunks.
    async fn write_chunks(&self, io: &mut Async<TcpStream>, count: usize) -> io::Result<()> {
        let head = self.head("transfer-encoding: chunked\r\n\r\n");
        self.write(io, head.as_bytes()).await?;
        let mut left = count;
        while left > 0 {
            let part = left.min(CHUNK_BYTES);
            let chunk = format!("{part:x}\r\n{}\r\n", "x".repeat(part));
            self.write(io, chunk.as_bytes()).await?;
            left -= part;
        }
        Ok(())
    }

    async fn write_tiny_chunks(&self, io: &mut Async<TcpStream>, count: usize) -> io::Result<()> {
        self.write(io, "1\r\nx\r\n".repeat(count).as_bytes()).await
    }

    /// Writes `bytes`. Waits for as long as the server reads nothing.
    async fn write(&self, io: &mut Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = match with_timeout(STALL_TIMEOUT, io.write(bytes)).await {
                Some(written) => written?,
                None => {
                    self.settle();
                    continue;
                }
            };
            bytes = &bytes[written..];
        }
        Ok(())
    }
}
