//! Requests that ran at upstreams which crashed for another reason, and must not be
//! quarantined.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::CrashingUpstreams;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::crash_fleet::fleet;
use crate::fakes::crash_fleet::is_quarantined;
use crate::fakes::crash_fleet::runs_of;
use crate::fakes::crash_fleet::send_and_leave;
use crate::fakes::crash_fleet::spawn_repeated_sends;
use crate::fakes::crash_fleet::until_quarantined;
use crate::fakes::crash_fleet::until_quarantined_everywhere;

/// After this time a request that crashes upstreams would have been quarantined.
const DECIDED_WITHIN: Duration = Duration::from_millis(2_000);

/// A hot request, the same each time, runs at most upstreams when another request crashes
/// them. It is broken off at all of them, and no instance refuses it.
#[test]
fn a_hot_request_beside_one_that_crashes_upstreams_is_not_quarantined() {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let span = Duration::from_millis(6_000);
        let hot = spawn_repeated_sends(&harness, "/any/long", Duration::from_millis(60), span);
        until_quarantined_everywhere(&harness, "/stream/bad").await;
        let received = hot.await;
        assert!(!received.iter().any(is_quarantined));
        assert!(received.iter().any(|r| r.status == 200));
    });
    assert!(upstreams.ends().len() >= 3);
}

/// Guards against a sound request that is held because it completes, or its callers leave, at upstreams
/// right before another request crashes them.
#[test_case("/any/x", 2_000 ; "that completes")]
#[test_case("/stream/x", 2_000 ; "that completes as a stream")]
#[test_case("/any/long", 300 ; "whose callers leave")]
fn a_hot_request_that_ends_right_before_crashes_is_not_quarantined(path: &'static str, stay: u64) {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let span = Duration::from_millis(6_000);
        let pause = Duration::from_millis(30);
        let staying = spawn_repeated_sends(&harness, path, pause * 4, span);
        let bad = spawn_repeated_sends(&harness, "/stream/bad", pause * 10, span);
        let stay = Duration::from_millis(stay);
        send_and_leave(&harness, path, (pause, stay), span).await;
        assert!(!staying.await.iter().any(is_quarantined));
        bad.await;
    });
    assert!(upstreams.ends().len() >= 3);
}

/// Guards against requests that are held because a crowd of callers leaves while power is lost.
#[test]
fn hot_requests_whose_callers_leave_under_losses_of_power_are_not_quarantined() {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let span = Duration::from_millis(7_500);
        let pause = Duration::from_millis(40);
        let staying = spawn_repeated_sends(&harness, "/any/long", pause * 3, span);
        let caller = Arc::clone(&harness);
        let leaving = harness.spawn(async move {
            let times = (pause, Duration::from_millis(300));
            send_and_leave(&caller, "/any/long", times, span).await;
        });
        for _ in 0..4 {
            // Some runs complete between two losses.
            Timer::after(Duration::from_millis(1_500)).await;
            upstreams.lose_all();
        }
        leaving.await;
        assert!(!staying.await.iter().any(is_quarantined));
    });
}

/// All upstreams are lost at once, four times, under a hot request that did not cause it.
#[test]
fn a_hot_request_under_losses_of_power_is_not_quarantined() {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let span = Duration::from_millis(7_500);
        let hot = spawn_repeated_sends(&harness, "/any/long", Duration::from_millis(40), span);
        for _ in 0..4 {
            Timer::after(Duration::from_millis(1_500)).await;
            upstreams.lose_all();
        }
        let received = hot.await;
        assert!(!received.iter().any(is_quarantined));
    });
}

/// Upstreams are killed and restarted in turn, all of them in four seconds, while some of
/// them always run the same request.
#[test]
fn a_hot_request_under_restarts_is_not_quarantined() {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let span = Duration::from_millis(6_000);
        let hot = spawn_repeated_sends(&harness, "/resume/long", Duration::from_millis(40), span);
        for place in 0..6 {
            Timer::after(Duration::from_millis(700)).await;
            upstreams.lose(place);
        }
        let received = hot.await;
        assert!(!received.iter().any(is_quarantined));
    });
}

/// The only upstream leaves, again and again, and each time cuts off the same request,
/// which takes longer than the upstream drains. The request never completes, but it
/// crashes nothing.
#[test]
fn a_request_cut_off_by_leaving_upstreams_is_not_quarantined() {
    let (harness, upstreams) = fleet(1);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        for n in 0..5 {
            let caller = Arc::clone(&harness);
            let asked = runs_of(&upstreams, "long");
            let cut = harness.spawn(async move {
                let id = format!("cut-{n}");
                caller.ask_instance(n, "/stream/long", &id).await
            });
            while runs_of(&upstreams, "long") == asked {
                assert!(!cut.is_finished(), "it was refused");
                Timer::after(Duration::from_millis(5)).await;
            }
            upstreams.leave(0);
            assert!(!cut.await.whole);
            Timer::after(Duration::from_millis(700)).await;
            harness.until_all_answer("/any/x", 200).await;
        }
        Timer::after(DECIDED_WITHIN).await;
        let received = harness.ask_instance(0, "/stream/long", "last").await;
        assert!(received.whole, "{received:?}");
    });
}

/// Answers to a request break off each time, at upstreams that keep running. A broken
/// connection does not mean that its upstream crashed.
#[test]
fn a_request_whose_answers_break_off_is_not_quarantined() {
    let torn = Reply::Stream {
        parts: &["id: 1\ndata: a\n\n"],
        cut: true,
    };
    let harness = Arc::new(Harness::start(vec![vec![torn]; 3]));
    block_on(async {
        harness.until_ready(true).await;
        for n in 0..8 {
            let received = harness.ask("/stream/x", &format!("torn-{n}")).await;
            assert!(!received.whole);
            Timer::after(Duration::from_millis(100)).await;
        }
        Timer::after(DECIDED_WITHIN).await;
        let received = harness.ask("/stream/x", "last").await;
        assert!(!is_quarantined(&received), "{received:?}");
    });
}

/// An instance is cut off from the store, and so perhaps also from all other instances
/// and from upstreams that it takes for crashed. Its decisions would apply to all
/// instances, so it quarantines no request until it has recent proof again.
#[test]
fn an_instance_without_proof_quarantines_no_request() {
    let harness = Harness::start(Vec::new());
    let upstreams = CrashingUpstreams::start(harness.executor(), &harness.store, 6);
    block_on(async {
        harness.until_ready(true).await;
        while harness.ask("/open/x", "known").await.status != 200 {
            Timer::after(Duration::from_millis(10)).await;
        }
        harness.store.set_unavailable(true);
        harness.until_ready(false).await;
        while upstreams.ends().len() < 4 {
            harness.ask("/open/bad", "bad").await;
            Timer::after(Duration::from_millis(100)).await;
        }
        Timer::after(DECIDED_WITHIN).await;
        assert!(!is_quarantined(&harness.ask("/open/bad", "bad").await));
        harness.store.set_unavailable(false);
        let harness = Arc::new(harness);
        until_quarantined(&harness, "/open/bad").await;
    });
}
