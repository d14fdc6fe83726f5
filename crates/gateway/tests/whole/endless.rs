//! Upstreams whose responses never end.

use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_gateway::Record;
use jd_serving::Deployment;
use jd_serving::UpstreamStart;
use test_case::test_case;

use crate::fakes::CallerResponse;
use crate::fakes::EndlessReply;
use crate::fakes::EndlessUpstream;
use crate::fakes::Harness;
use crate::fakes::Pace;
use crate::fakes::Reply;
use crate::fakes::STREAM;
use crate::fakes::entry;
use crate::fakes::staged_deployment;

/// A tenth of the time that a caller waits by default. An upstream that is only given up when the
/// time of a request is over, or half of it, takes longer.
const AT_ONCE: Duration = Duration::from_secs(2);
/// The time for a response that comes slowly.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);
/// How much later than its deadline a request may be answered.
const LATE: Duration = Duration::from_millis(500);
/// Timeout of a test, which is far longer than the test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// The most that an upstream can send on one connection: the largest plain response, and the
/// buffers of the socket.
const MAX_SENT: usize = 24 << 20;

const NO_HEAD: EndlessReply = ("", "x");
const INTERIM: EndlessReply = ("", "HTTP/1.1 102 Processing\r\n\r\n");
const HEADERS: EndlessReply = ("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\n", "a: b\r\n");
const CHUNK_SIZE: EndlessReply = (
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\ntransfer-encoding: chunked\r\n\r\n",
    "0",
);
const BODY: EndlessReply = ("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\n\r\n", "x");
const ERROR_BODY: EndlessReply = (
    "HTTP/1.1 500 Failed\r\nid: {id}\r\nsigned: yes\r\n\r\n",
    "x",
);
const COMMENTS: EndlessReply = (
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\n\r\n",
    ": waiting\n\n",
);
const AFTER_EVENT: EndlessReply = (
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\n\r\nid: 1\ndata: a\n\n",
    "x",
);
const EVENTS: EndlessReply = (
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\n\r\n",
    "data: x\n\n",
);

fn list(harness: &Harness, upstream: &EndlessUpstream, service: &str) {
    let id = format!("endless-{service}");
    let record = entry(&id, service, upstream.address, UpstreamStart::UNKNOWN);
    harness.store.change(Change::Put(record));
}

/// The deployment, with a short timeout for all routes.
fn short_deployment() -> Deployment {
    let mut short = staged_deployment();
    for route in &mut short.routes {
        route.timeout = SHORT_TIMEOUT;
    }
    short
}

fn start(
    replies: Vec<Vec<Reply>>,
    deployment: Deployment,
    reply: EndlessReply,
    pace: Pace,
) -> (Harness, EndlessUpstream) {
    let records = vec![Record::Deployment(Box::new(deployment))];
    let harness = Harness::start_with(replies, records);
    let upstream = EndlessUpstream::start(reply, pace);
    list(&harness, &upstream, "pool");
    (harness, upstream)
}

async fn until_served(harness: &Harness) {
    harness.until_ready(true).await;
    while !harness.store.is_caught_up() {
        Timer::after(Duration::from_millis(2)).await;
    }
}

async fn until_closed(upstream: &EndlessUpstream) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !upstream.are_all_closed() {
        assert!(Instant::now() < until, "a connection stays open");
        Timer::after(Duration::from_millis(2)).await;
    }
}

/// Sends requests until one has reached the endless upstream. Returns the last response and how
/// long it took.
async fn ask_until_begun(
    harness: &Harness,
    upstream: &EndlessUpstream,
    path: &str,
) -> (CallerResponse, Duration) {
    for id in 0.. {
        let asked = Instant::now();
        let received = harness.ask(path, &id.to_string()).await;
        if upstream.begun() > 0 {
            return (received, asked.elapsed());
        }
        assert!(id < 1_000, "no request reaches the upstream");
    }
    unreachable!("the loop returns")
}

/// Guards against losing requests, and the thread on which others wait, to an upstream that sends
/// bytes without end: it is given up at once, and another upstream answers.
#[test_case("/any/x", NO_HEAD; "no head")]
#[test_case("/any/x", INTERIM; "interim responses")]
#[test_case("/any/x", HEADERS; "headers")]
#[test_case("/any/x", CHUNK_SIZE; "chunk size")]
#[test_case("/any/x", BODY; "body")]
#[test_case("/any/x", ERROR_BODY; "body of an error")]
#[test_case("/resume/x", NO_HEAD; "no head of a stream")]
#[test_case("/resume/x", INTERIM; "interim responses of a stream")]
#[test_case("/resume/x", CHUNK_SIZE; "chunk size of a stream")]
#[test_case("/resume/x", BODY; "an event that never ends")]
#[test_case("/resume/x", AFTER_EVENT; "a second event that never ends")]
fn another_upstream_answers_at_once(path: &str, reply: EndlessReply) {
    let sound = vec![Reply::Resumable { cut: false }];
    let deployment = staged_deployment();
    let (harness, upstream) = start(vec![sound], deployment, reply, Pace::Fast);
    block_on(async {
        until_served(&harness).await;
        let (received, took) = ask_until_begun(&harness, &upstream, path).await;
        assert_eq!((received.status, received.whole), (200, true));
        assert_eq!(received.body, STREAM.concat());
        assert!(took < AT_ONCE, "{took:?}");
        until_closed(&upstream).await;
        let sent = upstream.bytes_sent() / upstream.begun();
        assert!(sent <= MAX_SENT, "{sent} bytes sent");
    });
}

/// Guards against passing on bytes without end, or waiting for their end, where no other upstream
/// may answer.
#[test_case("/once/x", BODY, 502; "body")]
#[test_case("/stream/x", ERROR_BODY, 502; "body of an error")]
#[test_case("/stream/x", BODY, 200; "an event that never ends")]
#[test_case("/stream/x", COMMENTS, 200; "comments")]
fn a_request_that_may_run_once_fails_at_once(path: &str, reply: EndlessReply, status: u16) {
    let (harness, upstream) = start(Vec::new(), staged_deployment(), reply, Pace::Fast);
    block_on(async {
        until_served(&harness).await;
        let (received, took) = ask_until_begun(&harness, &upstream, path).await;
        assert_eq!(received.status, status);
        assert_eq!(received.whole, status != 200);
        assert!(took < AT_ONCE, "{took:?}");
        until_closed(&upstream).await;
        assert!(upstream.bytes_sent() <= MAX_SENT);
    });
}

/// Guards against an upstream that is read after the time of its request: for a response that comes
/// slowly, and for events that are ready whenever they are read.
#[test_case("/once/x", NO_HEAD, Pace::Slow; "no head")]
#[test_case("/once/x", INTERIM, Pace::Slow; "interim responses")]
#[test_case("/once/x", CHUNK_SIZE, Pace::Slow; "chunk size")]
#[test_case("/once/x", BODY, Pace::Slow; "body")]
#[test_case("/stream/x", ERROR_BODY, Pace::Slow; "body of an error")]
#[test_case("/stream/x", BODY, Pace::Slow; "an event that never ends")]
#[test_case("/stream/x", COMMENTS, Pace::Slow; "comments")]
#[test_case("/stream/x", EVENTS, Pace::Slow; "events")]
#[test_case("/stream/x", EVENTS, Pace::Fast; "events as fast as they are read")]
fn a_response_that_never_ends_is_closed_at_the_deadline(
    path: &str,
    reply: EndlessReply,
    pace: Pace,
) {
    let (harness, upstream) = start(Vec::new(), short_deployment(), reply, pace);
    block_on(async {
        until_served(&harness).await;
        let (received, took) = ask_until_begun(&harness, &upstream, path).await;
        assert!(received.status != 200 || !received.whole, "{received:?}");
        assert!(took < SHORT_TIMEOUT + AT_ONCE, "{took:?}");
        until_closed(&upstream).await;
    });
}

/// Guards against sending an upstream that answers nobody as many requests as a sound one.
#[test]
fn an_upstream_whose_responses_never_end_counts_as_failing() {
    let sound = vec![Reply::Complete("yours")];
    let (harness, upstream) = start(vec![sound], staged_deployment(), INTERIM, Pace::Fast);
    block_on(async {
        until_served(&harness).await;
        ask_until_begun(&harness, &upstream, "/any/x").await;
        for id in 0..40 {
            let received = harness.ask("/any/x", &format!("later-{id}")).await;
            assert_eq!(received.status, 200);
        }
        assert!(upstream.begun() <= 10, "{} requests", upstream.begun());
    });
}

/// Guards against stages that wait for ever for the end of the response to a request that releases
/// results, which is sent before the next batch.
#[test]
fn a_release_that_is_never_answered_delays_no_stage() {
    let sound = vec![Reply::Resumable { cut: false }];
    let records = vec![Record::Deployment(Box::new(staged_deployment()))];
    let harness = Harness::start_with(vec![sound], records);
    let stage = EndlessUpstream::start_stage(BODY, Pace::Slow);
    list(&harness, &stage, "stages");
    block_on(async {
        until_served(&harness).await;
        let mut id = 0;
        while stage.begun() == 0 || id < 20 {
            let asked = Instant::now();
            let received = harness.ask("/staged/x", &id.to_string()).await;
            assert_eq!(
                (received.status, received.whole),
                (200, true),
                "{received:?}"
            );
            let took = asked.elapsed();
            assert!(took < AT_ONCE, "{took:?}");
            id += 1;
        }
        until_closed(&stage).await;
    });
}

/// Guards against losing the results of a stage to an upstream that sends bytes without end.
#[test_case(BODY, Pace::Fast; "fast body")]
#[test_case(INTERIM, Pace::Fast; "fast interim responses")]
#[test_case(BODY, Pace::Slow; "slow body")]
fn the_stages_run_on_another_upstream(reply: EndlessReply, pace: Pace) {
    let sound = vec![Reply::Resumable { cut: false }];
    let stages = vec![Reply::Complete("made")];
    let harness = Harness::start_with_stage(vec![sound], stages);
    let stage = EndlessUpstream::start(reply, pace);
    list(&harness, &stage, "stages");
    block_on(async {
        until_served(&harness).await;
        let (received, took) = ask_until_begun(&harness, &stage, "/staged/x").await;
        assert_eq!(
            (received.status, received.whole),
            (200, true),
            "{received:?}"
        );
        assert!(took < AT_ONCE, "{took:?}");
        until_closed(&stage).await;
    });
}

/// Guards against a request that is answered after its deadline because the response to a call for
/// its stages never ends.
#[test_case(NO_HEAD, Pace::Slow; "no head")]
#[test_case(BODY, Pace::Slow; "slow body")]
#[test_case(BODY, Pace::Fast; "fast body")]
fn stages_that_never_end_are_given_up_at_the_deadline(reply: EndlessReply, pace: Pace) {
    let sound = vec![Reply::Resumable { cut: false }];
    let records = vec![Record::Deployment(Box::new(short_deployment()))];
    let harness = Harness::start_with(vec![sound], records);
    let stage = EndlessUpstream::start(reply, pace);
    list(&harness, &stage, "stages");
    block_on(async {
        until_served(&harness).await;
        let (received, took) = ask_until_begun(&harness, &stage, "/staged/x").await;
        assert_ne!(received.status, 200);
        assert!(took < SHORT_TIMEOUT + LATE, "{took:?}");
        until_closed(&stage).await;
    });
}
