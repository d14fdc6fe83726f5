//! Streams that resume at upstreams which read the number of the last event otherwise.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_serving::UpstreamStart;
use test_case::test_case;

use crate::fakes::Cut;
use crate::fakes::End;
use crate::fakes::Harness;
use crate::fakes::Mark;
use crate::fakes::RawReply;
use crate::fakes::RawUpstreams;
use crate::fakes::Reply;
use crate::fakes::entry;
use crate::fakes::path_fleet;

const FIRST: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const REST: &str = "id: 3\ndata: c\n\n";

/// A gateway with this many upstreams that give these replies in turn.
async fn start(count: usize, replies: Vec<RawReply>) -> (Harness, RawUpstreams) {
    let harness = Harness::start(Vec::new());
    let upstreams = RawUpstreams::start(&harness.executor(), count, replies, None);
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

fn events(body: &str) -> RawReply {
    RawReply::success("content-type: text/event-stream\r\n", body, Mark::LastChunk)
}

/// How many responses were dropped for this reason.
async fn dropped(harness: &Harness, reason: &str) -> u64 {
    let counter = format!("jd_gateway_events_out_of_order_total{{outcome=\"{reason}\"}} ");
    harness.counter_total(&counter).await
}

/// A stream that is broken off after these events.
fn broken_off(body: &str) -> RawReply {
    let whole = events(body);
    whole.cut(whole.text.len() - 5, End::Close)
}

/// Guards against events that come twice, go back or are missing where a broken stream resumes.
#[test_case("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", "went-back", FIRST; "begins again")]
#[test_case("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", "repeated", FIRST; "repeats the last event")]
#[test_case("id: 4\ndata: d\n\n", "missing", FIRST; "leaves out an event")]
#[test_case("id: 3\ndata: c\n\nid: 3\ndata: c\n\n", "repeated", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; "repeats an event later")]
fn a_stream_is_cut_off_before_an_event_out_of_order(
    again: &'static str,
    reason: &'static str,
    expected: &'static str,
) {
    block_on(async {
        let (harness, upstreams) = start(2, vec![broken_off(FIRST), events(again)]).await;
        let received = harness.ask("/resume/x", "1").await;
        assert_eq!(received.body, expected);
        assert_eq!((received.status, received.whole), (200, false));
        assert_eq!(upstreams.asked(), [None, Some(2)]);
        assert_eq!(dropped(&harness, reason).await, 1);
    });
}

/// Guards against cutting off a stream that resumes as it was asked to, or whose upstream numbers
/// events in its own way.
#[test_case(FIRST, REST; "by one")]
#[test_case("id: 7\ndata: a\n\nid: 8\ndata: b\n\n", "id: 9\ndata: c\n\n"; "from seven")]
#[test_case("id: 10\ndata: a\n\nid: 20\ndata: b\n\n", "id: 30\ndata: c\n\n"; "by ten")]
fn a_stream_goes_on_after_its_last_event(first: &'static str, rest: &'static str) {
    block_on(async {
        let (harness, _upstreams) = start(2, vec![broken_off(first), events(rest)]).await;
        let received = harness.ask("/resume/x", "1").await;
        assert_eq!(received.body, format!("{first}{rest}"));
        assert!(received.whole);
        for reason in ["went-back", "repeated", "missing"] {
            assert_eq!(dropped(&harness, reason).await, 0);
        }
    });
}

/// Guards against the same for a stream that its caller takes up, for which another upstream is
/// asked. Its caller has the first event.
#[test_case("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; "begins again")]
#[test_case("id: 0\ndata: z\n\n"; "goes back")]
fn a_stream_that_a_caller_takes_up_has_no_event_twice(again: &'static str) {
    const BEGUN: &str = "id: 1\ndata: a\n\n";
    const LEFT: &str = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    block_on(async {
        let replies = vec![
            broken_off(BEGUN),
            broken_off(""),
            events(again),
            events(LEFT),
        ];
        let (harness, upstreams) = start(4, replies).await;
        let peers = harness.peer_addresses()[0];
        assert_eq!(harness.ask("/resume/x", "1").await.body, BEGUN);
        let target = ("/resume/x", "key-1");
        let taken_up = harness.resume(peers, target, "2", "1").await;
        assert_eq!(taken_up.body, LEFT);
        assert!(taken_up.whole);
        assert_eq!(upstreams.asked(), [None, Some(1), Some(1), Some(1)]);
    });
}

/// Guards against cutting off a stream of a route that does not resume, whose upstream begins anew
/// although its caller names an event.
#[test]
fn a_stream_that_may_run_once_has_numbers_of_its_own() {
    block_on(async {
        let (harness, upstreams) = start(1, vec![events(FIRST)]).await;
        // Its software version is known then.
        assert!(harness.ask("/resume/x", "1").await.whole);
        let peers = harness.peer_addresses()[0];
        let target = ("/stream/x", "key-1");
        let received = harness.resume(peers, target, "2", "1").await;
        assert_eq!((received.body.as_str(), received.whole), (FIRST, true));
        assert_eq!(upstreams.asked(), [None, Some(1)]);
    });
}

/// Guards against changing a stream whose upstream repeats a number, and against joining another
/// run to it.
#[test_case("id: 1\ndata: a\n\nid: 1\ndata: b\n\n"; "repeats")]
#[test_case("id: 2\ndata: a\n\nid: 1\ndata: b\n\n"; "goes back")]
fn a_stream_of_an_upstream_that_repeats_numbers_goes_on_nowhere(first: &'static str) {
    block_on(async {
        let (harness, upstreams) = start(2, vec![events(first)]).await;
        let received = harness.ask("/resume/x", "1").await;
        assert_eq!((received.body.as_str(), received.whole), (first, true));
        drop((harness, upstreams));
        let (harness, upstreams) = start(2, vec![broken_off(first), events(REST)]).await;
        let received = harness.ask("/resume/x", "1").await;
        assert_eq!((received.body.as_str(), received.whole), (first, false));
        assert_eq!(upstreams.asked(), [None]);
    });
}

/// Guards against the same in a stream that another instance runs.
#[test]
fn a_forwarded_stream_has_no_event_twice() {
    const PARTS: &[&str] = &[FIRST];
    block_on(async {
        let reply = Reply::Stream {
            parts: PARTS,
            cut: true,
        };
        let made = Reply::Complete("made");
        let mut harness = Harness::start_cuttable(vec![vec![reply]; 2], vec![made]);
        harness.add_gateways(2);
        harness.until_ready(true).await;
        harness.until_all_listed().await;
        let cut_off = harness.peer_addresses()[0];
        path_fleet::cut_off(&harness, &[cut_off], Cut::Resets).await;
        let received = harness.spawn_ask(cut_off, "/resume/x", "s-1").await;
        assert_eq!((received.body.as_str(), received.whole), (FIRST, false));
    });
}
