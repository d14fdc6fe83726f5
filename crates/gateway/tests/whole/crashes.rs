//! Requests that end the upstreams which run them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::EndingUpstreams;
use crate::fakes::Harness;
use crate::fakes::Received;
use crate::fakes::Reply;

/// Instances of a fleet in these tests.
const INSTANCES: usize = 5;
/// How long after the third end instances in touch may still learn of it: the users'
/// bound for news among them.
const KNOWN_WITHIN: Duration = Duration::from_millis(3_000);
/// How long the stage before some requests takes.
const STAGE_TAKES: Duration = Duration::from_millis(40);
/// How long it may take to find a request that is sent without a pause: what three ends
/// take, and the time for news.
const FOUND_WITHIN: Duration = Duration::from_millis(10_000);
/// After that long what speaks against a request would have been found.
const FOUND_LATER: Duration = Duration::from_millis(2_000);
/// How often such a request may reach an upstream after that, as the users allow.
const MORE_ALLOWED: usize = 3;

/// A fleet before so many upstreams that end.
fn fleet(upstreams: usize) -> (Harness, Arc<EndingUpstreams>) {
    let stage = vec![Reply::Late("made", STAGE_TAKES)];
    let mut harness = Harness::start_staged(Vec::new(), stage);
    harness.add_gateways(INSTANCES - 1);
    let upstreams = EndingUpstreams::start(harness.executor(), &harness.store, upstreams);
    (harness, upstreams)
}

/// Sends a request again and again, every `pause`, to one instance after the other, for
/// as long as given. Waits for no answer, and for all of them at the end.
async fn repeat(
    harness: &Arc<Harness>,
    path: &'static str,
    pause: Duration,
    span: Duration,
) -> Vec<Received> {
    let began = Instant::now();
    let mut asked = Vec::new();
    for n in 0.. {
        if began.elapsed() > span {
            break;
        }
        let caller = Arc::clone(harness);
        let asking = async move {
            let id = format!("{path}-{n}");
            caller.ask_instance(n, path, &id).await
        };
        asked.push(harness.spawn(asking));
        Timer::after(pause).await;
    }
    let mut received = Vec::with_capacity(asked.len());
    for asking in asked {
        received.push(asking.await);
    }
    received
}

/// Sends a request until an instance refuses it as one that ends upstreams.
async fn until_quarantined(harness: &Arc<Harness>, path: &'static str) {
    for n in 0.. {
        let received = harness.ask_instance(n, path, &format!("{path}-{n}")).await;
        if is_quarantined(&received) {
            return;
        }
        Timer::after(Duration::from_millis(50)).await;
    }
}

/// Waits until every instance refuses a request as one that ends upstreams.
async fn until_quarantined_everywhere(harness: &Arc<Harness>, path: &'static str) {
    until_quarantined(harness, path).await;
    for n in 0..INSTANCES {
        while !is_quarantined(&harness.ask_instance(n, path, "again").await) {
            Timer::after(Duration::from_millis(20)).await;
        }
    }
}

fn is_quarantined(received: &Received) -> bool {
    let detail = "upstreams that ran this request ended, one after the other";
    received.status == 503 && received.body == detail
}

fn runs_of(upstreams: &EndingUpstreams, part: &str) -> usize {
    let runs = upstreams.runs();
    runs.iter().filter(|r| r.path.contains(part)).count()
}

/// A request ends each upstream that begins to run it, within 120 ms of `answer began`,
/// and its caller sends it again, to another instance each time. Every attempt had an
/// identity of its own and every instance took it for new: 17 of nine upstreams ended
/// in ten seconds, ten of them after three had shown what it does.
#[test]
fn a_request_that_ends_its_upstreams_is_kept_from_them_everywhere() {
    let mut harness = Harness::start(Vec::new());
    harness.add_gateways(INSTANCES - 1);
    let upstreams = EndingUpstreams::start(harness.executor(), &harness.store, 6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let pause = Duration::from_millis(150);
        let span = Duration::from_millis(6_000);
        repeat(&harness, "/stream/bad", pause, span).await;
        let ends = upstreams.ends();
        assert!(ends.len() >= 3, "it ended {} upstreams", ends.len());
        let known = ends[2] + KNOWN_WITHIN;
        let runs = upstreams.runs();
        let late = runs
            .iter()
            .filter(|r| r.path.contains("bad") && r.at > known);
        let late = late.count();
        assert!(
            late <= MORE_ALLOWED,
            "{late} runs more, {} ends",
            ends.len()
        );
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
        repeat(&harness, "/staged/bad", pause, span).await;
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
        while !harness.store.holds_standing() {
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
    harness.store.refuse_standings();
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        until_quarantined(&harness, "/stream/bad").await;
        let known = Instant::now();
        until_quarantined_everywhere(&harness, "/stream/bad").await;
        assert!(known.elapsed() < KNOWN_WITHIN);
        assert!(!harness.store.holds_standing());
    });
}

/// A hot request, the same each time, is at most upstreams when another one ends them. It
/// was broken off with every one of them, and is refused nowhere.
#[test]
fn a_hot_request_beside_one_that_ends_upstreams_is_not_turned_away() {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let caller = Arc::clone(&harness);
        let hot = harness.spawn(async move {
            let span = Duration::from_millis(6_000);
            repeat(&caller, "/any/long", Duration::from_millis(60), span).await
        });
        until_quarantined_everywhere(&harness, "/stream/bad").await;
        let received = hot.await;
        assert!(!received.iter().any(is_quarantined));
        assert!(received.iter().any(|r| r.status == 200));
    });
    assert!(upstreams.ends().len() >= 3);
}

/// All upstreams are lost at once, four times, under a hot request. Nothing ended by it.
#[test]
fn a_hot_request_under_losses_of_power_is_not_turned_away() {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let caller = Arc::clone(&harness);
        let hot = harness.spawn(async move {
            let span = Duration::from_millis(7_500);
            repeat(&caller, "/any/long", Duration::from_millis(40), span).await
        });
        for _ in 0..4 {
            Timer::after(Duration::from_millis(1_500)).await;
            upstreams.lose_all();
        }
        let received = hot.await;
        assert!(!received.iter().any(is_quarantined));
    });
}

/// An instance is cut off from the store, and so perhaps from all others and from upstreams
/// that it takes for ended. What it finds by itself holds for all, so it judges nobody
/// until it has proof again.
#[test]
fn an_instance_without_proof_judges_nobody() {
    let harness = Harness::start(Vec::new());
    let upstreams = EndingUpstreams::start(harness.executor(), &harness.store, 6);
    block_on(async {
        harness.until_ready(true).await;
        while harness.ask("/open/x", "known").await.status != 200 {
            Timer::after(Duration::from_millis(10)).await;
        }
        harness.store.set_away(true);
        harness.until_ready(false).await;
        while upstreams.ends().len() < 4 {
            harness.ask("/open/bad", "bad").await;
            Timer::after(Duration::from_millis(100)).await;
        }
        Timer::after(FOUND_LATER).await;
        assert!(!is_quarantined(&harness.ask("/open/bad", "bad").await));
        harness.store.set_away(false);
        let harness = Arc::new(harness);
        until_quarantined(&harness, "/open/bad").await;
    });
}

/// The only upstream leaves, again and again, and each time cuts the same request, which
/// takes longer than it stays. It never ran well; it ended nothing.
#[test]
fn a_request_that_drains_cut_short_is_not_turned_away() {
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
                assert!(!cut.is_finished(), "it was turned away");
                Timer::after(Duration::from_millis(5)).await;
            }
            upstreams.leave(0);
            assert!(!cut.await.whole);
            Timer::after(Duration::from_millis(700)).await;
            harness.until_all_answer("/any/x", 200).await;
        }
        Timer::after(FOUND_LATER).await;
        let received = harness.ask_instance(0, "/stream/long", "last").await;
        assert!(received.whole, "{received:?}");
    });
}

/// Answers to a request break off each time, at upstreams that live on. That a connection
/// breaks says nothing of its upstream.
#[test]
fn a_request_whose_answers_break_off_is_not_turned_away() {
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
        Timer::after(FOUND_LATER).await;
        let received = harness.ask("/stream/x", "last").await;
        assert!(!is_quarantined(&received), "{received:?}");
    });
}

/// Upstreams are killed and started again in turn, all of them in four seconds, under a
/// request that is always at some of them.
#[test]
fn a_hot_request_under_restarts_is_not_turned_away() {
    let (harness, upstreams) = fleet(6);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_all_answer("/any/x", 200).await;
        let caller = Arc::clone(&harness);
        let hot = harness.spawn(async move {
            let span = Duration::from_millis(6_000);
            repeat(&caller, "/resume/long", Duration::from_millis(40), span).await
        });
        for place in 0..6 {
            Timer::after(Duration::from_millis(700)).await;
            upstreams.lose(place);
        }
        let received = hot.await;
        assert!(!received.iter().any(is_quarantined));
    });
}
