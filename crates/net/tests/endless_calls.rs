//! Instances whose responses to calls never end.

#![allow(clippy::expect_used, clippy::panic)]

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use async_executor::Executor;
use async_io::block_on;
use http::Request;
use jd_net::GrpcChannel;
use jd_net::with_timeout;
use test_case::test_case;
use tonic::body::Body;
use tower_service::Service;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a test, which is far longer than the test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// An empty frame of settings, which begins a connection.
const SETTINGS: &[u8] = b"\0\0\0\x04\0\0\0\0\0";

/// Sends the same bytes on one connection until it is closed, and tells that then.
fn start_server(beginning: &'static [u8], repeated: &'static [u8]) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let (mut client, _) = listener.accept().expect("a connection");
        client.write_all(beginning).expect("an open connection");
        let many = repeated.repeat((64 << 10) / repeated.len());
        while client.write_all(&many).is_ok() {}
        let _ = tx.send(());
    });
    (address, rx)
}

/// Guards against an instance that sends bytes and reads none, and holds its connection or the thread
/// on which other requests wait.
#[test_case(b"", b"x"; "no frames")]
#[test_case(SETTINGS, SETTINGS; "settings")]
#[test_case(SETTINGS, b"\0\0\x08\x06\0\0\0\0\0pingpong"; "pings")]
#[test_case(SETTINGS, b"\0\0\x01\x20\0\0\0\0\0x"; "frames of an unknown type")]
#[test_case(b"\0\0\0\x04\0\0\0\0\0\0\0\x01\x01\0\0\0\0\x01\x88", b"\0\0\0\x09\0\0\0\0\x01"; "head")]
fn a_call_ends_though_its_response_does_not(beginning: &'static [u8], repeated: &'static [u8]) {
    let (address, closed) = start_server(beginning, repeated);
    let (tx, ended) = mpsc::channel();
    thread::spawn(move || {
        let executor = Arc::new(Executor::new());
        let mut channel = GrpcChannel::new(Arc::clone(&executor), address);
        block_on(executor.run(async {
            let answered = with_timeout(CALL_TIMEOUT, channel.call(Request::new(Body::empty())));
            let answered = answered.await;
            tx.send(answered.is_some_and(|r| r.is_ok()))
                .expect("a test");
            channel.reset();
            // Lets the connection end.
            futures_lite::future::pending::<()>().await;
        }));
    });
    let answered = ended.recv_timeout(TEST_TIMEOUT);
    assert!(!answered.expect("the thread is blocked"));
    closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("a closed connection");
}
