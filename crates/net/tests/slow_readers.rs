//! Clients that read their responses slowly or not at all.

#![allow(clippy::expect_used)]

use std::convert::Infallible;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future::block_on;
use futures_lite::stream::unfold;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::HttpServer;
use jd_net::ServerLimits;
use rustix::net::AddressFamily;
use rustix::net::SocketType;
use rustix::net::connect;
use rustix::net::socket;
use rustix::net::sockopt;

/// Size of one chunk of a response.
const CHUNK_BYTES: usize = 8 << 10;
/// Number of clients that read nothing.
const SLOW_CLIENTS: usize = 2_000;
/// Size of the receive buffer of a slow client.
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;
/// Maximum size of the data produced for each of them: the socket buffers at both ends, and
/// one or two pending chunks.
const MAX_PRODUCED_BYTES: usize = 1 << 20;
/// Time for which a client may read almost nothing.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a test, which is far longer than the test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Responds with chunks that are produced on demand, and counts them.
#[derive(Debug, Default)]
struct ChunkServer {
    produced: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    /// Number of chunks in one response.
    chunks: usize,
}

/// Counts a response as open until it is dropped.
struct OpenResponse(Arc<AtomicUsize>);

impl Drop for OpenResponse {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for ChunkServer {
    fn handle(self: Arc<Self>, _: Request<Incoming>) -> HandlerFuture {
        self.requests.fetch_add(1, Ordering::SeqCst);
        self.open.fetch_add(1, Ordering::SeqCst);
        let open = OpenResponse(Arc::clone(&self.open));
        let chunks = unfold((self, open, 0), |(server, open, n)| async move {
            if n == server.chunks {
                return None;
            }
            server.produced.fetch_add(CHUNK_BYTES, Ordering::SeqCst);
            let chunk: Result<Bytes, Infallible> = Ok(Bytes::from_static(&[7; CHUNK_BYTES]));
            Some((chunk.map_err(Into::into), (server, open, n + 1)))
        });
        Box::pin(async move { Response::new(jd_net::stream(chunks)) })
    }
}

fn send_request(address: SocketAddr) -> TcpStream {
    send_request_on(TcpStream::connect(address).expect("a connection"))
}

/// Sends a request on a connection with a small receive buffer.
fn send_request_without_reading(address: SocketAddr) -> TcpStream {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER_BYTES).expect("a small buffer");
    connect(&socket, &address).expect("a connection");
    send_request_on(TcpStream::from(socket))
}

fn send_request_on(mut client: TcpStream) -> TcpStream {
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .expect("a written request");
    client
}

async fn wait_for(condition: impl Fn() -> bool) -> bool {
    let step = Duration::from_millis(10);
    let mut left = TEST_TIMEOUT;
    while !condition() {
        if left.is_zero() {
            return false;
        }
        Timer::after(step).await;
        left = left.saturating_sub(step);
    }
    true
}

/// Guards against clients that read nothing and hold resources. With thousands of them, the
/// server produces no more data than the buffers take, closes their connections after the
/// timeout, and serves another client in the meantime.
#[test]
fn clients_that_read_nothing_are_disconnected_and_do_not_affect_others() {
    let executor = Arc::new(Executor::new());
    let stalled = Arc::new(ChunkServer {
        chunks: usize::MAX,
        ..ChunkServer::default()
    });
    let limits = ServerLimits {
        write_stall_timeout: WRITE_STALL_TIMEOUT,
        ..ServerLimits::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler: Arc<dyn Handler> = Arc::<ChunkServer>::clone(&stalled);
    let server = HttpServer::start(Arc::clone(&executor), any, limits, handler);
    let server = server.expect("a server");
    let short = Arc::new(ChunkServer {
        chunks: 4,
        ..ChunkServer::default()
    });
    let other_server = HttpServer::start(Arc::clone(&executor), any, limits, short);
    let other_server = other_server.expect("a server");
    block_on(executor.run(async {
        let address = server.address();
        // The executor accepts these connections in the meantime.
        let slow = std::thread::spawn(move || -> Vec<TcpStream> {
            (0..SLOW_CLIENTS)
                .map(|_| send_request_without_reading(address))
                .collect()
        });
        assert!(wait_for(|| stalled.requests.load(Ordering::SeqCst) == SLOW_CLIENTS).await);
        let served = std::thread::spawn({
            let address = other_server.address();
            move || {
                let mut response = Vec::new();
                send_request(address)
                    .read_to_end(&mut response)
                    .expect("a response");
                response.len()
            }
        });
        assert!(wait_for(|| served.is_finished()).await);
        assert!(served.join().expect("a thread") >= 4 * CHUNK_BYTES);
        assert!(wait_for(|| stalled.open.load(Ordering::SeqCst) == 0).await);
        let each = stalled.produced.load(Ordering::SeqCst) / SLOW_CLIENTS;
        assert!(each <= MAX_PRODUCED_BYTES, "{each} bytes for each client");
        drop(slow.join().expect("the slow clients"));
    }));
}

/// Guards against treating a client that reads slowly like one that reads nothing.
#[test]
fn a_client_that_reads_slowly_receives_the_whole_response() {
    let executor = Arc::new(Executor::new());
    let limits = ServerLimits {
        write_stall_timeout: Duration::from_millis(300),
        ..ServerLimits::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let chunks = 4_000;
    let long = Arc::new(ChunkServer {
        chunks,
        ..ChunkServer::default()
    });
    let server = HttpServer::start(Arc::clone(&executor), any, limits, long);
    let server = server.expect("a server");
    let address = server.address();
    let reader = std::thread::spawn(move || {
        let mut client = send_request(address);
        let mut buf = vec![0; 1 << 20];
        let mut read = 0;
        // The delays simulate a slow client.
        while let Ok(n @ 1..) = client.read(&mut buf) {
            read += n;
            std::thread::sleep(Duration::from_millis(5));
        }
        read
    });
    block_on(executor.run(async {
        assert!(wait_for(|| reader.is_finished()).await);
    }));
    assert!(reader.join().expect("a reader") >= chunks * CHUNK_BYTES);
}
