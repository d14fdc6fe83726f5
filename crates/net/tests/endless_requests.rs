//! Clients whose requests never end.

#![allow(clippy::expect_used, clippy::panic)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use async_executor::Executor;
use async_io::block_on;
use futures_lite::future;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::HttpServer;
use jd_net::ServerLimits;
use jd_net::read_bounded;
use jd_net::with_timeout;
use test_case::test_case;

/// The largest body that the server accepts, in bytes.
const MAX_BODY: usize = 64 << 10;
/// The largest number of bytes that a client can write before its connection is closed: the largest
/// body, what the server reads ahead, and the socket buffers.
const MAX_WRITTEN: usize = 64 << 20;
/// About as much as a connection takes at once, in bytes.
const PART_BYTES: usize = 64 << 10;
/// Time that a client has for a head, a body, and for reading a response.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a test, which is far longer than the test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const LIMITS: ServerLimits = ServerLimits {
    head_timeout: CLIENT_TIMEOUT,
    write_stall_timeout: CLIENT_TIMEOUT,
    ..ServerLimits::DEFAULT
};
const CHUNKED: &[u8] = b"POST /read HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNKED_UNREAD: &[u8] = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Reads the body of requests for `/read`, and no other.
#[derive(Debug)]
struct Reader;

impl Handler for Reader {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move {
            if req.uri().path() == "/read" {
                // How the body ends does not matter for the response.
                let _ = with_timeout(CLIENT_TIMEOUT, read_bounded(req.into_body(), MAX_BODY)).await;
            }
            Response::new(jd_net::full("x"))
        })
    }
}

/// Starts a server with one thread.
fn start_server() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let executor = Arc::new(Executor::new());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = HttpServer::start(Arc::clone(&executor), any, LIMITS, Arc::new(Reader));
        let server = server.expect("a server");
        tx.send(server.address()).expect("a waiting test");
        block_on(executor.run(future::pending::<()>()));
    });
    rx.recv().expect("a server")
}

/// Sends `beginning`, and then `repeated` until the server closes the connection. Returns the number
/// of bytes sent.
fn send_endless(
    server: SocketAddr,
    beginning: &[u8],
    repeated: Vec<u8>,
    pause: Duration,
) -> Receiver<usize> {
    let (tx, rx) = mpsc::channel();
    let mut client = TcpStream::connect(server).expect("a connection");
    client.write_all(beginning).expect("an open connection");
    let mut sent = beginning.len();
    thread::spawn(move || {
        while client.write_all(&repeated).is_ok() {
            sent += repeated.len();
            // Simulates a slow client.
            thread::sleep(pause);
        }
        let _ = tx.send(sent);
    });
    rx
}

fn is_served(server: SocketAddr) -> bool {
    let mut client = TcpStream::connect(server).expect("a connection");
    let timeout = client.set_read_timeout(Some(TEST_TIMEOUT));
    timeout.expect("a timeout");
    let sent = client.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    sent.expect("an open connection");
    let mut response = String::new();
    client.read_to_string(&mut response).is_ok() && response.ends_with("\r\n\r\nx")
}

/// Guards against a client that sends bytes until its server closes: they must take little memory,
/// and must not hold the thread on which other requests wait.
#[test_case(b"", b"x"; "no head")]
#[test_case(b"", b"\r\n"; "blank lines")]
#[test_case(b"GET /", b"x"; "path")]
#[test_case(b"GET / HTTP/1.1\r\nhost: a\r\n", b"a: b\r\n"; "header lines")]
#[test_case(b"GET / HTTP/1.1\r\nhost: a\r\na: ", b"x"; "header value")]
#[test_case(b"POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999999\r\n\r\n", b"x"; "body")]
#[test_case(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999999\r\n\r\n", b"x"; "unread body")]
#[test_case(CHUNKED, b"1\r\nx\r\n"; "chunks")]
#[test_case(CHUNKED, b"0"; "chunk size")]
#[test_case(CHUNKED, b"1;x\r\nx\r\n"; "chunks with extension")]
#[test_case(CHUNKED_UNREAD, b"1\r\nx\r\n"; "unread chunks")]
#[test_case(CHUNKED_UNREAD, b"0"; "unread chunk size")]
#[test_case(b"POST /read HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1", b" "; "spaces")]
#[test_case(b"POST /read HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n"; "trailers")]
#[test_case(PREFACE, b"x"; "no frames")]
#[test_case(PREFACE, b"\0\0\0\x04\0\0\0\0\0"; "settings frames")]
#[test_case(PREFACE, b"\0\0\x08\x06\0\0\0\0\0pingpong"; "ping frames")]
#[test_case(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0\0\0\x01\x01\0\0\0\0\x01\x82", b"\0\0\0\x09\0\0\0\0\x01"; "continuation frames")]
fn a_request_that_never_ends_is_given_up(beginning: &[u8], repeated: &[u8]) {
    let server = start_server();
    let many = repeated.repeat(PART_BYTES / repeated.len());
    let fast = send_endless(server, beginning, many, Duration::ZERO);
    assert!(is_served(server), "the thread is blocked");
    let sent = fast.recv_timeout(TEST_TIMEOUT);
    let sent = sent.expect("a closed connection");
    assert!(sent <= MAX_WRITTEN, "{sent} bytes sent");
}

/// Guards against a client that sends a request byte by byte and holds its connection for ever.
#[test_case(b"", b"x"; "no head")]
#[test_case(b"", b"\r\n"; "blank lines")]
#[test_case(b"GET / HTTP/1.1\r\nhost: a\r\n", b"a: b\r\n"; "header lines")]
#[test_case(b"POST /read HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999999\r\n\r\n", b"x"; "body")]
#[test_case(CHUNKED, b"1\r\nx\r\n"; "chunks")]
#[test_case(CHUNKED, b"0"; "chunk size")]
#[test_case(CHUNKED_UNREAD, b"0"; "unread chunk size")]
fn a_request_that_comes_byte_by_byte_is_given_up(beginning: &[u8], repeated: &[u8]) {
    let server = start_server();
    let pause = Duration::from_millis(2);
    let slow = send_endless(server, beginning, repeated.to_vec(), pause);
    let sent = slow.recv_timeout(TEST_TIMEOUT);
    sent.expect("a closed connection");
}

/// Guards against a client whose frames are ignored, and whose connection therefore stays open, but
/// must not hold the thread on which other requests wait.
#[test]
fn frames_of_an_unknown_type_hold_no_thread() {
    let server = start_server();
    let mut client = TcpStream::connect(server).expect("a connection");
    client.write_all(PREFACE).expect("an open connection");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let many = b"\0\0\x01\x20\0\0\0\0\0x".repeat(PART_BYTES / 10);
        // Far more than the buffers of the sockets take, so that the server reads.
        for _ in 0..MAX_WRITTEN / PART_BYTES {
            client.write_all(&many).expect("an open connection");
        }
        let _ = tx.send(());
        while client.write_all(&many).is_ok() {}
    });
    rx.recv_timeout(TEST_TIMEOUT).expect("a server that reads");
    assert!(is_served(server), "the thread is blocked");
}
