//! Responses that have neither a length nor chunks and end with their connection.

use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_serving::UpstreamStart;
use test_case::test_case;

use crate::fakes::End;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::STREAM;
use crate::fakes::UnframedReply;
use crate::fakes::UnframedUpstream;
use crate::fakes::entry;

/// Events that end where an event ends.
const WHOLE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// The first event, and a part of the second one.
const IN_EVENT: &str = "id: 1\ndata: a\n\nid: 2\nda";
/// The first event.
const FIRST: &str = "id: 1\ndata: a\n\n";
/// The event after the first one.
const REST: &str = "id: 2\ndata: b\n\n";

/// A gateway with two upstreams that reply like this.
fn start(reply: UnframedReply, resumed: UnframedReply) -> (Harness, [UnframedUpstream; 2]) {
    let harness = Harness::start(Vec::new());
    let executor = harness.executor();
    let upstreams = [(); 2].map(|()| UnframedUpstream::start(&executor, reply, resumed));
    for (n, upstream) in upstreams.iter().enumerate() {
        let id = format!("u-{n}");
        let record = entry(&id, "pool", upstream.address, UpstreamStart::UNKNOWN);
        harness.store.change(Change::Put(record));
    }
    (harness, upstreams)
}

async fn until_served(harness: &Harness) {
    harness.until_ready(true).await;
    while !harness.store.is_caught_up() {
        async_io::Timer::after(std::time::Duration::from_millis(2)).await;
    }
}

/// Guards against passing on a stream as whole that its upstream broke off inside an event.
#[test_case("/stream/x", (IN_EVENT, End::Close), FIRST; "closed in an event")]
#[test_case("/stream/x", (IN_EVENT, End::Reset), FIRST; "reset in an event")]
#[test_case("/stream/x", (WHOLE, End::Reset), WHOLE; "reset between events")]
#[test_case("/stream/x", ("", End::Close), ""; "closed before the first event")]
#[test_case("/stream/x", ("id: 1\nda", End::Close), ""; "closed in the first event")]
#[test_case("/resume/x", (IN_EVENT, End::Close), FIRST; "closed in an event everywhere")]
fn a_broken_stream_without_a_length_is_not_passed_on_as_whole(
    path: &'static str,
    reply: UnframedReply,
    passed_on: &str,
) {
    let (harness, _upstreams) = start(reply, ("id: 2\nda", End::Close));
    block_on(async {
        until_served(&harness).await;
        let received = harness.ask(path, "1").await;
        assert_eq!((received.status, received.whole), (200, false));
        assert_eq!(received.body, passed_on);
    });
}

/// Guards against taking the last chunk for proof that a stream is whole which ends inside an event.
#[test]
fn a_chunked_stream_that_ends_inside_an_event_is_not_passed_on_as_whole() {
    let reply = Reply::Stream {
        parts: &[IN_EVENT],
        cut: false,
    };
    let harness = Harness::start(vec![vec![reply]]);
    block_on(async {
        harness.until_ready(true).await;
        let received = harness.ask("/stream/x", "1").await;
        assert_eq!((received.whole, received.body.as_str()), (false, FIRST));
    });
}

/// Guards against losing the rest of a stream that may resume when it breaks off without a length.
#[test_case((IN_EVENT, End::Close); "closed in an event")]
#[test_case((FIRST, End::Reset); "reset between events")]
fn a_broken_stream_without_a_length_resumes_on_another_upstream(reply: UnframedReply) {
    let (harness, upstreams) = start(reply, (REST, End::Close));
    block_on(async {
        until_served(&harness).await;
        let received = harness.ask("/resume/x", "1").await;
        assert!(received.whole, "{received:?}");
        assert_eq!(received.body, WHOLE);
        let mut asked: Vec<Option<u64>> = upstreams.iter().flat_map(|u| u.asked()).collect();
        asked.sort();
        assert_eq!(asked, [None, Some(1)]);
    });
}

/// Guards against rejecting sound responses because they have no length.
#[test_case("/stream/x", WHOLE; "stream")]
#[test_case("/resume/x", WHOLE; "resumable stream")]
#[test_case("/stream/x", "id: 1\ndata: a\n\n\n"; "stream with a blank line at its end")]
#[test_case("/any/x", "yours"; "plain")]
#[test_case("/once/x", "yours"; "plain and not repeatable")]
fn a_sound_response_without_a_length_is_served(path: &'static str, body: &'static str) {
    let (harness, _upstreams) = start((body, End::Close), (body, End::Close));
    block_on(async {
        until_served(&harness).await;
        // The connection of the first response cannot be used for the second one.
        for id in ["1", "2"] {
            let received = harness.ask(path, id).await;
            assert_eq!(
                (received.status, received.whole),
                (200, true),
                "{received:?}"
            );
            assert_eq!(received.body, body);
        }
    });
}

/// Guards against a broken stream that looks whole to a caller of HTTP/1.0, whose responses have no
/// chunks: only a length can show that something is missing.
#[test_case(true; "broken")]
#[test_case(false; "whole")]
fn a_stream_for_http_1_0_has_a_length_or_is_an_error(cut: bool) {
    let harness = Harness::start(vec![vec![Reply::Resumable { cut }]]);
    block_on(async {
        harness.until_ready(true).await;
        let response = harness.ask_in_http_1_0("/stream/x").await.to_lowercase();
        let status = response.split(' ').nth(1);
        let body = STREAM.concat();
        match cut {
            true => assert_eq!(status, Some("502"), "{response}"),
            false => {
                assert_eq!(status, Some("200"), "{response}");
                let length = format!("content-length: {}\r\n", body.len());
                assert!(response.contains(&length), "{response}");
                assert!(response.ends_with(&body), "{response}");
            }
        }
    });
}

/// Guards against passing on a plain response that was reset before its end, which is a success
/// for nobody, and against running it again where that is not allowed.
#[test_case("/any/x", 2; "repeatable")]
#[test_case("/once/x", 1; "not repeatable")]
fn a_plain_response_without_a_length_that_is_reset_is_a_failure(path: &'static str, runs: usize) {
    let (harness, upstreams) = start(("you", End::Reset), ("you", End::Reset));
    block_on(async {
        until_served(&harness).await;
        let received = harness.ask(path, "1").await;
        assert_eq!(received.status, 502);
        assert_eq!(received.run.as_deref(), Some("may have run"));
        let asked = upstreams.iter().map(|u| u.asked().len());
        assert_eq!(asked.sum::<usize>(), runs);
    });
}
