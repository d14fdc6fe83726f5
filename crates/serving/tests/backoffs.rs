//! Pauses that upstreams ask for.

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
    RetryAfter::try_from(text).expect("a pause")
}

/// The backoffs after upstream `u` at port 1 asked for these pauses, as pairs of the time in
/// milliseconds and the pause.
fn after_pauses(notices: &[(u64, &str)]) -> Backoffs {
    let mut backoffs = Backoffs::default();
    for (ms, wait) in notices {
        backoffs.record(at(*ms), address(1), "u", FIRST, seconds(wait), ALONE);
    }
    backoffs
}

#[test_case(&[(0, "3")], 0, Some(3_000); "it starts with the answer")]
#[test_case(&[(0, "3")], 2_999, Some(1); "it lasts until its end")]
#[test_case(&[(0, "3")], 3_000, None; "it is over at its end")]
#[test_case(&[(0, "0")], 0, None; "a pause of zero")]
#[test_case(&[(0, "3"), (100, "1")], 2_000, Some(1_000); "a shorter pause does not replace a longer one")]
#[test_case(&[(0, "3"), (2_000, "3")], 4_000, Some(1_000); "a later pause extends it")]
#[test_case(&[(0, "1e300")], 1_000_000_000, Some(18_446_743_073_709_551); "a pause beyond the range of clocks")]
fn a_pause_lasts_as_long_as_requested(
    notices: &[(u64, &str)],
    now: u64,
    remaining_ms: Option<u64>,
) {
    let remaining = after_pauses(notices).remaining(at(now), address(1), "u", FIRST);
    assert_eq!(remaining.map(|l| l.as_millis() as u64), remaining_ms);
}

/// A restarted upstream accepts requests, and so does another upstream that was given the
/// address.
#[test]
fn a_pause_applies_only_to_the_start_that_asked_for_it() {
    let mut backoffs = Backoffs::default();
    let [first, second] = [1, 2].map(UpstreamStart::at_millis);
    backoffs.record(at(0), address(1), "u", first, seconds("3"), ALONE);
    let remaining = |id, start| backoffs.remaining(at(10), address(1), id, start);
    assert!(remaining("u", first).is_some());
    assert_eq!(remaining("u", second), None);
    assert_eq!(remaining("v", FIRST), None);
    assert_eq!(backoffs.remaining(at(10), address(2), "u", first), None);
}

/// Requests to release results go to an address where no entry may name the upstream any more.
#[test]
fn a_pause_applies_to_an_address_whose_upstream_is_unknown() {
    let backoffs = after_pauses(&[(0, "3")]);
    let remaining = backoffs.remaining(at(1_000), address(1), "", FIRST);
    assert_eq!(remaining, Some(Duration::from_secs(2)));
}

#[test]
fn expired_pauses_are_removed() {
    let mut backoffs = after_pauses(&[(0, "3")]);
    backoffs.expire(at(2_999));
    assert!(!backoffs.is_empty());
    backoffs.expire(at(3_000));
    assert!(backoffs.is_empty());
}

/// An upstream asks a whole fleet at the same moment to pause for three seconds. No instance
/// returns earlier, and at most a fifth of them return within 30 ms.
#[test_case(9)]
#[test_case(85)]
#[test_case(295)]
fn instances_do_not_return_at_the_same_time(instances: u32) {
    let end = |rank| {
        let position = FleetPosition {
            rank,
            fleet_size: instances,
        };
        let mut backoffs = Backoffs::default();
        backoffs.record(at(0), address(1), "u", FIRST, seconds("3"), position);
        let remaining = backoffs.remaining(at(0), address(1), "u", FIRST);
        remaining.expect("a pause").as_millis()
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
