//! Servers whose responses never end.

#![allow(clippy::expect_used, clippy::panic)]

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use async_executor::Executor;
use async_io::block_on;
use http::Request;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::SendError;
use jd_net::with_timeout;
use test_case::test_case;

/// The largest body that the client accepts, in bytes.
const MAX_BODY: usize = 64 << 10;
/// The largest number of bytes that the server can write before the connection is closed: the
/// largest body, what may come without being a part of it, and the socket buffers.
const MAX_WRITTEN: usize = 16 << 20;
/// Timeout of a test, which is far longer than the test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a request whose response comes as fast as the connection takes it. It does not pass.
const LONG_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of a request whose response comes byte by byte.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

const OK: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// A server that reads one request, sends `beginning`, and then `repeated` until the client closes
/// the connection. Its thread returns the number of bytes sent.
struct EndlessServer {
    address: SocketAddr,
    sent: JoinHandle<usize>,
}

impl EndlessServer {
    fn start(beginning: String, repeated: Vec<u8>, pause: Duration) -> EndlessServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let sent = thread::spawn(move || {
            let (mut client, _) = listener.accept().expect("a connection");
            read_head(&mut client).expect("a request");
            let mut sent = beginning.len();
            client
                .write_all(beginning.as_bytes())
                .expect("an open connection");
            while client.write_all(&repeated).is_ok() {
                sent += repeated.len();
                // Simulates a slow server.
                thread::sleep(pause);
            }
            sent
        });
        EndlessServer { address, sent }
    }

    fn bytes_sent(self) -> usize {
        self.sent.join().expect("a thread")
    }
}

fn read_head(client: &mut TcpStream) -> io::Result<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        client.read_exact(&mut byte)?;
        head.extend(byte);
    }
    Ok(())
}

/// How a request ended.
#[derive(Debug, PartialEq, Eq)]
enum Ended {
    Failed(SendError),
    TimedOut,
    Answered,
}

async fn request(pool: HttpPool, address: SocketAddr, timeout: Duration) -> Ended {
    let req = Request::new(jd_net::empty());
    let response = match pool.send(address, req, timeout, true).await {
        Some(Ok(response)) => response,
        Some(Err(e)) => return Ended::Failed(e),
        None => return Ended::TimedOut,
    };
    match with_timeout(timeout, response.read_all(MAX_BODY)).await {
        Some(Ok(_)) => Ended::Answered,
        Some(Err(e)) => Ended::Failed(e),
        None => Ended::TimedOut,
    }
}

/// Sends a request on a runtime with one thread. Panics if it does not end, whatever its timeout.
fn end_of_request(address: SocketAddr, timeout: Duration) -> Ended {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let executor = Arc::new(Executor::new());
        let pool = HttpPool::new(Arc::clone(&executor), Clock::start());
        let ended = block_on(executor.run(request(pool, address, timeout)));
        // Connections close with the executor, which is dropped first.
        drop(executor);
        let _ = tx.send(ended);
    });
    let ended = rx.recv_timeout(TEST_TIMEOUT);
    ended.unwrap_or_else(|_| panic!("the thread is blocked"))
}

/// Guards against a server that sends bytes until its client closes: they must take little memory,
/// and must not hold the thread on which other requests wait.
#[test_case("", "x"; "no head")]
#[test_case("", "\r\n"; "blank lines")]
#[test_case(OK, "a: b\r\n"; "header lines")]
#[test_case("HTTP/1.1 200 OK\r\na: ", "x"; "header value")]
#[test_case("", "HTTP/1.1 100 Continue\r\n\r\n"; "interim responses")]
#[test_case("", "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n"; "interim responses with headers")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 9999999999999\r\n\r\n", "x"; "body with length")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", "x"; "body without length")]
#[test_case(CHUNKED, "1\r\nx\r\n"; "chunks")]
#[test_case(CHUNKED, "0"; "chunk size")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1", " "; "spaces after chunk size")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "x"; "chunk extension")]
#[test_case(CHUNKED, "1;x\r\nx\r\n"; "chunks with extension")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"; "trailers")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: ", "x"; "trailer value")]
fn a_response_that_never_ends_is_given_up(beginning: &str, repeated: &str) {
    let many = repeated.repeat((64 << 10) / repeated.len()).into_bytes();
    let server = EndlessServer::start(beginning.into(), many, Duration::ZERO);
    let ended = end_of_request(server.address, LONG_TIMEOUT);
    assert_eq!(ended, Ended::Failed(SendError::Broken));
    let sent = server.bytes_sent();
    assert!(sent <= MAX_WRITTEN, "{sent} bytes sent");
    // Byte by byte, the timeout of the request is reached first.
    let one_by_one = repeated.as_bytes().to_vec();
    let server = EndlessServer::start(beginning.into(), one_by_one, Duration::from_millis(2));
    let ended = end_of_request(server.address, SHORT_TIMEOUT);
    assert_ne!(ended, Ended::Answered);
    let sent = server.bytes_sent();
    assert!(sent <= MAX_WRITTEN, "{sent} bytes sent");
}

/// Guards against taking bytes after a complete response for the response to the next request.
#[test]
fn bytes_after_a_response_belong_to_no_request() {
    const RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        for own in ["a", "b"] {
            let (mut client, _) = listener.accept().expect("a connection");
            read_head(&mut client).expect("a request");
            let response = format!("{RESPONSE}{own}{RESPONSE}x");
            // The client may have closed the connection after the first response.
            let _ = client.write_all(response.as_bytes());
            while client.write_all(RESPONSE.as_bytes()).is_ok() {}
        }
    });
    let executor = Arc::new(Executor::new());
    let pool = HttpPool::new(Arc::clone(&executor), Clock::start());
    block_on(executor.run(async {
        for own in ["a", "b"] {
            let req = Request::new(jd_net::empty());
            let sent = pool.send(address, req, LONG_TIMEOUT, false).await;
            let response = sent.expect("no timeout").expect("a response");
            let body = response.read_all(MAX_BODY).await.expect("a body");
            assert_eq!(body, own);
        }
    }));
    drop(executor);
    drop(pool);
    server
        .join()
        .expect("a server whose connections are closed");
}
