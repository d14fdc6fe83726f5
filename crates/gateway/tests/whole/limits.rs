//! Rate limits of upstreams, tested on a whole fleet.
//!
//! Guards against upstreams that get more than the limit which their answers state: two of
//! nine upstreams stated one request a second and got 12 and 13 in four seconds. A limit
//! that each instance keeps by itself would not help: six of the nine instances sent to one
//! of these upstreams, none more than three requests in four seconds, with answers that
//! began at 9.342, 9.616, 9.662, 10.833, 10.915, 10.989, 11.041 and 11.274 s. So one
//! instance counts the requests for all, and gives out permits to the others.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::CallerResponse;
use crate::fakes::Cut;
use crate::fakes::FakeUpstream;
use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::crash_fleet::send_repeatedly;

/// Instances of the fleet.
const INSTANCES: usize = 9;
/// Pause between requests: forty a second, from all callers together.
const PAUSE: Duration = Duration::from_millis(25);
/// How long a limit may take to reach all instances.
const SPREAD_WITHIN: Duration = Duration::from_millis(1_500);
/// How long requests are sent after that.
const LOAD: Duration = Duration::from_secs(8);
/// The span over which arrivals are counted.
const COUNTED_SPAN: Duration = Duration::from_secs(4);

/// A fleet with this many upstreams, and one upstream of the stage of `/staged/`.
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

/// The highest number of arrivals in any four seconds from `since` on.
fn max_arrivals(upstream: &FakeUpstream, since: Instant) -> usize {
    let arrivals = upstream.arrivals();
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= since).collect();
    let ends = counted.iter().enumerate();
    let within = ends.map(|(n, end)| {
        let span = counted[..=n].iter();
        span.filter(|at| end.duration_since(**at) < COUNTED_SPAN)
            .count()
    });
    within.max().unwrap_or(0)
}

/// Number of requests that may arrive in four seconds under a limit of `per_s`: half as
/// much again, and five.
fn allowed(per_s: f64) -> usize {
    (per_s * COUNTED_SPAN.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Sends requests until the limit has reached all instances, and then for `LOAD`; returns
/// the answers of this second span and its beginning.
async fn load(harness: &Arc<Harness>, path: &'static str) -> (Vec<CallerResponse>, Instant) {
    harness.until_ready(true).await;
    harness.until_all_answer("/open/x", 200).await;
    send_repeatedly(harness, path, PAUSE, SPREAD_WITHIN).await;
    let counted = Instant::now();
    (send_repeatedly(harness, path, PAUSE, LOAD).await, counted)
}

/// One of several upstreams states a limit. No instance alone exceeded it, but together
/// they sent three times as much.
#[test_case("/any/x"; "plain")]
#[test_case("/stream/x"; "streamed")]
#[test_case("/staged/x"; "after stages")]
fn a_fleet_keeps_the_limit_of_an_upstream(path: &'static str) {
    let harness = fleet(3);
    harness.upstreams[0].set_limit(Some("1"));
    let (received, counted) = block_on(load(&harness, path));
    let most = max_arrivals(&harness.upstreams[0], counted);
    assert!(most <= allowed(1.0), "{most} in four seconds");
    let failed: Vec<&CallerResponse> = received.iter().filter(|r| r.status != 200).collect();
    assert!(
        failed.is_empty(),
        "requests beyond the limit were not served by the others: {failed:?}"
    );
}

/// The upstream of a stage states a limit. Calls for pieces count against it, and so do
/// all other calls that an owner of stages makes to it.
#[test]
fn a_fleet_keeps_the_limit_of_a_stage_upstream() {
    let harness = fleet(3);
    harness.upstreams[3].set_limit(Some("1"));
    let (_, counted) = block_on(load(&harness, "/staged/x"));
    let most = max_arrivals(&harness.upstreams[3], counted);
    assert!(most <= allowed(1.0), "{most} in four seconds");
}

/// Guards against requests that exceed a limit because instances without a path to the upstreams
/// forward them.
#[test]
fn a_limit_holds_for_forwarded_requests() {
    let stream = Reply::Stream {
        parts: &["id: 1\ndata: a\n\n"],
        cut: false,
    };
    let stage = Reply::Delayed("made", Duration::from_millis(5));
    let mut harness = Harness::start_cuttable(vec![vec![stream]; 3], vec![stage]);
    harness.add_gateways(INSTANCES - 1);
    let harness = Arc::new(harness);
    harness.upstreams[0].set_limit(Some("1"));
    block_on(async {
        load(&harness, "/any/x").await;
        for peers in &harness.peer_addresses()[..4] {
            harness.link(*peers).set(Some(Cut::Resets));
        }
        let (received, counted) = load(&harness, "/any/x").await;
        let most = max_arrivals(&harness.upstreams[0], counted);
        assert!(most <= allowed(1.0), "{most} in four seconds");
        let served = received.iter().filter(|r| r.status == 200).count();
        assert_eq!(served, received.len());
        let forwards = "jd_gateway_forwards_total{outcome=\"answered\"}";
        assert!(harness.counter_total(forwards).await > 0);
    });
}

/// All upstreams of a service state a limit. Their capacity is used, and all other
/// requests are refused at once, as not run.
#[test]
fn a_fleet_uses_the_capacity_of_limited_upstreams_and_refuses_the_rest() {
    let harness = fleet(2);
    for upstream in &harness.upstreams[..2] {
        upstream.set_limit(Some("2"));
    }
    let (received, counted) = block_on(load(&harness, "/once/x"));
    for upstream in &harness.upstreams[..2] {
        let most = max_arrivals(upstream, counted);
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

/// A limit ends. Instances that got no permits get no answers of that upstream, and have
/// to learn of the end from other instances.
#[test]
fn the_end_of_a_limit_reaches_the_fleet() {
    let harness = fleet(2);
    harness.upstreams[0].set_limit(Some("0.2"));
    block_on(async {
        let (_, counted) = load(&harness, "/any/x").await;
        let most = max_arrivals(&harness.upstreams[0], counted);
        assert!(most <= allowed(0.2), "{most} in four seconds");
        harness.upstreams[0].set_limit(None);
        let until = Instant::now() + Duration::from_secs(30);
        loop {
            let before = harness.upstreams[0].count();
            send_repeatedly(&harness, "/any/x", PAUSE, Duration::from_secs(1)).await;
            if harness.upstreams[0].count() - before >= 10 {
                break;
            }
            assert!(
                Instant::now() < until,
                "the end of the limit did not arrive"
            );
            Timer::after(PAUSE).await;
        }
    });
}

/// Most of the fleet is lost at once, including the instances that gave out permits.
/// Among the rest others take over, and the limit is kept.
#[test]
fn a_limit_is_kept_when_the_instances_that_give_out_permits_are_lost() {
    let mut harness = fleet(2);
    harness.upstreams[0].set_limit(Some("1"));
    block_on(async {
        load(&harness, "/any/x").await;
        let lost = INSTANCES - 3;
        let owned = Arc::get_mut(&mut harness).expect("no request in flight");
        owned.kill_gateways(lost);
        let counted = Instant::now();
        let received = send_repeatedly(&harness, "/any/x", PAUSE, LOAD).await;
        let most = max_arrivals(&harness.upstreams[0], counted);
        assert!(most <= allowed(1.0), "{most} in four seconds");
        let served = received.iter().filter(|r| r.status == 200).count();
        assert_eq!(
            served,
            received.len(),
            "requests beyond the limit were not served by the other"
        );
        let late = Instant::now() - COUNTED_SPAN;
        let used = harness.upstreams[0].arrivals();
        let used = used.iter().filter(|at| **at >= late).count();
        assert!(used >= 2, "{used} in the last four seconds");
    });
}

/// All instances restart at once without any state. They learn the limit again, and keep
/// it.
#[test]
fn a_limit_is_learned_again_after_a_restart_of_all_instances() {
    let mut harness = fleet(2);
    harness.upstreams[0].set_limit(Some("1"));
    block_on(async {
        load(&harness, "/any/x").await;
        let owned = Arc::get_mut(&mut harness).expect("no request in flight");
        owned.restart_gateways();
        let (_, counted) = load(&harness, "/any/x").await;
        let most = max_arrivals(&harness.upstreams[0], counted);
        assert!(most <= allowed(1.0), "{most} in four seconds");
    });
}

/// Streams break off and resume elsewhere, and requests are retried. These sends count
/// against a limit as any others.
#[test]
fn retries_keep_a_limit() {
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
    let most = max_arrivals(&harness.upstreams[1], counted);
    assert!(most <= allowed(1.0), "{most} in four seconds");
}

/// A limit that cannot be parsed is ignored.
#[test_case("NaN"; "not a number")]
#[test_case("-1"; "negative")]
#[test_case(""; "empty")]
fn a_limit_that_cannot_be_parsed_is_ignored(limit: &'static str) {
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

/// One instance reads a limit from an answer. The others learn of it from that instance;
/// otherwise each of them would send a request before it knew the limit.
#[test]
fn instances_learn_of_a_limit_from_each_other() {
    let harness = fleet(1);
    harness.upstreams[0].set_limit(Some("0.2"));
    block_on(async {
        harness.until_ready(true).await;
        // Each instance may still be reading the configuration.
        while harness.ask_instance(0, "/once/x", "first").await.status != 200 {}
        Timer::after(SPREAD_WITHIN).await;
        let mut served = 0;
        for n in 1..INSTANCES {
            let received = harness.ask_instance(n, "/once/x", &n.to_string()).await;
            served += usize::from(received.status == 200);
        }
        assert!(served <= 1, "{served} of {}", INSTANCES - 1);
    });
}

/// The only upstream takes one request each five seconds. Stages of all other requests
/// would be wasted.
#[test]
fn stages_do_not_run_for_requests_that_no_upstream_takes() {
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

/// Guards against instances that request a permit for each request while they know that
/// none is available.
#[test]
fn refused_instances_request_permits_only_when_their_turn_may_have_come() {
    let harness = fleet(1);
    harness.upstreams[0].set_limit(Some("1"));
    let asked = block_on(async {
        let (received, _) = load(&harness, "/once/x").await;
        let refused = received.iter().filter(|r| r.status == 503).count();
        assert!(refused > received.len() / 2, "{refused} refused");
        let counter = "jd_gateway_permits_total{outcome=\"turned-away\"}";
        harness.counter_total(counter).await
    });
    // Two permit requests a second for each instance, and half as many again while the
    // instances learn of each other.
    let seconds = (SPREAD_WITHIN + LOAD).as_secs_f64();
    let most = INSTANCES as f64 * seconds * 2.0 * 1.5;
    assert!((asked as f64) < most, "{asked} permit requests");
    assert!(asked > 0, "no permit request was refused");
}
