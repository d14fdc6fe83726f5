//! Upstreams that name a limit of what they take, through a whole fleet.
//!
//! Two upstreams of nine named a limit of one request a second in their answers and got 12
//! and 13 in four seconds. Nothing read the limit, and had each instance kept to it by itself
//! nothing would have changed: of the nine instances six sent to one of them, none more than
//! three in four seconds. The lines that settled it, all of them answers of that upstream:
//!
//!     9.342 edge-hall-b-3 answer began
//!     9.616 edge-hall-b-3 answer began
//!     9.662 edge-hall-c-2 answer began
//!    10.833 edge-hall-c-2 answer began
//!    10.915 edge-hall-a-2 answer began
//!    10.989 edge-hall-b-2 answer began
//!    11.041 edge-hall-b-1 answer began
//!    11.274 edge-hall-a-1 answer began
//!
//! So one instance counts for all, and gives out permits to the others.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::CallerResponse;
use crate::fakes::FakeUpstream;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::crash_fleet::send_repeatedly;

/// Instances of the fleet.
const INSTANCES: usize = 9;
/// From one request to the next: forty a second, from all callers together.
const PAUSE: Duration = Duration::from_millis(25);
/// How long the fleet has to hear of a limit.
const HEARD_WITHIN: Duration = Duration::from_millis(1_500);
/// How long requests come after that.
const LOAD: Duration = Duration::from_secs(8);
/// The span over which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);

/// A fleet before so many upstreams, and one of the stage before `/staged/`.
fn fleet(upstreams: usize) -> Arc<Harness> {
    let stream = Reply::Stream {
        parts: &["id: 1\ndata: a\n\n"],
        cut: false,
    };
    let stage = Reply::Delayed("made", Duration::from_millis(5));
    let mut harness = Harness::start_with_stage(vec![vec![stream]; upstreams], vec![stage]);
    harness.add_gateways(INSTANCES - 1);
    Arc::new(harness)
}

/// The most arrivals in any four seconds from `since` on.
fn most_arrivals(upstream: &FakeUpstream, since: Instant) -> usize {
    let arrivals = upstream.arrivals();
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= since).collect();
    let ends = counted.iter().enumerate();
    let within = ends.map(|(n, end)| {
        let span = counted[..=n].iter();
        span.filter(|at| end.duration_since(**at) < SPAN).count()
    });
    within.max().unwrap_or(0)
}

/// What may arrive in four seconds under a limit of so many a second: half as much
/// again, and five.
fn allowed(per_s: f64) -> usize {
    (per_s * SPAN.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Loads the fleet until it has heard of a limit, and then for as long as counted; what
/// callers received, and from when on arrivals count.
async fn load(harness: &Arc<Harness>, path: &'static str) -> (Vec<CallerResponse>, Instant) {
    harness.until_ready(true).await;
    harness.until_all_answer("/open/x", 200).await;
    send_repeatedly(harness, path, PAUSE, HEARD_WITHIN).await;
    let counted = Instant::now();
    (send_repeatedly(harness, path, PAUSE, LOAD).await, counted)
}

/// One of several upstreams names a limit, and each instance of the fleet went on as
/// before: none of them sent more than the limit by itself, and together they sent three
/// times as much.
#[test_case("/any/x"; "plain")]
#[test_case("/stream/x"; "streamed")]
#[test_case("/staged/x"; "after stages")]
fn a_fleet_sends_a_limited_upstream_no_more_than_it_takes(path: &'static str) {
    let harness = fleet(3);
    harness.upstreams[0].set_limit(Some("1"));
    let (received, counted) = block_on(load(&harness, path));
    let most = most_arrivals(&harness.upstreams[0], counted);
    assert!(most <= allowed(1.0), "{most} in four seconds");
    let failed: Vec<&CallerResponse> = received.iter().filter(|r| r.status != 200).collect();
    assert!(failed.is_empty(), "the others take the rest: {failed:?}");
}

/// The upstream of a stage names a limit. Calls for pieces count, and so does whatever
/// else an owner of stages asks of it.
#[test]
fn a_fleet_asks_a_limited_upstream_for_no_more_pieces_than_it_takes() {
    let harness = fleet(3);
    harness.upstreams[3].set_limit(Some("1"));
    let (_, counted) = block_on(load(&harness, "/staged/x"));
    let most = most_arrivals(&harness.upstreams[3], counted);
    assert!(most <= allowed(1.0), "{most} in four seconds");
}

/// All upstreams of a service name a limit. What they take is used, and all else is
/// refused at once and truthfully.
#[test]
fn a_fleet_uses_what_limited_upstreams_take_and_refuses_the_rest() {
    let harness = fleet(2);
    for upstream in &harness.upstreams[..2] {
        upstream.set_limit(Some("2"));
    }
    let (received, counted) = block_on(load(&harness, "/once/x"));
    for upstream in &harness.upstreams[..2] {
        let most = most_arrivals(upstream, counted);
        assert!(most <= allowed(2.0), "{most} in four seconds");
    }
    let served = received.iter().filter(|r| r.status == 200).count();
    let taken = 2.0 * 2.0 * LOAD.as_secs_f64();
    assert!(served as f64 >= 0.8 * taken, "{served} of {taken}");
    let refused = received.iter().filter(|r| r.status != 200);
    for refused in refused {
        assert_eq!(refused.status, 503);
        assert_eq!(refused.run.as_deref(), Some("not run"));
    }
}

/// A limit ends. Instances whose part was nothing get no answers of that upstream, and
/// have to hear of the end from others.
#[test]
fn a_fleet_hears_that_a_limit_has_ended() {
    let harness = fleet(2);
    harness.upstreams[0].set_limit(Some("0.2"));
    block_on(async {
        let (_, counted) = load(&harness, "/any/x").await;
        let most = most_arrivals(&harness.upstreams[0], counted);
        assert!(most <= allowed(0.2), "{most} in four seconds");
        harness.upstreams[0].set_limit(None);
        let until = Instant::now() + Duration::from_secs(30);
        loop {
            let before = harness.upstreams[0].count();
            send_repeatedly(&harness, "/any/x", PAUSE, Duration::from_secs(1)).await;
            if harness.upstreams[0].count() - before >= 10 {
                break;
            }
            assert!(Instant::now() < until, "nobody heard of the end");
            Timer::after(PAUSE).await;
        }
    });
}

/// Most of the fleet ends at once, those that gave out permits among them. Those that are
/// left find others for it, and keep to the limit.
#[test]
fn a_limit_is_kept_when_those_that_give_out_permits_are_lost() {
    let mut harness = fleet(2);
    harness.upstreams[0].set_limit(Some("1"));
    block_on(async {
        load(&harness, "/any/x").await;
        let lost = INSTANCES - 3;
        let owned = Arc::get_mut(&mut harness).expect("nobody else asks");
        owned.kill_gateways(lost);
        let counted = Instant::now();
        let received = send_repeatedly(&harness, "/any/x", PAUSE, LOAD).await;
        let most = most_arrivals(&harness.upstreams[0], counted);
        assert!(most <= allowed(1.0), "{most} in four seconds");
        let served = received.iter().filter(|r| r.status == 200).count();
        assert_eq!(served, received.len(), "the other takes the rest");
        let late = Instant::now() - SPAN;
        let used = harness.upstreams[0].arrivals();
        let used = used.iter().filter(|at| **at >= late).count();
        assert!(used >= 2, "{used} in the last four seconds");
    });
}

/// All instances start anew at once and know nothing. They hear of the limit again, and
/// keep to it.
#[test]
fn a_limit_is_heard_again_after_all_instances_have_started_anew() {
    let mut harness = fleet(2);
    harness.upstreams[0].set_limit(Some("1"));
    block_on(async {
        load(&harness, "/any/x").await;
        let owned = Arc::get_mut(&mut harness).expect("nobody else asks");
        owned.restart_gateways();
        let (_, counted) = load(&harness, "/any/x").await;
        let most = most_arrivals(&harness.upstreams[0], counted);
        assert!(most <= allowed(1.0), "{most} in four seconds");
    });
}

/// Streams break off and go on elsewhere, and requests are sent once more. These sends
/// count as any others.
#[test]
fn what_is_sent_once_more_keeps_to_a_limit() {
    let cut = Reply::Stream {
        parts: &["id: 1\ndata: a\n\n"],
        cut: true,
    };
    let whole = Reply::Stream {
        parts: &["id: 2\ndata: b\n\n"],
        cut: false,
    };
    let mut harness = Harness::start(vec![vec![cut], vec![whole.clone()], vec![whole]]);
    harness.add_gateways(INSTANCES - 1);
    let harness = Arc::new(harness);
    harness.upstreams[1].set_limit(Some("1"));
    let (_, counted) = block_on(load(&harness, "/resume/x"));
    let most = most_arrivals(&harness.upstreams[1], counted);
    assert!(most <= allowed(1.0), "{most} in four seconds");
}

/// What cannot be read is no limit, and costs nothing.
#[test_case("NaN"; "not a number")]
#[test_case("-1"; "negative")]
#[test_case(""; "empty")]
fn an_upstream_whose_limit_cannot_be_read_is_used_as_before(limit: &'static str) {
    let harness = fleet(1);
    harness.upstreams[0].set_limit(Some(limit));
    block_on(async {
        harness.until_ready(true).await;
        for n in 0..20 {
            let received = harness.ask("/once/x", &n.to_string()).await;
            assert_eq!(received.status, 200);
        }
    });
    assert!(harness.upstreams[0].count() >= 20);
}

/// One instance is told of a limit. Each of the others would have sent a request of its own
/// before it was told as well; now they hear of it from that one.
#[test]
fn instances_hear_of_a_limit_from_each_other() {
    let harness = fleet(1);
    harness.upstreams[0].set_limit(Some("0.2"));
    block_on(async {
        harness.until_ready(true).await;
        // Any instance may still have to read the configuration.
        while harness.ask_instance(0, "/once/x", "first").await.status != 200 {}
        Timer::after(HEARD_WITHIN).await;
        let mut served = 0;
        for n in 1..INSTANCES {
            let received = harness.ask_instance(n, "/once/x", &n.to_string()).await;
            served += usize::from(received.status == 200);
        }
        assert!(served <= 1, "{served} of {}", INSTANCES - 1);
    });
}

/// The only upstream takes one request each five seconds. Stages of all others would be done
/// for nothing.
#[test]
fn stages_are_not_done_for_what_no_upstream_takes() {
    let harness = fleet(1);
    harness.upstreams[0].set_limit(Some("0.2"));
    let (received, counted) = block_on(load(&harness, "/staged/x"));
    let served = received.iter().filter(|r| r.status == 200).count();
    let made = harness.upstreams[1].arrivals();
    let made = made.iter().filter(|at| **at >= counted).count();
    assert!(
        (1..=3).contains(&served),
        "{served} served in eight seconds"
    );
    assert!(
        made <= 2 * served,
        "{made} calls for pieces for {served} served"
    );
    assert!(
        received
            .iter()
            .all(|r| r.status == 200 || r.run.as_deref() == Some("not run"))
    );
}

/// Guards against instances that ask for a permit with each request, which they were told
/// that there is none for.
#[test]
fn those_that_are_turned_away_ask_again_only_when_their_turn_may_have_come() {
    let harness = fleet(1);
    harness.upstreams[0].set_limit(Some("1"));
    let asked = block_on(async {
        let (received, _) = load(&harness, "/once/x").await;
        let refused = received.iter().filter(|r| r.status == 503).count();
        assert!(refused > received.len() / 2, "{refused} refused");
        let counter = "jd_gateway_permits_total{outcome=\"turned-away\"}";
        harness.counter_total(counter).await
    });
    // Twice a second each, and as often again at the most while they learn of each other.
    let seconds = (HEARD_WITHIN + LOAD).as_secs_f64();
    let most = INSTANCES as f64 * seconds * 2.0 * 1.5;
    assert!((asked as f64) < most, "{asked} asked");
    assert!(asked > 0, "nobody was turned away");
}
