//! Successes whose body ends early although its end is marked, and those that end like them.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_serving::UpstreamStart;
use test_case::test_case;

use crate::fakes::CallerResponse;
use crate::fakes::Cut;
use crate::fakes::End;
use crate::fakes::Harness;
use crate::fakes::Mark;
use crate::fakes::RawReply;
use crate::fakes::RawUpstreams;
use crate::fakes::Reply;
use crate::fakes::entry;
use crate::fakes::path_fleet;

const FIRST: &str = "id: 1\ndata: a\n\n";
const REST: &str = "id: 2\ndata: b\n\n";
const WHOLE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const MARKS: [Mark; 3] = [Mark::Length, Mark::LastChunk, Mark::Connection];

/// A gateway with two upstreams that give these replies in turn.
async fn start(replies: Vec<RawReply>) -> (Harness, RawUpstreams) {
    let harness = Harness::start(Vec::new());
    let upstreams = RawUpstreams::start(&harness.executor(), 2, replies, None);
    for (n, address) in upstreams.addresses.iter().enumerate() {
        let record = entry(&format!("u-{n}"), "pool", *address, UpstreamStart::UNKNOWN);
        harness.store.change(Change::Put(record));
    }
    harness.until_ready(true).await;
    while !harness.store.is_caught_up() {
        Timer::after(Duration::from_millis(2)).await;
    }
    (harness, upstreams)
}

fn events(body: &str, mark: Mark) -> RawReply {
    RawReply::success("content-type: text/event-stream\r\n", body, mark)
}

/// The beginning of a stream, which is broken off after its first event.
fn broken_off() -> RawReply {
    let whole = events(FIRST, Mark::LastChunk);
    whole.cut(whole.text.len() - 5, End::Close)
}

fn assert_cut_off(received: &CallerResponse, body: &str) {
    assert_eq!((received.status, received.whole), (200, false));
    assert_eq!(received.body, body);
}

/// Guards against passing on a stream as whole that ends before or inside an event, by any mark of
/// the end of its body.
#[test_case(""; "without a byte")]
#[test_case("\n\n"; "after blank lines")]
#[test_case(": ping\n\n"; "after a comment")]
#[test_case("id: 1"; "in the number of the first event")]
#[test_case("id: 1\ndata: a"; "in the text of the first event")]
#[test_case("id: 1\ndata: a\n"; "before the blank line of the first event")]
#[test_case("id: 1\r\ndata: a\r\n"; "before the blank line of the first event in another system")]
#[test_case("id: 1\ndata: a\n\nid: 2\nda"; "in the second event")]
#[test_case("id: 1\r\ndata: a\r\n\r\nid: 2\r\nda"; "in the second event in another system")]
#[test_case("id: 1\rdata: a\r\rid: 2\rda"; "in the second event in a third system")]
fn a_stream_that_is_cut_short_is_not_whole(body: &'static str) {
    let ends = ["\n\n", "\r\n\r\n", "\r\r"];
    let ends = ends.map(|end| body.rfind(end).map_or(0, |at| at + end.len()));
    let complete = &body[..ends.into_iter().max().unwrap_or_default()];
    for mark in MARKS {
        block_on(async {
            let (harness, _upstreams) = start(vec![events(body, mark)]).await;
            let received = harness.ask("/stream/x", "1").await;
            assert_eq!((received.status, received.whole), (200, false), "{mark:?}");
            // Complete events have arrived by then. Blank lines alone need not.
            let passed_on = received.body.trim_matches('\n');
            assert_eq!(passed_on, complete.trim_matches('\n'), "{mark:?}");
        });
    }
}

/// Guards against ending a stream that another upstream could have gone on with.
#[test_case("", WHOLE; "without a byte")]
#[test_case("id: 1", WHOLE; "in the first event")]
#[test_case("id: 1\ndata: a\n\nid: 2", REST; "in the second event")]
fn a_stream_that_is_cut_short_goes_on_at_another_upstream(body: &'static str, rest: &'static str) {
    for mark in MARKS {
        block_on(async {
            let replies = vec![events(body, mark), events(rest, mark)];
            let (harness, upstreams) = start(replies).await;
            let received = harness.ask("/resume/x", "1").await;
            assert!(received.whole, "{mark:?}: {received:?}");
            assert_eq!(received.body, WHOLE, "{mark:?}");
            assert_eq!(upstreams.asked().len(), 2);
        });
    }
}

/// Guards against ending a stream at the end of a response that resumes it and brings no event, or
/// a part of one.
#[test_case(""; "without a byte")]
#[test_case(": ping\n\n"; "after a comment")]
#[test_case("id: 2\nda"; "in its first event")]
#[test_case("id: 2\ndata: b\n"; "before the blank line of its first event")]
fn a_stream_whose_resumption_is_cut_short_is_not_whole(body: &'static str) {
    for mark in MARKS {
        block_on(async {
            let (harness, upstreams) = start(vec![broken_off(), events(body, mark)]).await;
            let received = harness.ask("/resume/x", "1").await;
            assert!(!received.whole, "{mark:?}: {received:?}");
            assert_eq!(received.body.replace(": ping\n\n", ""), FIRST, "{mark:?}");
            assert_eq!(upstreams.asked(), [None, Some(1)]);
        });
    }
}

/// Guards against the same for a stream that its caller takes up.
#[test_case(""; "without a byte")]
#[test_case("id: 2\nda"; "in its first event")]
fn a_stream_that_a_caller_takes_up_and_that_is_cut_short_is_not_whole(body: &'static str) {
    for mark in MARKS {
        block_on(async {
            let replies = vec![broken_off(), events("", mark), events(body, mark)];
            let (harness, upstreams) = start(replies).await;
            let peers = harness.peer_addresses()[0];
            assert_cut_off(&harness.ask("/resume/x", "1").await, FIRST);
            let target = ("/resume/x", "key-1");
            let taken_up = harness.resume(peers, target, "2", "1").await;
            assert!(!taken_up.whole, "{mark:?}: {taken_up:?}");
            assert_eq!(taken_up.body, "", "{mark:?}");
            assert!(upstreams.asked().len() > 2);
        });
    }
}

/// Guards against sending events twice: nothing tells an upstream where a stream goes on after an
/// event without a number.
#[test_case("data: a\n\n", "data: a\n\ndata: b\n\n"; "no event has a number")]
#[test_case("id: 1\ndata: a\n\ndata: b\n\n", "data: b\n\nid: 3\ndata: c\n\n"; "the last event has none")]
fn a_stream_does_not_go_on_after_an_event_without_a_number(
    first: &'static str,
    again: &'static str,
) {
    block_on(async {
        let whole = events(first, Mark::LastChunk);
        let broken = whole.cut(whole.text.len() - 5, End::Close);
        let (harness, _upstreams) = start(vec![broken, events(again, Mark::LastChunk)]).await;
        assert_cut_off(&harness.ask("/resume/x", "1").await, first);
    });
}

/// Guards against refusing the end of a stream of which nothing is left.
#[test]
fn a_stream_of_which_nothing_is_left_ends_whole() {
    let nothing = RawReply {
        text: "HTTP/1.1 204 No Content\r\nid: {id}\r\nsigned: yes\r\n\r\n".into(),
        end: End::Stay,
    };
    block_on(async {
        let (harness, upstreams) = start(vec![broken_off(), nothing]).await;
        let received = harness.ask("/resume/x", "1").await;
        assert!(received.whole, "{received:?}");
        assert_eq!(received.body, FIRST);
        assert_eq!(upstreams.asked(), [None, Some(1)]);
    });
}

/// Guards against passing on a stream as whole that another instance received.
#[test_case(&["id: 1"]; "in the first event")]
#[test_case(&[]; "without a byte")]
#[test_case(&[": ping\n\n"]; "after a comment")]
fn a_forwarded_stream_that_is_cut_short_is_not_whole(parts: &'static [&'static str]) {
    block_on(async {
        let made = Reply::Complete("made");
        let reply = Reply::Stream { parts, cut: false };
        let mut harness = Harness::start_cuttable(vec![vec![reply]; 2], vec![made]);
        harness.add_gateways(2);
        harness.until_ready(true).await;
        harness.until_all_listed().await;
        let cut_off = harness.peer_addresses()[0];
        path_fleet::cut_off(&harness, &[cut_off], Cut::Resets).await;
        let received = harness.spawn_ask(cut_off, "/stream/x", "s-1").await;
        assert!(!received.whole, "{received:?}");
        assert!(!received.body.contains("id"), "{received:?}");
    });
}

/// Guards against a length that a caller of HTTP/1.0 gets with a part of an event.
#[test]
fn a_stream_that_is_cut_short_is_an_error_in_http_1_0() {
    block_on(async {
        let (harness, _upstreams) = start(vec![events("id: 1", Mark::LastChunk)]).await;
        let response = harness.ask_in_http_1_0("/stream/x").await;
        assert_eq!(response.split(' ').nth(1), Some("502"), "{response}");
    });
}

/// Guards against refusing sound streams because of how their lines or their body end.
#[test_case(WHOLE; "line feeds")]
#[test_case("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"; "carriage returns and line feeds")]
#[test_case("id: 1\rdata: a\r\rid: 2\rdata: b\r\r"; "carriage returns")]
#[test_case("id: 1\ndata: a\n\n: last\n\n"; "comment at the end")]
#[test_case("id: 1\ndata: a\n\n\n"; "blank line at the end")]
fn sound_streams_of_all_kinds_are_served(body: &'static str) {
    for mark in MARKS {
        block_on(async {
            let (harness, _upstreams) = start(vec![events(body, mark)]).await;
            for path in ["/stream/x", "/resume/x"] {
                let received = harness.ask(path, "1").await;
                assert!(received.whole, "{mark:?}: {received:?}");
                assert_eq!(received.body, body, "{mark:?}");
            }
        });
    }
}

/// Guards against refusing a body that is no stream of events, and says so.
#[test_case(Mark::Length)]
#[test_case(Mark::LastChunk)]
#[test_case(Mark::Connection)]
fn a_body_that_is_no_event_stream_is_served_as_it_is(mark: Mark) {
    let kind = "content-type: application/json\r\n";
    block_on(async {
        let reply = RawReply::success(kind, "{\"a\":\n\n1}", mark);
        let (harness, _upstreams) = start(vec![reply]).await;
        let received = harness.ask("/stream/x", "1").await;
        assert!(received.whole, "{received:?}");
        assert_eq!(received.body, "{\"a\":\n\n1}");
    });
}

/// Guards against joining a body that is no stream of events to the beginning of a stream.
#[test_case(Mark::Length)]
#[test_case(Mark::LastChunk)]
fn a_stream_does_not_go_on_with_a_body_that_is_no_event_stream(mark: Mark) {
    block_on(async {
        let other = RawReply::success("content-type: application/json\r\n", "{}", mark);
        let (harness, _upstreams) = start(vec![broken_off(), other]).await;
        assert_cut_off(&harness.ask("/resume/x", "1").await, FIRST);
    });
}

/// Guards against an empty answer where an upstream ended after the head of one without a length.
#[test_case("/any/x", 200, 2; "repeatable")]
#[test_case("/once/x", 502, 1; "not repeatable")]
fn an_empty_answer_without_a_length_is_a_failure(path: &'static str, status: u16, runs: usize) {
    block_on(async {
        let empty = RawReply::success("", "", Mark::Connection);
        let sound = RawReply::success("", "yours", Mark::Length);
        let (harness, upstreams) = start(vec![empty, sound]).await;
        let received = harness.ask(path, "1").await;
        assert_eq!(received.status, status, "{received:?}");
        assert_eq!(upstreams.asked().len(), runs);
    });
}

/// Guards against refusing an empty answer whose end is marked.
#[test_case(Mark::Length)]
#[test_case(Mark::LastChunk)]
fn an_empty_answer_with_a_marked_end_is_served(mark: Mark) {
    block_on(async {
        let empty = RawReply::success("", "", mark);
        let (harness, _upstreams) = start(vec![empty]).await;
        let received = harness.ask("/once/x", "1").await;
        assert_eq!((received.status, received.whole), (200, true));
    });
}

/// Guards against a request that runs without its inputs, or is lost, because the answer of a stage
/// was cut short.
#[test_case(40, End::Close; "in its head")]
#[test_case(40, End::Reset; "reset in its head")]
#[test_case(usize::MAX, End::Close; "before its last byte")]
#[test_case(0, End::Close; "before its first byte")]
fn a_stage_whose_answer_is_cut_short_runs_elsewhere(at: usize, end: End) {
    let sound = vec![Reply::Resumable { cut: false }];
    let harness = Harness::start_with_stage(vec![sound], vec![Reply::Complete("made")]);
    let made = RawReply::success("", "made", Mark::Length);
    let cut = made.cut(at.min(made.text.len() - 1), end);
    let stage = RawUpstreams::start(&harness.executor(), 1, vec![cut], None);
    let record = entry("s-0", "stages", stage.addresses[0], UpstreamStart::UNKNOWN);
    harness.store.change(Change::Put(record));
    block_on(async {
        harness.until_ready(true).await;
        let mut asked = 0;
        while stage.asked().is_empty() {
            asked += 1;
            let received = harness.ask("/staged/x", &format!("s-{asked}")).await;
            assert!(received.whole, "{received:?}");
            assert_eq!(received.body, WHOLE);
        }
    });
}

/// Guards against passing on an answer whose upstream stops anywhere in it. The tests of the
/// connection pool have each byte.
#[test_case("/once/x", RawReply::success("", "yours", Mark::Length); "plain with a length")]
#[test_case("/once/x", RawReply::success("", "yours", Mark::LastChunk); "plain in chunks")]
#[test_case("/stream/x", events(WHOLE, Mark::Length); "stream with a length")]
#[test_case("/stream/x", events(WHOLE, Mark::LastChunk); "stream in chunks")]
fn an_answer_that_stops_is_no_success(path: &str, whole: RawReply) {
    for at in (0..whole.text.len()).step_by(3) {
        block_on(async {
            let (harness, _upstreams) = start(vec![whole.cut(at, End::Close)]).await;
            let received = harness.ask(path, "1").await;
            let is_success = received.status == 200 && received.whole;
            assert!(!is_success, "{at} bytes: {received:?}");
        });
    }
}
