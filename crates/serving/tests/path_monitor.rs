//! When an instance concludes that it has lost its network path to the upstreams.

#![allow(clippy::expect_used, clippy::panic)]

use std::net::SocketAddr;
use std::time::Duration;

use jd_serving::PathCheck;
use jd_serving::PathMonitor;
use jd_types::MonoTime;

const NO_CONNECTION: PathCheck = PathCheck {
    opened: 0,
    failed: 4,
};

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn upstream(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 80))
}

/// Guards against taking one upstream that is down for a lost path.
#[test]
fn failures_of_one_upstream_cause_no_check() {
    let mut path = PathMonitor::default();
    for ms in 0..10 {
        path.record_failed(at(ms * 100), upstream(1));
        assert!(!path.begin_check(at(ms * 100), 5));
    }
}

/// Guards against upstreams that fail one by one over a long time.
#[test]
fn failures_that_are_seconds_apart_cause_no_check() {
    let mut path = PathMonitor::default();
    for n in 1..=10 {
        let now = at(u64::from(n) * 4_000);
        path.record_failed(now, upstream(n));
        assert!(!path.begin_check(now, 20));
    }
}

/// Guards against a path that counts as lost although connections are opened.
#[test]
fn an_opened_connection_ends_the_suspicion() {
    let mut path = PathMonitor::default();
    path.record_failed(at(0), upstream(1));
    assert_eq!(path.record_opened(at(10)), None);
    path.record_failed(at(20), upstream(2));
    assert!(!path.begin_check(at(20), 5));
}

/// Guards against a deployment with a single upstream, whose loss would never be noticed.
#[test]
fn the_only_upstream_is_enough_for_a_check() {
    let mut path = PathMonitor::default();
    path.record_failed(at(0), upstream(1));
    assert!(path.begin_check(at(0), 1));
}

/// Guards against a lost path that is noticed late, and against checks in a row while requests
/// keep failing.
#[test]
fn two_failed_upstreams_cause_one_check_at_a_time() {
    let mut path = PathMonitor::default();
    path.record_failed(at(0), upstream(1));
    path.record_failed(at(1), upstream(2));
    assert!(path.begin_check(at(1), 5));
    assert!(!path.begin_check(at(2), 5));
    assert!(path.record_check(at(300), NO_CONNECTION));
    assert!(path.is_lost());
    assert!(path.begin_check(at(600), 5), "a lost path is checked again");
    assert!(!path.record_check(at(900), NO_CONNECTION), "not a new loss");
    assert_eq!(path.record_opened(at(1_300)), Some(Duration::from_secs(1)));
    assert!(!path.is_lost());
    assert!(!path.begin_check(at(2_000), 5));
}

/// Guards against a loss that is concluded from nothing: no upstream was left to connect to.
#[test]
fn a_check_without_upstreams_decides_nothing() {
    let mut path = PathMonitor::default();
    path.record_failed(at(0), upstream(1));
    assert!(path.begin_check(at(0), 1));
    assert!(!path.record_check(at(10), PathCheck::default()));
    assert!(!path.is_lost());
}
