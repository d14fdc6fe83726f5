//! Answers that begin before their request has been read, and answers whose status is none.

use std::net::SocketAddr;
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
use crate::fakes::entry;
use crate::fakes::path_fleet;

/// More than the buffers of a connection hold whose receiver reads nothing.
const UPLOAD: usize = 1_000_000;
/// Two complete events.
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// A gateway, another one that can forward to it, and two upstreams that give this reply.
struct Setup {
    harness: Harness,
    _upstreams: RawUpstreams,
    asked: SocketAddr,
}

impl Setup {
    async fn new(reply: RawReply, is_forwarded: bool) -> Setup {
        let mut harness = Harness::start(Vec::new());
        let upstreams = RawUpstreams::start(&harness.executor(), 2, vec![reply], None);
        for (n, address) in upstreams.addresses.iter().enumerate() {
            let record = entry(&format!("u-{n}"), "pool", *address, UpstreamStart::UNKNOWN);
            harness.store.change(Change::Put(record));
        }
        if is_forwarded {
            harness.add_gateways(1);
        }
        harness.until_ready(true).await;
        harness.until_all_listed().await;
        while !harness.store.is_caught_up() {
            Timer::after(Duration::from_millis(2)).await;
        }
        let asked = harness.peer_addresses()[0];
        if is_forwarded {
            path_fleet::cut_off(&harness, &[asked], Cut::RefusesNew).await;
        }
        Setup {
            harness,
            _upstreams: upstreams,
            asked,
        }
    }

    async fn upload(&self, path: &str) -> CallerResponse {
        self.harness.upload(self.asked, path, "1", UPLOAD).await
    }
}

fn unframed(body: &str, end: End) -> RawReply {
    RawReply {
        end,
        ..RawReply::success("", body, Mark::Connection)
    }
}

/// Guards against passing on as complete what an upstream sent before it broke off, while its request
/// was still being written: the end of the connection came first, and then its reset.
#[test_case("/any/x", "you", false, 502; "single")]
#[test_case("/once/x", "you", false, 502; "single that may run once")]
#[test_case("/stream/x", EVENTS, false, 200; "stream")]
#[test_case("/resume/x", EVENTS, false, 200; "resumable stream")]
#[test_case("/any/x", "you", true, 502; "forwarded")]
#[test_case("/stream/x", EVENTS, true, 200; "forwarded stream")]
fn the_end_of_an_answer_before_that_of_its_request_is_no_proof(
    path: &str,
    body: &str,
    is_forwarded: bool,
    status: u16,
) {
    block_on(async {
        let setup = Setup::new(unframed(body, End::CloseSending), is_forwarded).await;
        let received = setup.upload(path).await;
        assert_eq!(received.status, status, "{received:?}");
        let is_success = received.status == 200 && received.whole;
        assert!(!is_success, "passed on as complete: {received:?}");
    });
}

/// Guards against passing on as complete what an upstream sent before it reset the connection, while
/// its request was still being written.
#[test_case("/any/x", "you", Mark::Connection; "single")]
#[test_case("/any/x", "yours", Mark::Length; "single with a length")]
#[test_case("/any/x", "yours", Mark::LastChunk; "single in chunks")]
#[test_case("/stream/x", EVENTS, Mark::Connection; "stream")]
#[test_case("/stream/x", EVENTS, Mark::Length; "stream with a length")]
#[test_case("/stream/x", EVENTS, Mark::LastChunk; "stream in chunks")]
fn an_answer_that_is_reset_during_its_request_is_not_complete(path: &str, body: &str, mark: Mark) {
    block_on(async {
        let whole = RawReply::success("", body, mark);
        // Without the last byte of a length, or the last chunk.
        let missing = match mark {
            Mark::Connection => 0,
            Mark::Length => 1,
            Mark::LastChunk => "0\r\n\r\n".len(),
        };
        let reply = whole.cut(whole.text.len() - missing, End::Reset);
        let setup = Setup::new(reply, false).await;
        let received = setup.upload(path).await;
        let is_success = received.status == 200 && received.whole;
        assert!(!is_success, "passed on as complete: {received:?}");
    });
}

/// Guards against rejecting sound answers that begin before their request has been read.
#[test_case("/once/x", RawReply::success("", "yours", Mark::Length); "with a length")]
#[test_case("/once/x", RawReply::success("", "yours", Mark::LastChunk); "with a last chunk")]
#[test_case("/once/x", unframed("yours", End::ReadThenClose); "without a length after the upload")]
#[test_case("/stream/x", unframed("data: yours\n\n", End::ReadThenClose); "stream after the upload")]
fn a_sound_early_answer_is_served(path: &str, reply: RawReply) {
    block_on(async {
        let setup = Setup::new(reply, false).await;
        let received = setup.upload(path).await;
        assert_eq!(
            (received.status, received.whole),
            (200, true),
            "{received:?}"
        );
        assert!(received.body.contains("yours"));
    });
}

/// Guards against passing on bytes as an answer whose status is none.
#[test_case("000 X", "/any/x", false; "status 000")]
#[test_case("099 X", "/any/x", false; "status 099")]
#[test_case("101 X", "/any/x", false; "status 101")]
#[test_case("101 X", "/stream/x", false; "status 101 of a stream")]
#[test_case("600 X", "/any/x", false; "status 600")]
#[test_case("600 X", "/once/x", false; "status 600 of a request that may run once")]
#[test_case("600 X", "/stream/x", false; "status 600 of a stream")]
#[test_case("600 X", "/resume/x", false; "status 600 of a resumable stream")]
#[test_case("700 X", "/any/x", true; "status 700 of a forwarded request")]
#[test_case("700 X", "/stream/x", true; "status 700 of a forwarded stream")]
#[test_case("999 X", "/any/x", false; "status 999")]
#[test_case("1000 X", "/any/x", false; "status of four digits")]
#[test_case("20x X", "/any/x", false; "status that is no number")]
fn an_answer_whose_status_is_none_is_a_failure(status: &str, path: &str, is_forwarded: bool) {
    block_on(async {
        let reply = RawReply::success("", EVENTS, Mark::Length).with_status(status);
        let setup = Setup::new(reply, is_forwarded).await;
        let received = setup.harness.upload(setup.asked, path, "1", 1).await;
        assert_eq!(received.status, 502, "{received:?}");
        assert_eq!(received.run.as_deref(), Some("may have run"));
    });
}

/// Guards against rejecting answers whose status says something else than success.
#[test_case("204 X", ""; "no content")]
#[test_case("205 X", ""; "reset content")]
#[test_case("304 X", ""; "not modified")]
#[test_case("404 X", "gone"; "not found")]
#[test_case("599 X", "why"; "the last server error")]
fn an_answer_with_any_other_status_is_passed_on(status: &str, body: &str) {
    block_on(async {
        let reply = RawReply::success("", body, Mark::Length).with_status(status);
        let setup = Setup::new(reply, false).await;
        let received = setup.harness.upload(setup.asked, "/any/x", "1", 1).await;
        let expected = status.split(' ').next().and_then(|s| s.parse().ok());
        assert_eq!(Some(received.status), expected, "{received:?}");
        assert_eq!((received.body.as_str(), received.whole), (body, true));
    });
}

/// Guards against taking bytes behind an answer without a body for another answer.
#[test_case("204 X"; "no content")]
#[test_case("304 X"; "not modified")]
fn bytes_behind_an_answer_without_a_body_belong_to_no_request(status: &str) {
    block_on(async {
        let reply = RawReply::success("", "", Mark::Length).with_status(status);
        let behind = RawReply::success("", "of another", Mark::Length);
        let text = format!("{}{}", reply.text, behind.text);
        let setup = Setup::new(RawReply { text, ..reply }, false).await;
        for id in ["1", "2", "3"] {
            let received = setup.harness.upload(setup.asked, "/any/x", id, 1).await;
            assert_eq!(received.body, "", "{received:?}");
        }
    });
}
