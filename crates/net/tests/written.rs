//! When a request counts as handed to a connection.

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
use http::Request;
use jd_net::Clock;
use jd_net::HttpPool;
use jd_net::SendError;

/// More connections than a listener keeps that nobody accepts.
const MANY: usize = 10_000;
/// Far longer than a connection on this machine takes that opens at all.
const OPENS_WITHIN: Duration = Duration::from_millis(200);

/// A listener that takes no further connection: packets that open one are dropped,
/// as by a machine that has gone dark. The connections keep it so.
fn dark() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let opened = (0..MANY).map_while(|_| TcpStream::connect_timeout(&address, OPENS_WITHIN).ok());
    let opened = opened.collect();
    (listener, address, opened)
}

/// An upstream goes dark. Results that a request works on were given up 50 ms after
/// it was chosen, while the connection was still to open; the next upstream found
/// them gone, and all stages were done again.
#[test]
fn a_request_is_not_written_before_a_connection_is_open() {
    let (_listener, address, _opened) = dark();
    let executor = Arc::new(Executor::new());
    let pool = HttpPool::new(Arc::clone(&executor), Clock::start());
    let written = Cell::new(false);
    let note = || {
        written.set(true);
        true
    };
    let req = Request::new(jd_net::empty());
    let patience = Duration::from_secs(5);
    let sent = pool.send_if(address, req, patience, false, note);
    let sent = block_on(executor.run(sent));
    assert!(matches!(sent, Some(Err(SendError::NotSent))), "{sent:?}");
    assert!(!written.get());
}

/// What may not be sent any more once its connection is open is not sent: no byte of it
/// arrives.
#[test]
fn a_request_that_may_not_be_sent_is_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let arrived = thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        let mut arrived = Vec::new();
        connection.read_to_end(&mut arrived).expect("an end");
        arrived
    });
    let executor = Arc::new(Executor::new());
    let pool = HttpPool::new(Arc::clone(&executor), Clock::start());
    let req = Request::new(jd_net::empty());
    let patience = Duration::from_secs(5);
    let sent = pool.send_if(address, req, patience, false, || false);
    let sent = block_on(executor.run(sent));
    assert!(matches!(sent, Some(Err(SendError::NotSent))), "{sent:?}");
    drop(pool);
    drop(executor);
    assert!(arrived.join().expect("what arrived").is_empty());
}
