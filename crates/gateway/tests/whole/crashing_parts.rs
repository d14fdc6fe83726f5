//! Parts of prompts that crash the upstreams which write answers on them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use jd_gateway::Change;
use jd_serving::UpstreamStart;
use test_case::test_case;

use crate::fakes::CallerResponse;
use crate::fakes::CrashingUpstreams;
use crate::fakes::End;
use crate::fakes::FakeOwner;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::UnframedUpstream;
use crate::fakes::crash_fleet::INSTANCES;
use crate::fakes::crash_fleet::fleet;
use crate::fakes::entry;

/// Crashes after which a part has to be quarantined: the users' bound.
const CRASHES_ALLOWED: usize = 5;
/// The time after that within which all instances have to know: the users' bound.
const KNOWN_WITHIN: Duration = Duration::from_millis(3_000);
/// How often requests with the part may reach upstreams after that.
const MAX_LATE_RUNS: usize = 3;

/// Sends requests for `span`, a new one every `pause`, without waiting for the answers. `path` is
/// completed by a number that differs each time.
fn spawn_different(
    harness: &Arc<Harness>,
    path: &'static str,
    pause: Duration,
    span: Duration,
) -> async_executor::Task<Vec<CallerResponse>> {
    let caller = Arc::clone(harness);
    harness.spawn(async move {
        let began = Instant::now();
        let mut sent = Vec::new();
        for n in 0.. {
            if began.elapsed() > span {
                break;
            }
            let caller_of_one = Arc::clone(&caller);
            sent.push(caller.spawn(async move { ask_different(&caller_of_one, path, n).await }));
            Timer::after(pause).await;
        }
        let mut received = Vec::with_capacity(sent.len());
        for asking in sent {
            received.push(asking.await);
        }
        received
    })
}

async fn ask_different(harness: &Harness, path: &str, n: usize) -> CallerResponse {
    let path = format!("{path},{n:x}/{n}");
    harness.ask_instance(n, &path, &path).await
}

fn is_quarantined(received: &CallerResponse) -> bool {
    received.status == 503 && received.body.contains("a part of its prompt")
}

fn runs_with_bad_part(upstreams: &CrashingUpstreams) -> Vec<Instant> {
    let runs = upstreams.runs().into_iter();
    runs.filter(|r| r.path.contains("bad"))
        .map(|r| r.at)
        .collect()
}

fn assert_quarantined_in_time(upstreams: &CrashingUpstreams) {
    let ends = upstreams.ends();
    let Some(fifth) = ends.get(CRASHES_ALLOWED - 1) else {
        return;
    };
    let known = *fifth + KNOWN_WITHIN;
    let late = runs_with_bad_part(upstreams)
        .into_iter()
        .filter(|at| *at > known);
    let late = late.count();
    assert!(
        late <= MAX_LATE_RUNS,
        "{late} late runs, {} crashes",
        ends.len()
    );
}

/// A fleet before upstreams that answer, and its upstreams.
async fn ready_fleet(count: usize) -> (Arc<Harness>, Arc<CrashingUpstreams>) {
    let (harness, upstreams) = fleet(count);
    let harness = Arc::new(harness);
    harness.until_all_answer("/any/x", 200).await;
    (harness, upstreams)
}

/// Requests that share the part of a prompt which crashes upstreams, and nothing else, went on
/// crashing one upstream after the other.
#[test_case(150 ; "one after the other")]
#[test_case(40 ; "several within a second")]
fn different_requests_with_a_crashing_part_are_quarantined(pause_ms: u64) {
    block_on(async {
        let (harness, upstreams) = ready_fleet(6).await;
        let span = Duration::from_millis(8_000);
        let pause = Duration::from_millis(pause_ms);
        let sound = spawn_different(&harness, "/stream/parts-1,2", pause, span);
        let bad = spawn_different(&harness, "/stream/parts-1,bad", pause, span);
        let (bad, sound) = (bad.await, sound.await);
        assert!(upstreams.ends().len() >= 3, "they crashed upstreams");
        assert_quarantined_in_time(&upstreams);
        let last = bad.last().expect("requests were sent");
        assert!(is_quarantined(last), "{last:?}");
        assert_eq!(last.run.as_deref(), Some("not run"));
        assert!(!sound.iter().any(is_quarantined));
        let served = sound.iter().filter(|r| r.status == 200 && r.whole);
        assert!(served.count() * 2 > sound.len());
    });
}

/// Once a part is quarantined, requests with it reach no upstream by any kind of route, and
/// sound ones with the same first part are served.
#[test_case("any" ; "with one answer")]
#[test_case("once" ; "that runs once")]
#[test_case("resume" ; "as a stream that goes on elsewhere")]
#[test_case("staged" ; "after a stage")]
fn requests_with_a_quarantined_part_reach_no_upstream(route: &str) {
    block_on(async {
        let (harness, upstreams) = ready_fleet(6).await;
        until_quarantined(&harness).await;
        let before = runs_with_bad_part(&upstreams).len();
        for n in 0..2 * INSTANCES {
            let received = ask_different(&harness, &format!("/{route}/parts-3,bad"), n).await;
            assert!(is_quarantined(&received), "{received:?}");
            assert_eq!(received.run.as_deref(), Some("not run"));
            let received = ask_different(&harness, &format!("/{route}/parts-1,2"), n).await;
            assert_eq!(received.status, 200, "{received:?}");
        }
        assert_eq!(runs_with_bad_part(&upstreams).len(), before);
    });
}

/// Sends different requests with the part until all instances refuse them.
async fn until_quarantined(harness: &Arc<Harness>) {
    let until = Instant::now() + Duration::from_secs(20);
    let mut refused = 0;
    for n in 0.. {
        assert!(Instant::now() < until, "it was not quarantined");
        let received = ask_different(harness, "/stream/parts-1,bad", n).await;
        refused = match is_quarantined(&received) {
            true => refused + 1,
            false => 0,
        };
        if refused == INSTANCES {
            return;
        }
        Timer::after(Duration::from_millis(50)).await;
    }
}

/// Upstreams crash as they answer on a part, and their answers end in order, without a length: they
/// look complete. They clear the part of nothing.
#[test]
fn answers_without_a_length_that_crashes_end_clear_no_part() {
    let stage = vec![Reply::Complete("made")];
    let harness = Arc::new(Harness::start_with_stage(Vec::new(), stage));
    let executor = harness.executor();
    let reply = ("id: 1\ndata: a\n\n", End::Close);
    block_on(async {
        harness.until_ready(true).await;
        for n in 0..20 {
            let upstream = UnframedUpstream::start(&executor, reply, reply);
            let id = format!("u-{n}");
            let record = entry(&id, "pool", upstream.address, UpstreamStart::UNKNOWN);
            harness.store.change(Change::Put(record));
            while !harness.store.is_caught_up() {
                Timer::after(Duration::from_millis(2)).await;
            }
            if n == 0 {
                // Its upstream goes on until the run counts as sound.
                ask_different(&harness, "/stream/parts-1,2", n).await;
                Timer::after(Duration::from_millis(1_500)).await;
            }
            let received = ask_different(&harness, "/stream/parts-1,bad", n).await;
            if is_quarantined(&received) {
                assert_eq!(received.run.as_deref(), Some("not run"));
                return;
            }
            drop(upstream);
            Timer::after(Duration::from_millis(500)).await;
            harness.store.change(Change::UpstreamRemoved(id.into()));
        }
        panic!("it was not quarantined");
    });
}

/// The same answers of upstreams that go on are sound, also if they are all that a part has.
#[test]
fn answers_without_a_length_of_upstreams_that_go_on_clear_a_part() {
    let (harness, upstreams) = fleet(6);
    let executor = harness.executor();
    let reply = ("id: 1\ndata: a\n\n", End::Close);
    let unframed: Vec<UnframedUpstream> = (0..6)
        .map(|_| UnframedUpstream::start(&executor, reply, reply))
        .collect();
    for (n, upstream) in unframed.iter().enumerate() {
        let id = format!("unframed-{n}");
        let record = entry(&id, "pool", upstream.address, UpstreamStart::UNKNOWN);
        harness.store.change(Change::Put(record));
    }
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let span = Duration::from_millis(6_000);
        let hot = spawn_different(
            &harness,
            "/stream/parts-1,2",
            Duration::from_millis(25),
            span,
        );
        for place in 0..6 {
            Timer::after(Duration::from_millis(800)).await;
            upstreams.lose(place);
        }
        assert!(!hot.await.iter().any(is_quarantined));
    });
}

/// All upstreams are lost at once, four times, while the parts of everybody's prompts are at each of
/// them and some of their answers have just begun.
#[test]
fn hot_parts_under_losses_of_power_are_not_quarantined() {
    block_on(async {
        let (harness, upstreams) = ready_fleet(6).await;
        let span = Duration::from_millis(7_500);
        let hot = spawn_different(
            &harness,
            "/any/parts-1,2/long",
            Duration::from_millis(25),
            span,
        );
        for _ in 0..4 {
            Timer::after(Duration::from_millis(1_500)).await;
            upstreams.lose_all();
        }
        assert!(!hot.await.iter().any(is_quarantined));
    });
}

/// Guards against a request that waits for its stage for nothing while a part of its prompt is
/// quarantined.
#[test]
fn a_request_that_waits_for_its_stage_is_refused_once_its_part_is_quarantined() {
    let stage_takes = Duration::from_secs(12);
    let stage = vec![Reply::Delayed("made", stage_takes)];
    let mut harness = Harness::start_with_stage(Vec::new(), stage);
    harness.add_gateways(INSTANCES - 1);
    let _upstreams = CrashingUpstreams::start(harness.executor(), &harness.store, 6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let caller = Arc::clone(&harness);
        let waiting = harness.spawn(async move {
            let began = Instant::now();
            let received = ask_different(&caller, "/staged/parts-4,bad", 0).await;
            (received, began.elapsed())
        });
        until_quarantined(&harness).await;
        let (received, took) = waiting.await;
        assert!(is_quarantined(&received), "{received:?}");
        assert_eq!(received.run.as_deref(), Some("not run"));
        assert!(took < stage_takes - Duration::from_secs(2), "{took:?}");
    });
}

/// The first coordinator is of an earlier build, which judges whole requests alone: the next one decides
/// on parts.
#[test]
fn a_part_is_quarantined_though_the_first_coordinator_judges_none() {
    let (harness, _upstreams) = fleet(6);
    let (_old, entry, _server) = FakeOwner::start(&harness.executor(), None);
    harness.store.change(Change::Put(entry));
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        while !harness.store.is_caught_up() {
            Timer::after(Duration::from_millis(2)).await;
        }
        until_quarantined(&harness).await;
    });
}
