//! Instances that have lost their network path to all upstreams, while callers, other instances
//! and the store still reach them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::CallerResponse;
use crate::fakes::Cut;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::path_fleet::ANSWER;
use crate::fakes::path_fleet::by_ownership;
use crate::fakes::path_fleet::cut_off;
use crate::fakes::path_fleet::fleet;
use crate::fakes::path_fleet::until_noticed;

/// How long requests go on after a cut before their outcome counts.
const NOTICED_WITHIN: Duration = Duration::from_secs(3);
/// Requests whose outcome counts.
const COUNTED: usize = 40;
const PAUSE: Duration = Duration::from_millis(100);

/// Sends two requests at once to an instance every [`PAUSE`], for [`NOTICED_WITHIN`] and then
/// until [`COUNTED`] more are sent, whose answers are returned. Of two requests at once, one needs
/// a new connection.
async fn load(harness: &Harness, to: SocketAddr, path: &'static str) -> Vec<CallerResponse> {
    let noticed = 2 * (NOTICED_WITHIN.as_millis() / PAUSE.as_millis()) as usize;
    let mut asking = Vec::new();
    for n in 0..noticed + COUNTED {
        asking.push(harness.spawn_ask(to, path, &format!("{path}-{n}")));
        if n % 2 == 1 {
            Timer::after(PAUSE).await;
        }
    }
    let mut received = Vec::new();
    for asking in asking.drain(..).skip(noticed) {
        received.push(asking.await);
    }
    received
}

fn assert_served(received: &[CallerResponse]) {
    let failed = received.iter().filter(|r| r.status != 200 || !r.whole);
    let failed: Vec<&CallerResponse> = failed.collect();
    let count = received.len();
    assert!(failed.is_empty(), "{} of {count}: {failed:?}", failed.len());
}

/// Requests that have arrived at the upstreams, other than those of the stage.
fn requests_at(harness: &Harness) -> usize {
    harness.upstreams[..2].iter().map(|u| u.count()).sum()
}

/// Asserts that no upstream of requests got the same request as another, or twice.
fn assert_sent_once(harness: &Harness) {
    let upstreams = harness.upstreams[..2].iter();
    let asked = upstreams.map(|u| u.asked.lock().expect("a lock").clone());
    let mut ids: Vec<String> = asked.flatten().map(|(id, _)| id).collect();
    ids.retain(|id| id.starts_with("/once/"));
    ids.sort_unstable();
    let count = ids.len();
    ids.dedup();
    assert_eq!(ids.len(), count, "a request arrived more than once");
}

/// Guards against refusing callers for as long as their instance reaches no upstream, although
/// the others do.
#[test_case("/any/x", Cut::Resets; "idempotent, resets")]
#[test_case("/any/x", Cut::Hangs; "idempotent, hangs")]
#[test_case("/any/x", Cut::RefusesNew; "idempotent, refuses new connections")]
#[test_case("/once/x", Cut::Resets; "unsafe, resets")]
#[test_case("/once/x", Cut::Hangs; "unsafe, hangs")]
#[test_case("/once/x", Cut::RefusesNew; "unsafe, refuses new connections")]
#[test_case("/stream/x", Cut::Resets; "streamed, resets")]
#[test_case("/resume/x", Cut::Hangs; "resumable, hangs")]
#[test_case("/staged/x", Cut::Resets; "staged, resets")]
#[test_case("/staged/x", Cut::Hangs; "staged, hangs")]
fn callers_of_an_instance_without_a_path_are_served(path: &'static str, cut: Cut) {
    block_on(async {
        let harness = fleet(2).await;
        let last = by_ownership(&harness)[3];
        harness.link(last).set(Some(cut));
        assert_served(&load(&harness, last, path).await);
        assert_sent_once(&harness);
    });
}

/// Guards against a forwarded request that adds to the retry budgets of two instances.
#[test]
fn a_forwarded_request_adds_to_one_retry_budget() {
    block_on(async {
        let harness = fleet(2).await;
        let last = by_ownership(&harness)[3];
        cut_off(&harness, &[last], Cut::Resets).await;
        let first_sends = "jd_gateway_first_sends_total";
        let before = harness.counter_total(first_sends).await;
        let arrived = requests_at(&harness);
        for n in 0..10 {
            let asking = harness.spawn_ask(last, "/any/x", &format!("once-{n}"));
            assert_eq!(asking.await.status, 200);
        }
        assert_eq!(requests_at(&harness) - arrived, 10);
        assert_eq!(harness.counter_total(first_sends).await - before, 10);
    });
}

/// Guards against stages that fail at all instances because their owner reaches no upstream.
#[test_case(Cut::Resets; "resets")]
#[test_case(Cut::Hangs; "hangs")]
fn stages_move_from_an_owner_without_a_path(cut: Cut) {
    block_on(async {
        let harness = Arc::new(fleet(2).await);
        let order = by_ownership(&harness);
        harness.link(order[0]).set(Some(cut));
        assert_served(&load(&harness, order[3], "/staged/x").await);
    });
}

/// Guards against requests that wait, or go from instance to instance, when none has a path.
#[test_case("/any/x"; "idempotent")]
#[test_case("/once/x"; "unsafe")]
#[test_case("/staged/x"; "staged")]
fn requests_are_refused_at_once_when_all_instances_have_lost_their_path(path: &'static str) {
    block_on(async {
        let harness = fleet(2).await;
        let all = by_ownership(&harness);
        cut_off(&harness, &all, Cut::Resets).await;
        for peers in &all {
            let began = Instant::now();
            let received = harness.spawn_ask(*peers, path, "1").await;
            assert_eq!(received.status, 503, "{received:?}");
            assert_eq!(received.run.as_deref(), Some("not run"));
            assert!(received.retry.is_some());
            let took = began.elapsed();
            assert!(took < Duration::from_millis(500), "after {took:?}");
        }
    });
}

/// Guards against an instance that goes on forwarding, or avoids upstreams that it could not
/// connect to, after its path is back.
#[test_case(Cut::Resets; "reset")]
#[test_case(Cut::Hangs; "hung")]
fn an_instance_sends_to_upstreams_again_once_its_path_is_back(cut: Cut) {
    block_on(async {
        let harness = fleet(2).await;
        let last = by_ownership(&harness)[3];
        cut_off(&harness, &[last], cut).await;
        harness.link(last).set(None);
        until_noticed(&harness, 0).await;
        let forwards = "jd_gateway_forwards_total{outcome=\"answered\"}";
        let before = harness.counter_total(forwards).await;
        let counts = || harness.upstreams[..2].iter().map(|u| u.count());
        let asked: Vec<usize> = counts().collect();
        for n in 0..40 {
            let received = harness
                .spawn_ask(last, "/once/x", &format!("back-{n}"))
                .await;
            assert_eq!(received.status, 200, "{received:?}");
        }
        assert_eq!(harness.counter_total(forwards).await, before);
        for (count, before) in counts().zip(asked) {
            assert!(count > before, "an upstream is avoided");
        }
    });
}

/// Guards against requests that are suspected of ending upstreams because connections broke and no
/// new ones opened, at an instance that had lost its path.
#[test]
fn a_lost_path_counts_as_no_crash_of_an_upstream() {
    block_on(async {
        let harness = fleet(2).await;
        let last = by_ownership(&harness)[3];
        let (_held, rx) = async_channel::bounded(1);
        for upstream in &harness.upstreams[..2] {
            upstream.set_replies(vec![Reply::UntilReleased(rx.clone())]);
        }
        let before = requests_at(&harness);
        let asking = harness.spawn_ask(last, "/once/x", "1");
        while requests_at(&harness) == before {
            Timer::after(Duration::from_millis(5)).await;
        }
        harness.link(last).set(Some(Cut::Resets));
        assert_eq!(asking.await.run.as_deref(), Some("may have run"));
        let there = "jd_gateway_broken_runs_total{outcome=\"there\"}";
        let ended = "jd_gateway_broken_runs_total{outcome=\"ended\"}";
        while harness.counter_total(there).await + harness.counter_total(ended).await == 0 {
            Timer::after(Duration::from_millis(20)).await;
        }
        assert_eq!(harness.counter_total(ended).await, 0);
    });
}

/// Guards against a stream that is cut off, or has a gap or an event twice, because its instance
/// loses its path while it is passed on.
#[test_case(Cut::Resets; "reset")]
#[test_case(Cut::Hangs; "hung")]
fn a_stream_goes_on_at_another_instance(cut: Cut) {
    block_on(async {
        let harness = fleet(2).await;
        let last = by_ownership(&harness)[3];
        let first: &[&str] = &["id: 1\ndata: a\n\n", "never"];
        let rest = Reply::Stream {
            parts: &["id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"],
            cut: false,
        };
        let silent = Duration::from_secs(60);
        for upstream in &harness.upstreams[..2] {
            upstream.set_replies(vec![Reply::Pausing(first, silent)]);
        }
        let before = requests_at(&harness);
        let asking = harness.spawn_ask(last, "/resume/x", "1");
        while requests_at(&harness) == before {
            Timer::after(Duration::from_millis(5)).await;
        }
        for upstream in &harness.upstreams[..2] {
            upstream.set_replies(vec![rest.clone()]);
        }
        Timer::after(Duration::from_millis(100)).await;
        harness.link(last).set(Some(cut));
        let received = asking.await;
        assert!(received.whole, "{received:?}");
        let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
        assert_eq!(received.body, events);
        let asked = harness.upstreams[..2].iter();
        let asked = asked.flat_map(|u| u.asked.lock().expect("a lock").clone());
        let resumed = asked.filter(|(id, after)| id == "1" && after.as_deref() == Some("1"));
        assert_eq!(resumed.count(), 1);
    });
}

/// Guards against retries that are given back although another instance sent them to upstreams,
/// which rejected them.
#[test]
fn a_forwarded_retry_that_upstreams_reject_is_paid() {
    block_on(async {
        let harness = fleet(4).await;
        let last = by_ownership(&harness)[3];
        let first: &[&str] = &["id: 1\ndata: a\n\n", "never"];
        let upstreams = &harness.upstreams[..4];
        for upstream in upstreams {
            upstream.set_replies(vec![Reply::Pausing(first, Duration::from_secs(60))]);
        }
        let asking = harness.spawn_ask(last, "/resume/x", "1");
        while !upstreams.iter().any(|u| u.has_run("1")) {
            Timer::after(Duration::from_millis(5)).await;
        }
        for upstream in upstreams {
            upstream.set_replies(vec![Reply::NotRun]);
        }
        Timer::after(Duration::from_millis(100)).await;
        harness.link(last).set(Some(Cut::Resets));
        let received = asking.await;
        assert!(!received.whole, "{received:?}");
        let asked = upstreams
            .iter()
            .flat_map(|u| u.asked.lock().expect("a lock").clone());
        let repeats = asked.filter(|(id, _)| id == "1").count() - 1;
        let outcome = |outcome| format!("jd_gateway_repeats_total{{outcome=\"{outcome}\"}}");
        let allowed = harness.counter_total(&outcome("allowed")).await;
        let given_back = harness.counter_total(&outcome("given-back")).await;
        assert!(repeats > 0, "the stream was not sent again");
        assert!(allowed > 0, "no retry was allowed");
        let paid = (allowed - given_back) as usize;
        assert!(
            repeats <= paid,
            "{repeats} repeats arrived, {paid} are paid"
        );
    });
}

/// Guards against a request that runs twice, or whose caller hears that it has not run, because
/// the instance that ran it for another was killed.
#[test_case("/once/x", 502; "unsafe")]
#[test_case("/any/x", 200; "idempotent")]
fn a_forwarded_request_survives_or_may_have_run(path: &'static str, status: u16) {
    block_on(async {
        let mut harness = fleet(2).await;
        let order = by_ownership(&harness);
        cut_off(&harness, &order[1..], Cut::Resets).await;
        let (_held, rx) = async_channel::bounded(1);
        for upstream in &harness.upstreams[..2] {
            upstream.set_replies(vec![Reply::UntilReleased(rx.clone())]);
        }
        let before = requests_at(&harness);
        let asking = harness.spawn_ask(order[3], path, "1");
        while requests_at(&harness) == before {
            Timer::after(Duration::from_millis(5)).await;
        }
        harness.link(order[1]).set(None);
        until_noticed(&harness, 2).await;
        for upstream in &harness.upstreams[..2] {
            upstream.set_replies(vec![ANSWER]);
        }
        harness.kill_gateway(order[0]);
        let received = asking.await;
        assert_eq!(received.status, status, "{received:?}");
        assert_ne!(received.run.as_deref(), Some("not run"));
    });
}

/// Guards against taking a second of silence of a sound upstream for a lost path or a failed
/// stream.
#[test]
fn a_silent_second_of_an_upstream_changes_nothing() {
    block_on(async {
        let harness = fleet(2).await;
        let last = by_ownership(&harness)[3];
        let silence = Duration::from_millis(1_200);
        let parts: &[&str] = &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
        for upstream in &harness.upstreams[..2] {
            upstream.set_replies(vec![Reply::Pausing(parts, silence)]);
        }
        let asking: Vec<_> = (0..6)
            .map(|n| harness.spawn_ask(last, "/resume/x", &format!("silent-{n}")))
            .collect();
        for asking in asking {
            let received = asking.await;
            assert!(received.whole);
            assert_eq!(received.body, parts.concat());
        }
        let asked = harness.upstreams[..2].iter();
        let asked = asked.flat_map(|u| u.asked.lock().expect("a lock").clone());
        let asked = asked.filter(|(id, _)| id.starts_with("silent-"));
        assert_eq!(asked.count(), 6, "a request was sent again");
        assert_eq!(harness.counter_total("jd_gateway_path_lost ").await, 0);
        let forwards = "jd_gateway_forwards_total{outcome=\"answered\"}";
        assert_eq!(harness.counter_total(forwards).await, 0);
    });
}

/// A fleet whose last instance has lost its path, and a request of its caller that an upstream
/// holds until the sender of the channel is dropped.
struct Held {
    harness: Arc<Harness>,
    order: Vec<SocketAddr>,
    released: async_channel::Sender<()>,
    asking: async_executor::Task<CallerResponse>,
}

impl Held {
    /// Cuts off all but the first instances, in the order of ownership.
    async fn begin(with_path: usize) -> Held {
        let harness = Arc::new(fleet(2).await);
        let order = by_ownership(&harness);
        cut_off(&harness, &order[with_path..], Cut::Resets).await;
        let (released, rx) = async_channel::bounded(1);
        for upstream in &harness.upstreams[..2] {
            upstream.set_replies(vec![Reply::UntilReleased(rx.clone())]);
        }
        let before = requests_at(&harness);
        let asking = harness.spawn_ask(order[3], "/once/x", "1");
        while requests_at(&harness) == before {
            Timer::after(Duration::from_millis(5)).await;
        }
        Held {
            harness,
            order,
            released,
            asking,
        }
    }
}

/// Guards against upstreams that go on with a forwarded request whose caller has left.
#[test]
fn a_caller_that_leaves_ends_its_forwarded_request() {
    block_on(async {
        let held = Held::begin(3).await;
        drop(held.asking);
        let began = Instant::now();
        let running = || -> usize { held.harness.upstreams.iter().map(|u| u.running()).sum() };
        while running() > 0 {
            assert!(began.elapsed() < Duration::from_millis(500), "it goes on");
            Timer::after(Duration::from_millis(5)).await;
        }
    });
}

/// Guards against a planned stop that cuts off what the instance runs for others.
#[test]
fn a_shutdown_cuts_off_no_forwarded_request() {
    block_on(async {
        let held = Held::begin(1).await;
        let gateway = held.harness.gateway_at(held.order[0]);
        let stopping = held.harness.spawn(async move { gateway.stop().await });
        Timer::after(Duration::from_millis(300)).await;
        drop(held.released);
        let received = held.asking.await;
        assert_eq!(received.status, 200, "{received:?}");
        stopping.await;
    });
}

/// Guards against a stream that runs more often than its route allows, because both instances send
/// it again after it broke off.
#[test]
fn a_forwarded_stream_runs_no_more_often_than_its_route_allows() {
    block_on(async {
        let harness = fleet(2).await;
        let last = by_ownership(&harness)[3];
        cut_off(&harness, &[last], Cut::Resets).await;
        let broken = Reply::Stream {
            parts: &["id: 1\ndata: a\n\n"],
            cut: true,
        };
        for upstream in &harness.upstreams[..2] {
            upstream.set_replies(vec![broken.clone()]);
        }
        let received = harness.spawn_ask(last, "/resume/x", "1").await;
        assert!(!received.whole);
        let asked = harness.upstreams[..2].iter();
        let asked = asked.flat_map(|u| u.asked.lock().expect("a lock").clone());
        assert_eq!(asked.filter(|(id, _)| id == "1").count(), 2);
    });
}
