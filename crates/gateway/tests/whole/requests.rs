//! Requests through a whole gateway, with failing upstreams and a failing store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_gateway::Record;
use jd_serving::UpstreamStart;
use test_case::test_case;

use crate::fakes::CallerResponse;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::deployment;
use crate::fakes::entry;

fn requests_received(harness: &Harness) -> usize {
    harness.upstreams.iter().map(|u| u.count()).sum()
}

fn answered(body: &str) -> CallerResponse {
    CallerResponse {
        status: 200,
        body: body.into(),
        whole: true,
        run: None,
        retry: None,
    }
}

#[test]
fn an_answer_is_passed_on_whole() {
    let harness = Harness::start(vec![vec![Reply::Complete("yours")]]);
    block_on(async {
        harness.until_ready(true).await;
        assert_eq!(harness.ask("/any/x", "1").await, answered("yours"));
    });
}

/// An upstream sends the late response to another request. If it were passed on, a caller would
/// read the response of another caller.
#[test]
fn a_response_to_another_request_is_not_passed_on() {
    let harness = Harness::start(vec![vec![Reply::Crossed], vec![Reply::Crossed]]);
    block_on(async {
        harness.until_ready(true).await;
        let received = harness.ask("/any/x", "1").await;
        assert_eq!(received.status, 502);
        assert!(!received.body.contains("theirs"));
        assert_eq!(requests_received(&harness), 2);
    });
}

/// The same for a booking: it may have run, so it is neither sent again nor refused with a
/// status that says that it did not run.
#[test]
fn a_booking_that_may_have_run_is_not_sent_again() {
    let harness = Harness::start(vec![vec![Reply::Crossed], vec![Reply::Crossed]]);
    block_on(async {
        harness.until_ready(true).await;
        let received = harness.ask("/once/x", "1").await;
        assert_eq!(received.status, 502);
        assert_eq!(received.run.as_deref(), Some("may have run"));
        assert_eq!(requests_received(&harness), 1);
    });
}

/// Every upstream is full and states that it did not run the request, so that the refusal can
/// state it too.
#[test]
fn a_booking_that_no_upstream_ran_is_refused_as_not_run() {
    let harness = Harness::start(vec![vec![Reply::NotRun], vec![Reply::NotRun]]);
    block_on(async {
        harness.until_ready(true).await;
        let received = harness.ask("/once/x", "1").await;
        assert_eq!(received.status, 503);
        assert_eq!(received.run.as_deref(), Some("not run"));
        assert_eq!(requests_received(&harness), 2);
    });
}

#[test]
fn an_idempotent_request_survives_one_failing_upstream() {
    let harness = Harness::start(vec![vec![Reply::Failure, Reply::Complete("yours")]; 2]);
    block_on(async {
        harness.until_ready(true).await;
        harness.ask("/any/x", "1").await;
        assert_eq!(harness.ask("/any/x", "2").await, answered("yours"));
    });
}

/// When both upstreams fail, the error response of the upstream is passed on instead of a
/// refusal of the gateway.
#[test]
fn an_upstreams_error_response_is_passed_on() {
    let harness = Harness::start(vec![vec![Reply::Failure], vec![Reply::Failure]]);
    block_on(async {
        harness.until_ready(true).await;
        let received = harness.ask("/any/x", "1").await;
        assert_eq!((received.status, received.run), (500, None));
    });
}

const FIRST_HALF: &[&str] = &["id: 1\ndata: a\n\n", "id: 2\nda"];
const SECOND_HALF: &[&str] = &["id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];

/// An upstream breaks off in the middle of the second event. The caller gets every event once
/// and complete: the stream resumes on another upstream after the first event.
#[test]
fn a_resumable_stream_resumes_on_another_upstream_without_a_gap() {
    let broken_off = Reply::Stream {
        parts: FIRST_HALF,
        cut: true,
    };
    let rest = Reply::Stream {
        parts: SECOND_HALF,
        cut: false,
    };
    let harness = Harness::start(vec![
        vec![broken_off.clone(), rest.clone()],
        vec![broken_off, rest],
    ]);
    block_on(async {
        harness.until_ready(true).await;
        // The first upstream breaks off, and the second one may do so as well.
        let received = harness.ask("/resume/x", "1").await;
        assert!(received.body.starts_with("id: 1\ndata: a\n\n"));
        let again = harness.ask("/resume/x", "2").await;
        assert!(again.whole);
        let asked: Vec<_> = harness
            .upstreams
            .iter()
            .flat_map(|u| u.asked.lock().expect("a lock").clone())
            .collect();
        assert!(asked.contains(&("1".into(), Some("1".into()))));
    });
}

/// The same for a request that must not run twice: the caller has to see that the stream broke.
#[test]
fn a_stream_that_may_not_resume_is_visibly_cut_off() {
    let broken_off = Reply::Stream {
        parts: FIRST_HALF,
        cut: true,
    };
    let harness = Harness::start(vec![vec![broken_off.clone()], vec![broken_off]]);
    block_on(async {
        harness.until_ready(true).await;
        let received = harness.ask("/stream/x", "1").await;
        assert!(!received.whole);
        assert_eq!(received.body, "id: 1\ndata: a\n\n");
        assert_eq!(requests_received(&harness), 1);
    });
}

/// An instance that has just started knows no route and no credential. A final refusal would
/// keep callers with a valid route and credential from retrying.
#[test]
fn without_a_configuration_no_refusal_is_final() {
    let harness = Harness::start_with(vec![vec![Reply::Complete("yours")]], Vec::new());
    block_on(async {
        let received = harness.ask("/any/x", "1").await;
        assert_eq!(received.status, 503);
        assert_eq!(received.run.as_deref(), Some("not run"));
    });
}

#[test]
fn refusals_of_unknown_routes_and_credentials_are_final() {
    let harness = Harness::start(vec![vec![Reply::Complete("yours")]]);
    block_on(async {
        harness.until_ready(true).await;
        assert_eq!(harness.ask("/none/x", "1").await.status, 404);
        assert_eq!(harness.ask_with_key("/any/x", "key-2").await.status, 401);
        assert_eq!(requests_received(&harness), 0);
    });
}

/// The store stops answering. A credential may be revoked without this instance learning of it,
/// so that after a while the instance must neither serve requests nor refuse them finally on the
/// basis of its old configuration.
#[test]
fn without_proof_nothing_runs_until_the_store_is_back() {
    let harness = Harness::start(vec![vec![Reply::Complete("yours")]]);
    block_on(async {
        harness.until_ready(true).await;
        harness.store.set_unavailable(true);
        harness.until_ready(false).await;
        assert_eq!(harness.ask("/any/x", "1").await.status, 503);
        assert_eq!(harness.ask_with_key("/any/x", "key-2").await.status, 503);
        assert_eq!(requests_received(&harness), 0);
        harness.store.set_unavailable(false);
        harness.until_ready(true).await;
        assert_eq!(harness.ask("/any/x", "2").await, answered("yours"));
    });
}

/// An upstream's entry is removed while the store is available: its address may soon belong to
/// another service, so that the upstream must not get new requests.
#[test]
fn an_upstream_that_is_gone_gets_nothing_new() {
    let harness = Harness::start(vec![vec![Reply::Complete("a")], vec![Reply::Complete("b")]]);
    block_on(async {
        harness.until_ready(true).await;
        harness.store.change(Change::UpstreamRemoved("i-0".into()));
        // A removal seen only after a store outage would count as the expiry of the entry.
        while !harness.store.is_caught_up() {
            async_io::Timer::after(Duration::from_millis(2)).await;
        }
        assert_eq!(harness.ask("/any/x", "1").await, answered("b"));
        harness.store.set_unavailable(true);
        harness.until_ready(false).await;
        harness.store.set_unavailable(false);
        harness.until_ready(true).await;
        let before = harness.upstreams[0].count();
        for _ in 0..30 {
            assert_eq!(harness.ask("/any/x", "2").await, answered("b"));
        }
        assert_eq!(harness.upstreams[0].count(), before);
    });
}

/// A planned shutdown begins while an upstream runs a request: the caller gets its complete
/// response, and the instance is removed from address responses.
#[test]
fn a_shutdown_cuts_off_no_request() {
    let (tx, rx) = async_channel::bounded(1);
    let harness = Harness::start(vec![vec![Reply::UntilReleased(rx)]]);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_ready(true).await;
        let caller = Arc::clone(&harness);
        let response = harness.spawn(async move { caller.ask("/once/x", "1").await });
        while requests_received(&harness) == 0 {
            async_io::Timer::after(Duration::from_millis(2)).await;
        }
        let gateway = Arc::clone(&harness.gateway);
        let stopping = harness.spawn(async move { gateway.stop().await });
        harness.until_ready(false).await;
        drop(tx);
        assert_eq!(response.await, answered("held"));
        stopping.await;
    });
}

/// The operator lowers the limit on request heads. Requests above it get a final refusal, and
/// nothing of them reaches an upstream.
#[test]
fn a_lowered_limit_on_request_heads_is_applied() {
    let harness = Harness::start(vec![vec![Reply::Complete("yours")]]);
    block_on(async {
        harness.until_ready(true).await;
        assert_eq!(harness.ask_with_head("/any/x", 9_000).await.status, 200);
        let mut lower = deployment();
        lower.version = 2;
        lower.limits.head_bytes = 8_192;
        let change = Change::Put(Record::Deployment(Box::new(lower)));
        harness.store.change(change);
        let before = requests_received(&harness);
        let mut allowed = 0;
        while harness.ask_with_head("/any/x", 9_000).await.status != 431 {
            allowed += 1;
        }
        assert_eq!(requests_received(&harness), before + allowed);
    });
}

/// A streaming request gets a response to another request, so that it may have run. The next
/// upstream answers that the stage results are gone, and the stages fail when they run again.
/// The refusal of the stages says `not run`, which is not true of the request.
#[test]
fn stages_that_fail_after_a_send_do_not_make_it_not_run() {
    let reply = Reply::CrossedThenInputsGone(Arc::default());
    let stage = vec![Reply::Complete("made"), Reply::Complete("failed")];
    let harness = Harness::start_with_stage(vec![vec![reply]; 2], stage);
    block_on(async {
        harness.until_ready(true).await;
        let received = harness.ask("/staged/x", "1").await;
        assert_eq!(received.status, 502);
        assert_eq!(received.run.as_deref(), Some("may have run"));
    });
}

/// Guards against sending a request once more for free after an upstream that lacked its stage
/// results: the request arrived there.
#[test]
fn a_send_after_missing_stage_results_is_a_retry() {
    let asked = Arc::new(AtomicBool::new(true));
    let reply = Reply::CrossedThenInputsGone(asked);
    let stage = vec![Reply::Complete("made"); 8];
    let harness = Harness::start_with_stage(vec![vec![reply]; 6], stage);
    block_on(async {
        harness.until_ready(true).await;
        assert_ne!(harness.ask("/staged/x", "1").await.status, 200);
        let arrived = harness.upstreams[..6].iter().map(|u| u.count());
        let arrived = arrived.sum::<usize>() as u64;
        assert!(arrived > 1, "{arrived}");
        let allowed = "jd_gateway_repeats_total{outcome=\"allowed\"}";
        assert_eq!(harness.counter_total(allowed).await, arrived - 1);
    });
}

/// Guards against losing the error response of one upstream because the response of a second one
/// breaks off: the caller gets the error response unchanged.
#[test]
fn an_upstreams_error_response_is_passed_on_after_a_second_response_that_is_cut_off() {
    // The order of the two upstreams is random.
    for _ in 0..8 {
        let cut = Reply::Stream {
            parts: &["half"],
            cut: true,
        };
        let harness = Harness::start(vec![vec![Reply::Failure], vec![cut]]);
        block_on(async {
            harness.until_ready(true).await;
            let received = harness.ask("/any/x", "1").await;
            assert_eq!(received.status, 500, "{received:?}");
        });
    }
}

/// Guards against refusing requests because connections that did not open have used up the retry
/// budget: nothing has arrived, so that the next attempt is no retry.
#[test_case("/any/x"; "plain")]
#[test_case("/stream/x"; "streamed")]
fn a_connection_that_does_not_open_uses_no_retry_budget(path: &'static str) {
    let answer = Reply::Stream {
        parts: &["id: 1\ndata: a\n\n"],
        cut: false,
    };
    let harness = Harness::start(vec![vec![answer]]);
    block_on(async {
        harness.until_ready(true).await;
        let closed = SocketAddr::from(([127, 0, 0, 1], 1));
        let dead = entry("dead", "pool", closed, UpstreamStart::UNKNOWN);
        harness.store.change(Change::Put(dead));
        let unreachable = "jd_gateway_attempts_total{outcome=\"unreachable\"}";
        while harness.counter_total(unreachable).await == 0 {
            let received = harness.ask(path, "1").await;
            assert_eq!(received.status, 200, "{received:?}");
        }
        for outcome in ["allowed", "over-budget"] {
            let retries = format!("jd_gateway_repeats_total{{outcome=\"{outcome}\"}}");
            assert_eq!(harness.counter_total(&retries).await, 0, "{outcome}");
        }
    });
}
