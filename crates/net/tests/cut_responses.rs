//! Servers that stop in the middle of a response.

#![allow(clippy::expect_used, clippy::panic)]

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_executor::Executor;
use async_io::block_on;
use bytes::Bytes;
use http::Request;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::SendError;
use rustix::net::sockopt;
use test_case::test_case;

/// The end of a request without a body.
const HEAD_END: &[u8] = b"\r\n\r\n";
const MAX_BODY: usize = 64 << 10;
/// Timeout of a request. It does not pass.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The time for the bytes before a reset to be read, which discards them otherwise.
const RESET_DELAY: Duration = Duration::from_millis(5);
/// A whole response after which the connection is kept.
const KEPT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown";

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// What a client got of a response.
type Received = Option<Result<Bytes, SendError>>;

/// Answers `kept` requests whole, sends the bytes of another response, and ends the connection.
fn serve(listener: &TcpListener, kept: usize, response: &[u8], end: End) -> io::Result<()> {
    let (mut client, _) = listener.accept()?;
    for _ in 0..kept {
        read_head(&mut client)?;
        client.write_all(KEPT.as_bytes())?;
    }
    read_head(&mut client)?;
    client.write_all(response)?;
    if end == End::Reset {
        thread::sleep(RESET_DELAY);
        sockopt::set_socket_linger(&client, Some(Duration::ZERO))?;
    }
    Ok(())
}

fn read_head(client: &mut TcpStream) -> io::Result<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(HEAD_END) {
        client.read_exact(&mut byte)?;
        head.extend(byte);
    }
    Ok(())
}

async fn request(pool: &HttpPool, address: SocketAddr) -> Received {
    let req = Request::new(jd_net::empty());
    match pool.send(address, req, TIMEOUT, false).await? {
        Ok(response) => Some(response.read_all(MAX_BODY).await),
        Err(e) => Some(Err(e)),
    }
}

/// What a client gets of the first `at` bytes of a response, the `kept`th on its connection.
fn received(response: &str, at: usize, kept: usize, end: End) -> Received {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let response = response.as_bytes()[..at].to_vec();
    let server = thread::spawn(move || serve(&listener, kept, &response, end));
    let executor = Arc::new(Executor::new());
    let pool = HttpPool::new(Arc::clone(&executor), Clock::start());
    let received = block_on(executor.run(async {
        for _ in 0..kept {
            let whole = request(&pool, address).await;
            assert_eq!(whole, Some(Ok(Bytes::from_static(b"own"))));
        }
        request(&pool, address).await
    }));
    server.join().expect("a thread").expect("a served client");
    received
}

/// Guards against taking a response for whole whose server stops at any byte of its head or of a
/// body whose end is marked.
#[test_case("HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 5\r\n\r\nyours"; "length")]
#[test_case("HTTP/1.1 200 OK\r\nid: 1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nyours\r\n0\r\n\r\n"; "chunks")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;a=b\r\nyours\r\n0\r\nid: 1\r\n\r\n"; "chunks and a trailer")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nyours"; "after a continue")]
#[test_case("HTTP/1.1 103 Early Hints\r\nid: 1\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nyours"; "after hints")]
#[test_case("HTTP/1.1 200 OK\nid: 1\ncontent-length: 5\n\nyours"; "bare line feeds")]
#[test_case("HTTP/1.0 200 OK\r\nid: 1\r\ncontent-length: 5\r\n\r\nyours"; "version 1_0")]
fn a_response_that_stops_is_an_error_at_every_byte(response: &str) {
    for at in 0..response.len() {
        for (kept, end) in [(0, End::Close), (1, End::Close), (1, End::Reset)] {
            let received = received(response, at, kept, end);
            let failed = matches!(received, Some(Err(SendError::Broken)));
            assert!(failed, "{at} bytes, {kept} kept, {end:?}: {received:?}");
        }
    }
    let whole = received(response, response.len(), 1, End::Close);
    assert_eq!(whole, Some(Ok(Bytes::from_static(b"yours"))));
}

/// Guards against taking a response for whole whose server stops in its head, or resets it later,
/// where the end of the connection ends the body.
#[test_case("HTTP/1.1 200 OK\r\nid: 1\r\n\r\n"; "version 1_1")]
#[test_case("HTTP/1.0 200 OK\r\nid: 1\r\n\r\n"; "version 1_0")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nid: 1\r\n\r\n"; "after a continue")]
fn a_response_without_a_length_is_an_error_before_the_end_of_its_head(head: &str) {
    let response = format!("{head}yours");
    for kept in 0..=1 {
        for at in 0..head.len() {
            for end in [End::Close, End::Reset] {
                let received = received(&response, at, kept, end);
                let failed = matches!(received, Some(Err(SendError::Broken)));
                assert!(failed, "{at} bytes, {kept} kept, {end:?}: {received:?}");
            }
        }
        for at in head.len()..=response.len() {
            let reset = received(&response, at, kept, End::Reset);
            assert_eq!(reset, Some(Err(SendError::Broken)), "{at} bytes");
        }
    }
}
