//! Upstreams that refuse a request and want nothing more for a while.

use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::FakeUpstream;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::crash_fleet::send_repeatedly;
use crate::fakes::upstream_notices::IN_FLIGHT_GRACE;
use crate::fakes::upstream_notices::LOAD;
use crate::fakes::upstream_notices::PAUSE;
use crate::fakes::upstream_notices::arrivals;
use crate::fakes::upstream_notices::assert_all_served;
use crate::fakes::upstream_notices::gateway;

/// How long an upstream wants nothing, and the same as it says it.
const BACKOFF: Duration = Duration::from_secs(3);
const BACKOFF_TEXT: &str = "3";

/// An upstream refuses a request, asks for rest, and gets the next ones all the same.
#[test_case("/any/x", 0; "plain")]
#[test_case("/once/x", 0; "at most once")]
#[test_case("/stream/x", 0; "streamed")]
#[test_case("/staged/x", 0; "after stages")]
#[test_case("/staged/x", 3; "pieces")]
fn an_upstream_that_wants_nothing_for_a_while_gets_nothing(path: &'static str, resting: usize) {
    let harness = gateway(3);
    block_on(async {
        harness.until_ready(true).await;
        let upstream = &harness.upstreams[resting];
        upstream.set_replies(vec![Reply::BackOff(BACKOFF_TEXT)]);
        let said = until_asked(&harness, path, upstream).await;
        assert_all_served(&send_repeatedly(&harness, path, PAUSE, BACKOFF - IN_FLIGHT_GRACE).await);
        let late = arrivals(upstream, said + IN_FLIGHT_GRACE, said + BACKOFF);
        assert_eq!(late, 0, "sent while it wanted nothing");
        send_repeatedly(&harness, path, PAUSE, LOAD).await;
        let again = arrivals(upstream, said + BACKOFF, Instant::now());
        assert!(again > 0, "never asked again");
    });
}

/// All upstreams want nothing for longer than the caller waits. It is told so at once, and
/// truthfully, and none of them is asked.
#[test_case("/any/x"; "plain")]
#[test_case("/once/x"; "at most once")]
#[test_case("/stream/x"; "streamed")]
#[test_case("/staged/x"; "after stages")]
fn a_request_that_no_upstream_takes_for_a_while_is_refused_at_once(path: &'static str) {
    let harness = gateway(2);
    block_on(async {
        harness.until_ready(true).await;
        for upstream in &harness.upstreams[..2] {
            upstream.set_replies(vec![Reply::BackOff("60")]);
            until_asked(&harness, path, upstream).await;
        }
        let asked = || harness.upstreams[2].count() + harness.upstreams[3].count();
        let (before, counted) = (asked(), Instant::now());
        let received = harness.ask(path, "late").await;
        assert_eq!(received.status, 503);
        assert_eq!(received.run.as_deref(), Some("not run"));
        let retry = received.retry.expect("a time to come back");
        assert!(retry > BACKOFF, "{retry:?} although all want longer");
        assert!(
            counted.elapsed() < IN_FLIGHT_GRACE,
            "{:?}",
            counted.elapsed()
        );
        for upstream in &harness.upstreams[..2] {
            assert_eq!(arrivals(upstream, counted, Instant::now()), 0);
        }
        assert_eq!(asked(), before, "a stage in vain");
    });
}

/// All upstreams of a stage want nothing for longer than the caller waits.
#[test]
fn a_request_whose_stage_no_upstream_does_for_a_while_is_refused_at_once() {
    let harness = gateway(1);
    block_on(async {
        harness.until_ready(true).await;
        for upstream in &harness.upstreams[1..] {
            upstream.set_replies(vec![Reply::BackOff("60")]);
        }
        harness.ask("/staged/x", "first").await;
        let counted = Instant::now();
        for id in ["second", "third"] {
            let received = harness.ask("/staged/x", id).await;
            assert_eq!(received.status, 503);
            assert_eq!(received.run.as_deref(), Some("not run"));
            let retry = received.retry.expect("a time to come back");
            assert!(retry > BACKOFF, "{retry:?} although all want longer");
        }
        assert!(
            counted.elapsed() < IN_FLIGHT_GRACE,
            "{:?}",
            counted.elapsed()
        );
        for upstream in &harness.upstreams[1..] {
            assert_eq!(arrivals(upstream, counted, Instant::now()), 0);
        }
    });
}

/// Rest is no failure: the upstream is not avoided for longer, and what it refused spends
/// nothing of what may be sent once more while it rests.
#[test]
fn an_upstream_that_rested_is_used_as_before() {
    let harness = gateway(1);
    block_on(async {
        harness.until_ready(true).await;
        let upstream = &harness.upstreams[0];
        upstream.set_replies(vec![Reply::BackOff("1"), Reply::Complete("its answer")]);
        let said = until_asked(&harness, "/once/x", upstream).await;
        let before = harness.counter_total("jd_gateway_repeats_total").await;
        while harness.ask("/once/x", "next").await.status != 200 {
            Timer::after(PAUSE).await;
        }
        let took = said.elapsed();
        let due = Duration::from_millis(1_100) + IN_FLIGHT_GRACE;
        assert!(took >= Duration::from_secs(1) && took < due, "{took:?}");
        assert_eq!(
            harness.counter_total("jd_gateway_repeats_total").await,
            before
        );
    });
}

/// Sends requests until an upstream has been asked; when it was.
async fn until_asked(harness: &Harness, path: &str, upstream: &FakeUpstream) -> Instant {
    let from = Instant::now();
    loop {
        harness.ask(path, "first").await;
        let mut arrivals = upstream.arrivals().into_iter();
        if let Some(at) = arrivals.find(|at| *at >= from) {
            return at;
        }
    }
}
