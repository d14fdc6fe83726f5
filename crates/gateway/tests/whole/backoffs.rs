//! Upstreams that refuse a request and ask for a backoff.

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

/// The backoff that an upstream asks for, and its text in the response.
const BACKOFF: Duration = Duration::from_secs(3);
const BACKOFF_TEXT: &str = "3";

/// Guards against requests that are sent to an upstream during the backoff it asked for.
#[test_case("/any/x", 0; "plain")]
#[test_case("/once/x", 0; "at most once")]
#[test_case("/stream/x", 0; "streamed")]
#[test_case("/staged/x", 0; "after stages")]
#[test_case("/staged/x", 3; "pieces")]
fn an_upstream_in_backoff_gets_no_requests(path: &'static str, backing_off: usize) {
    let harness = gateway(3);
    block_on(async {
        harness.until_ready(true).await;
        let upstream = &harness.upstreams[backing_off];
        upstream.set_replies(vec![Reply::BackOff(BACKOFF_TEXT)]);
        let refused_at = send_until_received(&harness, path, upstream).await;
        assert_all_served(&send_repeatedly(&harness, path, PAUSE, BACKOFF - IN_FLIGHT_GRACE).await);
        let late = arrivals(upstream, refused_at + IN_FLIGHT_GRACE, refused_at + BACKOFF);
        assert_eq!(late, 0, "sent during the backoff");
        send_repeatedly(&harness, path, PAUSE, LOAD).await;
        let again = arrivals(upstream, refused_at + BACKOFF, Instant::now());
        assert!(again > 0, "no request after the backoff");
    });
}

/// All upstreams back off for longer than the caller waits. The caller gets a refusal at once
/// that says that the request did not run, and no upstream gets a request.
#[test_case("/any/x"; "plain")]
#[test_case("/once/x"; "at most once")]
#[test_case("/stream/x"; "streamed")]
#[test_case("/staged/x"; "after stages")]
fn a_request_is_refused_at_once_while_all_upstreams_back_off(path: &'static str) {
    let harness = gateway(2);
    block_on(async {
        harness.until_ready(true).await;
        for upstream in &harness.upstreams[..2] {
            upstream.set_replies(vec![Reply::BackOff("60")]);
            send_until_received(&harness, path, upstream).await;
        }
        let stage_requests = || harness.upstreams[2].count() + harness.upstreams[3].count();
        let (before, sent_at) = (stage_requests(), Instant::now());
        let received = harness.ask(path, "late").await;
        assert_eq!(received.status, 503);
        assert_eq!(received.run.as_deref(), Some("not run"));
        let retry = received.retry.expect("a retry time");
        assert!(retry > BACKOFF, "{retry:?}, but all backoffs are longer");
        assert!(
            sent_at.elapsed() < IN_FLIGHT_GRACE,
            "{:?}",
            sent_at.elapsed()
        );
        for upstream in &harness.upstreams[..2] {
            assert_eq!(arrivals(upstream, sent_at, Instant::now()), 0);
        }
        assert_eq!(
            stage_requests(),
            before,
            "a stage ran for a refused request"
        );
    });
}

/// All upstreams of a stage back off for longer than the caller waits.
#[test]
fn a_request_is_refused_at_once_while_all_upstreams_of_its_stage_back_off() {
    let harness = gateway(1);
    block_on(async {
        harness.until_ready(true).await;
        for upstream in &harness.upstreams[1..] {
            upstream.set_replies(vec![Reply::BackOff("60")]);
        }
        harness.ask("/staged/x", "first").await;
        let sent_at = Instant::now();
        for id in ["second", "third"] {
            let received = harness.ask("/staged/x", id).await;
            assert_eq!(received.status, 503);
            assert_eq!(received.run.as_deref(), Some("not run"));
            let retry = received.retry.expect("a retry time");
            assert!(retry > BACKOFF, "{retry:?}, but all backoffs are longer");
        }
        assert!(
            sent_at.elapsed() < IN_FLIGHT_GRACE,
            "{:?}",
            sent_at.elapsed()
        );
        for upstream in &harness.upstreams[1..] {
            assert_eq!(arrivals(upstream, sent_at, Instant::now()), 0);
        }
    });
}

/// A backoff is not a failure: the upstream is not avoided for longer than it asked for, and
/// requests that are refused during the backoff take nothing from the retry budget.
#[test]
fn an_upstream_is_used_as_before_after_its_backoff() {
    let harness = gateway(1);
    block_on(async {
        harness.until_ready(true).await;
        let upstream = &harness.upstreams[0];
        upstream.set_replies(vec![Reply::BackOff("1"), Reply::Complete("its answer")]);
        let refused_at = send_until_received(&harness, "/once/x", upstream).await;
        let before = harness.counter_total("jd_gateway_repeats_total").await;
        while harness.ask("/once/x", "next").await.status != 200 {
            Timer::after(PAUSE).await;
        }
        let took = refused_at.elapsed();
        let due = Duration::from_millis(1_100) + IN_FLIGHT_GRACE;
        assert!(took >= Duration::from_secs(1) && took < due, "{took:?}");
        assert_eq!(
            harness.counter_total("jd_gateway_repeats_total").await,
            before
        );
    });
}

/// Sends requests until one reaches `upstream`. Returns the time at which it arrived.
async fn send_until_received(harness: &Harness, path: &str, upstream: &FakeUpstream) -> Instant {
    let from = Instant::now();
    loop {
        harness.ask(path, "first").await;
        let mut arrivals = upstream.arrivals().into_iter();
        if let Some(at) = arrivals.find(|at| *at >= from) {
            return at;
        }
    }
}
