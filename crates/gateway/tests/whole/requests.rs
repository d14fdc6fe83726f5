//! Requests through a whole gateway, with upstreams and a store that fail.

use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_gateway::Record;

use crate::fakes::CallerResponse;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::deployment;

fn asked(harness: &Harness) -> usize {
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

/// An upstream sends the late answer to somebody else's request. It looks like
/// an answer; handed on, one caller would read another's.
#[test]
fn an_answer_to_another_request_reaches_nobody() {
    let harness = Harness::start(vec![vec![Reply::Crossed], vec![Reply::Crossed]]);
    block_on(async {
        harness.until_ready(true).await;
        let received = harness.ask("/any/x", "1").await;
        assert_eq!(received.status, 502);
        assert!(!received.body.contains("theirs"));
        assert_eq!(asked(&harness), 2);
    });
}

/// The same for a booking: it may have run, so it is neither sent again nor
/// answered with a status that says that it has not.
#[test]
fn a_booking_that_may_have_run_is_not_sent_again() {
    let harness = Harness::start(vec![vec![Reply::Crossed], vec![Reply::Crossed]]);
    block_on(async {
        harness.until_ready(true).await;
        let received = harness.ask("/once/x", "1").await;
        assert_eq!(received.status, 502);
        assert_eq!(received.run.as_deref(), Some("may have run"));
        assert_eq!(asked(&harness), 1);
    });
}

/// Every upstream is full and says so. Nothing ran, so the refusal may say it.
#[test]
fn a_booking_that_nobody_ran_is_refused_as_not_run() {
    let harness = Harness::start(vec![vec![Reply::NotRun], vec![Reply::NotRun]]);
    block_on(async {
        harness.until_ready(true).await;
        let received = harness.ask("/once/x", "1").await;
        assert_eq!(received.status, 503);
        assert_eq!(received.run.as_deref(), Some("not run"));
        assert_eq!(asked(&harness), 2);
    });
}

#[test]
fn an_idempotent_request_outlives_one_failing_upstream() {
    let harness = Harness::start(vec![vec![Reply::Failure, Reply::Complete("yours")]; 2]);
    block_on(async {
        harness.until_ready(true).await;
        harness.ask("/any/x", "1").await;
        assert_eq!(harness.ask("/any/x", "2").await, answered("yours"));
    });
}

/// When both fail, the upstream's own failure is passed on, not one of ours.
#[test]
fn an_upstreams_own_failure_is_passed_on() {
    let harness = Harness::start(vec![vec![Reply::Failure], vec![Reply::Failure]]);
    block_on(async {
        harness.until_ready(true).await;
        let received = harness.ask("/any/x", "1").await;
        assert_eq!((received.status, received.run), (500, None));
    });
}

const FIRST_HALF: &[&str] = &["id: 1\ndata: a\n\n", "id: 2\nda"];
const SECOND_HALF: &[&str] = &["id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];

/// An upstream stops in the middle of the second event. The caller gets every
/// event once and whole: the stream goes on elsewhere after the first.
#[test]
fn a_resumable_stream_goes_on_elsewhere_without_a_gap() {
    let torn = Reply::Stream {
        parts: FIRST_HALF,
        cut: true,
    };
    let rest = Reply::Stream {
        parts: SECOND_HALF,
        cut: false,
    };
    let harness = Harness::start(vec![vec![torn.clone(), rest.clone()], vec![torn, rest]]);
    block_on(async {
        harness.until_ready(true).await;
        // Whichever upstream is asked first breaks off, and so may the second.
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

/// The same where it must not run twice: the caller has to see that it broke.
#[test]
fn a_stream_that_may_not_go_on_is_visibly_cut() {
    let torn = Reply::Stream {
        parts: FIRST_HALF,
        cut: true,
    };
    let harness = Harness::start(vec![vec![torn.clone()], vec![torn]]);
    block_on(async {
        harness.until_ready(true).await;
        let received = harness.ask("/stream/x", "1").await;
        assert!(!received.whole);
        assert_eq!(received.body, "id: 1\ndata: a\n\n");
        assert_eq!(asked(&harness), 1);
    });
}

/// A process that has just started knows no route and no credential. Refused
/// for good then, callers with everything in order would not ask again.
#[test]
fn without_a_configuration_nothing_is_refused_for_good() {
    let harness = Harness::start_with(vec![vec![Reply::Complete("yours")]], Vec::new());
    block_on(async {
        let received = harness.ask("/any/x", "1").await;
        assert_eq!(received.status, 503);
        assert_eq!(received.run.as_deref(), Some("not run"));
    });
}

#[test]
fn unknown_routes_and_credentials_are_refused_for_good() {
    let harness = Harness::start(vec![vec![Reply::Complete("yours")]]);
    block_on(async {
        harness.until_ready(true).await;
        assert_eq!(harness.ask("/none/x", "1").await.status, 404);
        assert_eq!(harness.ask_with_key("/any/x", "key-2").await.status, 401);
        assert_eq!(asked(&harness), 0);
    });
}

/// The store does not answer any more. A credential may be taken away without
/// this instance hearing of it, so that after a while it must not act on what
/// it knows, nor refuse for good on the strength of it.
#[test]
fn without_proof_nothing_runs_until_the_store_is_back() {
    let harness = Harness::start(vec![vec![Reply::Complete("yours")]]);
    block_on(async {
        harness.until_ready(true).await;
        harness.store.set_unavailable(true);
        harness.until_ready(false).await;
        assert_eq!(harness.ask("/any/x", "1").await.status, 503);
        assert_eq!(harness.ask_with_key("/any/x", "key-2").await.status, 503);
        assert_eq!(asked(&harness), 0);
        harness.store.set_unavailable(false);
        harness.until_ready(true).await;
        assert_eq!(harness.ask("/any/x", "2").await, answered("yours"));
    });
}

/// An upstream's entry is removed while the store is well: its address may soon
/// belong to another service, and nothing new may reach it.
#[test]
fn an_upstream_that_is_gone_gets_nothing_new() {
    let harness = Harness::start(vec![vec![Reply::Complete("a")], vec![Reply::Complete("b")]]);
    block_on(async {
        harness.until_ready(true).await;
        harness.store.change(Change::UpstreamRemoved("i-0".into()));
        // Removed after an absence of the store its entry would count as lapsed.
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

/// A planned stop comes while an upstream works on a request: the caller gets
/// its whole answer, and the instance is out of the answers about addresses.
#[test]
fn a_stop_cuts_no_request_short() {
    let (tx, rx) = async_channel::bounded(1);
    let harness = Harness::start(vec![vec![Reply::UntilReleased(rx)]]);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_ready(true).await;
        let caller = Arc::clone(&harness);
        let asking = harness.spawn(async move { caller.ask("/once/x", "1").await });
        while asked(&harness) == 0 {
            async_io::Timer::after(Duration::from_millis(2)).await;
        }
        let gateway = Arc::clone(&harness.gateway);
        let stopping = harness.spawn(async move { gateway.stop().await });
        harness.until_ready(false).await;
        drop(tx);
        assert_eq!(asking.await, answered("held"));
        stopping.await;
    });
}

/// The operator lowers the bound on heads. Callers beyond it get a final answer,
/// and nothing of their request reaches an upstream.
#[test]
fn the_operators_bound_on_heads_is_followed() {
    let harness = Harness::start(vec![vec![Reply::Complete("yours")]]);
    block_on(async {
        harness.until_ready(true).await;
        assert_eq!(harness.ask_with_head("/any/x", 9_000).await.status, 200);
        let mut lower = deployment();
        lower.version = 2;
        lower.limits.head_bytes = 8_192;
        let change = Change::Put(Record::Deployment(Box::new(lower)));
        harness.store.change(change);
        let before = asked(&harness);
        let mut allowed = 0;
        while harness.ask_with_head("/any/x", 9_000).await.status != 431 {
            allowed += 1;
        }
        assert_eq!(asked(&harness), before + allowed);
    });
}

/// A stream is sent and brings an answer that proves nothing; the next upstream
/// says that the results of its stages are gone, and they cannot be made again.
/// The stages' own refusal is `not run`, which is not true of the request.
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

/// Guards against an upstream's own failure that is lost because a second one breaks its
/// answer off: the caller gets the failure, as the upstream gave it.
#[test]
fn an_upstreams_own_failure_outlives_a_second_answer_that_is_cut_off() {
    // Which of the two is asked first is drawn.
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
