//! Requests that an instance cannot finish before it ends.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use rustix::net::AddressFamily;
use rustix::net::SocketType;
use rustix::net::connect;
use rustix::net::socket;
use rustix::net::sockopt;
use test_case::test_case;

use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::STREAM;
use crate::fakes::log_lines::record_warnings;
use crate::fakes::log_lines::warnings_on;
use crate::fakes::staged_deployment;

/// Waits of a request that may outlast its instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// The upstreams of its stage are always full.
    Stages,
    /// The upstream that runs it does not respond.
    Response,
}

/// Guards against a request that is read and gets no answer because its instance ends first, and
/// against an answer that says of a request that was sent that it did not run.
#[test_case(Wait::Stages, 503, "not run"; "waiting for its stages")]
#[test_case(Wait::Response, 502, "may have run"; "waiting for its upstream")]
fn a_request_is_answered_before_its_instance_ends(wait: Wait, status: u16, run: &str) {
    let (_tx, rx) = async_channel::bounded(1);
    let mut deployment = staged_deployment();
    for route in &mut deployment.routes {
        route.objective = Duration::from_secs(10);
    }
    let held = vec![Reply::UntilReleased(rx)];
    let harness = Harness::start_staged(deployment, vec![held], vec![Reply::NotRun]);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_ready(true).await;
        let (path, upstream) = match wait {
            Wait::Stages => ("/staged/x", 1),
            Wait::Response => ("/once/x", 0),
        };
        let caller = Arc::clone(&harness);
        let response = harness.spawn(async move { caller.ask(path, "1").await });
        while harness.upstreams[upstream].count() == 0 {
            Timer::after(Duration::from_millis(2)).await;
        }
        harness.gateway.stop().await;
        assert!(response.is_finished(), "no answer before the end");
        let received = response.await;
        assert_eq!(
            (received.status, received.run.as_deref()),
            (status, Some(run))
        );
    });
}

/// Guards against a stream that is cut off although its instance has seconds left: its upstream
/// broke off, and its stages for another upstream end late in the grace period.
#[test]
fn a_stream_that_has_begun_waits_for_its_stages_until_shortly_before_the_end() {
    let mut deployment = staged_deployment();
    for route in &mut deployment.routes {
        route.objective = Duration::from_secs(10);
    }
    let streams = vec![vec![Reply::Resumable { cut: true }]; 2];
    let stage = vec![Reply::Complete("made"), Reply::NotRun];
    let harness = Arc::new(Harness::start_staged(deployment, streams, stage));
    block_on(async {
        harness.until_ready(true).await;
        let caller = Arc::clone(&harness);
        let response = harness.spawn(async move { caller.ask("/staged/x", "1").await });
        while harness.upstreams[2].count() < 2 {
            Timer::after(Duration::from_millis(2)).await;
        }
        let stage = Arc::clone(&harness.upstreams[2]);
        let freed = harness.spawn(async move {
            Timer::after(Duration::from_millis(6_300)).await;
            stage.set_replies(vec![Reply::Complete("made")]);
        });
        harness.gateway.stop().await;
        freed.await;
        assert!(response.is_finished(), "no answer before the end");
        let received = response.await;
        assert_eq!((received.status, received.whole), (200, true));
        assert_eq!(received.body, STREAM.concat());
    });
}

/// Guards against a process that leaves a stream unfinished and does not say so.
#[test]
fn a_stream_that_is_unfinished_at_the_end_is_logged() {
    record_warnings();
    let parts = &["id: 1\ndata: a\n\n", "never"];
    let reply = Reply::Pausing(parts, Duration::from_secs(60));
    let harness = Arc::new(Harness::start(vec![vec![reply]]));
    block_on(async {
        harness.until_ready(true).await;
        let caller = Arc::clone(&harness);
        let response = harness.spawn(async move { caller.ask("/stream/x", "open-at-end").await });
        while harness.upstreams[0].count() == 0 {
            Timer::after(Duration::from_millis(2)).await;
        }
        harness.gateway.stop().await;
        drop(response);
        let lines = warnings_on("open-at-end");
        let line = lines
            .iter()
            .find(|l| l.starts_with("request open at the end"));
        let line = line.expect("a line on the request");
        for value in ["waits_for=answer", "target=i-0", "answer=begun"] {
            assert!(line.contains(value), "{line}");
        }
    });
}

/// Guards against an entry that stays in the store because it could not be removed at once.
#[test]
fn the_entry_is_removed_once_the_store_answers_again() {
    let harness = Arc::new(Harness::start(vec![vec![Reply::Complete("a")]]));
    block_on(async {
        harness.until_ready(true).await;
        harness.until_announced(1).await;
        harness.store.set_unavailable(true);
        let stopped = Arc::clone(&harness);
        let stopping = harness.spawn(async move { stopped.gateway.stop().await });
        harness.until_ready(false).await;
        Timer::after(Duration::from_millis(300)).await;
        harness.store.set_unavailable(false);
        stopping.await;
        assert!(harness.store.is_withdrawn());
    });
}

/// Sends a request as another instance forwards it, and reads nothing.
fn forward_without_reading(peers: SocketAddr) -> TcpStream {
    let client = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    sockopt::set_socket_recv_buffer_size(&client, 4 << 10).expect("a small buffer");
    connect(&client, &peers).expect("a connection");
    let mut client = TcpStream::from(client);
    let names = ["age-ms", "runs", "excused-runs", "counted", "version"];
    let told: String = names.map(|n| format!("jd-forward-{n}: 0\r\n")).concat();
    let head =
        format!("GET /any/x HTTP/1.1\r\nhost: desk.example\r\nid: 1\r\nkey: key-1\r\n{told}\r\n");
    client
        .write_all(head.as_bytes())
        .expect("a written request");
    client
}

/// Guards against a response of which another instance gets only a part, because the one that ran
/// the request ends as soon as it has the response itself.
#[test]
fn a_response_to_another_instance_is_written_before_the_end() {
    let bytes = 4 << 20;
    let body: &'static str = Box::leak("x".repeat(bytes).into_boxed_str());
    let harness = Harness::start(vec![vec![Reply::Complete(body)]]);
    let (callers, peers) = (harness.caller_address(), harness.peer_addresses()[0]);
    block_on(async {
        harness.until_ready(true).await;
        let mut client = forward_without_reading(peers);
        client.peek(&mut [0]).expect("the head of a response");
        let reader = thread::spawn(move || {
            // The instance has finished with its callers once it accepts no more of them.
            while TcpStream::connect(callers).is_ok() {
                thread::sleep(Duration::from_millis(1));
            }
            let mut received = Vec::new();
            let mut buf = vec![0; 64 << 10];
            while let Ok(read @ 1..) = client.read(&mut buf) {
                received.extend_from_slice(&buf[..read]);
            }
            received.iter().filter(|b| **b == b'x').count()
        });
        harness.gateway.stop().await;
        drop(harness);
        let received = reader.join().expect("a reader");
        assert!(received >= bytes, "{received} of {bytes} bytes");
    });
}

/// Requests after which it is known how long those of their route take.
const KNOWN_REQUESTS: usize = 10;
/// The two parts in which a request arrives. Each case sends the second one late.
const HEAD_CUT: (&str, &str) = ("host: desk.example\r\nke", "y: key-1\r\n\r\n");
const BODY_CUT: (&str, &str) = (
    "host: desk.example\r\nkey: key-1\r\ncontent-length: 4\r\n\r\nab",
    "cd",
);

/// Connects, sends a part of a request a second after `began` and the rest at `rest_at`, and returns
/// what is received until the connection closes.
fn send_in_parts(
    callers: SocketAddr,
    began: Instant,
    (path, (part, rest)): (&str, (&'static str, &'static str)),
    rest_at: Duration,
) -> JoinHandle<String> {
    let mut client = TcpStream::connect(callers).expect("a connection");
    let line = format!("POST {path} HTTP/1.1\r\nid: 1\r\n");
    let until = move |at: Duration| thread::sleep((began + at).duration_since(Instant::now()));
    thread::spawn(move || {
        until(Duration::from_secs(1));
        let first = format!("{line}{part}");
        client.write_all(first.as_bytes()).expect("a written part");
        until(rest_at);
        // A request that is refused early is not written any further.
        let _ = client.write_all(rest.as_bytes());
        let mut received = Vec::new();
        let _ = client.read_to_end(&mut received);
        String::from_utf8_lossy(&received).into_owned()
    })
}

/// Guards against requests that are sent to an upstream late in the grace period, and cut off at its
/// end or answered as "may have run", although they could have been refused as not run.
#[test]
fn a_request_that_is_complete_late_in_the_grace_period_is_not_sent() {
    let parts = &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
    let reply = Reply::Pausing(parts, Duration::from_secs(5));
    let harness = Arc::new(Harness::start(vec![vec![reply]]));
    block_on(async {
        harness.until_ready(true).await;
        let (callers, began) = (harness.caller_address(), Instant::now());
        let cases = [
            ("/stream/x", BODY_CUT, 4),
            ("/stream/x", HEAD_CUT, 4),
            ("/stream/x", BODY_CUT, 7),
            ("/resume/x", BODY_CUT, 6),
            ("/once/x", BODY_CUT, 6),
            ("/once/x", HEAD_CUT, 6),
        ];
        let sent = cases.map(|(path, cut, rest_at)| {
            let rest_at = Duration::from_secs(rest_at);
            send_in_parts(callers, began, (path, cut), rest_at)
        });
        harness.gateway.stop().await;
        let upstream = harness.upstreams[0].count();
        let received = sent.map(|client| client.join().expect("a client"));
        for (case, received) in cases.iter().zip(&received) {
            let is_refused = received.starts_with("HTTP/1.1 503") && received.contains("not run");
            assert!(is_refused, "{case:?}: {received:?}");
        }
        assert_eq!(upstream, 0, "requests at the upstream");
        let taken = r#"jd_gateway_stop_refusals_total{step="take"}"#;
        let refused = harness.counter_total(taken).await;
        assert_eq!(
            refused,
            cases.len() as u64,
            "refused before anything is begun"
        );
    });
}

/// Guards against a body that is waited for although no answer could end any more: its caller loses the
/// time for another instance.
#[test]
fn a_body_that_stays_incomplete_is_refused_when_no_answer_could_end() {
    let harness = Arc::new(Harness::start(vec![vec![Reply::Complete("a")]]));
    block_on(async {
        harness.until_ready(true).await;
        let mut client = TcpStream::connect(harness.caller_address()).expect("a connection");
        let (part, _) = BODY_CUT;
        let head = format!("POST /once/x HTTP/1.1\r\nid: 1\r\n{part}");
        client.write_all(head.as_bytes()).expect("a written part");
        let began = Instant::now();
        let reader = thread::spawn(move || {
            let mut received = Vec::new();
            let _ = client.read_to_end(&mut received);
            (
                String::from_utf8_lossy(&received).into_owned(),
                began.elapsed(),
            )
        });
        harness.gateway.stop().await;
        let (received, took) = reader.join().expect("a reader");
        assert!(received.starts_with("HTTP/1.1 503"), "{received:?}");
        // The end of acceptance is at 2.96 s, that of all requests that were not sent at 7.35 s.
        assert!(took < Duration::from_secs(6), "refused after {took:?}");
    });
}

/// Guards against a refusal of requests that an instance that stops has the time for: they end soon, by
/// what the requests of their route took before.
#[test_case("/any/x"; "that may be repeated")]
#[test_case("/once/x"; "that may run once")]
#[test_case("/stream/x"; "whose answer is a stream")]
fn a_short_request_that_is_complete_late_in_the_grace_period_is_served(path: &'static str) {
    let harness = Arc::new(Harness::start(vec![vec![Reply::Complete(STREAM[0])]]));
    block_on(async {
        harness.until_ready(true).await;
        for _ in 0..KNOWN_REQUESTS {
            assert_eq!(harness.ask(path, "1").await.status, 200);
        }
        let (callers, began) = (harness.caller_address(), Instant::now());
        let rest_at = [4, 6, 7].map(Duration::from_secs);
        let sent = rest_at.map(|at| send_in_parts(callers, began, (path, BODY_CUT), at));
        harness.gateway.stop().await;
        for client in sent {
            let received = client.join().expect("a client");
            assert!(received.starts_with("HTTP/1.1 200"), "{received:?}");
        }
    });
}

/// Guards against a second run of a request that begins in a stop and cannot end before its instance,
/// by what the requests of its route took before.
#[test]
fn a_request_is_not_sent_again_if_it_could_not_end() {
    let known = Reply::Delayed("a", Duration::from_millis(1_500));
    let harness = Arc::new(Harness::start(vec![vec![known]; 2]));
    let arrivals = |harness: &Harness| harness.upstreams.iter().map(|u| u.count()).sum::<usize>();
    block_on(async {
        harness.until_ready(true).await;
        let asks = (0..KNOWN_REQUESTS).map(|_| {
            let caller = Arc::clone(&harness);
            harness.spawn(async move { caller.ask("/any/x", "1").await })
        });
        for ask in asks.collect::<Vec<_>>() {
            assert_eq!(ask.await.status, 200);
        }
        let before = arrivals(&harness);
        for upstream in &harness.upstreams {
            upstream.set_replies(vec![Reply::DelayedFailure(Duration::from_millis(6_500))]);
        }
        let caller = Arc::clone(&harness);
        let response = harness.spawn(async move { caller.ask("/any/x", "2").await });
        while arrivals(&harness) == before {
            Timer::after(Duration::from_millis(2)).await;
        }
        harness.gateway.stop().await;
        assert_eq!(response.await.status, 500);
        assert_eq!(arrivals(&harness), before + 1, "runs");
    });
}
