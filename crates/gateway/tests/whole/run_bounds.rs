//! The number of upstreams that one request of a caller runs at.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_executor::Task;
use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_gateway::Record;
use test_case::test_case;

use crate::fakes::CallerResponse;
use crate::fakes::Cut;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::STREAM;
use crate::fakes::deployment;
use crate::fakes::path_fleet::by_ownership;
use crate::fakes::path_fleet::cut_off;
use crate::fakes::path_fleet::fleet;
use crate::fakes::path_fleet::until_noticed;

/// Upstreams of requests in a fleet.
const UPSTREAMS: usize = 4;
/// Upstreams that a request may be sent to by the routes of these tests.
const MAX_ATTEMPTS: usize = 2;
/// How long an upstream is silent that does not answer during a test.
const SILENCE: Duration = Duration::from_secs(60);
/// How long the number of runs is observed: longer than instances take to miss each other, and
/// than a stream may be silent.
const OBSERVED: Duration = Duration::from_secs(5);

const BROKEN: Reply = Reply::Stream {
    parts: &["id: 1\ndata: a\n\n"],
    cut: true,
};

/// How often upstreams have received a request.
fn runs_of(harness: &Harness, id: &str) -> usize {
    let upstreams = harness.upstreams[..UPSTREAMS].iter();
    let asked = upstreams.flat_map(|u| u.asked.lock().expect("a lock").clone());
    asked.filter(|(asked, _)| asked == id).count()
}

/// The number of upstreams that have received a request.
fn upstreams_of(harness: &Harness, id: &str) -> usize {
    let upstreams = harness.upstreams[..UPSTREAMS].iter();
    upstreams.filter(|u| u.has_run(id)).count()
}

async fn until_at(harness: &Harness, id: &str, upstreams: usize) {
    while upstreams_of(harness, id) < upstreams {
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Sets the replies of the upstreams that have not received a request.
fn set_other_replies(harness: &Harness, id: &str, reply: &Reply) {
    for upstream in &harness.upstreams[..UPSTREAMS] {
        if !upstream.has_run(id) {
            upstream.set_replies(vec![reply.clone()]);
        }
    }
}

async fn assert_runs_bounded(harness: &Harness, id: &str) {
    let began = Instant::now();
    while began.elapsed() < OBSERVED {
        // Which upstreams are selected is random; a further run may be at one of those before.
        let count = runs_of(harness, id);
        assert!(count <= MAX_ATTEMPTS, "it ran {count} times");
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Guards against excusing a run on a connection that still carries data, because its instance can
/// open no new ones.
#[test_case("/any/x", Reply::Pausing(&["never"], SILENCE), Reply::Failure; "idempotent")]
#[test_case("/any/x", Reply::DelayedFailure(SILENCE), Reply::Failure; "idempotent, before its head")]
#[test_case("/resume/x", Reply::DelayedFailure(SILENCE), BROKEN; "resumable, before its head")]
#[test_case("/resume/x", Reply::Pausing(&["id: 1\ndata: a\n\n", "never"], SILENCE), BROKEN; "resumable, after an event")]
fn runs_on_open_connections_count_while_no_new_ones_open(
    path: &'static str,
    first: Reply,
    others: Reply,
) {
    block_on(async {
        let harness = fleet(UPSTREAMS).await;
        let last = by_ownership(&harness)[3];
        set_other_replies(&harness, "1", &first);
        let _asking = harness.spawn_ask(last, path, "1");
        until_at(&harness, "1", 1).await;
        set_other_replies(&harness, "1", &others);
        Timer::after(Duration::from_millis(100)).await;
        harness.link(last).set(Some(Cut::RefusesNew));
        assert_runs_bounded(&harness, "1").await;
    });
}

/// Brings a request of an instance without a path to all the upstreams that its route allows, by one
/// other instance. Returns the fleet, in which a third instance could run it as well, and its
/// instances in the order of ownership: the second one is the third, the last one took the request.
async fn run_by_another(
    path: &'static str,
    first: Reply,
    others: Reply,
) -> (Harness, Vec<SocketAddr>, Task<CallerResponse>) {
    let harness = fleet(UPSTREAMS).await;
    let order = by_ownership(&harness);
    cut_off(&harness, &order[1..], Cut::Resets).await;
    set_other_replies(&harness, "1", &first);
    let asking = harness.spawn_ask(order[3], path, "1");
    until_at(&harness, "1", 1).await;
    set_other_replies(&harness, "1", &others);
    until_at(&harness, "1", MAX_ATTEMPTS).await;
    harness.link(order[1]).set(None);
    until_noticed(&harness, 2).await;
    (harness, order, asking)
}

/// Guards against counting the runs of an instance that was killed as one, which the instance that
/// forwarded the request did not hear of.
#[test_case("/any/x", Reply::DelayedFailure(Duration::from_millis(200)), Reply::DelayedFailure(SILENCE); "idempotent")]
#[test_case("/resume/x", Reply::CutThenSilent(SILENCE), Reply::CutThenSilent(SILENCE); "resumable")]
fn runs_of_an_instance_that_was_killed_count(path: &'static str, first: Reply, others: Reply) {
    block_on(async {
        let (mut harness, order, _asking) = run_by_another(path, first, others).await;
        harness.kill_gateway(order[0]);
        assert_runs_bounded(&harness, "1").await;
    });
}

/// Guards against the same where the connection between the two instances breaks, and both live.
#[test_case("/any/x", Reply::DelayedFailure(Duration::from_millis(200)), Reply::DelayedFailure(SILENCE); "idempotent")]
#[test_case("/resume/x", Reply::CutThenSilent(SILENCE), Reply::CutThenSilent(SILENCE); "resumable")]
fn runs_behind_a_connection_that_breaks_count(path: &'static str, first: Reply, others: Reply) {
    block_on(async {
        let (harness, order, _asking) = run_by_another(path, first, others).await;
        harness.link(order[3]).reset_forwards();
        assert_runs_bounded(&harness, "1").await;
    });
}

/// Guards against a forwarded request that fails, or a stream that ends, with its first upstream,
/// and against a second run at that same upstream.
#[test_case("/any/x", Reply::DelayedFailure(Duration::from_millis(200)), Reply::Complete("b"), "b"; "idempotent")]
#[test_case("/resume/x", Reply::Resumable { cut: true }, Reply::Resumable { cut: false }, &STREAM.concat(); "resumable, cut off")]
#[test_case("/resume/x", Reply::Pausing(&STREAM, SILENCE), Reply::Resumable { cut: false }, &STREAM.concat(); "resumable, silent")]
fn a_forwarded_request_is_repeated_at_another_upstream(
    path: &'static str,
    first: Reply,
    others: Reply,
    body: &str,
) {
    block_on(async {
        let harness = fleet(UPSTREAMS).await;
        let last = by_ownership(&harness)[3];
        cut_off(&harness, &[last], Cut::Resets).await;
        set_other_replies(&harness, "1", &first);
        let asking = harness.spawn_ask(last, path, "1");
        until_at(&harness, "1", 1).await;
        set_other_replies(&harness, "1", &others);
        let received = asking.await;
        assert!(received.whole, "{received:?}");
        assert_eq!((received.status, received.body.as_str()), (200, body));
        assert_eq!(upstreams_of(&harness, "1"), MAX_ATTEMPTS);
    });
}

/// Guards against repeating a request for an instance of an earlier version, which counts it as one
/// run.
#[test_case("/any/x", Reply::Failure; "idempotent")]
#[test_case("/resume/x", BROKEN; "resumable")]
fn a_request_forwarded_by_an_earlier_version_runs_once(path: &'static str, reply: Reply) {
    block_on(async {
        let harness = fleet(UPSTREAMS).await;
        set_other_replies(&harness, "1", &reply);
        let first = by_ownership(&harness)[0];
        harness.forward_uncounted(first, path, "1").await;
        assert_eq!(upstreams_of(&harness, "1"), 1);
    });
}

/// Guards against a late response to another request that counts as proof that this one did not
/// run.
#[test_case("/once/x", 1; "unsafe")]
#[test_case("/any/x", 2; "idempotent")]
#[test_case("/stream/x", 1; "streamed")]
fn a_refusal_of_another_request_proves_nothing(path: &'static str, most: usize) {
    block_on(async {
        let harness = Harness::start(vec![vec![Reply::CrossedNotRun]; UPSTREAMS]);
        harness.until_ready(true).await;
        let received = harness.ask(path, "1").await;
        assert_eq!(upstreams_of(&harness, "1"), most);
        assert_eq!(received.run.as_deref(), Some("may have run"));
    });
}

/// Guards against attempts beyond the number that the route allows by now, for a request that came
/// when it allowed more.
#[test_case("/any/x"; "idempotent")]
#[test_case("/resume/x"; "resumable")]
fn a_lower_bound_of_attempts_holds_for_requests_in_progress(path: &'static str) {
    block_on(async {
        let failure = Reply::DelayedFailure(Duration::from_millis(1_000));
        let harness = Harness::start(vec![vec![failure]; UPSTREAMS]);
        harness.until_ready(true).await;
        let asking = harness.spawn_ask(harness.peer_addresses()[0], path, "1");
        until_at(&harness, "1", 1).await;
        let mut lowered = deployment();
        lowered.version = 2;
        for route in &mut lowered.routes {
            route.max_attempts = 1;
        }
        harness
            .store
            .change(Change::Put(Record::Deployment(Box::new(lowered))));
        asking.await;
        assert_eq!(upstreams_of(&harness, "1"), 1);
    });
}
