//! Requests that end the upstreams which run them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::CrashingUpstreams;
use crate::fakes::Harness;
use crate::fakes::crash_fleet::INSTANCES;
use crate::fakes::crash_fleet::TEST_TIMEOUT;
use crate::fakes::crash_fleet::fleet;
use crate::fakes::crash_fleet::is_quarantined;
use crate::fakes::crash_fleet::runs_of;
use crate::fakes::crash_fleet::send_repeatedly;
use crate::fakes::crash_fleet::until_quarantined;
use crate::fakes::crash_fleet::until_quarantined_everywhere;

/// Instances of a fleet that is too large for all to hear all.
const LARGE_FLEET: usize = 24;
/// How long after the third end instances in touch may still learn of it: the users'
/// bound for news among them.
const KNOWN_WITHIN: Duration = Duration::from_millis(3_000);
/// How long it may take to find a request that is sent without a pause: what three ends
/// take, and the time for news.
const FOUND_WITHIN: Duration = Duration::from_millis(10_000);
/// How often such a request may reach an upstream after that, as the users allow.
const MORE_ALLOWED: usize = 3;

/// The request with `bad` in its path ended upstreams, and was kept from them in time.
fn assert_kept_away(upstreams: &CrashingUpstreams) {
    let ends = upstreams.ends();
    assert!(ends.len() >= 3, "it ended {} upstreams", ends.len());
    let known = ends[2] + KNOWN_WITHIN;
    let runs = upstreams.runs();
    let late = runs.iter().filter(|r| r.path.contains("bad"));
    let late = late.filter(|r| r.at > known).count();
    assert!(
        late <= MORE_ALLOWED,
        "{late} runs more, {} ends",
        ends.len()
    );
}

/// A request ends each upstream that begins to run it, within 120 ms of `answer began`,
/// and its caller sends it again, to another instance each time. Every attempt had an
/// identity of its own and every instance took it for new: 17 of nine upstreams ended
/// in ten seconds, ten of them after three had shown what it does.
#[test]
fn a_request_that_ends_its_upstreams_is_kept_from_them_everywhere() {
    let mut harness = Harness::start(Vec::new());
    harness.add_gateways(INSTANCES - 1);
    let upstreams = CrashingUpstreams::start(harness.executor(), &harness.store, 6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let pause = Duration::from_millis(150);
        let span = Duration::from_millis(6_000);
        send_repeatedly(&harness, "/stream/bad", pause, span).await;
        assert_kept_away(&upstreams);
    });
}

/// The same on every way to an upstream: with one answer, that may run again or not, and as
/// a stream that goes on elsewhere or not. Once it is known, all instances refuse it, as
/// not run, and no upstream sees it any more.
#[test_case("/any/bad" ; "with one answer")]
#[test_case("/once/bad" ; "that runs once")]
#[test_case("/resume/bad" ; "as a stream that goes on elsewhere")]
#[test_case("/stream/bad" ; "as a stream that runs once")]
#[test_case("/staged/bad" ; "after a stage")]
fn a_request_that_ends_its_upstreams_reaches_none_of_them(path: &'static str) {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        until_quarantined_everywhere(&harness, path).await;
        let before = runs_of(&upstreams, "bad");
        for n in 0..10 {
            let received = harness.ask_instance(n, path, "later").await;
            assert!(is_quarantined(&received), "{received:?}");
            assert_eq!(received.run.as_deref(), Some("not run"));
        }
        assert_eq!(runs_of(&upstreams, "bad"), before);
        harness.until_all_answer("/any/x", 200).await;
    });
}

/// A request has stages, whose pieces are worked on well, many at a time, before it ends
/// each upstream that runs itself. A piece that was done spoke for the whole request, and
/// released it as soon as it was held: 13 upstreams ended after the third.
#[test]
fn pieces_that_are_done_release_no_request() {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let pause = Duration::from_millis(30);
        let span = Duration::from_millis(7_000);
        send_repeatedly(&harness, "/staged/bad", pause, span).await;
        assert_kept_away(&upstreams);
    });
}

/// A request runs well at many upstreams, and a moment later it ends each that runs it, as
/// after a release. That it ran before is remembered, and it was let through for that.
#[test]
fn a_request_that_ran_well_before_is_found_once_it_ends_upstreams() {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        for n in 0..2 * INSTANCES {
            let received = harness.ask_instance(n, "/stream/turns", "before").await;
            assert!(received.whole);
        }
        upstreams.turn();
        let turned = Instant::now();
        until_quarantined_everywhere(&harness, "/stream/turns").await;
        assert!(upstreams.ends().len() >= 3);
        assert!(turned.elapsed() < FOUND_WITHIN, "{:?}", turned.elapsed());
    });
}

/// All instances are lost at once, with what they know, after a request was found to end
/// upstreams. Those that start read of it before they serve anybody.
#[test]
fn what_was_found_outlives_all_instances() {
    let (mut harness, upstreams) = fleet(6);
    harness = block_on(async {
        let harness = Arc::new(harness);
        harness.until_all_answer("/any/x", 200).await;
        until_quarantined_everywhere(&harness, "/stream/bad").await;
        let until = Instant::now() + TEST_TIMEOUT;
        while !harness.store.holds_quarantine() {
            assert!(Instant::now() < until, "the store was told nothing");
            Timer::after(Duration::from_millis(10)).await;
        }
        Arc::into_inner(harness).expect("no request in flight")
    });
    harness.restart_gateways();
    let before = runs_of(&upstreams, "bad");
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        for n in 0..INSTANCES {
            let received = harness.ask_instance(n, "/stream/bad", "later").await;
            assert!(is_quarantined(&received), "{received:?}");
        }
    });
    assert_eq!(runs_of(&upstreams, "bad"), before);
}

/// The store takes no writes. What was found reaches all instances all the same, from one
/// to the other.
#[test]
fn what_was_found_reaches_all_though_the_store_does_not_take_it() {
    let (harness, _upstreams) = fleet(6);
    harness.store.refuse_quarantine();
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        until_quarantined(&harness, "/stream/bad").await;
        let known = Instant::now();
        until_quarantined_everywhere(&harness, "/stream/bad").await;
        assert!(known.elapsed() < KNOWN_WITHIN);
        assert!(!harness.store.holds_quarantine());
    });
}

/// The same in a fleet in which an instance exchanges heartbeats with a few others only.
#[test]
fn what_was_found_reaches_all_of_a_large_fleet() {
    let mut harness = Harness::start(Vec::new());
    harness.add_gateways(LARGE_FLEET - 1);
    let _upstreams = CrashingUpstreams::start(harness.executor(), &harness.store, 6);
    harness.store.refuse_quarantine();
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        harness.until_two_watch().await;
        until_quarantined(&harness, "/stream/bad").await;
        let known = Instant::now();
        for n in 0..LARGE_FLEET {
            while !is_quarantined(&harness.ask_instance(n, "/stream/bad", "again").await) {
                Timer::after(Duration::from_millis(20)).await;
            }
        }
        assert!(known.elapsed() < KNOWN_WITHIN, "{:?}", known.elapsed());
    });
}
