//! Upstreams that fall over if they have to reject too many requests.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::future::block_on;
use test_case::test_case;

use crate::fakes::Harness;
use crate::fakes::Reply;
use crate::fakes::crash_fleet::send_repeatedly;

/// Instances of the fleet.
const INSTANCES: usize = 5;
/// Requests that an upstream runs at a time, as its entry says.
const CAPACITY: usize = 4;
/// How long a request runs.
const RUNS: Duration = Duration::from_millis(400);
/// Pause between requests: of the three upstreams, 30 requests a second use all.
const PAUSE: Duration = Duration::from_millis(12);
/// How long a notice may take to reach all instances.
const SPREAD_WITHIN: Duration = Duration::from_secs(3);
const LOAD: Duration = Duration::from_secs(4);
/// The rejections in a second that upstreams withstand.
const WITHSTOOD: usize = 3;

/// The most rejections in any second from `since` on.
fn max_rejections(times: &[Instant], since: Instant) -> usize {
    let counted: Vec<Instant> = times.iter().copied().filter(|at| *at >= since).collect();
    let within = counted.iter().enumerate().map(|(n, end)| {
        let earlier = counted[..=n].iter();
        let is_near = |at: &&Instant| end.duration_since(**at) < Duration::from_secs(1);
        earlier.filter(is_near).count()
    });
    within.max().unwrap_or(0)
}

/// Guards against a fleet whose instances each send what one upstream could take, so that it has
/// to reject more than it withstands; and against leaving it unused.
#[test_case("/any/x"; "plain")]
#[test_case("/once/x"; "unsafe")]
#[test_case("/stream/x"; "streamed")]
fn a_fleet_causes_no_more_rejections_than_brittle_upstreams_withstand(path: &'static str) {
    let mut harness = Harness::start(vec![vec![Reply::Delayed("ran", RUNS)]; 3]);
    harness.add_gateways(INSTANCES - 1);
    let harness = Arc::new(harness);
    block_on(async {
        harness.until_ready(true).await;
        harness.until_all_answer("/open/x", 200).await;
        for upstream in &harness.upstreams {
            upstream.set_brittle(CAPACITY, "3");
        }
        send_repeatedly(&harness, path, PAUSE, SPREAD_WITHIN).await;
        let counted = Instant::now();
        let received = send_repeatedly(&harness, path, PAUSE, LOAD).await;
        for upstream in &harness.upstreams {
            let most = max_rejections(&upstream.rejections(), counted);
            assert!(most <= WITHSTOOD, "{most} rejections in a second");
        }
        let served = received.iter().filter(|r| r.status == 200).count();
        let capacity = 3.0 * CAPACITY as f64 * LOAD.as_secs_f64() / RUNS.as_secs_f64();
        assert!(served as f64 >= 0.5 * capacity, "{served} of {capacity}");
        for refused in received.iter().filter(|r| r.status != 200) {
            assert_eq!(refused.status, 503, "{refused:?}");
            assert_eq!(refused.run.as_deref(), Some("not run"));
        }
    });
}
