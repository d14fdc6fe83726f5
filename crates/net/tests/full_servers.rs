//! Servers that have as many connections as they may.

#![allow(clippy::expect_used, clippy::panic)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use futures_lite::future;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use jd_net::ClientConnection;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::HttpServer;
use jd_net::ServerLimits;
use jd_net::Workers;
use test_case::test_case;

const LIMITS: ServerLimits = ServerLimits {
    connections: 2,
    ..ServerLimits::DEFAULT
};
/// Longer than any connection that waits for its client may stay if another one needs its place.
const LONG_WAIT: Duration = Duration::from_millis(2_200);
/// Timeout of a test, which is far longer than the test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Answers all paths but `/runs` and `/waits`; the latter waits for the rest of its body.
#[derive(Debug)]
struct Server;

impl Handler for Server {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move {
            let client = req.extensions().get::<ClientConnection>().cloned();
            match req.uri().path() {
                "/runs" => future::pending().await,
                "/waits" => {
                    client.expect("the connection").waits_for_body();
                    future::pending().await
                }
                _ => Response::new(jd_net::full("answer")),
            }
        })
    }
}

fn start(workers: &Workers) -> HttpServer {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    HttpServer::start(workers.executor(), any, LIMITS, Arc::new(Server)).expect("a server")
}

fn client(server: SocketAddr, sends: &str) -> TcpStream {
    let mut client = TcpStream::connect(server).expect("a connection");
    let timeout = client.set_read_timeout(Some(TEST_TIMEOUT));
    timeout.expect("a timeout");
    client
        .write_all(sends.as_bytes())
        .expect("a written request");
    client
}

fn is_answered(client: &mut TcpStream) -> bool {
    let mut buf = [0; 1024];
    let read = client.read(&mut buf).unwrap_or(0);
    buf[..read].ends_with(b"answer")
}

const ORDINARY: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const RUNS: &str = "GET /runs HTTP/1.1\r\nhost: a\r\n\r\n";

/// Guards against connections that wait for their clients and keep others out.
#[test_case(""; "silent")]
#[test_case("GET / HTTP/1.1\r\nhost:"; "with a part of a head")]
#[test_case("POST /waits HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n"; "without a body")]
#[test_case(ORDINARY; "idle")]
fn a_connection_that_waits_gives_way(sends: &str) {
    let workers = Workers::start(1).expect("a thread");
    let server = start(&workers);
    let mut running = client(server.address(), RUNS);
    let mut waiting = client(server.address(), sends);
    if sends == ORDINARY {
        assert!(is_answered(&mut waiting));
    }
    thread::sleep(LONG_WAIT);
    assert!(is_answered(&mut client(server.address(), ORDINARY)));
    // The connection that waited is closed, and the one with a running request is not.
    let closed = waiting.read(&mut [0; 16]);
    assert!(matches!(closed, Ok(0) | Err(_)), "{closed:?}");
    running.set_nonblocking(true).expect("an option");
    let open = running.read(&mut [0; 16]).expect_err("an open connection");
    assert_eq!(open.kind(), std::io::ErrorKind::WouldBlock);
    assert_eq!(server.closed_connections().refused, 0);
}

/// Guards against running requests that lose their connection to a client that connects.
#[test]
fn connections_with_running_requests_stay() {
    let workers = Workers::start(1).expect("a thread");
    let server = start(&workers);
    let _running = [0; 2].map(|_| client(server.address(), RUNS));
    thread::sleep(LONG_WAIT);
    assert!(!is_answered(&mut client(server.address(), ORDINARY)));
    assert_eq!(server.closed_connections().refused, 1);
}
