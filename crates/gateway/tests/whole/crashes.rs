//! Requests that crash the upstreams that run them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::CrashingUpstreams;
use crate::fakes::Harness;
use crate::fakes::crash_fleet::INSTANCES;
use crate::fakes::crash_fleet::SPREAD_WITHIN;
use crate::fakes::crash_fleet::TEST_TIMEOUT;
use crate::fakes::crash_fleet::assert_quarantined_in_time;
use crate::fakes::crash_fleet::fleet;
use crate::fakes::crash_fleet::is_quarantined;
use crate::fakes::crash_fleet::quarantines;
use crate::fakes::crash_fleet::runs_of;
use crate::fakes::crash_fleet::send_repeatedly;
use crate::fakes::crash_fleet::until_quarantined;
use crate::fakes::crash_fleet::until_quarantined_everywhere;

/// Instances of a fleet in which each exchanges heartbeats with a few others only.
const LARGE_FLEET: usize = 24;
/// How long it may take to quarantine a request that is sent without a pause: the time of
/// three crashes, and the time to spread the quarantine.
const FOUND_WITHIN: Duration = Duration::from_millis(10_000);
/// A request crashes each upstream that runs it, within 120 ms of `answer began`, and its
/// caller sends it again, to another instance each time. Each attempt had its own
/// identity and each instance took the request for a new one: 17 of nine upstreams
/// crashed in ten seconds, ten of them after three had shown the cause.
#[test]
fn a_request_that_crashes_upstreams_is_quarantined_on_all_instances() {
    let mut harness = Harness::start(Vec::new());
    harness.add_gateways(INSTANCES - 1);
    let upstreams = CrashingUpstreams::start(harness.executor(), &harness.store, 6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let pause = Duration::from_millis(150);
        let span = Duration::from_millis(6_000);
        send_repeatedly(&harness, "/stream/bad", pause, span).await;
        assert_quarantined_in_time(&upstreams);
    });
}

/// The same for each kind of route: a plain answer that may or may not run again, a
/// stream that may or may not resume elsewhere, and a request after a stage. Once the
/// request is quarantined, all instances refuse it as not run, and no upstream gets it
/// any more.
#[test_case("/any/bad" ; "with one answer")]
#[test_case("/once/bad" ; "that runs once")]
#[test_case("/resume/bad" ; "as a stream that goes on elsewhere")]
#[test_case("/stream/bad" ; "as a stream that runs once")]
#[test_case("/staged/bad" ; "after a stage")]
fn a_quarantined_request_reaches_no_upstream(path: &'static str) {
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

/// A request has stages, of which many pieces complete at a time, before it crashes each
/// upstream that runs the request itself. A completed piece counted for the whole request
/// and released it as soon as it was quarantined: 13 upstreams crashed after the third.
#[test]
fn completed_pieces_release_no_request() {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let pause = Duration::from_millis(30);
        let span = Duration::from_millis(7_000);
        send_repeatedly(&harness, "/staged/bad", pause, span).await;
        assert_quarantined_in_time(&upstreams);
    });
}

/// A request completes at many upstreams, and a moment later it crashes each that runs
/// it, as after a release of new software. Its earlier completed runs kept it from being
/// quarantined.
#[test]
fn a_request_that_completed_before_is_quarantined_once_it_crashes_upstreams() {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        for n in 0..2 * INSTANCES {
            let received = harness.ask_instance(n, "/stream/turns", "before").await;
            assert!(received.whole);
        }
        upstreams.start_crashing_on_turns();
        let turned = Instant::now();
        until_quarantined_everywhere(&harness, "/stream/turns").await;
        assert!(upstreams.ends().len() >= 3);
        assert!(turned.elapsed() < FOUND_WITHIN, "{:?}", turned.elapsed());
    });
}

/// All instances are lost at once, with their state, after a request was quarantined. The
/// instances that start next read the quarantine from the store before they serve
/// requests.
#[test]
fn a_quarantine_outlives_all_instances() {
    let (mut harness, upstreams) = fleet(6);
    harness = block_on(async {
        let harness = Arc::new(harness);
        harness.until_all_answer("/any/x", 200).await;
        until_quarantined_everywhere(&harness, "/stream/bad").await;
        let until = Instant::now() + TEST_TIMEOUT;
        while !harness.store.holds_quarantine() {
            assert!(
                Instant::now() < until,
                "the quarantine was not written to the store"
            );
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

/// Guards against a request that crashes three more upstreams because all instances were lost after
/// the second one, with what they knew of it.
#[test]
fn a_suspicion_outlives_all_instances() {
    let (mut harness, upstreams) = fleet(6);
    harness = block_on(async {
        let harness = Arc::new(harness);
        harness.until_all_answer("/any/x", 200).await;
        for n in 0..2 {
            harness.ask_instance(n, "/stream/bad", "early").await;
            Timer::after(Duration::from_millis(500)).await;
        }
        let until = Instant::now() + TEST_TIMEOUT;
        while !harness.store.holds_quarantine() {
            assert!(Instant::now() < until, "the suspicion was not written");
            Timer::after(Duration::from_millis(10)).await;
        }
        Arc::into_inner(harness).expect("no request in flight")
    });
    assert_eq!(upstreams.ends().len(), 2);
    harness.restart_gateways();
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        harness.ask_instance(0, "/stream/bad", "later").await;
        Timer::after(SPREAD_WITHIN).await;
        for n in 0..INSTANCES {
            let received = harness.ask_instance(n, "/stream/bad", "again").await;
            assert!(is_quarantined(&received), "{received:?}");
        }
    });
    assert_eq!(upstreams.ends().len(), 3);
}

/// The store refuses to write the quarantine. It still reaches all instances, through
/// heartbeats.
#[test]
fn a_quarantine_reaches_all_instances_though_the_store_refuses_it() {
    let (harness, _upstreams) = fleet(6);
    harness.store.refuse_quarantine();
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        until_quarantined(&harness, "/stream/bad").await;
        let known = Instant::now();
        until_quarantined_everywhere(&harness, "/stream/bad").await;
        assert!(known.elapsed() < SPREAD_WITHIN);
        assert!(!harness.store.holds_quarantine());
    });
}

/// The same in a fleet in which each instance exchanges heartbeats with a few others only.
#[test]
fn a_quarantine_reaches_all_instances_of_a_large_fleet() {
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
            while !quarantines(&harness, n, "/stream/bad").await {
                Timer::after(Duration::from_millis(20)).await;
            }
        }
        assert!(known.elapsed() < SPREAD_WITHIN, "{:?}", known.elapsed());
    });
}
