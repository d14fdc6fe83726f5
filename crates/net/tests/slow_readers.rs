//! Clients that do not read their answers.

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

/// Bytes of one part of an answer.
const PART: usize = 8 << 10;
/// Clients that read nothing.
const SLOW: usize = 2_000;
/// What a slow client's system takes for it.
const RECEIVE_BYTES: usize = 4 << 10;
/// What is made for each of them at most: what the systems at both ends take, and a part
/// or two that wait.
const MADE_BYTES: usize = 1 << 20;
/// How long a client may take next to nothing.
const TAKEN_WITHIN: Duration = Duration::from_secs(2);
/// Far longer than everything here takes.
const PATIENCE: Duration = Duration::from_secs(60);

/// Answers with parts that are made as they are asked for, and counts these.
#[derive(Debug, Default)]
struct Endless {
    made: Arc<AtomicUsize>,
    came: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    /// Parts of one answer.
    parts: usize,
}

/// Counts an answer as open until it is dropped.
struct Open(Arc<AtomicUsize>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Endless {
    fn handle(self: Arc<Self>, _: Request<Incoming>) -> HandlerFuture {
        self.came.fetch_add(1, Ordering::SeqCst);
        self.open.fetch_add(1, Ordering::SeqCst);
        let open = Open(Arc::clone(&self.open));
        let parts = unfold((self, open, 0), |(all, open, n)| async move {
            if n == all.parts {
                return None;
            }
            all.made.fetch_add(PART, Ordering::SeqCst);
            let part: Result<Bytes, Infallible> = Ok(Bytes::from_static(&[7; PART]));
            Some((part.map_err(Into::into), (all, open, n + 1)))
        });
        Box::pin(async move { Response::new(jd_net::stream(parts)) })
    }
}

fn ask(address: SocketAddr) -> TcpStream {
    ask_on(TcpStream::connect(address).expect("a connection"))
}

/// Asks on a connection whose system takes little for its client.
fn ask_slowly(address: SocketAddr) -> TcpStream {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BYTES).expect("a small buffer");
    connect(&socket, &address).expect("a connection");
    ask_on(TcpStream::from(socket))
}

fn ask_on(mut client: TcpStream) -> TcpStream {
    client
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .expect("a written request");
    client
}

async fn until(what: impl Fn() -> bool) -> bool {
    let step = Duration::from_millis(10);
    let mut left = PATIENCE;
    while !what() {
        if left.is_zero() {
            return false;
        }
        Timer::after(step).await;
        left = left.saturating_sub(step);
    }
    true
}

/// Guards against clients that read nothing: thousands of them are asked for no more than
/// fits on their way, are given up after a while, and another one is served meanwhile.
#[test]
fn those_who_read_nothing_cost_others_nothing_and_are_given_up() {
    let executor = Arc::new(Executor::new());
    let endless = Arc::new(Endless {
        parts: usize::MAX,
        ..Endless::default()
    });
    let limits = ServerLimits {
        write_stall_timeout: TAKEN_WITHIN,
        ..ServerLimits::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler: Arc<dyn Handler> = Arc::<Endless>::clone(&endless);
    let server = HttpServer::start(Arc::clone(&executor), any, limits, handler);
    let server = server.expect("a server");
    let short = Arc::new(Endless {
        parts: 4,
        ..Endless::default()
    });
    let well = HttpServer::start(Arc::clone(&executor), any, limits, short);
    let well = well.expect("a server");
    block_on(executor.run(async {
        let address = server.address();
        // Its connections are accepted here meanwhile.
        let slow = std::thread::spawn(move || -> Vec<TcpStream> {
            (0..SLOW).map(|_| ask_slowly(address)).collect()
        });
        assert!(until(|| endless.came.load(Ordering::SeqCst) == SLOW).await);
        let served = std::thread::spawn({
            let address = well.address();
            move || {
                let mut answer = Vec::new();
                ask(address).read_to_end(&mut answer).expect("an answer");
                answer.len()
            }
        });
        assert!(until(|| served.is_finished()).await);
        assert!(served.join().expect("a thread") >= 4 * PART);
        assert!(until(|| endless.open.load(Ordering::SeqCst) == 0).await);
        let each = endless.made.load(Ordering::SeqCst) / SLOW;
        assert!(each <= MADE_BYTES, "{each} bytes for each");
        drop(slow.join().expect("the slow clients"));
    }));
}

/// Guards against a client that reads slowly and is taken for one that reads nothing.
#[test]
fn one_who_reads_slowly_gets_its_whole_answer() {
    let executor = Arc::new(Executor::new());
    let limits = ServerLimits {
        write_stall_timeout: Duration::from_millis(300),
        ..ServerLimits::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let parts = 4_000;
    let long = Arc::new(Endless {
        parts,
        ..Endless::default()
    });
    let server = HttpServer::start(Arc::clone(&executor), any, limits, long);
    let server = server.expect("a server");
    let address = server.address();
    let reader = std::thread::spawn(move || {
        let mut client = ask(address);
        let mut buf = vec![0; 1 << 20];
        let mut read = 0;
        // The pauses are the load that is replayed here.
        while let Ok(n @ 1..) = client.read(&mut buf) {
            read += n;
            std::thread::sleep(Duration::from_millis(5));
        }
        read
    });
    block_on(executor.run(async {
        assert!(until(|| reader.is_finished()).await);
    }));
    assert!(reader.join().expect("a reader") >= parts * PART);
}
