//! When a request is written to a connection.

#![allow(clippy::expect_used, clippy::panic)]

use std::cell::Cell;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use async_executor::Executor;
use futures_lite::future::block_on;
use http::HeaderValue;
use http::Request;
use jd_net::Body;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::SendError;

/// More connections than fit into the backlog of a listener.
const MAX_CONNECTIONS: usize = 10_000;
/// Timeout for opening a connection, which is far longer than a successful one takes.
const OPEN_TIMEOUT: Duration = Duration::from_millis(200);

/// A listener with a full backlog. It drops the packets that open further connections, like
/// a host that is down. The returned connections keep the backlog full.
fn unresponsive_listener() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let opened =
        (0..MAX_CONNECTIONS).map_while(|_| TcpStream::connect_timeout(&address, OPEN_TIMEOUT).ok());
    let opened = opened.collect();
    (listener, address, opened)
}

/// An upstream is down. The stage results that a request uses were released 50 ms after the
/// upstream was chosen, while its connection was still being opened. The next upstream then
/// found them missing, and all stages were run again.
#[test]
fn a_request_is_not_written_before_a_connection_is_open() {
    let (_listener, address, _opened) = unresponsive_listener();
    let executor = Arc::new(Executor::new());
    let pool = HttpPool::new(Arc::clone(&executor), Clock::start());
    let written = Cell::new(false);
    let may_send = |_: &mut Request<Body>| {
        written.set(true);
        true
    };
    let req = Request::new(jd_net::empty());
    let timeout = Duration::from_secs(5);
    let sent = pool.send_if(address, req, timeout, false, may_send);
    let sent = block_on(executor.run(sent));
    assert!(matches!(sent, Some(Err(SendError::NotSent))), "{sent:?}");
    assert!(!written.get());
}

/// No byte of a request is written if it may no longer be sent once its connection is open.
#[test]
fn a_request_that_may_not_be_sent_is_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let received = thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        let mut received = Vec::new();
        connection.read_to_end(&mut received).expect("an end");
        received
    });
    let executor = Arc::new(Executor::new());
    let pool = HttpPool::new(Arc::clone(&executor), Clock::start());
    let req = Request::new(jd_net::empty());
    let timeout = Duration::from_secs(5);
    let sent = pool.send_if(address, req, timeout, false, |_| false);
    let sent = block_on(executor.run(sent));
    assert!(matches!(sent, Some(Err(SendError::NotSent))), "{sent:?}");
    drop(pool);
    drop(executor);
    assert!(received.join().expect("the received bytes").is_empty());
}

/// Guards against a request that tells more time than is left, since its connection took a while.
#[test]
fn a_request_tells_what_holds_when_it_is_written() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let received = thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        let mut received = [0; 1 << 10];
        let length = connection.read(&mut received).expect("a request");
        String::from_utf8_lossy(&received[..length]).into_owned()
    });
    let executor = Arc::new(Executor::new());
    let pool = HttpPool::new(Arc::clone(&executor), Clock::start());
    let mut req = Request::new(jd_net::empty());
    req.headers_mut().insert("left", HeaderValue::from(700));
    let may_send = |req: &mut Request<Body>| {
        req.headers_mut().insert("left", HeaderValue::from(400));
        true
    };
    let sent = pool.send_if(address, req, Duration::from_secs(5), false, may_send);
    let sent = block_on(executor.run(sent));
    assert!(matches!(sent, Some(Err(SendError::Broken))), "{sent:?}");
    let received = received.join().expect("the received bytes");
    assert!(received.contains("left: 400"), "{received}");
}
