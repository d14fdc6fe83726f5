//! Upstreams that want nothing for a while.

#![allow(clippy::expect_used, clippy::panic)]

use std::net::SocketAddr;
use std::time::Duration;

use jd_serving::Backoffs;
use jd_serving::FleetPosition;
use jd_serving::RetryAfter;
use jd_serving::UpstreamStart;
use jd_types::MonoTime;
use test_case::test_case;

const FIRST: UpstreamStart = UpstreamStart::UNKNOWN;
const ALONE: FleetPosition = FleetPosition {
    rank: 0,
    fleet_size: 1,
};

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn seconds(text: &str) -> RetryAfter {
    RetryAfter::try_from(text).expect("a wait")
}

/// What `u` at port 1 said, as pairs of the moment in milliseconds and the wait.
fn said(notices: &[(u64, &str)]) -> Backoffs {
    let mut backoffs = Backoffs::default();
    for (ms, wait) in notices {
        backoffs.record(at(*ms), address(1), "u", FIRST, seconds(wait), ALONE);
    }
    backoffs
}

#[test_case(&[(0, "3")], 0, Some(3_000); "from the answer on")]
#[test_case(&[(0, "3")], 2_999, Some(1); "to the end")]
#[test_case(&[(0, "3")], 3_000, None; "and no longer")]
#[test_case(&[(0, "0")], 0, None; "no wait at all")]
#[test_case(&[(0, "3"), (100, "1")], 2_000, Some(1_000); "a shorter wait takes nothing back")]
#[test_case(&[(0, "3"), (2_000, "3")], 4_000, Some(1_000); "a later wait adds to it")]
#[test_case(&[(0, "1e300")], 1_000_000_000, Some(18_446_743_073_709_551); "for longer than any clock runs")]
fn an_upstream_is_left_alone(notices: &[(u64, &str)], now: u64, left_ms: Option<u64>) {
    let left = said(notices).remaining(at(now), address(1), "u", FIRST);
    assert_eq!(left.map(|l| l.as_millis() as u64), left_ms);
}

/// An upstream that starts again under its identity wants requests, and so does another one that
/// was given its address.
#[test]
fn a_wait_binds_the_start_that_asked_for_it() {
    let mut backoffs = Backoffs::default();
    let [first, second] = [1, 2].map(UpstreamStart::at_millis);
    backoffs.record(at(0), address(1), "u", first, seconds("3"), ALONE);
    let left = |id, start| backoffs.remaining(at(10), address(1), id, start);
    assert!(left("u", first).is_some());
    assert_eq!(left("u", second), None);
    assert_eq!(left("v", FIRST), None);
    assert_eq!(backoffs.remaining(at(10), address(2), "u", first), None);
}

/// Results are given up at an address, where no entry may name the upstream any more.
#[test]
fn a_wait_binds_whoever_is_at_the_address_if_nobody_knows_who_that_is() {
    let backoffs = said(&[(0, "3")]);
    let left = backoffs.remaining(at(1_000), address(1), "", FIRST);
    assert_eq!(left, Some(Duration::from_secs(2)));
}

#[test]
fn waits_that_are_over_are_forgotten() {
    let mut backoffs = said(&[(0, "3")]);
    backoffs.expire(at(2_999));
    assert!(!backoffs.is_empty());
    backoffs.expire(at(3_000));
    assert!(backoffs.is_empty());
}

/// An upstream told a whole fleet in one moment to wait for three seconds. None asks it before,
/// and no more than a fifth of them within 30 ms.
#[test_case(9)]
#[test_case(85)]
#[test_case(295)]
fn instances_do_not_return_in_one_moment(instances: u32) {
    let end = |rank| {
        let place = FleetPosition {
            rank,
            fleet_size: instances,
        };
        let mut backoffs = Backoffs::default();
        backoffs.record(at(0), address(1), "u", FIRST, seconds("3"), place);
        let left = backoffs.remaining(at(0), address(1), "u", FIRST);
        left.expect("a wait").as_millis()
    };
    let mut ends: Vec<u128> = (0..instances).map(end).collect();
    ends.sort_unstable();
    assert!(ends[0] >= 3_000, "{ends:?}");
    let together = |from: u128| {
        let within = ends.iter().filter(|e| (from..from + 30).contains(*e));
        within.count()
    };
    let most = ends.iter().map(|e| together(*e)).max();
    let allowed = instances as usize / 5;
    assert!(most <= Some(allowed), "{most:?} of {instances}");
}
