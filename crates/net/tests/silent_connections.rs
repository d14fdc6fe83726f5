//! Connections whose server is silent for a while.

#![allow(clippy::expect_used, clippy::panic)]

use std::net::SocketAddr;
use std::net::TcpListener;

use async_io::Async;
use futures_lite::future::block_on;
use jd_net::Connector;
use jd_net::TcpConnector;
use rustix::net::sockopt;

/// Guards against a timer of the operating system that ends the connections of a sound upstream
/// which is silent for a second: a user timeout also decides when keep-alive probes give up. What
/// waits for an answer has a timeout of its own.
#[test]
fn connections_have_no_user_timeout_and_no_keep_alive_probes() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Async::<TcpListener>::bind(any).expect("a free port");
    let address = listener.get_ref().local_addr().expect("an address");
    let opened = block_on(TcpConnector.connect(address)).expect("a connection");
    let socket = opened.get_ref();
    assert_eq!(sockopt::tcp_user_timeout(socket).expect("an option"), 0);
    assert!(!sockopt::socket_keepalive(socket).expect("an option"));
}
