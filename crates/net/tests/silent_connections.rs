//! Connections whose server is silent for a while.

#![allow(clippy::expect_used, clippy::panic)]

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures_lite::future::block_on;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use jd_net::Body;
use jd_net::Clock;
use jd_net::Connector;
use jd_net::Handler;
use jd_net::HandlerFuture;
use jd_net::HttpPool;
use jd_net::HttpServer;
use jd_net::ServerLimits;
use jd_net::TcpConnector;
use jd_net::Workers;
use jd_net::with_timeout;
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

/// Answers all paths but `/silent`; the body of `/part` never ends.
#[derive(Debug)]
struct Server;

impl Handler for Server {
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerFuture {
        Box::pin(async move {
            match req.uri().path() {
                "/silent" => futures_lite::future::pending().await,
                "/part" => Response::new(jd_net::stream(futures_lite::stream::pending())),
                _ => Response::new(jd_net::full("answer")),
            }
        })
    }
}

fn request(path: &'static str) -> Request<Body> {
    let req = Request::builder().uri(path).header("host", "upstream");
    req.body(jd_net::empty()).expect("a request")
}

fn start() -> (Workers, HttpServer, HttpPool) {
    let workers = Workers::start(1).expect("a thread");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let limits = ServerLimits::default();
    let server = HttpServer::start(workers.executor(), any, limits, Arc::new(Server));
    let pool = HttpPool::new(workers.executor(), Clock::start());
    (workers, server.expect("a free port"), pool)
}

/// Guards against keeping a record of each connection that was closed with its request, so that
/// memory grows with every caller that leaves.
#[test]
fn connections_of_dropped_requests_are_forgotten() {
    let (_workers, server, pool) = start();
    let address = server.address();
    let long = Duration::from_secs(20);
    block_on(async {
        for _ in 0..10 {
            let sending = pool.send(address, request("/silent"), long, true);
            let sent = with_timeout(Duration::from_millis(20), sending).await;
            assert!(sent.is_none(), "answered");
            let response = pool.send(address, request("/part"), long, true).await;
            drop(response.expect("an answer").expect("an answer"));
        }
    });
    assert_eq!(pool.open_connections(address), 0);
}

/// Guards against sending a request on a connection that has most likely died with the one on which
/// an answer is awaited.
#[test]
fn connections_that_were_idle_during_a_silence_are_closed() {
    let (_workers, server, pool) = start();
    let address = server.address();
    let long = Duration::from_secs(20);
    block_on(async {
        let answer = pool.send(address, request("/"), long, true).await;
        let answer = answer.expect("an answer").expect("an answer");
        answer.read_all(100).await.expect("a body");
        assert_eq!(pool.open_connections(address), 1);
        Timer::after(Duration::from_millis(30)).await;
        pool.close_idle_for(address, Duration::from_secs(1));
        assert_eq!(pool.open_connections(address), 1);
        pool.close_idle_for(address, Duration::from_millis(20));
        assert_eq!(pool.open_connections(address), 0);
    });
}
