//! What becomes of connections when their server stops or closes them.

#![allow(clippy::expect_used)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::future::block_on;
use futures_lite::future::pending;
use futures_lite::future::yield_now;
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

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
/// How long a client waits for bytes, which is far longer than they take.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the receive buffer of a slow client.
const RECEIVE_BUFFER_BYTES: usize = 4 << 10;

/// Answers with this many bytes, or never.
#[derive(Debug, Default)]
struct Answer {
    bytes: Option<usize>,
    requests: AtomicUsize,
}

impl Answer {
    fn of(bytes: Option<usize>) -> Arc<Answer> {
        let requests = AtomicUsize::new(0);
        Arc::new(Answer { bytes, requests })
    }

    async fn until_asked(&self) {
        while self.requests.load(Ordering::SeqCst) == 0 {
            Timer::after(Duration::from_millis(1)).await;
        }
    }
}

impl Handler for Answer {
    fn handle(self: Arc<Self>, _: Request<Incoming>) -> HandlerFuture {
        self.requests.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            match self.bytes {
                Some(bytes) => Response::new(jd_net::full(vec![7; bytes])),
                None => pending().await,
            }
        })
    }
}

fn start(executor: &Arc<Executor<'static>>, answer: &Arc<Answer>) -> HttpServer {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler: Arc<dyn Handler> = Arc::<Answer>::clone(answer);
    let limits = ServerLimits::default();
    HttpServer::start(Arc::clone(executor), any, limits, handler).expect("a server")
}

fn send(address: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(address).expect("a connection");
    client
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout");
    client.write_all(REQUEST).expect("a written request");
    client
}

/// Guards against a stop that outlasts its process because it counts short waits, each of which
/// takes longer while the executor is busy.
#[test]
fn a_stop_ends_at_its_timeout_on_a_busy_executor() {
    let executor = Arc::new(Executor::new());
    let answer = Answer::of(None);
    let server = start(&executor, &answer);
    let stopped = Arc::new(AtomicBool::new(false));
    let has_stopped = Arc::clone(&stopped);
    let busy = executor.spawn(async move {
        while !has_stopped.load(Ordering::SeqCst) {
            // Simulates work that blocks the executor.
            thread::sleep(Duration::from_millis(50));
            yield_now().await;
        }
    });
    // A task of the executor takes turns with the others.
    let stopping = executor.spawn(async move {
        let _client = send(server.address());
        answer.until_asked().await;
        let began = Instant::now();
        server.stop(Duration::from_millis(300)).await;
        stopped.store(true, Ordering::SeqCst);
        began.elapsed()
    });
    let took = block_on(executor.run(stopping));
    block_on(executor.run(busy));
    assert!(took >= Duration::from_millis(300), "{took:?}");
    assert!(took < Duration::from_millis(600), "{took:?}");
}

/// Guards against requests that are lost with the connections that the kernel has accepted and
/// the server has not.
#[test]
fn a_connection_opened_just_before_a_stop_is_served() {
    let executor = Arc::new(Executor::new());
    let answer = Answer::of(Some(10));
    let server = start(&executor, &answer);
    let mut client = block_on(executor.run(async {
        // The server waits for connections from now on.
        Timer::after(Duration::from_millis(20)).await;
        let client = send(server.address());
        server.stop(Duration::from_secs(5)).await;
        client
    }));
    let mut received = Vec::new();
    client.read_to_end(&mut received).expect("a response");
    assert!(received.ends_with(&[7; 10]));
}

/// Guards against a response of which the kernel discards the end: it resets a connection that is
/// closed while bytes of the client are unread.
#[test]
fn a_response_is_not_cut_off_by_what_the_client_sent_after_its_request() {
    let bytes = 80 << 10;
    let executor = Arc::new(Executor::new());
    let answer = Answer::of(Some(bytes));
    let server = start(&executor, &answer);
    let client = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    sockopt::set_socket_recv_buffer_size(&client, RECEIVE_BUFFER_BYTES).expect("a small buffer");
    connect(&client, &server.address()).expect("a connection");
    let mut client = TcpStream::from(client);
    client
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout");
    client.write_all(REQUEST).expect("a written request");
    block_on(executor.run(async {
        answer.until_asked().await;
        // The server reads at most one of these pieces while it writes the response.
        for _ in 0..3 {
            // Fails once the connection is reset, which the reader then sees.
            let _ = client.write_all(b"late bytes");
            Timer::after(Duration::from_millis(20)).await;
        }
        let reader = thread::spawn(move || {
            let mut received = Vec::new();
            let ended = client.read_to_end(&mut received);
            (ended.is_ok(), received.len())
        });
        while !reader.is_finished() {
            Timer::after(Duration::from_millis(5)).await;
        }
        let (ended, received) = reader.join().expect("a reader");
        assert!(ended && received > bytes, "{received} of {bytes} bytes");
    }));
}
